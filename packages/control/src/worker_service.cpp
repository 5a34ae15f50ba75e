#include "worker_service.h"

#include <map>
#include <poplardeal/base/json.h>
#include <poplardeal/base/log.h>

namespace poplardeal::detail {

namespace {

    constexpr duration resendInterval = std::chrono::seconds(2);

    template <class Message> task_id taskOf(const Message& message)
    {
        return { job_id(message.job), message.index, message.attempt };
    }

    worker_spec toSpec(const message::session_openT& opening)
    {
        worker_spec spec;
        spec.id = worker_id(opening.worker);
        spec.instance = incarnation(opening.incarnation);
        spec.dataCentre = data_centre_name(opening.data_centre);
        spec.rack = rack_name(opening.rack);
        spec.capacity = { cores(opening.cores), mebibytes(opening.memory_mib), accelerators(opening.accelerators) };
        return spec;
    }

    /// Bounds on what a worker may announce; larger values are taken for a damaged or hostile message.
    bool isPlausible(const worker_spec& spec)
    {
        constexpr std::int64_t maxCores = 4096;
        constexpr std::int64_t maxMemoryMib = std::int64_t { 64 } * 1024 * 1024;
        constexpr std::int64_t maxAccelerators = 64;
        const auto within = [](std::int64_t value, std::int64_t most) { return value >= 0 && value <= most; };
        return !spec.id.value().empty() && !spec.dataCentre.value().empty()
            && within(spec.capacity.cpu.count(), maxCores) && within(spec.capacity.memory.count(), maxMemoryMib)
            && within(spec.capacity.accelerator.count(), maxAccelerators);
    }

    std::optional<task_report_kind> toEventKind(message::report_kind kind)
    {
        switch (kind) {
        case message::report_kind::prepared:
            return task_report_kind::prepared;
        case message::report_kind::prepare_refused:
            return task_report_kind::prepare_refused;
        case message::report_kind::started:
            return task_report_kind::started;
        case message::report_kind::finished:
            return task_report_kind::finished;
        case message::report_kind::failed:
            return task_report_kind::failed;
        case message::report_kind::checkpointed:
            return task_report_kind::checkpointed;
        case message::report_kind::stopped:
            return task_report_kind::stopped;
        case message::report_kind::released:
            return task_report_kind::released;
        case message::report_kind::usage:
            return std::nullopt;
        }
        return std::nullopt;
    }

    frame toFrame(const prepare_task& command)
    {
        message::prepare_taskT order;
        order.job = command.task.job.value();
        order.index = command.task.index;
        order.attempt = command.task.attempt;
        order.lease = command.lease.value();
        order.cores = command.amount.cpu.count();
        order.memory_mib = command.amount.memory.count();
        order.accelerators = command.acceleratorIndexes;
        order.run_time_ms = std::chrono::duration_cast<std::chrono::milliseconds>(command.runTime).count();
        order.command = command.command;
        return packMessage(frame_kind::prepare_task, 0, order);
    }

    template <class Command> constexpr frame_kind frameKindOf()
    {
        if constexpr (std::is_same_v<Command, start_task>)
            return frame_kind::start_task;
        else if constexpr (std::is_same_v<Command, checkpoint_task>)
            return frame_kind::checkpoint_task;
        else if constexpr (std::is_same_v<Command, throttle_task>)
            return frame_kind::throttle_task;
        else if constexpr (std::is_same_v<Command, stop_task>)
            return frame_kind::stop_task;
        else
            return frame_kind::release_task;
    }

    template <class Command> frame toFrame(const Command& command)
    {
        message::task_orderT order;
        order.job = command.task.job.value();
        order.index = command.task.index;
        order.attempt = command.task.attempt;
        order.lease = command.lease.value();
        return packMessage(frameKindOf<Command>(), 0, order);
    }

