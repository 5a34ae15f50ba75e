#include "scheduler_core.h"

#include "scheduler_limits.h"
#include <algorithm>

namespace poplardeal::detail {

void scheduler_core::enqueue(job_record& job)
{
    m_waiting[{ job.workspace, job.spec.name }].emplace(job.acceptedAt, job.number);
    m_placementDue = true;
}

void scheduler_core::dequeue(job_record& job)
{
    const auto group = m_waiting.find({ job.workspace, job.spec.name });
    if (group == m_waiting.end())
        return;
    group->second.erase({ job.acceptedAt, job.number });
    if (group->second.empty())
        m_waiting.erase(group);
}

bool scheduler_core::fitsQuota(const job_record& job) const
{
    const auto& entry = m_workspaces.at(job.workspace);
    auto wanted = entry.held;
    for (std::int64_t i = 0; i < job.spec.tasks; ++i)
        wanted += job.spec.perTask;
    return wanted.fitsIn(entry.definition.quota);
}

bool scheduler_core::tryPlace(job_record& job)
{
    if (job.notBefore > m_now || !fitsQuota(job))
        return false;
    const auto offer = [this](std::uint32_t worker) -> std::optional<worker_offer> {
        if (!m_cluster.isUsable(worker, m_now))
            return std::nullopt;
        const auto& record = m_cluster.worker(worker);
        const auto all = fullMask(record.spec.capacity.accelerator.count());
        return worker_offer { all & ~record.used, record.free, 0 };
    };
    const auto spots = findGang(m_cluster, { job.spec.tasks, job.spec.perTask, job.spec.within }, offer, m_scratch);
    if (spots.empty())
        return false;
    startGang(job, spots);
    return true;
}

void scheduler_core::placeWaiting()
{
    if (!m_placementDue)
        return;
    m_placementDue = false;
    std::set<std::tuple<job_priority, instant, job_number>> heads;
    for (const auto& [key, queue] : m_waiting) {
        const auto& job = m_jobs.at(queue.begin()->second);
        heads.emplace(job.spec.priority, job.acceptedAt, job.number);
    }
    while (!heads.empty()) {
        auto& job = m_jobs.at(std::get<2>(*heads.begin()));
        heads.erase(heads.begin());
        if (!tryPlace(job))
            continue;
        const auto group = m_waiting.find({ job.workspace, job.spec.name });
        if (group == m_waiting.end())
            continue;
        const auto& next = m_jobs.at(group->second.begin()->second);
        heads.emplace(next.spec.priority, next.acceptedAt, next.number);
    }
}

std::string scheduler_core::waitReason(const job_record& job) const
{
    if (!job.reason.empty())
        return job.reason;
    return "waits for free resources";
}

} // namespace poplardeal::detail
