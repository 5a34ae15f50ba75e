#include <atomic>
#include <poplardeal/base/logical_clock.h>

namespace poplardeal {
namespace detail {

    static std::atomic<std::uint64_t> processClock { 0 };

} // namespace detail

std::uint64_t advanceLogicalClock() { return detail::processClock.fetch_add(1) + 1; }

void observeLogicalClock(std::uint64_t received)
{
    auto current = detail::processClock.load();
    while (current < received && !detail::processClock.compare_exchange_weak(current, received)) { }
}

} // namespace poplardeal
