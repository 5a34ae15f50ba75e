#include "scheduler_core.h"

#include "scheduler_limits.h"

namespace poplardeal {

std::string_view toString(job_phase phase)
{
    switch (phase) {
    case job_phase::waiting:
        return "waiting";
    case job_phase::preparing:
        return "preparing";
    case job_phase::running:
        return "running";
    case job_phase::stopping:
        return "stopping";
    case job_phase::succeeded:
        return "succeeded";
    case job_phase::failed:
        return "failed";
    case job_phase::cancelled:
        return "cancelled";
    case job_phase::refused:
        return "refused";
    }
    return "unknown";
}

namespace detail {

    std::optional<instant> scheduler_core::nextDeadline() const
    {
        if (m_timers.empty())
            return std::nullopt;
        return std::get<0>(*m_timers.begin());
    }

    bool scheduler_core::mayStart(const task_id& task, lease_id number) const
    {
        const auto found = m_leases.find(number.value());
        if (found == m_leases.end() || found->second.task != task)
            return false;
        const auto& lease = found->second;
        const auto& worker = m_cluster.worker(lease.spot.worker);
        return lease.state == lease_state::starting && worker.present
            && m_cluster.dataCentres()[worker.dataCentre].inService;
    }

    placement_command scheduler_core::commandFor(const lease_record& lease, const job_record& job) const
    {
        const auto& worker = m_cluster.worker(lease.spot.worker).spec;
        const auto number = lease_id(lease.number);
        switch (lease.state) {
        case lease_state::claimed:
        case lease_state::preparing:
        case lease_state::prepared:
            return prepare_task { lease.task, number, worker.id, worker.instance, lease.amount,
                maskIndexes(lease.spot.accelerators), job.spec.runTime, job.spec.command };
        case lease_state::starting:
        case lease_state::running:
            return start_task { lease.task, number, worker.id };
        case lease_state::checkpointing:
            return checkpoint_task { lease.task, number, worker.id };
        case lease_state::releasing:
            return release_task { lease.task, number, worker.id };
        case lease_state::checkpointed:
        case lease_state::stopping:
            break;
        }
        return stop_task { lease.task, number, worker.id };
    }

    std::vector<placement_command> scheduler_core::outstandingCommands(const worker_id& worker) const
    {
        std::vector<placement_command> commands;
        const auto known = m_cluster.findWorker(worker);
        if (!known)
            return commands;
        static const job_record endedJob;
        for (const auto number : m_cluster.worker(*known).leases) {
            const auto& lease = m_leases.at(number);
            const auto isAnswered = lease.state == lease_state::prepared || lease.state == lease_state::running
                || lease.state == lease_state::checkpointed;
            if (isAnswered)
                continue;
            const auto job = m_jobs.find(lease.task.job.value());
            commands.push_back(commandFor(lease, job == m_jobs.end() ? endedJob : job->second));
        }
        return commands;
    }

    std::vector<task_placement> scheduler_core::tasksOn(const worker_id& worker) const
    {
        std::vector<task_placement> tasks;
        const auto known = m_cluster.findWorker(worker);
        if (!known)
            return tasks;
        for (const auto number : m_cluster.worker(*known).leases) {
            const auto& lease = m_leases.at(number);
            tasks.push_back(
                { lease.task, lease_id(number), worker, maskIndexes(lease.spot.accelerators), lease.started });
        }
        return tasks;
    }

    run_verdict scheduler_core::verdictOf(const job_record& job) const
    {
        if (job.everStarted)
            return run_verdict::ran;
        if (job.uncertain)
            return run_verdict::may_have_run;
        const auto startIssued = job.phase == job_phase::running || job.phase == job_phase::stopping;
        return startIssued ? run_verdict::may_have_run : run_verdict::not_run;
    }

    job_status scheduler_core::statusOf(const job_record& job, const wait_view& view) const
    {
        job_status status { job_id(job.number), job.workspace, job.spec.name, job.phase, verdictOf(job), job.reason,
            job.attempt, job.acceptedAt, job.startedAt, job.endedAt, {}, false };
        if (job.phase == job_phase::waiting)
            status.reason = waitReason(job, view);
        for (const auto number : job.leases) {
            if (number == 0 || job.claiming)
                continue;
            const auto& lease = m_leases.at(number);
            status.tasks.push_back({ lease.task, lease_id(number), m_cluster.worker(lease.spot.worker).spec.id,
                maskIndexes(lease.spot.accelerators), lease.started });
            status.guaranteed |= lease.secured;
        }
        return status;
    }

    std::vector<guarantee_status> scheduler_core::guarantees() const
    {
        std::vector<guarantee_status> all;
        for (const auto& entry : m_reservations) {
            guarantee_status status { entry.owner,
                { entry.shape.blocks, accelerators(entry.shape.blockAccelerators), entry.shape.within, 1 }, {} };
            for (const auto& cell : entry.cells)
                status.blocks.push_back({ m_cluster.worker(cell.worker).spec.id, maskIndexes(cell.accelerators) });
            all.push_back(std::move(status));
        }
        return all;
    }

    std::optional<job_status> scheduler_core::job(job_id id) const
    {
        const auto found = m_jobs.find(id.value());
        if (found == m_jobs.end())
            return std::nullopt;
        const auto isWaiting = found->second.phase == job_phase::waiting;
        return statusOf(found->second, isWaiting ? waitView() : wait_view {});
    }

    std::vector<job_status> scheduler_core::jobs() const
    {
        const auto view = waitView();
        std::vector<job_status> all;
        for (const auto& [number, job] : m_jobs)
            all.push_back(statusOf(job, view));
        return all;
    }

} // namespace detail
} // namespace poplardeal
