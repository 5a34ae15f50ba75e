#include "control_session.h"
#include "report_queue.h"
#include "worker_api.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <poplardeal/base/log.h>
#include <poplardeal/daemon/worker_sidecar.h>
#include <set>

namespace poplardeal {

namespace detail {

    namespace {

        constexpr duration pollInterval = std::chrono::milliseconds(250);
        constexpr duration permitValidity = std::chrono::seconds(2);
        constexpr duration usageInterval = std::chrono::seconds(10);
        constexpr std::uint32_t protocolVersion = 1;

        leased_task toLeasedTask(const message::task_orderT& order)
        {
            return { task_id { job_id(order.job), order.index, order.attempt }, lease_id(order.lease) };
        }

        template <class Message> void fillTask(Message& message, const leased_task& id)
        {
            message.job = id.task.job.value();
            message.index = id.task.index;
            message.attempt = id.task.attempt;
            message.lease = id.lease.value();
        }

        const char* stateName(worker_task_state state)
        {
            switch (state) {
            case worker_task_state::prepared:
                return "prepared";
            case worker_task_state::running:
                return "running";
            case worker_task_state::finished:
                return "finished";
            case worker_task_state::failed:
                return "failed";
            case worker_task_state::stopped:
                return "stopped";
            }
            return "failed";
        }

        bool hasEnded(worker_task_state state)
        {
            return state != worker_task_state::prepared && state != worker_task_state::running;
        }

        message::report_kind toReportKind(worker_task_state state)
        {
            switch (state) {
            case worker_task_state::finished:
                return message::report_kind::finished;
            case worker_task_state::stopped:
                return message::report_kind::stopped;
            default:
                return message::report_kind::failed;
            }
        }

    } // namespace

} // namespace detail

struct worker_sidecar::impl {
    impl(event_loop&, const daemon_settings&);

    void readWorker();
    void startSession(const detail::worker_capacity&);
    void poll();
    void takeTasks(const std::vector<detail::worker_task>&);
    void handle(const frame&);
    void takeDeployment(const frame&);
    void prepare(const frame&);
    void requestPermit(const detail::leased_task&);
    void handlePermit(const frame&);
    void startTask(const detail::leased_task&);
    void stopTask(const detail::leased_task&);
    void checkpointTask(const detail::leased_task&);
    void releaseTask(const detail::leased_task&);
    void report(const detail::leased_task&, message::report_kind, std::string text = {});
    void sendReports();
    void acknowledge(std::uint64_t correlation);
    void reportUsage(const std::vector<detail::worker_task>&);
    message::session_openT opening() const;
    message::helloT hello() const;
    void finishStop();

    struct waiting_permit {
        detail::leased_task task;
        instant sentAt;
    };

