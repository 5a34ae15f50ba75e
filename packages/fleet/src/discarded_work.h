#pragma once

#include <array>
#include <poplardeal/base/metrics.h>
#include <poplardeal/jobs/job_table.h>
#include <poplardeal/jobs/planner.h>

namespace poplardeal::detail {

/// Why work of a run was lost.
enum class discard_reason : std::uint8_t {
    preempted,
    gang_broken,
    worker_leaves,
    no_progress,
    lost_with_worker,
    failed,
};

inline constexpr std::size_t discardReasons = 6;

/// Counts the work that ended runs lose, in core-seconds, as `poplardeal_work_discarded_core_seconds_total{reason}`.
/// The figures are estimates at the time of the stop or loss; those of stops come from the planner.
class discarded_work {
public:
    explicit discarded_work(metrics_registry&);

    /// Runs of jobs that have ended are not counted: nobody waits for their work.
    void addStop(const planned_stop&);
    /// Counts a run that ended without an order. Its work since its start counts, or with a checkpoint that of one
    /// interval at most. Call before the end is recorded.
    void addEnd(const job_table&, const run_key&, const checkpoint& saved, const run_timing&, instant wallClock,
        discard_reason);

private:
    void add(discard_reason, double coreSeconds);

    std::array<counter*, discardReasons> m_counters {};
    std::array<double, discardReasons> m_rests {}; ///< Parts of a core-second that are not counted yet.
};

} // namespace poplardeal::detail
