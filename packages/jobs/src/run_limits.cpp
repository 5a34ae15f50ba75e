#include "placement_round.h"

/// What keeps runs within the memory of controls and sidecars.
namespace poplardeal::detail {

void run_counts::add(const workspace_name& workspace, std::size_t runs)
{
    m_total += runs;
    m_byWorkspace[workspace.value()] += runs;
}

bool run_counts::admits(const workspace_name& workspace, std::size_t limit) const
{
    if (2 * m_total < limit)
        return true;
    const auto known = m_byWorkspace.find(workspace.value());
    return m_total + (known == m_byWorkspace.end() ? 0 : known->second) < limit;
}

bool placement_round::isBoundedByGuarantee(const candidate& item) const
{
    return item.isGuaranteed && item.step->need.accelerator.count() > 0;
}

/// A gang is admitted as a whole, so it may exceed the limits by its size.
bool placement_round::mayTakeRun(const candidate& item, const round_worker& worker) const
{
    const auto& limits = m_options.limits;
    return isBoundedByGuarantee(item)
        || (worker.runs.admits(item.job->workspace, limits.perWorker)
            && worker.unconfirmedRuns.admits(item.job->workspace, limits.unconfirmedPerWorker));
}

/// The first start of an occurrence gives it memory of its own.
bool placement_round::mayBegin(const submission& job, std::uint32_t occurrence) const
{
    const auto& table = m_input.table;
    return !job.occurrences.isShared(occurrence) || m_begun.contains({ job.sequence, occurrence })
        || table.footprint() + table.footprint(job.workspace) + 2 * m_begunBytes < m_options.limits.jobBytes;
}

bool placement_round::isLimited(const candidate& item) const
{
    const auto need = reservedDemand(*item.step);
    const auto& eligible = eligibleWorkers(item).all;
    return std::any_of(eligible.begin(), eligible.end(),
        [&](worker_number number) { return need.fitsIn(at(number).free) && !mayTakeRun(item, at(number)); });
}

bool placement_round::waitForLimit(const candidate& item)
{
    ++m_decisions.limitedUnits;
    m_limitedStep = item.step;
    m_limitedOccurrence = item.key.occurrence;
    return false;
}

} // namespace poplardeal::detail
