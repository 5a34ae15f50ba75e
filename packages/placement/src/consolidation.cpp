#include "scheduler_core.h"

#include "scheduler_limits.h"
#include <algorithm>
#include <bit>

namespace poplardeal::detail {

/// Single tasks smaller than the wanted block may move, unless they are urgent, secured, or were moved a moment ago.
bool scheduler_core::isMovable(const lease_record& lease, std::int64_t size) const
{
    const auto width = lease.amount.accelerator.count();
    if (lease.state != lease_state::running || lease.secured || width == 0 || width >= size)
        return false;
    const auto& job = m_jobs.at(lease.task.job.value());
    return job.spec.tasks == 1 && job.spec.priority != job_priority::urgent
        && m_now - job.attemptStartedAt >= minRunBeforeMove;
}

/// Workers of which the movable tasks may leave, for a job or, without one, in general.
std::vector<vacatable_worker> scheduler_core::movableWorkers(std::int64_t size, const job_record* successor) const
{
    const auto costOf = [&](const lease_record& lease) -> std::optional<std::int64_t> {
        if (!isMovable(lease, size))
            return std::nullopt;
        return lostWork(lease);
    };
    std::vector<vacatable_worker> workers;
    for (std::uint32_t i = 0; i < m_cluster.workers().size(); ++i) {
        const auto& record = m_cluster.worker(i);
        if (record.spec.capacity.accelerator.count() < size || !isOffered(i) || record.onProbation)
            continue;
        if (successor == nullptr ? m_drainedWorkers.contains(i) : avoidsWorker(*successor, i))
            continue;
        const auto all = fullMask(record.spec.capacity.accelerator.count());
        workers.push_back(vacatable(m_cluster, m_leases, i, { all, record.spec.capacity }, costOf));
    }
    return workers;
}

/// The free accelerators without whole free blocks of the size.
static accelerator_mask fragmentsOf(accelerator_mask free, std::int64_t size)
{
    auto fragments = free;
    for (std::int64_t start = 0; start + size <= maxAccelerators; start += size) {
        const auto block = blockMask(start, size);
        if ((free & block) == block)
            fragments &= ~block;
    }
    return fragments;
}

/// True if the leases could all move to free places outside the given spots without splitting whole blocks of the size.
bool scheduler_core::canRehost(
    const std::vector<lease_number>& leases, const std::vector<task_spot>& without, std::int64_t size) const
{
    std::map<std::uint32_t, accelerator_mask> excluded;
    for (const auto& spot : without)
        excluded[spot.worker] |= spot.accelerators;
    std::map<std::int64_t, std::int64_t, std::greater<>> wanted;
    for (const auto number : leases)
        ++wanted[m_leases.at(number).amount.accelerator.count()];
    for (std::uint32_t i = 0; i < m_cluster.workers().size() && !wanted.empty(); ++i) {
        if (!isOffered(i) || m_cluster.worker(i).onProbation)
            continue;
        auto free = fragmentsOf(m_cluster.freeOffer(i).accelerators, blockSize(size));
        if (const auto found = excluded.find(i); found != excluded.end())
            free &= ~found->second;
        for (auto& [width, count] : wanted) {
            for (auto start = findBlock(free, width); count > 0 && start >= 0; start = findBlock(free, width)) {
                free &= ~blockMask(start, width);
                --count;
            }
        }
        std::erase_if(wanted, [](const auto& entry) { return entry.second == 0; });
    }
    return wanted.empty();
}

/// Moving tasks does not make accelerators free, so a block opens only if as many are free already.
bool scheduler_core::hasFreeAccelerators(std::int64_t count) const
{
    for (std::uint32_t i = 0; i < m_cluster.workers().size() && count > 0; ++i) {
        if (m_cluster.worker(i).spec.capacity.accelerator.count() > 0 && isOffered(i))
            count -= std::popcount(m_cluster.freeOffer(i).accelerators);
    }
    return count <= 0;
}

/// The search for a move looks at all workers, so larger clusters search less often.
duration scheduler_core::moveInterval(duration shortest) const
{
    return shortest * std::max<std::int64_t>(std::ssize(m_cluster.workers()) / workersPerMoveInterval, 1);
}

/// Moves single small borrowers into free fragments elsewhere if that opens a block for the job.
bool scheduler_core::claimByConsolidation(job_record& job)
{
    const auto size = job.spec.perTask.accelerator.count();
    if (size < 2 || !m_consolidationDue || m_now - job.acceptedAt < minWaitForConsolidation)
        return false;
    if (!hasFreeAccelerators(size * job.spec.tasks))
        return false;
    ++m_searches;
    m_consolidationDue = false;
    const auto found = placeVacating(m_cluster, demandOf(job.spec), movableWorkers(size, &job));
    // The moved tasks may split whole blocks elsewhere: the job needs its blocks together, within its scope.
    if (found.spots.empty() || !canRehost(found.leaving, found.spots, maxAccelerators * 2))
        return false;
    vacate(jobsOf(found.leaving), "moved to open a block for job " + std::to_string(job.number));
    claimGang(job, found.spots, false);
    return true;
}

/// The largest block that is guaranteed or waited for.
std::int64_t scheduler_core::largestBlock() const
{
    std::int64_t largest = 0;
    for (const auto& entry : m_reservations)
        largest = std::max(largest, entry.shape.blockAccelerators);
    for (const auto& [key, group] : m_waiting)
        largest = std::max(largest, m_jobs.at(group.jobs.begin()->second).spec.perTask.accelerator.count());
    return blockSize(largest);
}

/// Empties the block with the least work to lose, if its tasks fit into fragments elsewhere, so that free accelerators
/// stay usable for the largest shape.
void scheduler_core::compact()
{
    if (m_now < m_nextCompaction)
        return;
    m_nextCompaction = m_now + moveInterval(compactionInterval);
    const auto size = largestBlock();
    if (size < 2 || size > maxAccelerators || !hasFreeAccelerators(size))
        return;
    const gang_demand block { 1, { cores(0), mebibytes(0), accelerators(size) }, scope::worker };
    std::vector<vacatable_place> places;
    const auto workers = movableWorkers(size, nullptr);
    for (const auto& worker : workers)
        addPlaces(worker, block, places);
    std::erase_if(places, [](const vacatable_place& place) { return place.cost == 0; });
    std::ranges::stable_sort(places, {}, &vacatable_place::cost);
    for (const auto& place : places) {
        const auto worker = std::ranges::find(workers, place.spot.worker, &vacatable_worker::worker);
        const auto leaving = leasesToVacate(*worker, place.spot.accelerators, {});
        if (!canRehost(leaving, { place.spot }, size))
            continue;
        vacate(jobsOf(leaving), "moved to open a block of adjacent accelerators");
        return;
    }
}

} // namespace poplardeal::detail
