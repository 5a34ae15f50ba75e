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
    m_expected = expectedCluster(m_pools);
    for (auto& [name, record] : m_workspaces)
        record.defined = false;
    for (const auto& definition : event.current.workspaces) {
        auto& record = m_workspaces[definition.name];
        record.definition = definition;
        record.defined = true;
    }
    for (const auto& dataCentre : event.current.dataCentres)
        setInService(m_cluster.addDataCentre(dataCentre.name), dataCentre.inService);
    rebuildReservations();
    refuseImpossible();
    m_capacityGrew = true;
}

/// Ends waiting jobs that the new deployment leaves no way to run.
void scheduler_core::refuseImpossible()
{
    struct answer {
        job_template spec;
        std::string reason;
    };
    std::map<job_group_key, answer> answers;
    std::vector<std::pair<job_number, std::string>> impossible;
    for (auto& [number, job] : m_jobs) {
        if (job.phase != job_phase::waiting)
            continue;
        auto& known = answers[{ job.workspace, job.spec.name }];
        if (known.spec != job.spec) {
            const auto& owner = m_workspaces.at(job.workspace);
            const auto removed = "workspace " + job.workspace.value() + " was removed";
            known = { job.spec, owner.defined ? neverRuns(owner, job.spec) : removed };
        }
        if (!known.reason.empty())
            impossible.emplace_back(number, known.reason);
    }
    for (const auto& [number, reason] : impossible) {
        auto& job = m_jobs.at(number);
        if (job.claiming)
            dropClaim(job);
        dequeue(job);
        const auto neverRan = verdictOf(job) == run_verdict::not_run;
        endJob(job, neverRan ? job_phase::refused : job_phase::failed, reason);
    }
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
    m_capacityGrew = true;
    m_reservationsDue = true;
}

void scheduler_core::on(const worker_lost& event)
{
    const auto known = m_cluster.findWorker(event.worker);
    if (!known || !m_cluster.worker(*known).present || m_cluster.worker(*known).spec.instance != event.instance)
        return;
    loseWorker(*known);
    m_capacityGrew = true;
    m_reservationsDue = true;
}

void scheduler_core::on(const worker_suspected& event)
{
    const auto known = m_cluster.findWorker(event.worker);
    if (known && m_cluster.worker(*known).spec.instance == event.instance)
        m_cluster.worker(*known).suspected = true;
    m_reservationsDue = true;
}

void scheduler_core::on(const worker_recovered& event)
{
    const auto known = m_cluster.findWorker(event.worker);
    if (!known || m_cluster.worker(*known).spec.instance != event.instance)
        return;
    m_cluster.worker(*known).suspected = false;
    m_capacityGrew = true;
    m_reservationsDue = true;
}

void scheduler_core::loseWorker(std::uint32_t worker)
{
    auto& record = m_cluster.worker(worker);
    record.present = false;
    m_reservationsDue = true;
    const auto reason = "worker " + record.spec.id.value() + " was lost";
    while (!record.claims.empty())
        dropClaim(m_jobs.at(m_leases.at(*record.claims.begin()).task.job.value()));
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
    m_capacityGrew = true;
    m_reservationsDue = true;
    if (inService) {
        record.returnedAt = m_now;
        record.tokensAt = m_now;
        record.startTokens = refillBurst;
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

/// Steps are taken only on a report that still shows the task over its declaration, never on time alone.
void scheduler_core::on(const usage_reported& event)
{
    auto* lease = findLease(event.task, event.lease);
    if (lease == nullptr || lease->state != lease_state::running)
        return;
    if (event.used.fitsIn(lease->amount)) {
        lease->overuseSteps = 0;
        return;
    }
    if (lease->overuseSteps > 0 && m_now < lease->overuseSince + overuseStepInterval)
        return;
    lease->overuseSince = m_now;
    const auto& worker = m_cluster.worker(lease->spot.worker).spec.id;
    switch (++lease->overuseSteps) {
    case 1:
        m_out.push_back(throttle_task { lease->task, event.lease, worker });
        return;
    case 2:
        m_out.push_back(checkpoint_task { lease->task, event.lease, worker });
        return;
    default:
        break;
    }
    const auto reason = "a task used " + resourceText(event.used) + ", declared " + resourceText(lease->amount);
    stopGang(m_jobs.at(event.task.job.value()), stop_cause::overused, reason, false);
}

void scheduler_core::on(const time_passed&) { }

} // namespace poplardeal::detail
