#include "job_leader.h"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <poplardeal/base/log.h>
#include <poplardeal/jobs/codec.h>
#include <span>

namespace poplardeal::detail {

namespace {

    using message::queue_outcome;

    constexpr duration planInterval = std::chrono::milliseconds(200); // Deadlines and waits change without an event.
    constexpr duration metricsInterval = std::chrono::milliseconds(1000);
    constexpr duration planDelay = std::chrono::milliseconds(2); // Events close to each other share a plan.
    constexpr duration beginsInterval = std::chrono::milliseconds(500); // Shares an entry of the log.
    /// One part in so many of the memory is for jobs. The rest is for runs, the log, a snapshot while it is made, and
    /// clients.
    constexpr std::size_t memoryShareOfJobs = 4;
    constexpr std::size_t bytesPerMegabyte = std::size_t { 1024 } * 1024;
    /// A run takes about 1 KiB in a control, from its planned start to its recorded end.
    constexpr std::size_t runsPerMegabyte = 64;
    constexpr std::uint32_t overLimitRetryAfterMs = 5000; // Jobs end over seconds.
    constexpr std::uint32_t retryAfterMs = 1000; // About one election; Retry-After has a resolution of 1 s.
    constexpr std::size_t submissionIdLength = 16;
    constexpr std::size_t maxStepsLogged = 8; ///< Per job.

    message::queue_answerT makeAnswer(queue_outcome outcome, std::string reason = {})
    {
        message::queue_answerT out;
        out.outcome = outcome;
        out.reason = std::move(reason);
        if (outcome == queue_outcome::not_ready)
            out.retry_after_ms = retryAfterMs;
        if (outcome == queue_outcome::over_limit)
            out.retry_after_ms = overLimitRetryAfterMs;
        return out;
    }

    bool isSubmissionId(std::string_view text)
    {
        return text.size() == submissionIdLength
            && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
    }

    nlohmann::json describeSteps(const submission_spec& job)
    {
        auto out = nlohmann::json::array();
        const auto count = std::min(job.steps.size(), maxStepsLogged);
        for (const auto& step : std::span(job.steps).first(count))
            out.push_back({ { "tasks", step.count }, { "cpu_millicores", step.need.cpu.count() },
                { "memory_mib", step.need.memory.count() }, { "accelerators", step.need.accelerator.count() },
                { "gang", step.gang },
                { "estimate_ms", std::chrono::duration_cast<std::chrono::milliseconds>(step.estimate).count() } });
        return out;
    }

