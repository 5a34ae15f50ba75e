#include "scheduler_core.h"

#include <algorithm>

namespace poplardeal::detail {

/// Fills the workers in order of their index until the gang is placed.
std::vector<task_spot> scheduler_core::fillInOrder(
    const job_record& job, const std::vector<std::uint32_t>& workers) const
{
    std::vector<task_spot> spots;
    for (const auto worker : workers) {
        if (!m_cluster.isUsable(worker, m_now))
            continue;
        auto offer = m_cluster.freeOffer(worker);
        auto count = countTasks(offer, job.spec.perTask);
        for (; count > 0 && std::ssize(spots) < job.spec.tasks; --count) {
            accelerator_mask mask = 0;
            const auto size = job.spec.perTask.accelerator.count();
            for (std::int64_t start = 0; size > 0 && mask == 0; start += blockSize(size)) {
                const auto candidate = blockMask(start, size);
                if ((offer.accelerators & candidate) == candidate)
                    mask = candidate;
            }
            offer.accelerators &= ~mask;
            spots.push_back({ worker, mask });
        }
        if (std::ssize(spots) == job.spec.tasks)
            return spots;
    }
    return {};
}

std::vector<task_spot> scheduler_core::firstFit(const job_record& job) const
{
    std::map<std::uint32_t, std::vector<std::uint32_t>> groups;
    for (std::uint32_t i = 0; i < m_cluster.workers().size(); ++i)
        groups[groupOf(m_cluster, i, job.spec.within)].push_back(i);
    for (const auto& [key, workers] : groups) {
        auto spots = fillInOrder(job, workers);
        if (!spots.empty())
            return spots;
    }
    return {};
}

/// Jobs in order of submission. The first one that finds no place keeps the others waiting, unless only the quota of
/// its workspace is in its way.
void scheduler_core::placeInOrder()
{
    reviewClaims();
    std::set<std::pair<instant, job_number>> heads;
    for (const auto& [key, queue] : m_waiting)
        heads.insert(*queue.begin());
    while (!heads.empty()) {
        auto& job = m_jobs.at(heads.begin()->second);
        const auto key = job_group_key { job.workspace, job.spec.name };
        heads.erase(heads.begin());
        if (!fitsQuota(job))
            continue;
        const auto spots = firstFit(job);
        if (spots.empty())
            break;
        claimGang(job, spots, false);
        activateClaim(job);
        const auto group = m_waiting.find(key);
        if (group != m_waiting.end())
            heads.insert(*group->second.begin());
    }
    m_capacityGrew = false;
    m_placementDue = false;
    m_newHeads.clear();
}

} // namespace poplardeal::detail
