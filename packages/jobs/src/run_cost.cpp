#include "run_cost.h"
#include <algorithm>

namespace poplardeal::detail {

duration timeLostByEnding(const run_timing& timing, const stopped_run& run, instant now)
{
    const bool hasCheckpoint = run.isCheckpointable && run.savedAt;
    const auto since = hasCheckpoint ? std::max(run.startedAt, *run.savedAt) : run.startedAt;
    return std::max(now - since, duration::zero()) + timing.stop + timing.restore;
}

double workLostByEnding(const run_timing& timing, const stopped_run& run, instant now)
{
    return run.weight * std::chrono::duration<double>(timeLostByEnding(timing, run, now) - timing.restore).count();
}

double costOfEnding(const run_timing& timing, const stopped_run& run, instant now)
{
    const auto lost = std::chrono::duration<double>(timeLostByEnding(timing, run, now)).count();
    return run.weight * lost * run.starts * run.valueShare;
}

} // namespace poplardeal::detail
