#include <algorithm>
#include <poplardeal/deployment/breaks.h>

namespace poplardeal {
namespace detail {

    static bool contains(const change_window& window, duration sinceMidnight)
    {
        constexpr duration day = std::chrono::hours(24);
        const duration start = window.start;
        const duration sinceStart = sinceMidnight >= start ? sinceMidnight - start : sinceMidnight + day - start;
        return sinceStart < duration(window.length);
    }

} // namespace detail

bool isInBreak(const deployment& plan, instant wallClock)
{
    if (plan.breaks.empty())
        return true;
    const auto midnight = std::chrono::floor<std::chrono::days>(wallClock);
    const auto sinceMidnight = std::chrono::duration_cast<duration>(wallClock - midnight);
    return std::any_of(plan.breaks.begin(), plan.breaks.end(),
        [&](const change_window& window) { return detail::contains(window, sinceMidnight); });
}

} // namespace poplardeal
