#pragma once

#include <cstdint>
#include <poplardeal/base/time.h>
#include <poplardeal/jobs/workspace_usage.h>
#include <span>
#include <vector>

namespace poplardeal {

/// Whether an occurrence of a job can still end within its objective.
enum class deadline_status : std::uint8_t {
    on_time,
    late,
    expired, ///< So late that the job earns nothing.
};

/// Order of waiting units of one priority.
enum class work_order : std::uint8_t {
    deadline, ///< By the end of the objective.
    value, ///< By what the job still delivers for the capacity-time that it takes, fair between workspaces.
};

struct order_options {
    work_order order { work_order::deadline };
    /// Slack, in multiples of the remaining run time, at which work is 1/e as pressing as work without slack.
    double slackFactor { 2 };
    /// Limit of the yield that a small job has over a job of mean size. Without one, large jobs are hardly served.
    double maxSizeYield { 2 };
    /// Yield of jobs of at least `largeSize` times the mean work, as they find room more rarely.
    double largeYield { 1.5 };
    double largeSize { 2 };
    /// Use in relation to the share from which a workspace goes later, and how much later.
    double freeUse { 2 };
    double usageExponent { 0.5 };
    /// The oldest jobs that have waited for this long go first within their priority, one at a time: together, they
    /// would keep all others from being on time.
    duration maxWait { std::chrono::seconds(60) };
};

/// A waiting unit, as far as its rank depends on it.
struct waiting_work {
    bool isGuaranteed { false };
    std::uint32_t priority { 0 };
    deadline_status status { deadline_status::on_time };
    instant deadline; ///< End of the objective, wall clock.
    instant valueEnd; ///< Until when the job delivers its present value, wall clock.
    bool isAged { false }; ///< Goes first within its priority, because it has waited for `order_options::maxWait`.
    duration runTime { 0 }; ///< From the start of the unit to the end of the job.
    const workspace_name* workspace { nullptr };
    /// Value of the job, if it ends before `valueEnd`, for the capacity-time that it still takes, in relation to a job
    /// of mean size of its queue that is on time and has not started.
    double yield { 1 };
    std::uint64_t sequence { 0 }; ///< Of the job, in order of acceptance.
    std::uint32_t occurrence { 0 };
    std::uint32_t step { 0 };
    std::uint32_t unit { 0 };
};

/// Indices of the units in the order in which they are placed: guarantees, then by priority, and within a priority by
/// `order_options::order`, work that can be on time first. Without a guarantee, work that has expired comes after all
/// other. Ties are broken by sequence, so that the order depends on nothing but the arguments.
std::vector<std::size_t> rankWork(
    const order_options&, std::span<const waiting_work>, const workspace_shares&, instant now);

} // namespace poplardeal
