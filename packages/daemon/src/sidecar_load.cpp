#include "sidecar_load.h"

namespace poplardeal::detail {

simulated_sidecar::simulated_sidecar(
    event_loop& loop, simulated_worker worker, const std::vector<address>& controls, std::uint64_t seed)
    : m_loop(loop)
    , m_worker(std::move(worker))
    , m_incarnation(static_cast<std::uint64_t>(toMicros(loop.wallClock())))
    , m_session(loop, controls, seed, callbacks())
{
    m_session.start();
}

control_session::callbacks simulated_sidecar::callbacks()
{
    control_session::callbacks callbacks;
    callbacks.hello = [this] {
        message::helloT hello;
        hello.role = message::process_role::worker_sidecar;
        hello.name = m_worker.name;
        hello.data_centre = m_worker.dataCentre;
        hello.protocol = 1;
        return hello;
    };
    callbacks.opening = [this] {
        message::session_openT opening;
        opening.worker = m_worker.name;
        opening.incarnation = m_incarnation;
        opening.data_centre = m_worker.dataCentre;
        opening.rack = m_worker.rack;
        opening.cores = m_worker.capacity.cpu.count();
        opening.memory_mib = m_worker.capacity.memory.count();
        opening.accelerators = m_worker.capacity.accelerator.count();
        return opening;
    };
    callbacks.renewed = [](instant) {};
    callbacks.opened = [this] { resend(); };
    callbacks.other = [this](const frame& received) { handle(received); };
    return callbacks;
}

void simulated_sidecar::handle(const frame& received)
{
    if (received.kind == frame_kind::prepare_task)
        return prepare(received);
    if (received.kind == frame_kind::permit_answer)
        return start(received);
    if (received.kind == frame_kind::task_report_ack) {
        m_reports.erase(received.correlation);
        return;
    }
    if (received.kind == frame_kind::deployment_update) {
        if (const auto update = unpackMessage<message::deployment_update>(received.body); update.has_value()) {
            m_heldVersion = std::max(m_heldVersion, update.value().version);
            message::deployment_ackT ack;
            ack.version = m_heldVersion;
            m_session.broadcast(packMessage(frame_kind::deployment_ack, 0, ack));
        }
        return;
    }
    const auto order = unpackMessage<message::task_order>(received.body);
    if (order.has_error())
        return;
    if (received.kind == frame_kind::start_task) {
        requestPermit(order.value());
    } else if (received.kind == frame_kind::checkpoint_task) {
        report(order.value(), message::report_kind::checkpointed);
    } else if (received.kind == frame_kind::stop_task || received.kind == frame_kind::release_task) {
        const bool stopped = received.kind == frame_kind::stop_task;
        m_tasks.erase(order.value().lease);
        report(order.value(), stopped ? message::report_kind::stopped : message::report_kind::released);
    }
}

void simulated_sidecar::prepare(const frame& received)
{
    const auto order = unpackMessage<message::prepare_task>(received.body);
    if (order.has_error())
        return;
    const auto& wanted = order.value();
    m_tasks[wanted.lease].runTime = std::chrono::milliseconds(wanted.run_time_ms);
    message::task_orderT task;
    task.job = wanted.job;
    task.index = wanted.index;
    task.attempt = wanted.attempt;
    task.lease = wanted.lease;
    report(task, message::report_kind::prepared);
}

void simulated_sidecar::requestPermit(const message::task_orderT& task)
{
    message::permit_requestT question;
    question.worker = m_worker.name;
    question.incarnation = m_incarnation;
    question.job = task.job;
    question.index = task.index;
    question.attempt = task.attempt;
    question.lease = task.lease;
    m_permits[++m_lastCorrelation] = task;
    m_session.send(packMessage(frame_kind::permit_request, m_lastCorrelation, question));
}

void simulated_sidecar::start(const frame& received)
{
    const auto waiting = m_permits.find(received.correlation);
    const auto answer = unpackMessage<message::permit_answer>(received.body);
    if (waiting == m_permits.end() || answer.has_error())
        return;
    const auto task = waiting->second;
    m_permits.erase(waiting);
    const auto held = m_tasks.find(task.lease);
    if (held == m_tasks.end())
        return;
    if (!answer.value().granted) {
        m_tasks.erase(held);
        return report(task, message::report_kind::released);
    }
    ++m_startedTasks;
    report(task, message::report_kind::started);
    const auto runTime
        = duration(static_cast<std::int64_t>(static_cast<double>(held->second.runTime.count()) * m_worker.timeScale));
    held->second.finish = m_loop.after(runTime, [this, task] {
        report(task, message::report_kind::finished);
        m_tasks.erase(task.lease);
    });
}

void simulated_sidecar::report(const message::task_orderT& task, message::report_kind kind)
{
    message::task_reportT report;
    report.worker = m_worker.name;
    report.incarnation = m_incarnation;
    report.job = task.job;
    report.index = task.index;
    report.attempt = task.attempt;
    report.lease = task.lease;
    report.kind = kind;
    const auto correlation = ++m_lastCorrelation;
    const auto& kept = m_reports[correlation] = packMessage(frame_kind::task_report, correlation, report);
    m_session.send(kept);
}

void simulated_sidecar::resend()
{
    for (const auto& [correlation, kept] : m_reports)
        m_session.send(kept);
}

} // namespace poplardeal::detail
