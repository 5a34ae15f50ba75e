#include "scheduler_core.h"

#include "scheduler_limits.h"
#include <algorithm>

namespace poplardeal::detail {

std::vector<placement_command> scheduler_core::apply(const placement_event& event, instant now)
{
    m_now = std::max(m_now, now);
    m_out.clear();
    fireTimers();
    std::visit([this](const auto& e) { on(e); }, event);
    placeWaiting();
    return std::move(m_out);
}

void scheduler_core::on(const deployment_changed& event)
{
    m_pools = event.current.workerPools;
    for (auto& [name, record] : m_workspaces)
        record.defined = false;
    for (const auto& definition : event.current.workspaces) {
        auto& record = m_workspaces[definition.name];
        record.definition = definition;
        record.defined = true;
    }
    for (const auto& dataCentre : event.current.dataCentres)
        setInService(m_cluster.addDataCentre(dataCentre.name), dataCentre.inService);
    m_placementDue = true;
}

void scheduler_core::on(const worker_joined& event)
{
    const auto known = m_cluster.findWorker(event.worker.id);
    if (known) {
        const auto& record = m_cluster.worker(*known);
        if (event.worker.instance < record.spec.instance)
            return;
        if (event.worker.instance == record.spec.instance) {
            // The same process opened a new session; its tasks still run. A lost incarnation never comes back.
            if (record.present)
                on(worker_recovered { event.worker.id, event.worker.instance });
            return;
        }
        if (record.present)
            loseWorker(*known);
    }
    m_cluster.join(event.worker);
    m_placementDue = true;
}

void scheduler_core::on(const worker_lost& event)
{
    const auto known = m_cluster.findWorker(event.worker);
    if (!known || !m_cluster.worker(*known).present || m_cluster.worker(*known).spec.instance != event.instance)
        return;
    loseWorker(*known);
    m_placementDue = true;
}

void scheduler_core::on(const worker_suspected& event)
{
    const auto known = m_cluster.findWorker(event.worker);
    if (known && m_cluster.worker(*known).spec.instance == event.instance)
        m_cluster.worker(*known).suspected = true;
}

void scheduler_core::on(const worker_recovered& event)
{
    const auto known = m_cluster.findWorker(event.worker);
    if (!known || m_cluster.worker(*known).spec.instance != event.instance)
        return;
    m_cluster.worker(*known).suspected = false;
    m_placementDue = true;
}

void scheduler_core::loseWorker(std::uint32_t worker)
{
    auto& record = m_cluster.worker(worker);
    record.present = false;
    const auto reason = "worker " + record.spec.id.value() + " was lost";
    std::set<job_number> affected;
    const auto leases = std::vector(record.leases.begin(), record.leases.end());
    for (const auto number : leases) {
        const auto& lease = m_leases.at(number);
        const auto neverRan = lease.state == lease_state::preparing || lease.state == lease_state::prepared
            || lease.state == lease_state::releasing;
        if (auto* job = findJob(lease.task.job.value()); job != nullptr && lease.state != lease_state::releasing) {
            job->uncertain |= !neverRan && !lease.started;
            affected.insert(job->number);
        }
        endLease(number);
    }
    for (const auto number : affected) {
        auto& job = m_jobs.at(number);
        if (job.phase == job_phase::preparing)
            releaseGang(job, reason, false);
        else if (job.phase == job_phase::running)
            stopGang(job, stop_cause::worker_lost, reason, false);
        finishAttemptIfDone(job);
    }
}

void scheduler_core::on(const data_centre_ordered& event)
{
    if (const auto known = m_cluster.findDataCentre(event.dataCentre))
        setInService(*known, event.inService);
}

void scheduler_core::setInService(std::uint32_t dataCentre, bool inService)
{
    auto& record = m_cluster.dataCentre(dataCentre);
    if (record.inService == inService)
        return;
    record.inService = inService;
    m_placementDue = true;
    if (inService) {
        record.returnedAt = m_now;
        return;
    }
    std::set<std::tuple<job_priority, instant, job_number>> affected;
    for (const auto rack : record.racks) {
        for (const auto worker : m_cluster.racks()[rack].workers) {
            for (const auto number : m_cluster.worker(worker).leases) {
                const auto* job = findJob(m_leases.at(number).task.job.value());
                if (job != nullptr)
                    affected.emplace(job->spec.priority, job->acceptedAt, job->number);
            }
        }
    }
    const auto reason = "data centre " + record.name.value() + " is out of service";
    for (const auto& [priority, acceptedAt, number] : affected) {
        auto& job = m_jobs.at(number);
        if (job.phase == job_phase::preparing)
            releaseGang(job, reason, false);
        else if (job.phase == job_phase::running)
            stopGang(job, stop_cause::evacuated, reason, true);
    }
}

void scheduler_core::on(const job_submitted& event)
{
    const auto number = event.id.value();
    if (m_jobs.contains(number) || number <= m_lastEvicted)
        return;
    auto& job = m_jobs[number];
    job.number = number;
    job.workspace = event.workspace;
    job.spec.name = event.job;
    job.acceptedAt = m_now;
    const auto workspaceEntry = m_workspaces.find(event.workspace);
    if (workspaceEntry == m_workspaces.end() || !workspaceEntry->second.defined)
        return endJob(job, job_phase::refused, "workspace " + event.workspace.value() + " does not exist");
    const auto& templates = workspaceEntry->second.definition.jobs;
    const auto found = std::ranges::find(templates, event.job, &job_template::name);
    if (found == templates.end())
        return endJob(
            job, job_phase::refused, "workspace " + event.workspace.value() + " has no job " + event.job.value());
    job.spec = *found;
    if (auto why = neverRuns(workspaceEntry->second, job.spec); !why.empty())
        return endJob(job, job_phase::refused, why);
    enqueue(job);
}

void scheduler_core::on(const job_cancelled& event)
{
    if (auto* job = findJob(event.id.value()))
        cancel(*job);
}

void scheduler_core::on(const task_reported& event)
{
    auto* lease = findLease(event.task, event.lease);
    if (lease == nullptr)
        return;
    switch (event.kind) {
    case task_report_kind::prepared:
        return onPrepared(*lease);
    case task_report_kind::prepare_refused:
        return onPrepareRefused(*lease, event.detail);
    case task_report_kind::started:
        return onStarted(*lease);
    case task_report_kind::checkpointed:
        return onCheckpointed(*lease);
    case task_report_kind::finished:
    case task_report_kind::failed:
    case task_report_kind::stopped:
    case task_report_kind::released:
        return onEnded(*lease, event.kind, event.detail);
    }
}

void scheduler_core::on(const usage_reported&) { }

void scheduler_core::on(const time_passed&) { }

} // namespace poplardeal::detail