    event_loop& loop;
    daemon_settings settings;
    detail::worker_api worker;
    detail::worker_capacity capacity;
    std::unique_ptr<detail::control_session> session;
    std::map<detail::leased_task, detail::worker_task_state> tasks; ///< As the worker told last.
    std::optional<detail::report_queue> reports; ///< Set once the worker has told its incarnation.
    std::map<std::uint64_t, waiting_permit> permits; ///< By correlation, until answered.
    std::set<detail::leased_task> endReported;
    std::uint64_t nextCorrelation { 1 };
    instant lastUsage;
    event_loop::timer timer;
    event_loop::timer stopTimer;
    std::uint64_t heldVersion { 0 }; ///< Highest deployment version received; it never goes back.
    bool isInService { true }; ///< As of that version.
    bool polling { false };
    std::function<void()> stopped;
};

worker_sidecar::impl::impl(event_loop& eventLoop, const daemon_settings& daemonSettings)
    : loop(eventLoop)
    , settings(daemonSettings)
    , worker(eventLoop, daemonSettings.sidecar->target)
{
}

void worker_sidecar::impl::readWorker()
{
    worker.capacity([this](const result<detail::worker_capacity>& answer) {
        if (answer.has_error()) {
            logEvent(log_level::warning, "worker_unreachable", { { "reason", answer.error().message } });
            timer = loop.after(std::chrono::seconds(1), [this] { readWorker(); });
            return;
        }
        startSession(answer.value());
    });
}

void worker_sidecar::impl::startSession(const detail::worker_capacity& read)
{
    capacity = read;
    if (!reports)
        reports.emplace(settings.name, capacity.boot);
    // The tasks of an earlier sidecar are adopted before the session opens, so that control learns of them with it.
    worker.tasks([this](const result<std::vector<detail::worker_task>>& answer) {
        if (answer.has_error()) {
            timer = loop.after(std::chrono::seconds(1), [this] { readWorker(); });
            return;
        }
        takeTasks(answer.value());
        detail::control_session::callbacks handlers;
        handlers.hello = [this] { return hello(); };
        handlers.opening = [this] { return opening(); };
        handlers.renewed = [this](instant leaseEnd) {
            worker.renewLease(leaseEnd - loop.now(), [](const result<void>& renewed) {
                if (renewed.has_error())
                    logEvent(log_level::warning, "lease_not_passed_on", { { "reason", renewed.error().message } });
            });
        };
        handlers.opened = [this] {
            permits.clear();
            reports->resendAll();
            sendReports();
        };
        handlers.other = [this](const frame& received) { handle(received); };
        session = std::make_unique<detail::control_session>(
            loop, settings.sidecar->controls, capacity.boot.value(), std::move(handlers));
        session->start();
        timer = loop.every(detail::pollInterval, [this] { poll(); });
    });
}

message::helloT worker_sidecar::impl::hello() const
{
    message::helloT hello;
    hello.role = message::process_role::worker_sidecar;
    hello.name = settings.name;
    hello.data_centre = settings.dataCentre.value();
    hello.protocol = detail::protocolVersion;
    return hello;
}

message::session_openT worker_sidecar::impl::opening() const
{
    message::session_openT opening;
    opening.worker = settings.name;
    opening.incarnation = capacity.boot.value();
    opening.data_centre = settings.dataCentre.value();
    opening.rack = settings.sidecar->rack.value();
    opening.cores = capacity.amount.cpu.count();
    opening.memory_mib = capacity.amount.memory.count();
    opening.accelerators = capacity.amount.accelerator.count();
    for (const auto& [id, state] : tasks) {
        auto task = std::make_unique<message::worker_taskT>();
        detail::fillTask(*task, id);
        task->state = detail::stateName(state);
        opening.tasks.push_back(std::move(task));
    }
    return opening;
}

void worker_sidecar::impl::poll()
{
    sendReports();
    if (stopped && reports->empty())
        return finishStop();
    if (polling)
        return;
    polling = true;
    worker.tasks([this](const result<std::vector<detail::worker_task>>& answer) {
        polling = false;
        if (answer.has_value())
            takeTasks(answer.value());
        else
            logEvent(log_level::warning, "worker_unreachable", { { "reason", answer.error().message } });
    });
}

void worker_sidecar::impl::takeTasks(const std::vector<detail::worker_task>& listed)
{
    tasks.clear();
    for (const auto& task : listed) {
        tasks[task.id] = task.state;
        if (detail::hasEnded(task.state) && endReported.insert(task.id).second)
            report(task.id, detail::toReportKind(task.state), task.detail);
    }
    std::erase_if(endReported, [&](const auto& id) { return !tasks.contains(id); });
    reportUsage(listed);
}

void worker_sidecar::impl::reportUsage(const std::vector<detail::worker_task>& listed)
{
    if (!session || !session->isOpen() || loop.now() - lastUsage < detail::usageInterval)
        return;
    lastUsage = loop.now();
    for (const auto& task : listed) {
        // Usage within the declaration changes nothing at control, and reporting that of 11,000 tasks would take more
        // than the control traffic budget.
        if (task.state != detail::worker_task_state::running || task.used.fitsIn(task.declared))
            continue;
        message::task_reportT usage;
        usage.worker = settings.name;
        usage.incarnation = capacity.boot.value();
        detail::fillTask(usage, task.id);
        usage.kind = message::report_kind::usage;
        usage.used_cores = task.used.cpu.count();
        usage.used_memory_mib = task.used.memory.count();
        session->send(packMessage(frame_kind::task_report, 0, usage));
    }
}

void worker_sidecar::impl::handle(const frame& received)
{
    switch (received.kind) {
    case frame_kind::prepare_task:
        return prepare(received);
    case frame_kind::permit_answer:
        return handlePermit(received);
    case frame_kind::task_report_ack:
        return acknowledge(received.correlation);
    case frame_kind::deployment_update:
    case frame_kind::start_task:
    case frame_kind::stop_task:
    case frame_kind::checkpoint_task:
    case frame_kind::throttle_task:
    case frame_kind::release_task:
        break;
    default:
        return;
    }
    if (received.kind == frame_kind::deployment_update)
        return takeDeployment(received);
    const auto order = unpackMessage<message::task_order>(received.body);
    if (order.has_error())
        return logEvent(log_level::warning, "message_refused", { { "reason", order.error().message } });
    const auto id = detail::toLeasedTask(order.value());
    logEvent(
        log_level::info, "task_order", { { "task", toString(id.task) }, { "frame", static_cast<int>(received.kind) } });
    if (received.kind == frame_kind::start_task)
        requestPermit(id);
    else if (received.kind == frame_kind::stop_task)
        stopTask(id);
    else if (received.kind == frame_kind::checkpoint_task)
        checkpointTask(id);
    else if (received.kind == frame_kind::release_task)
        releaseTask(id);
    else
        worker.act(id, "throttle", [](const result<void>&) {});
}

void worker_sidecar::impl::takeDeployment(const frame& received)
{
    const auto update = unpackMessage<message::deployment_update>(received.body);
    if (update.has_error())
        return;
    if (update.value().version > heldVersion) {
        const auto& out = update.value().out_of_service;
        heldVersion = update.value().version;
        isInService = std::find(out.begin(), out.end(), settings.dataCentre.value()) == out.end();
        logEvent(log_level::info, "deployment_in_force", { { "version", heldVersion }, { "in_service", isInService } });
    }
    message::deployment_ackT ack;
    ack.version = heldVersion;
    session->broadcast(packMessage(frame_kind::deployment_ack, 0, ack));
}

void worker_sidecar::impl::prepare(const frame& received)
{
    const auto order = unpackMessage<message::prepare_task>(received.body);
    if (order.has_error() || stopped)
        return;
    const auto& wanted = order.value();
    const detail::leased_task id { task_id { job_id(wanted.job), wanted.index, wanted.attempt },
        lease_id(wanted.lease) };
    // A repeated order for a task that has started already is answered by the reports of that task.
    if (const auto known = tasks.find(id); known != tasks.end() && known->second != detail::worker_task_state::prepared)
        return;
    detail::task_demand demand;
    demand.amount.cpu = cores(wanted.cores);
    demand.amount.memory = mebibytes(wanted.memory_mib);
    demand.amount.accelerator = accelerators(static_cast<std::int64_t>(wanted.accelerators.size()));
    demand.acceleratorIndexes = wanted.accelerators;
    demand.runTime = std::chrono::milliseconds(wanted.run_time_ms);
    demand.command = wanted.command;
    worker.prepare(id, demand, [this, id](const result<void>& answer) {
        if (answer.has_error())
            report(id, message::report_kind::prepare_refused, answer.error().message);
        else
            report(id, message::report_kind::prepared);
    });
}

void worker_sidecar::impl::requestPermit(const detail::leased_task& id)
{
    if (stopped)
        return;
    // A repeated order for a task that runs already only needs its report again.
    if (const auto known = tasks.find(id); known != tasks.end() && known->second == detail::worker_task_state::running)
        return report(id, message::report_kind::started);
    message::permit_requestT question;
    question.worker = settings.name;
    question.incarnation = capacity.boot.value();
    detail::fillTask(question, id);
    const auto correlation = nextCorrelation++;
    permits[correlation] = { id, loop.now() };
    session->send(packMessage(frame_kind::permit_request, correlation, question));
}

void worker_sidecar::impl::handlePermit(const frame& received)
{
    const auto waiting = permits.find(received.correlation);
    const auto answer = unpackMessage<message::permit_answer>(received.body);
    if (waiting == permits.end() || answer.has_error())
        return;
    const auto permit = waiting->second;
    permits.erase(waiting);
    if (answer.value().granted && isInService && loop.now() - permit.sentAt < detail::permitValidity)
        return startTask(permit.task);
    logEvent(log_level::info, "start_not_permitted",
        { { "task", toString(permit.task.task) }, { "reason", answer.value().reason } });
    releaseTask(permit.task);
}

void worker_sidecar::impl::startTask(const detail::leased_task& id)
{
    worker.act(id, "start", [this, id](const result<void>& answer) {
        if (answer.has_error())
            report(id, message::report_kind::failed, answer.error().message);
        else
            report(id, message::report_kind::started);
    });
}

void worker_sidecar::impl::stopTask(const detail::leased_task& id)
{
    worker.act(id, "stop", [this, id](const result<void>& answer) {
        // A worker that does not know the task runs nothing under this lease.
        if (answer.has_value() || answer.error().code == failure_code::not_found)
            report(id, message::report_kind::stopped);
        else
            logEvent(log_level::warning, "stop_failed",
                { { "task", toString(id.task) }, { "reason", answer.error().message } });
    });
}

void worker_sidecar::impl::checkpointTask(const detail::leased_task& id)
{
    worker.act(id, "checkpoint", [this, id](const result<void>& answer) {
        if (answer.has_value())
            report(id, message::report_kind::checkpointed);
    });
}

void worker_sidecar::impl::releaseTask(const detail::leased_task& id)
{
    worker.release(id, [this, id](const result<void>& answer) {
        if (answer.has_value() || answer.error().code == failure_code::not_found)
            report(id, message::report_kind::released);
        else
            logEvent(log_level::info, "release_refused",
                { { "task", toString(id.task) }, { "reason", answer.error().message } });
    });
}

void worker_sidecar::impl::report(const detail::leased_task& id, message::report_kind kind, std::string text)
{
    reports->add(id, kind, std::move(text));
    sendReports();
}

void worker_sidecar::impl::sendReports()
{
    if (!session || !session->isOpen())
        return;
    for (const auto& message : reports->takeDue(loop.now()))
        session->send(message);
}

void worker_sidecar::impl::acknowledge(std::uint64_t correlation)
{
    const auto id = reports->acknowledge(correlation);
    if (!id)
        return;
    // The worker keeps an ended task until control has it on record.
    const auto known = tasks.find(*id);
    if (known != tasks.end() && detail::hasEnded(known->second))
        worker.release(*id, [](const result<void>&) {});
}

void worker_sidecar::impl::finishStop()
{
    timer.cancel();
    stopTimer.cancel();
    if (session) {
        message::goodbyeT goodbye;
        goodbye.reason = "planned stop";
        session->broadcast(packMessage(frame_kind::goodbye, 0, goodbye));
    }
    std::exchange(stopped, nullptr)();
}

result<std::unique_ptr<worker_sidecar>> worker_sidecar::start(event_loop& loop, const daemon_settings& settings)
{
    auto state = std::make_unique<impl>(loop, settings);
    state->readWorker();
    return std::unique_ptr<worker_sidecar>(new worker_sidecar(std::move(state)));
}

worker_sidecar::worker_sidecar(std::unique_ptr<impl> state)
    : m_impl(std::move(state))
{
}

worker_sidecar::~worker_sidecar() = default;

void worker_sidecar::stop(std::function<void()> done)
{
    // Without a reachable control the reports cannot be delivered; a later sidecar reads them from the worker again.
    constexpr duration stopDeadline = std::chrono::seconds(5);
    m_impl->stopped = std::move(done);
    m_impl->stopTimer = m_impl->loop.after(stopDeadline, [this] { m_impl->finishStop(); });
    if (!m_impl->reports || m_impl->reports->empty())
        m_impl->loop.post([this] {
            if (m_impl->stopped)
                m_impl->finishStop();
        });
}

} // namespace poplardeal
