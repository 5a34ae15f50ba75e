#include <algorithm>
#include <cmath>
#include <numeric>
#include <poplardeal/jobs/work_order.h>
#include <tuple>

namespace poplardeal {

namespace {

    double seconds(duration d) { return std::chrono::duration<double>(d).count(); }

    /// Apparent tardiness cost: value per capacity-time, discounted by the slack that is left.
    double pressure(const order_options& options, const waiting_work& work, const workspace_shares& shares, instant now)
    {
        const auto found = shares.find(*work.workspace);
        const double use = std::max(found == shares.end() ? 0.0 : found->second, options.freeUse);
        const double slack = std::max(seconds(work.valueEnd - now - work.runTime), 0.0);
        const double discount = std::exp(-slack / (options.slackFactor * std::max(seconds(work.runTime), 0.1)));
        return work.yield * discount * std::pow(use, -options.usageExponent);
    }

    /// Sort key; lower goes first.
    struct rank_key {
        bool isExpired { false };
        bool isBorrowed { false }; ///< Not within a guarantee.
        std::uint32_t priority { 0 };
        bool isYoung { true };
        bool isLate { false };
        double pressure { 0 };
        const waiting_work* work { nullptr };

        auto tie() const
        {
            return std::tie(isExpired, isBorrowed, priority, isYoung, isLate, pressure, work->deadline, work->sequence,
                work->occurrence, work->step, work->unit);
        }
    };

} // namespace

std::vector<std::size_t> rankWork(
    const order_options& options, std::span<const waiting_work> work, const workspace_shares& shares, instant now)
{
    std::vector<rank_key> keys;
    keys.reserve(work.size());
    for (std::size_t i = 0; i < work.size(); ++i) {
        const auto& each = work[i];
        rank_key key;
        key.isBorrowed = !each.isGuaranteed;
        key.isExpired = key.isBorrowed && each.status == deadline_status::expired && !each.isAged;
        key.priority = each.priority;
        // Late work comes last within a priority: with it first, each job of a burst would make the next one late.
        key.isLate = key.isBorrowed && each.status != deadline_status::on_time && !each.isAged;
        key.isYoung = !each.isAged;
        key.work = &each;
        if (options.order == work_order::value && key.isBorrowed) {
            // Units of one step of a job follow each other.
            const bool isSame = i > 0 && work[i - 1].sequence == each.sequence
                && work[i - 1].occurrence == each.occurrence && work[i - 1].step == each.step;
            key.pressure = isSame ? keys.back().pressure : -pressure(options, each, shares, now);
        }
        keys.push_back(key);
    }
    std::vector<std::size_t> out(work.size());
    std::iota(out.begin(), out.end(), std::size_t { 0 });
    std::sort(out.begin(), out.end(), [&keys](std::size_t a, std::size_t b) { return keys[a].tie() < keys[b].tie(); });
    return out;
}

} // namespace poplardeal