    lease_options leaseOptions(const fleet_settings& settings)
    {
        lease_options out;
        out.length = settings.leaseLength;
        return out;
    }

} // namespace

std::string job_state_machine::apply(std::uint64_t index, std::string_view payload)
{
    const auto command = decodeCommand(payload);
    if (command.has_error()) {
        logEvent(
            log_level::error, "log_entry_unreadable", { { "index", index }, { "reason", command.error().message } });
        return std::string(1, static_cast<char>(apply_outcome::refused));
    }
    return std::string(1, static_cast<char>(m_table.apply(command.value())));
}

apply_outcome readOutcome(const std::string& text)
{
    return text.size() == 1 ? static_cast<apply_outcome>(text[0]) : apply_outcome::refused;
}

job_leader::job_leader(
    event_loop& loop, const fleet_settings& settings, job_state_machine& stateMachine, metrics_registry& metrics)
    : m_loop(loop)
    , m_settings(settings)
    , m_stateMachine(stateMachine)
    , m_workers(leaseOptions(settings))
    , m_accepted(metrics.getCounter("poplardeal_jobs_accepted_total", "Jobs accepted by this leader"))
    , m_rejected(metrics.getCounter("poplardeal_calls_rejected_total", "Calls on queues that were refused"))
    , m_starts(metrics.getCounter("poplardeal_task_starts_total", "Task starts recorded"))
    , m_stops(metrics.getCounter("poplardeal_task_stops_total", "Task stops ordered"))
    , m_released(metrics.getCounter("poplardeal_runs_released_total", "Runs given up without a listed end"))
    , m_discarded(metrics)
    , m_planTime(metrics.getTiming("poplardeal_plan_seconds", "Time to make one plan"))
    , m_heldBackSteps(metrics.getGauge("poplardeal_steps_held_back",
          "Steps, and each task of long-running ones, that wait although there is ample room"))
    , m_avoidedWorkers(metrics.getGauge(
          "poplardeal_workers_avoided", "Workers without new tasks because tasks failed or were refused there"))
    , m_measuredWorkers(metrics.getGauge("poplardeal_workers_measured", "Workers of which the speed is estimated"))
    , m_leastSlowness(metrics.getGauge(
          "poplardeal_worker_slowness", "Run time relative to an ordinary worker", { { "worker", "fastest" } }))
    , m_mostSlowness(metrics.getGauge(
          "poplardeal_worker_slowness", "Run time relative to an ordinary worker", { { "worker", "slowest" } }))
    , m_workspaceMetrics(metrics)
    , m_interferenceReport(metrics)
    , m_maxFootprint(settings.memoryMegabytes * bytesPerMegabyte / memoryShareOfJobs)
    , m_jobBytes(
          metrics.getGauge("poplardeal_job_bytes", "Estimate of the memory that jobs take, apart from their runs"))
    , m_overLimit(metrics.getCounter(
          "poplardeal_jobs_over_limit_total", "Jobs refused because of the memory that accepted jobs take"))
    , m_limitedUnits(metrics.getGauge(
          "poplardeal_units_limited", "Units that wait, in spite of room, because of the limits on runs"))
{
    m_plannerOptions.distanceFactor = settings.distanceFactor;
    m_plannerOptions.usesExpectedTimes = settings.usesExpectedTimes;
    m_plannerOptions.timing = settings.timing;
    m_plannerOptions.weighsPreemptions = settings.weighsPreemptions;
    m_plannerOptions.separatesInterfering = settings.separatesInterfering;
    m_plannerOptions.order.order = settings.workOrder;
    m_plannerOptions.limits.jobBytes = m_maxFootprint;
    m_plannerOptions.limits.total = settings.memoryMegabytes * runsPerMegabyte;
    metrics.getGauge("poplardeal_job_bytes_limit", "Upper bound of `poplardeal_job_bytes`")
        .set(static_cast<double>(m_maxFootprint));
}

void job_leader::attach(replica& member) { m_replica = &member; }

bool job_leader::leads() const { return m_replica->holdsLeaderLease(m_loop.now()); }

void job_leader::tick(instant now)
{
    const bool leading = leads();
    if (leading != m_wasLeading) {
        m_wasLeading = leading;
        ++m_epoch;
        m_startsInFlight = 0;
        m_pendingReleases.clear();
        m_proposedFootprints.clear();
        m_proposedFootprint = 0;
        m_claims.clear();
        m_heldBack.clear();
        logEvent(log_level::info, leading ? "lead_begins" : "lead_ends",
            { { "term", m_replica->term() }, { "plan_version", m_stateMachine.table().plan().version.value() },
                { "open_jobs", m_stateMachine.table().openJobs().size() } });
        if (leading)
            m_workers.startLeadership(now);
        else
            m_workspaceMetrics.clear();
    }
    if (!leading)
        return;
    releaseRuns(m_workers.expiredRuns(m_stateMachine.table(), now), "lease_expired");
    if (m_planWanted || now - m_plannedAt >= planInterval)
        plan();
    if (now - m_beginsRecordedAt >= beginsInterval)
        recordBegins();
    if (now - m_metricsAt >= metricsInterval) {
        m_metricsAt = now;
        m_workspaceMetrics.update(m_stateMachine.table(), m_workers.begunJobs(), m_loop.wallClock());
        m_jobBytes.set(static_cast<double>(m_stateMachine.table().footprint()));
        m_interferenceReport.update(m_stateMachine.table().interference());
    }
}

void job_leader::propose(job_command_body body, std::function<void(result<apply_outcome>)> done)
{
    const job_command command { m_loop.wallClock(), std::move(body) };
    m_replica->propose(encodeCommand(command), m_loop.now(), [done = std::move(done)](result<std::string> reply) {
        if (reply.has_error())
            return done(reply.error());
        done(readOutcome(reply.value()));
    });
}

void job_leader::schedulePlan()
{
    m_planWanted = true;
    if (std::exchange(m_planScheduled, true))
        return;
    m_planTimer = m_loop.after(planDelay, [this] {
        m_planScheduled = false;
        if (leads())
            plan();
    });
}

void job_leader::plan()
{
    // The table does not show proposed starts until they are applied: planning now would place the same tasks twice.
    if (m_startsInFlight > 0 || !m_wasLeading)
        return;
    const auto now = m_loop.now();
    m_planWanted = false;
    m_plannedAt = now;
    const auto& workerViews = m_workers.workerViews(m_stateMachine.table(), now);
    auto decisions = planJobs(m_plannerOptions,
        { m_stateMachine.table(), workerViews, m_workers.stoppingRuns(), m_claims, now, m_loop.wallClock(),
            m_heldBack });
    m_claims = std::move(decisions.claims);
    m_heldBack = std::move(decisions.heldBack);
    m_heldBackSteps.set(static_cast<double>(m_heldBack.size()));
    m_limitedUnits.set(static_cast<double>(decisions.limitedUnits));
    m_planTime.observe(m_loop.now() - now);
    m_avoidedWorkers.set(static_cast<double>(std::count_if(
        workerViews.begin(), workerViews.end(), [now](const auto& item) { return item.second.avoidUntil > now; })));
    showSpeeds(workerViews);
    applyDecisions(decisions);
}

void job_leader::showSpeeds(const std::map<worker_id, worker_view>& workers)
{
    std::size_t measured = 0;
    double fastest = 1;
    double slowest = 1;
    for (const auto& [id, worker] : workers) {
        if (worker.speed.certainty <= 0)
            continue;
        fastest = measured == 0 ? worker.speed.slowness : std::min(fastest, worker.speed.slowness);
        slowest = measured == 0 ? worker.speed.slowness : std::max(slowest, worker.speed.slowness);
        ++measured;
    }
    m_measuredWorkers.set(static_cast<double>(measured));
    m_leastSlowness.set(fastest);
    m_mostSlowness.set(slowest);
}

void job_leader::applyDecisions(const job_decisions& decisions)
{
    std::set<worker_boot> affected;
    for (const auto& stop : decisions.stops) {
        logEvent(log_level::info, "stop_ordered",
            { { "job", stop.run.task.job.value() }, { "task", toString(stop.run.task) },
                { "run", stop.run.run.value() }, { "worker", stop.worker.worker.value() },
                { "reason", toString(stop.reason) } });
        m_stops.add();
        m_discarded.addStop(stop);
        m_workers.didOrderStop(stop, m_stateMachine.table(), m_loop.now());
        affected.insert(stop.worker);
    }
    for (const auto& boot : affected)
        scheduleInstructions(boot);
    for (const auto& command : decisions.starts)
        proposeStarts(command);
}

void job_leader::proposeStarts(const start_tasks& command)
{
    ++m_startsInFlight;
    propose(command, [this, command, epoch = m_epoch](const result<apply_outcome>& outcome) {
        if (epoch != m_epoch)
            return;
        --m_startsInFlight;
        schedulePlan();
        if (outcome.has_error() || outcome.value() != apply_outcome::applied) {
            logEvent(log_level::warning, "start_not_recorded",
                { { "job", command.starts.front().task.job.value() },
                    { "reason",
                        outcome.has_error() ? outcome.error().message
                                            : "the replicated state has changed since planning" } });
            return;
        }
        std::set<worker_boot> affected;
        for (const auto& start : command.starts) {
            m_starts.add();
            m_workers.didOrderStart(start, m_loop.now());
            affected.insert(start.worker);
            logEvent(log_level::info, "start_ordered",
                { { "job", start.task.job.value() }, { "task", toString(start.task) }, { "run", start.run.value() },
                    { "worker", start.worker.worker.value() } });
        }
        for (const auto& boot : affected)
            scheduleInstructions(boot);
    });
}

void job_leader::scheduleInstructions(const worker_boot& boot)
{
    if (m_instructionsDue.empty())
        m_instructionTimer = m_loop.after(duration(0), [this] { sendInstructions(); });
    m_instructionsDue.insert(boot);
}

void job_leader::sendInstructions()
{
    const auto due = std::exchange(m_instructionsDue, {});
    if (!leads())
        return;
    for (const auto& boot : due) {
        if (const auto instructions = m_workers.instructionsFor(boot, m_stateMachine.table(), m_loop.now()))
            m_send(boot.worker, m_replica->term(), *instructions);
    }
}

void job_leader::answerReport(const worker_boot& boot)
{
    const auto instructions = m_workers.answerTo(boot, m_stateMachine.table(), m_loop.now());
    if (instructions)
        m_send(boot.worker, m_replica->term(), *instructions);
}

void job_leader::releaseRuns(const std::vector<released_run>& runs, const char* cause)
{
    release_runs command;
    for (const auto& run : runs) {
        if (!m_pendingReleases.insert({ run.task, run.run }).second)
            continue;
        m_released.add();
        if (!m_workers.stoppingRuns().contains({ run.task, run.run }) && cause != std::string_view("not_running"))
            m_discarded.addEnd(m_stateMachine.table(), { run.task, run.run }, run.saved, m_plannerOptions.timing,
                m_loop.wallClock(), discard_reason::lost_with_worker);
        logEvent(log_level::warning, "run_released",
            { { "job", run.task.job.value() }, { "task", toString(run.task) }, { "run", run.run.value() },
                { "cause", cause } });
        command.runs.push_back(run);
    }
    if (command.runs.empty())
        return;
    recordBegins(); // Once its runs are over, nothing else shows that a job has begun.
    propose(command, [this, command, epoch = m_epoch](const result<apply_outcome>&) {
        if (epoch != m_epoch)
            return;
        // After a failed proposal, the next tick or report finds the runs in the table and proposes their release
        // again.
        for (const auto& run : command.runs)
            m_pendingReleases.erase({ run.task, run.run });
        schedulePlan();
    });
}

void job_leader::recordBegins()
{
    m_beginsRecordedAt = m_loop.now();
    m_workers.eraseRecordedBegins(m_stateMachine.table());
    const auto& begun = m_workers.begunJobs();
    // After a failed proposal, the next one contains these jobs again.
    if (!begun.empty())
        propose(record_begins { { begun.begin(), begun.end() } }, [](const result<apply_outcome>&) {});
}

void job_leader::recordEnds(const record_ends& command)
{
    std::uint64_t upTo = 0;
    for (const auto& end : command.ends) {
        upTo = std::max(upTo, end.number);
        if (end.kind == end_kind::failed)
            m_discarded.addEnd(m_stateMachine.table(), { end.task, end.run }, {}, m_plannerOptions.timing,
                m_loop.wallClock(), discard_reason::failed);
        logEvent(log_level::info, "end_reported",
            { { "job", end.task.job.value() }, { "task", toString(end.task) }, { "run", end.run.value() },
                { "worker", command.worker.worker.value() }, { "kind", toString(end.kind) } });
    }
    propose(command, [this, command, upTo, epoch = m_epoch, before = m_loop.wallClock()](const auto& outcome) {
        if (epoch != m_epoch)
            return;
        const auto& boot = command.worker;
        m_workers.didFinishRecordingEnds(boot, upTo, outcome.has_value());
        logFinished(command, before);
        scheduleInstructions(boot);
        schedulePlan();
    });
}

/// Logs the jobs that these ends have finished. A job that finished before the proposal has been logged already.
void job_leader::logFinished(const record_ends& command, instant proposedAt) const
{
    std::set<submission_id> jobs;
    for (const auto& end : command.ends)
        jobs.insert(end.task.job);
    for (const auto& id : jobs) {
        const auto* job = m_stateMachine.table().find(id);
        if (job == nullptr || !job->isTerminal() || job->endedAt < proposedAt)
            continue;
        logEvent(log_level::info, "job_finished",
            { { "job", id.value() }, { "queue", job->queue.value() }, { "phase", toString(job->phase) },
                { "took_ms",
                    std::chrono::duration_cast<std::chrono::milliseconds>(job->endedAt - job->acceptedAt).count() } });
    }
}

void job_leader::handleReport(const worker_status& status)
{
    if (!leads() || !m_wasLeading)
        return;
    const auto effects = m_workers.report(status, m_stateMachine.table(), m_loop.now());
    for (const auto& refused : status.refused)
        logEvent(log_level::warning, "start_refused",
            { { "job", refused.run.task.job.value() }, { "task", toString(refused.run.task) },
                { "run", refused.run.run.value() }, { "worker", status.boot.worker.value() },
                { "reason", refused.reason } });
    releaseRuns(effects.released, status.isGone ? "worker_gone" : "not_running");
    if (!effects.ends.ends.empty())
        recordEnds(effects.ends);
    if (!status.isGone)
        answerReport(status.boot);
    // Progress alone is taken up by the next periodic plan.
    if (effects.changesCapacity || !effects.ends.ends.empty() || !effects.released.empty())
        schedulePlan();
}

void job_leader::recordContact(const worker_id& worker) { m_workers.recordContact(worker, m_loop.now()); }

void job_leader::answerCall(message::queue_callT call, const call_responder& respond)
{
    const auto& table = m_stateMachine.table();
    if (!leads()) {
        m_rejected.add();
        return respond(makeAnswer(queue_outcome::not_ready, "this control does not lead"));
    }
    if (!table.hasPlan()) {
        m_rejected.add();
        return respond(makeAnswer(queue_outcome::not_ready, "no plan has been handed in yet"));
    }
    const auto* queue = table.matchQueue(call.host, call.path);
    if (queue == nullptr) {
        m_rejected.add();
        return respond(makeAnswer(queue_outcome::unknown_queue, "no queue at this host and path"));
    }
    const auto* workspace = table.findWorkspace(api_key(call.key));
    if (workspace == nullptr && !queue->isPublic) {
        m_rejected.add();
        logEvent(log_level::info, "key_refused", { { "path", call.path }, { "plan", table.plan().version.value() } });
        return respond(makeAnswer(queue_outcome::bad_key, "unknown key"));
    }
    const auto id = call.path.substr(queue->pathPrefix.size());
    if (id.empty() && call.verb == message::queue_verb::status) {
        auto out = makeAnswer(queue_outcome::counted);
        out.pending = table.pendingCount(queue->name, m_workers.begunJobs());
        return respond(out);
    }
    if (!isSubmissionId(id)) {
        const bool isSubmit = call.verb == message::queue_verb::submit;
        return respond(
            makeAnswer(isSubmit ? queue_outcome::malformed : queue_outcome::unknown_job, "malformed job id"));
    }
    switch (call.verb) {
    case message::queue_verb::submit: {
        accept_submission command { submission_id(id), queue->name, workspace ? workspace->name : workspace_name(),
            {} };
        try {
            command.spec = fromCbor<submission_spec>(
                { reinterpret_cast<const char*>(call.job.data()), call.job.size() }, maxSubmissionValues);
        } catch (const std::exception& error) {
            return respond(makeAnswer(queue_outcome::malformed, error.what()));
        }
        return submit(command, respond);
    }
    case message::queue_verb::cancel:
        return cancel(submission_id(id), respond);
    default:
        return respond(answerStatus(submission_id(id)));
    }
}

message::queue_answerT job_leader::answerStatus(const submission_id& id) const
{
    const auto* job = m_stateMachine.table().find(id);
    if (job == nullptr)
        return makeAnswer(queue_outcome::unknown_job, "no such job");
    auto out = makeAnswer(queue_outcome::shown);
    out.phase = static_cast<std::uint8_t>(shownPhase(*job));
    return out;
}

/// A job whose first tasks were given to workers that are not heard any more has not begun as far as is known.
submission_phase job_leader::shownPhase(const submission& job) const
{
    const bool isKnown = job.hasStarted || m_workers.begunJobs().contains(job.id);
    // The registry is still that of an earlier leadership until the next tick.
    if (job.phase != submission_phase::running || isKnown || !m_wasLeading)
        return job.phase;
    const auto mayBeAtWork = [this, now = m_loop.now()](const unit& each) {
        return std::any_of(each.members.begin(), each.members.end(),
            [&](const unit_member& member) { return m_workers.mayBeAtWork(member.worker, now); });
    };
    for (const auto& occurrence : job.occurrences) {
        for (const auto& step : occurrence.steps) {
            if (std::any_of(step.units.begin(), step.units.end(), mayBeAtWork))
                return submission_phase::running;
        }
    }
    return submission_phase::queued;
}

bool job_leader::admits(const workspace_name& workspace, std::size_t bytes) const
{
    const auto& table = m_stateMachine.table();
    const auto proposed = m_proposedFootprints.find(workspace);
    const auto own = table.footprint(workspace) + (proposed == m_proposedFootprints.end() ? 0 : proposed->second);
    // No workspace takes more than it leaves to all others.
    return table.footprint() + m_proposedFootprint + own + 2 * bytes <= m_maxFootprint;
}

void job_leader::submit(const accept_submission& command, const call_responder& respond)
{
    if (const auto fault = validationError(command.spec)) {
        m_rejected.add();
        return respond(makeAnswer(queue_outcome::malformed, *fault));
    }
    if (m_stateMachine.table().find(command.id) != nullptr)
        return respond(makeAnswer(queue_outcome::accepted));
    const auto bytes = footprintOf(command.spec);
    if (!admits(command.workspace, bytes)) {
        m_rejected.add();
        m_overLimit.add();
        return respond(makeAnswer(queue_outcome::over_limit,
            "the job would take about " + std::to_string(bytes) + " bytes; the workspace's jobs take "
                + std::to_string(m_stateMachine.table().footprint(command.workspace)) + " and all jobs "
                + std::to_string(m_stateMachine.table().footprint()) + " of " + std::to_string(m_maxFootprint)));
    }
    m_proposedFootprints[command.workspace] += bytes;
    m_proposedFootprint += bytes;
    propose(command,
        [this, respond, id = command.id, workspace = command.workspace, bytes, epoch = m_epoch](
            const result<apply_outcome>& outcome) {
            if (epoch == m_epoch) {
                m_proposedFootprint -= bytes;
                if ((m_proposedFootprints[workspace] -= bytes) == 0)
                    m_proposedFootprints.erase(workspace);
            }
            if (outcome.has_error()) {
                const bool mayHaveRun = outcome.error().code == failure_code::unavailable;
                logEvent(log_level::warning, "job_not_accepted",
                    { { "job", id.value() }, { "reason", outcome.error().message },
                        { "may_be_accepted", mayHaveRun } });
                m_rejected.add();
                return respond(makeAnswer(
                    mayHaveRun ? queue_outcome::uncertain : queue_outcome::not_ready, outcome.error().message));
            }
            if (outcome.value() == apply_outcome::refused) {
                m_rejected.add();
                return respond(makeAnswer(queue_outcome::unknown_queue, "the queue has been removed"));
            }
            m_accepted.add();
            const auto& job = *m_stateMachine.table().find(id);
            logEvent(log_level::info, "job_accepted",
                { { "job", id.value() }, { "queue", job.queue.value() }, { "workspace", job.workspace.value() },
                    { "priority", job.priority }, { "steps", describeSteps(job.spec) },
                    { "plan", m_stateMachine.table().plan().version.value() } });
            schedulePlan();
            respond(makeAnswer(queue_outcome::accepted));
        });
}

void job_leader::cancel(const submission_id& id, const call_responder& respond)
{
    propose(cancel_submission { id }, [this, respond, id](const result<apply_outcome>& outcome) {
        if (outcome.has_error()) {
            const bool mayHaveRun = outcome.error().code == failure_code::unavailable;
            return respond(
                makeAnswer(mayHaveRun ? queue_outcome::uncertain : queue_outcome::not_ready, outcome.error().message));
        }
        if (outcome.value() == apply_outcome::not_found)
            return respond(makeAnswer(queue_outcome::unknown_job, "no such job"));
        logEvent(log_level::info, "job_cancelled", { { "job", id.value() } });
        schedulePlan();
        respond(makeAnswer(queue_outcome::accepted));
    });
}

} // namespace poplardeal::detail
