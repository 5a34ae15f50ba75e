#include "emulation.h"
#include <algorithm>

namespace poplardeal::emulator {

namespace {

    double seconds(duration d) { return std::chrono::duration<double>(d).count(); }

} // namespace

void emulation::noteAccepted(const submission_id& id)
{
    if (!guaranteedJobs(m_table).contains(id))
        return;
    ++m_result.reclaims;
    m_reclaimBy.emplace(id, now() + m_reclaimTime);
}

/// A job is begun in time once each of its tasks has begun for the first time.
void emulation::noteBegun(const task_key& task)
{
    const auto promised = m_reclaimBy.find(task.job);
    if (promised == m_reclaimBy.end())
        return;
    m_begunTasks.insert(task);
    const auto first = m_begunTasks.lower_bound({ task.job, 0, 0, 0 });
    const auto begun = std::count_if(first, m_begunTasks.end(), [&](const auto& each) { return each.job == task.job; });
    if (static_cast<std::size_t>(begun) < m_table.find(task.job)->spec.steps[0].count)
        return;
    m_result.lateReclaims += now() > promised->second ? 1 : 0;
    m_reclaimBy.erase(promised);
}

double emulation::drawFor(const run_key& run, std::uint64_t purpose) const
{
    std::seed_seq parts { m_seed, static_cast<std::uint64_t>(m_jobIndex.at(run.task.job)),
        static_cast<std::uint64_t>(run.task.index), static_cast<std::uint64_t>(run.run.value()), purpose };
    std::mt19937_64 random(parts);
    return drawUniform(random);
}

void emulation::countWaste(const simulated_run& run, double savedShare, waste_reason reason)
{
    const double kept = std::max(0.0, savedShare - run.resumedFrom) * seconds(run.fullTime);
    const double wasted = run.weight * std::max(0.0, seconds(now() - run.startedAt) - kept);
    m_result.wastedWork += wasted;
    m_result.wastedByReason[static_cast<std::size_t>(reason)] += wasted;
}

void emulation::noteStop(const planned_stop& stop)
{
    m_stopReasons.emplace(stop.run, stop.reason);
    if (stop.reason != stop_reason::preempted)
        return;
    ++m_result.preemptions;
    m_result.repeatedPreemptions += stop.run.run.value() > 1 ? 1 : 0;
}

waste_reason emulation::wasteReason(const run_key& run) const
{
    const auto stopped = m_stopReasons.find(run);
    if (stopped == m_stopReasons.end())
        return waste_reason::other;
    switch (stopped->second) {
    case stop_reason::preempted:
        return waste_reason::preempted;
    case stop_reason::gang_broken:
        return waste_reason::gang_broken;
    case stop_reason::worker_leaves:
        return waste_reason::worker_leaves;
    default:
        return waste_reason::other;
    }
}

std::string_view toString(waste_reason reason)
{
    constexpr std::array<std::string_view, wasteReasons> names { "preempted", "gang_broken", "worker_leaves",
        "lost_with_worker", "failed", "other" };
    return names[static_cast<std::size_t>(reason)];
}

} // namespace poplardeal::emulator
