#include "scheduler_core.h"

#include "scheduler_limits.h"
#include "vacate_search.h"
#include <algorithm>

namespace poplardeal::detail {

static std::string madeRoomFor(const job_record& job) { return "made room for job " + std::to_string(job.number); }

/// Waiting for a task that is already on its way out costs less than stopping another one.
static constexpr std::int64_t costOfLeaving = 1;
/// Dominates every amount of lost work, so that a lower priority is always stopped first.
static constexpr std::int64_t costOfPriority = 1'000'000'000'000'000;

bool scheduler_core::isLeaving(const lease_record& lease) const
{
    switch (lease.state) {
    case lease_state::checkpointing:
    case lease_state::checkpointed:
    case lease_state::stopping:
    case lease_state::releasing:
        return true;
    default:
        return false;
    }
}

/// Work of the whole gang that its stop would lose, in accelerator (or task) microseconds.
std::int64_t scheduler_core::lostWork(const lease_record& lease) const
{
    if (isLeaving(lease))
        return costOfLeaving;
    const auto& job = m_jobs.at(lease.task.job.value());
    const auto weight
        = static_cast<std::int64_t>(job_priority::borrowed) - static_cast<std::int64_t>(job.spec.priority);
    const auto hasRun = lease.state == lease_state::running || lease.state == lease_state::starting;
    const auto lost = hasRun ? (m_now - lease.progressFrom).count() : 0;
    const auto width = job.spec.tasks * std::max<std::int64_t>(lease.amount.accelerator.count(), 1);
    return 2 * costOfLeaving + weight * costOfPriority + std::min(lost * width, costOfPriority - 1);
}

/// Work until the estimated end of the gang. A gang beyond its estimate is expected to run half as long again.
std::int64_t scheduler_core::remainingWork(const lease_record& lease) const
{
    if (isLeaving(lease))
        return costOfLeaving;
    const auto& job = m_jobs.at(lease.task.job.value());
    const auto elapsed = m_now - job.attemptStartedAt;
    const auto estimated = estimate(job);
    const auto left = elapsed < estimated ? estimated - elapsed : elapsed / 2;
    return 2 * costOfLeaving + left.count() * std::max<std::int64_t>(lease.amount.accelerator.count(), 1);
}

std::vector<job_number> scheduler_core::jobsOf(const std::vector<lease_number>& leases) const
{
    std::set<job_number> jobs;
    for (const auto number : leases) {
        const auto& lease = m_leases.at(number);
        if (!isLeaving(lease))
            jobs.insert(lease.task.job.value());
    }
    return { jobs.begin(), jobs.end() };
}

bool scheduler_core::claimGuarantee(job_record& job)
{
    std::vector<vacatable_worker> workers;
    const auto costOf = [this](const lease_record& lease) -> std::optional<std::int64_t> {
        if (lease.secured)
            return std::nullopt;
        return lostWork(lease);
    };
    for (const auto& [worker, cells] : ownCells(job.workspace)) {
        if (!isOffered(worker) || avoidsWorker(job, worker))
            continue;
        auto allowed = worker_offer { cells, shareOf(worker, cells) };
        const auto& record = m_cluster.worker(worker);
        const auto charge = [&](lease_number number) {
            const auto& lease = m_leases.at(number);
            if (lease.secured && lease.workspace == job.workspace)
                allowed.free -= lease.amount;
        };
        std::ranges::for_each(record.leases, charge);
        std::ranges::for_each(record.claims, charge);
        workers.push_back(vacatable(m_cluster, m_leases, worker, allowed, costOf));
    }
    const auto found = placeVacating(m_cluster, demandOf(job.spec), workers);
    if (found.spots.empty())
        return false;
    vacate(jobsOf(found.leaving), madeRoomFor(job));
    claimGang(job, found.spots, true);
    return true;
}

/// Urgent jobs beyond their guarantee stop jobs of lower priority that run outside theirs.
bool scheduler_core::claimByPreemption(job_record& job)
{
    const auto costOf = [&](const lease_record& lease) -> std::optional<std::int64_t> {
        if (lease.secured)
            return std::nullopt;
        if (isLeaving(lease))
            return costOfLeaving;
        const auto& holder = m_jobs.at(lease.task.job.value());
        if (holder.spec.priority <= job.spec.priority && holder.backfilledBefore != job.number)
            return std::nullopt;
        return lostWork(lease);
    };
    std::vector<vacatable_worker> workers;
    for (std::uint32_t i = 0; i < m_cluster.workers().size(); ++i) {
        const auto& capacity = m_cluster.worker(i).spec.capacity;
        if (isOffered(i) && !m_cluster.worker(i).onProbation && !avoidsWorker(job, i))
            workers.push_back(
                vacatable(m_cluster, m_leases, i, { fullMask(capacity.accelerator.count()), capacity }, costOf));
    }
    const auto found = placeVacating(m_cluster, demandOf(job.spec), workers);
    if (found.spots.empty())
        return false;
    vacate(jobsOf(found.leaving), madeRoomFor(job));
    claimGang(job, found.spots, false);
    return true;
}

/// Chooses the place that is expected to become free first for an aged job. Tasks there run to their end; what is
/// placed there meanwhile is backfill and may be preempted by the job, so wrong run times delay it no further. Cells of
/// guarantees are used only if there is no other place: there the job could be stopped at any time.
void scheduler_core::drainFor(job_record& job)
{
    auto spots = findDrainable(job, false);
    if (spots.empty() && !m_reservations.empty())
        spots = findDrainable(job, true);
    if (spots.empty())
        return;
    job.shadow = std::move(spots);
    m_draining.insert(job.number);
    for (const auto& spot : job.shadow)
        m_drainedWorkers.emplace(spot.worker, job.number);
}

std::vector<task_spot> scheduler_core::findDrainable(const job_record& job, bool onReserved) const
{
    const auto costOf = [&](const lease_record& lease) -> std::optional<std::int64_t> {
        if (lease.state == lease_state::claimed)
            return std::nullopt;
        return remainingWork(lease);
    };
    std::vector<vacatable_worker> workers;
    for (std::uint32_t i = 0; i < m_cluster.workers().size(); ++i) {
        const auto& record = m_cluster.worker(i);
        const auto isExcluded = record.onProbation || m_drainedWorkers.contains(i) || avoidsWorker(job, i);
        if (!m_cluster.isUsable(i, m_now) || isExcluded)
            continue;
        auto all = fullMask(record.spec.capacity.accelerator.count());
        if (!onReserved)
            all &= ~record.reserved;
        workers.push_back(vacatable(m_cluster, m_leases, i, { all, record.spec.capacity }, costOf));
    }
    return placeVacating(m_cluster, demandOf(job.spec), workers).spots;
}

void scheduler_core::endDrain(job_record& job)
{
    if (m_draining.erase(job.number) == 0)
        return;
    job.shadow.clear();
    std::erase_if(m_drainedWorkers, [&](const auto& entry) { return entry.second == job.number; });
}

/// Takes the drained place once only backfill is left on it.
bool scheduler_core::claimDrained(job_record& job)
{
    const auto costOf = [&](const lease_record& lease) -> std::optional<std::int64_t> {
        if (isLeaving(lease))
            return costOfLeaving;
        const auto isBackfill = m_jobs.at(lease.task.job.value()).backfilledBefore == job.number;
        if (lease.secured || !isBackfill)
            return std::nullopt;
        return lostWork(lease);
    };
    std::map<std::uint32_t, worker_offer> wanted;
    for (const auto& spot : job.shadow) {
        auto& sum = wanted[spot.worker];
        sum.accelerators |= spot.accelerators;
        sum.free += job.spec.perTask;
    }
    std::vector<lease_number> leaving;
    for (const auto& [worker, sum] : wanted) {
        if (!m_cluster.isUsable(worker, m_now) || m_cluster.worker(worker).onProbation) {
            endDrain(job);
            return false;
        }
        const auto& capacity = m_cluster.worker(worker).spec.capacity;
        const auto found = vacatable(m_cluster, m_leases, worker, { sum.accelerators, capacity }, costOf);
        if (found.usable != sum.accelerators || !sum.free.fitsIn(found.budget))
            return false;
        const auto part = leasesToVacate(found, sum.accelerators, sum.free);
        leaving.insert(leaving.end(), part.begin(), part.end());
    }
    const auto spots = job.shadow;
    vacate(jobsOf(leaving), madeRoomFor(job));
    claimGang(job, spots, false);
    return true;
}

} // namespace poplardeal::detail
