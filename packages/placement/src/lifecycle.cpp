#include "scheduler_core.h"

#include "scheduler_limits.h"
#include <algorithm>

namespace poplardeal::detail {

void scheduler_core::addTimer(duration delay, timer_kind kind, std::uint64_t subject)
{
    m_timers.emplace(m_now + delay, kind, subject);
}

void scheduler_core::addPhaseTimer(job_record& job, duration delay, timer_kind kind)
{
    job.phaseDeadline = m_now + delay;
    addTimer(delay, kind, job.number);
}

job_record* scheduler_core::findJob(job_number number)
{
    const auto found = m_jobs.find(number);
    return found == m_jobs.end() ? nullptr : &found->second;
}

lease_record* scheduler_core::findLease(const task_id& task, lease_id lease)
{
    const auto found = m_leases.find(lease.value());
    return found == m_leases.end() || found->second.task != task ? nullptr : &found->second;
}

void scheduler_core::releaseGang(job_record& job, const std::string& reason, bool backOff)
{
    for (const auto number : job.leases) {
        const auto found = m_leases.find(number);
        if (found == m_leases.end())
            continue;
        found->second.state = lease_state::releasing;
        found->second.secured = false;
        m_out.push_back(commandFor(found->second, job));
    }
    job.leases.clear();
    job.reason = reason;
    if (backOff)
        ++job.refusals;
    requeue(job, backOff);
}

void scheduler_core::stopGang(job_record& job, stop_cause cause, const std::string& reason, bool withCheckpoint)
{
    job.phase = job_phase::stopping;
    job.cause = cause;
    job.reason = reason;
    bool awaitsCheckpoint = false;
    for (const auto number : job.leases) {
        if (number == 0)
            continue;
        auto& lease = m_leases.at(number);
        lease.secured = false;
        if (!withCheckpoint || lease.state != lease_state::running)
            continue;
        lease.state = lease_state::checkpointing;
        awaitsCheckpoint = true;
        m_out.push_back(commandFor(lease, job));
    }
    if (awaitsCheckpoint)
        addPhaseTimer(job, checkpointTimeout, timer_kind::stop_due);
    else
        issueStops(job);
}

void scheduler_core::issueStops(job_record& job)
{
    bool awaitsStop = false;
    for (const auto number : job.leases) {
        if (number == 0)
            continue;
        auto& lease = m_leases.at(number);
        if (lease.state == lease_state::stopping)
            continue;
        lease.state = lease_state::stopping;
        awaitsStop = true;
        m_out.push_back(commandFor(lease, job));
    }
    if (awaitsStop)
        addPhaseTimer(job, stopTimeout, timer_kind::stop_late);
}

void scheduler_core::endLease(lease_number number)
{
    const auto found = m_leases.find(number);
    if (found == m_leases.end())
        return;
    const auto& lease = found->second;
    m_cluster.free(lease.spot.worker, number, lease.spot.accelerators, lease.amount);
    m_workspaces[lease.workspace].held -= lease.amount;
    // A lease that is being released may outlive the record of its job.
    auto* job = findJob(lease.task.job.value());
    if (job != nullptr && lease.task.index < job->leases.size() && job->leases[lease.task.index] == number)
        job->leases[lease.task.index] = 0;
    m_leases.erase(found);
    m_capacityGrew = true;
}

void scheduler_core::finishAttemptIfDone(job_record& job)
{
    if (job.phase != job_phase::running && job.phase != job_phase::stopping)
        return;
    if (std::ranges::any_of(job.leases, [](lease_number number) { return number != 0; }))
        return;
    job.leases.clear();
    if (job.finishedTasks == job.spec.tasks) {
        learnRunTime(job);
        return endJob(job, job_phase::succeeded, "");
    }
    switch (job.cause) {
    case stop_cause::cancelled:
        return endJob(job, job_phase::cancelled, job.reason);
    case stop_cause::overused:
        return endJob(job, job_phase::failed, job.reason);
    default:
        break;
    }
    if (job.failures > job.spec.maxRestarts) {
        const auto workers = std::to_string(job.failedWorkers.size());
        return endJob(job, job_phase::failed,
            "failed " + std::to_string(job.failures) + " times on " + workers + " workers; last: " + job.reason);
    }
    requeue(job, job.cause == stop_cause::task_failed);
}

void scheduler_core::requeue(job_record& job, bool backOff)
{
    job.phase = job_phase::waiting;
    job.notBefore = m_now;
    if (backOff) {
        const auto doublings = std::clamp<std::int64_t>(job.refusals + job.failures - 1, 0, maxBackoffDoublings);
        job.notBefore = m_now + firstBackoff * (std::int64_t { 1 } << doublings);
        // Not in the queue until then, so that jobs of the same template behind it are served.
        addTimer(job.notBefore - m_now, timer_kind::backoff_over, job.number);
        return;
    }
    enqueue(job);
}

void scheduler_core::endJob(job_record& job, job_phase phase, const std::string& reason)
{
    job.phase = phase;
    job.reason = reason;
    job.endedAt = m_now;
    job.leases.clear();
    endDrain(job);
    m_ended.push_back(job.number);
    while (m_ended.size() > maxEndedJobs) {
        const auto oldest = m_ended.front();
        m_ended.pop_front();
        m_lastEvicted = std::max(m_lastEvicted, oldest);
        m_jobs.erase(oldest);
    }
}

void scheduler_core::cancel(job_record& job)
{
    const std::string reason = "cancelled by order";
    switch (job.phase) {
    case job_phase::waiting:
        if (job.claiming)
            dropClaim(job);
        dequeue(job);
        return endJob(job, job_phase::cancelled, reason);
    case job_phase::preparing:
        releaseGang(job, reason, false);
        dequeue(job);
        return endJob(job, job_phase::cancelled, reason);
    case job_phase::running:
        return stopGang(job, stop_cause::cancelled, reason, false);
    case job_phase::stopping:
        job.cause = stop_cause::cancelled;
        job.reason = reason;
        return;
    default:
        return;
    }
}

void scheduler_core::fireTimers()
{
    while (!m_timers.empty() && std::get<0>(*m_timers.begin()) <= m_now) {
        const auto [due, kind, subject] = *m_timers.begin();
        m_timers.erase(m_timers.begin());
        fire(due, kind, subject);
    }
}

void scheduler_core::fire(instant due, timer_kind kind, std::uint64_t subject)
{
    if (kind == timer_kind::wake) {
        m_capacityGrew = true;
        m_reservationsDue = true;
        return;
    }
    if (kind == timer_kind::refill)
        return addStartTokens();
    if (kind == timer_kind::review) {
        m_placementDue = true;
        return;
    }
    auto* job = findJob(subject);
    if (job == nullptr)
        return;
    const auto isWaiting = job->phase == job_phase::waiting && !job->claiming;
    if (kind == timer_kind::backoff_over && isWaiting && job->notBefore <= m_now)
        return enqueue(*job);
    // A timer of an earlier phase is void even if the present phase is due as well.
    if (job->phaseDeadline != due)
        return;
    if (kind == timer_kind::claim_late && job->claiming)
        onClaimLate(*job);
    if (kind == timer_kind::prepare_late && job->phase == job_phase::preparing)
        onPrepareLate(*job);
    else if (kind == timer_kind::start_late && job->phase == job_phase::running)
        onStartLate(*job);
    else if (kind == timer_kind::stop_due && job->phase == job_phase::stopping)
        issueStops(*job);
    else if (kind == timer_kind::stop_late && job->phase == job_phase::stopping)
        onStopLate(*job);
}

void scheduler_core::avoidWorker(std::uint32_t worker, duration length)
{
    auto& record = m_cluster.worker(worker);
    record.avoidUntil = std::max(record.avoidUntil, m_now + length);
    m_reservationsDue = true;
    addTimer(length, timer_kind::wake, 0);
}

void scheduler_core::onPrepareLate(job_record& job)
{
    std::string silent;
    for (const auto number : job.leases) {
        const auto& lease = m_leases.at(number);
        if (lease.state != lease_state::preparing)
            continue;
        avoidWorker(lease.spot.worker, avoidanceAfterSilence);
        silent = m_cluster.worker(lease.spot.worker).spec.id.value();
    }
    releaseGang(job, "worker " + silent + " did not prepare a task in time", true);
}

void scheduler_core::onStartLate(job_record& job)
{
    for (const auto number : job.leases) {
        if (number == 0 || m_leases.at(number).state != lease_state::starting)
            continue;
        const auto worker = m_leases.at(number).spot.worker;
        avoidWorker(worker, avoidanceAfterSilence);
        const auto reason = "worker " + m_cluster.worker(worker).spec.id.value() + " did not start a task in time";
        return stopGang(job, stop_cause::start_late, reason, true);
    }
}

/// What is claimed did not become free in time: its workers are avoided, and the job looks elsewhere.
void scheduler_core::onClaimLate(job_record& job)
{
    for (const auto number : job.leases) {
        const auto& spot = m_leases.at(number).spot;
        if ((m_cluster.worker(spot.worker).used & spot.accelerators) != 0)
            avoidWorker(spot.worker, avoidanceAfterSilence);
    }
    dropClaim(job);
}

void scheduler_core::onStopLate(job_record& job)
{
    for (const auto number : job.leases) {
        if (number == 0)
            continue;
        const auto& lease = m_leases.at(number);
        avoidWorker(lease.spot.worker, avoidanceAfterSilence);
        m_out.push_back(commandFor(lease, job));
    }
    addPhaseTimer(job, stopResendInterval, timer_kind::stop_late);
}

} // namespace poplardeal::detail