    worker_id workerOf(const placement_command& command)
    {
        return std::visit([](const auto& c) { return c.worker; }, command);
    }

} // namespace

worker_service::worker_service(control_context& context, connections& open)
    : m_context(context)
    , m_connections(open)
{
}

void worker_service::takeOver(instant now)
{
    std::vector<std::pair<worker_id, incarnation>> known;
    for (const auto& worker : m_context.state.workers()) {
        if (worker.state != worker_state::lost)
            known.emplace_back(worker.spec.id, worker.spec.instance);
    }
    m_sessions.takeOver(known, now);
    m_permits = {};
    m_timePassedProposed = false;
    m_context.state.takeCommands();
    m_connections.unbindWorkers();
}

void worker_service::tick(instant now)
{
    proposeDueEvents(now);
    proposeTimePassed();
    dispatchCommands();
    if (now - m_resentAt >= resendInterval) {
        m_resentAt = now;
        resendCommands();
    }
}

void worker_service::proposeDueEvents(instant now)
{
    for (auto& event : m_sessions.collectDue(now)) {
        const auto worker = std::visit(
            [](const auto& e) {
                if constexpr (requires { e.worker.value(); })
                    return worker_id(e.worker.value());
                else
                    return worker_id();
            },
            event);
        logEvent(
            log_level::info, "worker_state_changes", { { "worker", worker.value() }, { "change", event.index() } });
        m_context.propose(observe_placement { std::move(event) }, [this, worker](const result<nlohmann::json>& answer) {
            if (answer.has_error())
                m_sessions.forgetReported(worker);
            dispatchCommands();
        });
    }
}

void worker_service::proposeTimePassed()
{
    const auto deadline = m_context.state.placement().nextDeadline();
    if (!deadline || *deadline > m_context.loop.wallClock() || m_timePassedProposed)
        return;
    m_timePassedProposed = true;
    m_context.propose(observe_placement { time_passed {} }, [this](const result<nlohmann::json>&) {
        m_timePassedProposed = false;
        dispatchCommands();
    });
}

void worker_service::dispatchCommands()
{
    const auto commands = m_context.state.takeCommands();
    if (!m_context.leads())
        return;
    for (const auto& command : commands) {
        if (auto* open = m_connections.findWorker(workerOf(command)))
            sendCommand(*open, command);
    }
}

void worker_service::sendCommand(connection& open, const placement_command& command)
{
    std::visit([&](const auto& c) { open.link->send(toFrame(c)); }, command);
}

void worker_service::resendCommands()
{
    for (const auto& worker : m_context.state.workers()) {
        auto* open = m_connections.findWorker(worker.spec.id);
        if (!open)
            continue;
        for (const auto& command : m_context.state.placement().outstandingCommands(worker.spec.id))
            sendCommand(*open, command);
    }
}

void worker_service::refuseSession(connection_id id, std::uint64_t correlation)
{
    auto* open = m_connections.find(id);
    if (!open)
        return;
    message::session_ackT ack;
    ack.accepted = false;
    if (const auto leader = m_context.leaderFrames())
        ack.leader = toString(*leader);
    open->link->send(packMessage(frame_kind::session_ack, correlation, ack));
}

void worker_service::openSession(connection_id id, const frame& received)
{
    const auto read = unpackMessage<message::session_open>(received.body);
    if (read.has_error() || !isPlausible(toSpec(read.value())))
        return logEvent(log_level::warning, "message_refused", { { "reason", "session_open is damaged" } });
    if (!m_context.leads())
        return refuseSession(id, received.correlation);
    const auto spec = toSpec(read.value());
    const auto* known = m_context.state.findWorker(spec.id);
    const bool current = known && known->state != worker_state::lost && known->spec.instance == spec.instance
        && known->spec.capacity == spec.capacity && known->spec.rack == spec.rack;
    if (current)
        return acceptSession(id, received.correlation, spec, read.value());
    if (known && known->spec.instance > spec.instance)
        return refuseSession(id, received.correlation);
    const auto correlation = received.correlation;
    const auto opening = std::make_shared<message::session_openT>(read.value());
    m_context.propose(observe_placement { worker_joined { spec } }, [=, this](const result<nlohmann::json>& answer) {
        if (answer.has_error())
            return refuseSession(id, correlation);
        acceptSession(id, correlation, spec, *opening);
        dispatchCommands();
    });
}

void worker_service::acceptSession(
    connection_id id, std::uint64_t correlation, const worker_spec& spec, const message::session_openT& opening)
{
    auto* open = m_connections.find(id);
    if (!open)
        return;
    const bool fresh = open->worker != spec.id;
    m_sessions.open(spec.id, spec.instance, m_context.loop.now());
    m_connections.bindWorker(id, spec.id);
    message::session_ackT ack;
    ack.accepted = true;
    ack.lease_ms
        = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_sessions.lease()).count());
    open->link->send(packMessage(frame_kind::session_ack, correlation, ack));
    if (!fresh)
        return;
    logEvent(log_level::info, "worker_session_opened",
        { { "worker", spec.id.value() }, { "incarnation", spec.instance.value() } });
    reconcile(id, spec.id, opening);
    for (const auto& command : m_context.state.placement().outstandingCommands(spec.id))
        sendCommand(*open, command);
}

