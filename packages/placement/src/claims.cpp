#include "scheduler_core.h"

#include "scheduler_limits.h"
#include <algorithm>

namespace poplardeal::detail {

void scheduler_core::claimGang(job_record& job, const std::vector<task_spot>& spots, bool secured)
{
    dequeue(job);
    endDrain(job);
    job.claiming = true;
    job.cause = stop_cause::none;
    ++job.attempt;
    job.finishedTasks = 0;
    job.backfilledBefore = 0;
    job.leases.clear();
    auto& owner = m_workspaces[job.workspace];
    for (std::uint32_t index = 0; index < spots.size(); ++index) {
        const auto number = m_nextLease++;
        auto& lease = m_leases[number];
        lease.number = number;
        lease.task = { job_id(job.number), index, job.attempt };
        lease.workspace = job.workspace;
        lease.amount = job.spec.perTask;
        lease.spot = spots[index];
        lease.state = lease_state::claimed;
        lease.secured = secured;
        m_cluster.claim(lease.spot.worker, number, lease.spot.accelerators, lease.amount);
        owner.held += lease.amount;
        job.leases.push_back(number);
        if (const auto drained = m_drainedWorkers.find(lease.spot.worker); drained != m_drainedWorkers.end())
            job.backfilledBefore = drained->second;
    }
    m_claiming.emplace(job.spec.priority, job.acceptedAt, job.number);
    addPhaseTimer(job, claimTimeout, timer_kind::claim_late);
}

bool scheduler_core::activateClaim(job_record& job)
{
    std::map<std::uint32_t, resources> wanted;
    for (const auto number : job.leases) {
        const auto& lease = m_leases.at(number);
        const auto& worker = m_cluster.worker(lease.spot.worker);
        auto& sum = wanted[lease.spot.worker];
        sum += lease.amount;
        if ((worker.used & lease.spot.accelerators) != 0 || !sum.fitsIn(worker.free))
            return false;
    }
    m_claiming.erase({ job.spec.priority, job.acceptedAt, job.number });
    job.claiming = false;
    job.phase = job_phase::preparing;
    job.reason.clear();
    for (const auto number : job.leases) {
        auto& lease = m_leases.at(number);
        lease.state = lease_state::preparing;
        m_cluster.unclaim(lease.spot.worker, number, lease.spot.accelerators, lease.amount);
        m_cluster.hold(lease.spot.worker, number, lease.spot.accelerators, lease.amount);
        m_out.push_back(commandFor(lease, job));
    }
    addPhaseTimer(job, prepareTimeout, timer_kind::prepare_late);
    return true;
}

/// Nothing was sent to a worker for the claim, so its attempt does not count.
void scheduler_core::dropClaim(job_record& job)
{
    m_claiming.erase({ job.spec.priority, job.acceptedAt, job.number });
    job.claiming = false;
    --job.attempt;
    for (const auto number : job.leases) {
        const auto& lease = m_leases.at(number);
        m_cluster.unclaim(lease.spot.worker, number, lease.spot.accelerators, lease.amount);
        m_workspaces[lease.workspace].held -= lease.amount;
        m_leases.erase(number);
    }
    job.leases.clear();
    m_capacityGrew = true;
    enqueue(job);
}

void scheduler_core::reviewClaims()
{
    const auto claiming = std::vector(m_claiming.begin(), m_claiming.end());
    for (const auto& [priority, acceptedAt, number] : claiming) {
        auto& job = m_jobs.at(number);
        const auto isUnusable
            = [this](lease_number lease) { return !m_cluster.isUsable(m_leases.at(lease).spot.worker, m_now); };
        if (std::ranges::any_of(job.leases, isUnusable))
            dropClaim(job);
        else
            activateClaim(job);
    }
}

/// Called before the successor claims the places: dropping a claim gives up every accelerator that it covers.
void scheduler_core::vacate(const std::vector<job_number>& victims, const std::string& reason)
{
    for (const auto number : victims) {
        auto& victim = m_jobs.at(number);
        if (victim.claiming)
            dropClaim(victim);
        else if (victim.phase == job_phase::preparing)
            releaseGang(victim, reason, false);
        else if (victim.phase == job_phase::running)
            stopGang(victim, stop_cause::preempted, reason, true);
    }
}

} // namespace poplardeal::detail
