#include "discarded_work.h"
#include <algorithm>
#include <cmath>

namespace poplardeal::detail {

discarded_work::discarded_work(metrics_registry& metrics)
{
    constexpr std::array<const char*, discardReasons> names { "preempted", "gang_broken", "worker_leaves",
        "no_progress", "lost_with_worker", "failed" };
    for (std::size_t i = 0; i < discardReasons; ++i)
        m_counters[i] = &metrics.getCounter("poplardeal_work_discarded_core_seconds_total",
            "Work of runs that was lost, estimated when they were ended", { { "reason", names[i] } });
}

void discarded_work::addStop(const planned_stop& stop)
{
    switch (stop.reason) {
    case stop_reason::job_ended:
        return;
    case stop_reason::gang_broken:
        return add(discard_reason::gang_broken, stop.discardedWork);
    case stop_reason::preempted:
        return add(discard_reason::preempted, stop.discardedWork);
    case stop_reason::worker_leaves:
        return add(discard_reason::worker_leaves, stop.discardedWork);
    case stop_reason::no_progress:
        return add(discard_reason::no_progress, stop.discardedWork);
    }
}

void discarded_work::addEnd(const job_table& table, const run_key& run, const checkpoint& saved,
    const run_timing& timing, instant wallClock, discard_reason reason)
{
    const auto* job = table.find(run.task.job);
    const auto* unit = table.findUnit(run.task);
    if (job == nullptr || unit == nullptr || job->isTerminal() || unit->lastRun != run.run || !unit->isActive())
        return;
    const auto& step = job->spec.steps[run.task.step];
    auto lost = std::max(wallClock - unit->startedAt, duration::zero());
    if (step.checkpointable && !saved.value().empty())
        lost = std::min(lost, timing.checkpointInterval);
    add(reason, weightInCores(step.need) * std::chrono::duration<double>(lost).count());
}

void discarded_work::add(discard_reason reason, double coreSeconds)
{
    const auto i = static_cast<std::size_t>(reason);
    const double whole = std::floor(m_rests[i] + coreSeconds);
    m_rests[i] += coreSeconds - whole;
    m_counters[i]->add(static_cast<std::uint64_t>(whole));
}

} // namespace poplardeal::detail
