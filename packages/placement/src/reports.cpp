#include "scheduler_core.h"

#include "scheduler_limits.h"
#include <algorithm>

namespace poplardeal::detail {

void scheduler_core::onPrepared(lease_record& lease)
{
    if (lease.state != lease_state::preparing)
        return;
    lease.state = lease_state::prepared;
    auto& job = m_jobs.at(lease.task.job.value());
    const auto isPrepared = [this](lease_number number) { return m_leases.at(number).state == lease_state::prepared; };
    if (!std::ranges::all_of(job.leases, isPrepared))
        return;
    job.phase = job_phase::running;
    job.reason.clear();
    job.refusals = 0;
    job.attemptStartedAt = m_now;
    if (!job.startedAt)
        job.startedAt = m_now;
    for (const auto number : job.leases) {
        auto& member = m_leases.at(number);
        member.state = lease_state::starting;
        member.progressFrom = m_now;
        m_out.push_back(commandFor(member, job));
    }
    addPhaseTimer(job, startTimeout, timer_kind::start_late);
}

void scheduler_core::onPrepareRefused(lease_record& lease, const std::string& detail)
{
    if (lease.state != lease_state::preparing && lease.state != lease_state::prepared)
        return onEnded(lease, task_report_kind::released, detail);
    avoidWorker(lease.spot.worker, avoidanceAfterRefusal);
    auto& job = m_jobs.at(lease.task.job.value());
    auto reason = "worker " + m_cluster.worker(lease.spot.worker).spec.id.value() + " refused a task";
    if (!detail.empty())
        reason += ": " + detail;
    endLease(lease.number);
    releaseGang(job, reason, true);
}

void scheduler_core::onStarted(lease_record& lease)
{
    lease.started = true;
    auto* job = findJob(lease.task.job.value());
    if (job == nullptr)
        return;
    job->everStarted = true;
    if (lease.state == lease_state::starting)
        lease.state = lease_state::running;
}

void scheduler_core::onCheckpointed(lease_record& lease)
{
    lease.progressFrom = m_now;
    if (lease.state != lease_state::checkpointing)
        return;
    lease.state = lease_state::checkpointed;
    auto& job = m_jobs.at(lease.task.job.value());
    const auto awaits = [this](lease_number number) {
        return number != 0 && m_leases.at(number).state == lease_state::checkpointing;
    };
    if (std::ranges::none_of(job.leases, awaits))
        issueStops(job);
}

/// After each of these reports the worker holds nothing for the task, whatever was asked of it, so the lease ends.
/// `released` of a task whose start was issued means that it never ran.
void scheduler_core::onEnded(lease_record& lease, task_report_kind kind, const std::string& detail)
{
    const auto startIssued = lease.state != lease_state::preparing && lease.state != lease_state::prepared
        && lease.state != lease_state::releasing;
    auto* job = findJob(lease.task.job.value());
    const auto state = lease.state;
    const auto worker = lease.spot.worker;
    const auto started = lease.started;
    endLease(lease.number);
    if (job == nullptr)
        return;
    job->everStarted |= kind == task_report_kind::finished;
    if (state == lease_state::releasing)
        return;
    countOutcome(worker, job->number, kind);
    const auto& workerName = m_cluster.worker(worker).spec.id.value();
    if (!startIssued)
        return releaseGang(*job, "worker " + workerName + " gave up a prepared task", true);
    if (kind == task_report_kind::finished)
        ++job->finishedTasks;
    else if (kind != task_report_kind::released)
        job->uncertain |= !started;
    if (kind == task_report_kind::failed) {
        ++job->failures;
        job->failedWorkers.insert(worker);
        job->avoidFailedUntil = m_now + avoidanceAfterFailure;
        addTimer(avoidanceAfterFailure, timer_kind::review, 0);
        auto reason = "a task failed on worker " + workerName;
        if (!detail.empty())
            reason += ": " + detail;
        if (job->phase == job_phase::running)
            stopGang(*job, stop_cause::task_failed, reason, false);
    } else if (kind != task_report_kind::finished && job->phase == job_phase::running) {
        avoidWorker(worker, avoidanceAfterRefusal);
        stopGang(*job, stop_cause::start_refused, "worker " + workerName + " gave up a task", false);
    }
    finishAttemptIfDone(*job);
}

/// A success ends the probation of a worker. Failures of different jobs in a row start it; a failure during it
/// pauses the worker before the next probe.
void scheduler_core::countOutcome(std::uint32_t worker, job_number job, task_report_kind kind)
{
    auto& record = m_cluster.worker(worker);
    if (kind == task_report_kind::finished) {
        record.failedJobs.clear();
        if (record.onProbation)
            m_reservationsDue = true;
        record.onProbation = false;
        return;
    }
    if (kind != task_report_kind::failed)
        return;
    if (record.onProbation)
        return avoidWorker(worker, pauseAfterFailedProbe);
    if (std::ranges::find(record.failedJobs, job) == record.failedJobs.end())
        record.failedJobs.push_back(job);
    if (record.failedJobs.size() < failedJobsBeforeProbation)
        return;
    record.onProbation = true;
    m_reservationsDue = true;
}

} // namespace poplardeal::detail