void worker_service::reconcile(connection_id id, const worker_id& worker, const message::session_openT& opening)
{
    std::map<std::pair<task_id, lease_id>, bool> placed;
    for (const auto& task : m_context.state.placement().tasksOn(worker))
        placed[{ task.task, task.lease }] = task.running;
    auto* open = m_connections.find(id);
    for (const auto& task : opening.tasks) {
        const std::pair<task_id, lease_id> key { taskOf(*task), lease_id(task->lease) };
        if (placed.erase(key) > 0)
            continue;
        // The scheduler has given this task up; it must not go on.
        if (task->state == "running")
            sendCommand(*open, stop_task { key.first, key.second, worker });
        else if (task->state == "prepared")
            sendCommand(*open, release_task { key.first, key.second, worker });
    }
    for (const auto& [key, running] : placed) {
        if (!running)
            continue;
        const task_reported gone { key.first, key.second, task_report_kind::failed,
            "the worker no longer has the task" };
        m_context.propose(observe_placement { gone }, [this](const result<nlohmann::json>&) { dispatchCommands(); });
    }
}

void worker_service::disconnected(const worker_id& worker) { m_sessions.disconnect(worker); }

void worker_service::renewSession(connection_id id, const frame& received)
{
    const auto* open = m_connections.find(id);
    const bool renewed
        = open && open->worker && m_context.leads() && m_sessions.renew(*open->worker, m_context.loop.now());
    if (!renewed)
        return refuseSession(id, received.correlation);
    message::session_ackT ack;
    ack.accepted = true;
    ack.lease_ms
        = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_sessions.lease()).count());
    m_connections.find(id)->link->send(packMessage(frame_kind::session_ack, received.correlation, ack));
}

void worker_service::takeReport(connection_id id, const frame& received)
{
    const auto read = unpackMessage<message::task_report>(received.body);
    if (read.has_error() || !m_context.leads())
        return;
    const auto kind = toEventKind(read.value().kind);
    if (!kind)
        return takeUsage(read.value());
    const auto correlation = received.correlation;
    const task_reported event { taskOf(read.value()), lease_id(read.value().lease), *kind, read.value().detail };
    m_context.propose(observe_placement { event }, [this, id, correlation](const result<nlohmann::json>& answer) {
        if (answer.has_error())
            return;
        if (auto* open = m_connections.find(id))
            open->link->send(packMessage(frame_kind::task_report_ack, correlation, message::emptyT {}));
        dispatchCommands();
    });
}

void worker_service::takeUsage(const message::task_reportT& usage)
{
    // Usage within the declaration changes nothing, so it is not replicated; the log would otherwise grow with every
    // report.
    if (usage.used_cores <= 0 && usage.used_memory_mib <= 0)
        return;
    const auto status = m_context.state.placement().job(job_id(usage.job));
    if (!status || !m_context.state.current())
        return;
    const resources used { cores(usage.used_cores), mebibytes(usage.used_memory_mib), accelerators(0) };
    for (const auto& workspace : m_context.state.current()->workspaces) {
        if (workspace.name != status->workspace)
            continue;
        for (const auto& job : workspace.jobs) {
            if (job.name == status->job && !used.fitsIn(job.perTask))
                m_context.propose(observe_placement { usage_reported { taskOf(usage), lease_id(usage.lease), used } },
                    [this](const result<nlohmann::json>&) { dispatchCommands(); });
        }
    }
}

void worker_service::answerPermit(connection_id id, const frame& received)
{
    const auto read = unpackMessage<message::permit_request>(received.body);
    auto* open = m_connections.find(id);
    if (read.has_error() || !open)
        return;
    const auto task = taskOf(read.value());
    message::permit_answerT answer;
    if (m_context.leads()) {
        const bool mayStart = m_context.state.placement().mayStart(task, lease_id(read.value().lease));
        answer.granted = m_permits.decide(task, mayStart, m_context.loop.now());
        answer.reason = answer.granted ? "" : "the gang may not start now";
    } else {
        answer.reason = "this replica does not lead";
    }
    logEvent(log_level::info, "permit_answered",
        { { "job", task.job.value() }, { "task", toString(task) }, { "granted", answer.granted } });
    open->link->send(packMessage(frame_kind::permit_answer, received.correlation, answer));
}

} // namespace poplardeal::detail
