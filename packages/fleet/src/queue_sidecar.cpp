#include "client_budgets.h"
#include "leader_link.h"
#include "metrics_server.h"
#include "status_messages.h"
#include <deque>
#include <nlohmann/json.hpp>
#include <poplardeal/base/line_limiter.h>
#include <poplardeal/base/log.h>
#include <poplardeal/fleet/queue_sidecar.h>
#include <poplardeal/wire/message.h>
#include <tuple>

namespace poplardeal {

namespace {

    constexpr duration tickInterval = std::chrono::milliseconds(50);
    constexpr duration pollTimeoutMargin = std::chrono::milliseconds(400); ///< Added to the long-poll wait.
    /// A worker on the same machine answers a start or stop within milliseconds or never. The timeout is short because
    /// a retried start delays the whole gang.
    constexpr duration orderTimeout = std::chrono::milliseconds(200);
    constexpr unsigned workerConnections = 64;
    /// Orders to the worker under way; others wait. Each takes milliseconds, and its timeout must not run while it
    /// waits for a connection.
    constexpr std::size_t maxOrdersInFlight = 16;
    constexpr std::size_t maxAnnouncementBytes = std::size_t { 64 } * 1024;
    constexpr duration refusalLogInterval = std::chrono::seconds(1);
    constexpr std::size_t maxLoggedPath = 200; ///< Bytes of the path of a refused call.

} // namespace

struct queue_sidecar::impl {
    impl(event_loop&, fleet_settings, any_platform_adapter);

    result<void> open();
    void handleAnnouncement(const http_request&, const http_responder&);
    void tick();
    void poll();
    void handlePollResult(const http_result&, const worker_boot&);
    void send(const probe_request&);
    void handleProbeResult(const http_result&, const probe_request&);
    void report();
    void handleOrders(const frame&);
    /// Does what the agent asks for after a change.
    void carryOut();
    void sendOrders();
    void send(const start_order&);
    void send(const stop_order&);
    /// Counts the order as answered, and hands its outcome to the agent.
    template <class Reply> void finishOrder(const Reply&);
    void handleStartResult(start_reply, const http_result&);
    void handleStopResult(stop_reply, const http_result&);
    /// The address from the settings if the worker announces none.
    address resolve(const std::string& announced) const;
    address workerAddress() const { return resolve(agent.worker()->address); }

    event_loop& loop;
    fleet_settings settings;
    any_platform_adapter platformAdapter;
    metrics_registry metrics;
    detail::client_budgets budgets;
    detail::leader_link leaderLink;
    http_client client;
    worker_agent agent;
    std::deque<worker_order> waitingOrders;
    std::size_t ordersInFlight { 0 };
    std::unique_ptr<http_server> http;
    std::unique_ptr<http_server> metricsHttp;
    event_loop::timer timer;
    event_loop::timer linkTimer;
    counter& unansweredCalls;
    counter& refusedAnnouncements;
    counter& failedProbes;
    counter& oddRows;
    detail::line_limiter refusalLines { refusalLogInterval };
    detail::line_limiter probeLines { refusalLogInterval };
    detail::line_limiter rowLines { refusalLogInterval };
};

queue_sidecar::impl::impl(event_loop& eventLoop, fleet_settings initialSettings, any_platform_adapter adapterFunctions)
    : loop(eventLoop)
    , settings(std::move(initialSettings))
    , platformAdapter(std::move(adapterFunctions))
    , budgets(settings, metrics)
    , leaderLink(eventLoop, settings, message::process_role::worker_sidecar)
    , client(eventLoop, workerConnections)
    , agent({}, eventLoop.now())
    , unansweredCalls(
          metrics.getCounter("poplardeal_worker_calls_unanswered_total", "Calls to the worker without an answer"))
    , refusedAnnouncements(metrics.getCounter(
          "poplardeal_announcements_refused_total", "Announcements that are malformed or name no usable worker"))
    , failedProbes(metrics.getCounter("poplardeal_worker_probes_failed_total",
          "Polls of an announced worker that it did not answer as the boot that was announced"))
    , oddRows(metrics.getCounter(
          "poplardeal_list_rows_refused_total", "Rows of the worker's lists that could not be read, or only in part"))
{
    leaderLink.onFrame([this](const frame& received) {
        if (received.kind == frame_kind::worker_orders)
            handleOrders(received);
    });
    leaderLink.onLeaderChanged([this] { report(); });
}

result<void> queue_sidecar::impl::open()
{
    BOOST_OUTCOME_TRY(server,
        http_server::open(loop, settings.http, budgets.limits(maxAnnouncementBytes), budgets.doors(),
            [this](
                const http_request& request, const http_responder& respond) { handleAnnouncement(request, respond); }));
    http = std::move(server);
    BOOST_OUTCOME_TRY(metricsServer, detail::serveMetrics(loop, settings, metrics, budgets));
    metricsHttp = std::move(metricsServer);
    leaderLink.start(loop.now());
    timer = loop.every(tickInterval, [this] { tick(); });
    linkTimer = loop.every(detail::leader_link::tickInterval, [this] { leaderLink.tick(loop.now()); });
    return success();
}

void queue_sidecar::impl::handleAnnouncement(const http_request& request, const http_responder& respond)
{
    const auto announced = platformAdapter.readAnnouncement(request);
    if (announced.has_error()) {
        refusedAnnouncements.add();
        if (const auto leftOut = refusalLines.admit(loop.now()))
            logEvent(log_level::warning, "announcement_refused",
                { { "path", request.path.substr(0, maxLoggedPath) }, { "reason", announced.error().message },
                    { "left_out", *leftOut } });
        const int status = announced.error().code == failure_code::not_found ? 404 : 400;
        return respond({ status, {}, announced.error().message + "\n" });
    }
    const auto& status = announced.value().status;
    if (status.isGone) {
        // Names no boot: shows which one is followed, and whether that one has said that it drains.
        const auto* followed = agent.worker();
        logEvent(log_level::info, "worker_says_it_ends",
            { { "worker", status.boot.worker.value() },
                { "followed_worker", followed != nullptr ? followed->boot.worker.value() : "" },
                { "followed_started_at_ms", followed != nullptr ? followed->boot.startedAtMs : 0 },
                { "draining", followed != nullptr && followed->isDraining } });
    }
    agent.applyAnnouncement(announced.value(), loop.now());
    carryOut();
    respond({ 200, { { "content-type", "application/json" } }, "{}" });
}

void queue_sidecar::impl::tick()
{
    agent.tick(loop.now());
    carryOut();
}

void queue_sidecar::impl::carryOut()
{
    for (auto& order : agent.takeOrders())
        waitingOrders.push_back(std::move(order));
    sendOrders();
    if (agent.takeReportRequest())
        report();
    for (const auto& probe : agent.takeProbes(leaderLink.term(), loop.now()))
        send(probe);
    if (agent.isPollDue(loop.now()))
        poll();
}

address queue_sidecar::impl::resolve(const std::string& announced) const
{
    const auto parsed = parseAddress(announced);
    return parsed.has_value() ? parsed.value() : settings.worker;
}

void queue_sidecar::impl::send(const probe_request& probe)
{
    client.send(resolve(probe.address), platformAdapter.makePollRequest(probe.boot, probe.poll), pollTimeoutMargin,
        connection_use::kept, [this, probe](const http_result& result) { handleProbeResult(result, probe); });
}

void queue_sidecar::impl::handleProbeResult(const http_result& result, const probe_request& probe)
{
    const auto fail = [&](const std::string& reason) {
        failedProbes.add();
        if (const auto leftOut = probeLines.admit(loop.now()))
            logEvent(log_level::warning, "worker_unconfirmed",
                { { "worker", probe.boot.worker.value() }, { "started_at_ms", probe.boot.startedAtMs },
                    { "address", probe.address }, { "reason", reason }, { "left_out", *leftOut } });
        agent.applyProbeFailure(probe, loop.now());
        carryOut();
    };
    if (result.has_error())
        return fail(result.error().cause.message);
    if (result.value().status != 200)
        return fail("status " + std::to_string(result.value().status));
    const auto lists = platformAdapter.readPollResult(result.value());
    if (lists.has_error())
        return fail(lists.error().message);
    if (lists.value().startedAtMs.value_or(probe.boot.startedAtMs) != probe.boot.startedAtMs)
        return fail("another boot answers there");
    if (agent.applyProbeResult(probe, lists.value(), loop.now()) == agent_change::new_worker) {
        const auto& status = *agent.worker();
        logEvent(log_level::info, "worker_announced",
            { { "worker", status.boot.worker.value() }, { "started_at_ms", status.boot.startedAtMs },
                { "service", status.service.value() }, { "rack", status.rack.value() } });
    }
    carryOut();
}

void queue_sidecar::impl::poll()
{
    const auto request = agent.beginPoll(leaderLink.term());
    const auto boot = agent.worker()->boot;
    client.send(workerAddress(), platformAdapter.makePollRequest(boot, request), request.wait + pollTimeoutMargin,
        connection_use::kept, [this, boot](const http_result& result) { handlePollResult(result, boot); });
}

void queue_sidecar::impl::handlePollResult(const http_result& result, const worker_boot& boot)
{
    const auto noteChange = [&boot](agent_change change, const std::string& reason) {
        if (change == agent_change::worker_gone)
            logEvent(log_level::info, "worker_gone",
                { { "worker", boot.worker.value() }, { "started_at_ms", boot.startedAtMs }, { "reason", reason } });
    };
    const auto fail = [&](const char* event, const std::string& reason, poll_failure shown = poll_failure::silence) {
        noteChange(agent.applyPollFailure(boot, shown, loop.now()), reason);
        if (agent.pollFailures() == 1)
            logEvent(log_level::warning, event, { { "worker", boot.worker.value() }, { "reason", reason } });
        carryOut();
    };
    const auto shownBy = [](bool hasEnded) { return hasEnded ? poll_failure::boot_ended : poll_failure::silence; };
    if (result.has_error()) {
        const auto& cause = result.error().cause;
        return fail("worker_lost", cause.message, shownBy(cause.code == failure_code::connection_refused));
    }
    constexpr int misdirected = 421; // Another boot answers.
    if (const auto status = result.value().status; status != 200)
        return fail("worker_lost", "status " + std::to_string(status), shownBy(status == misdirected));
    auto lists = platformAdapter.readPollResult(result.value());
    if (lists.has_error())
        return fail("lists_refused", lists.error().message);
    const auto odd = lists.value().oddRows;
    oddRows.add(odd);
    if (const auto leftOut = odd > 0 ? rowLines.admit(loop.now()) : std::nullopt)
        logEvent(log_level::warning, "list_rows_refused",
            { { "worker", boot.worker.value() }, { "rows", odd }, { "complete", lists.value().isComplete },
                { "left_out", *leftOut } });
    const bool wasLost = agent.pollFailures() > 0;
    noteChange(agent.applyPollResult(boot, std::move(lists.value()), loop.now()), "another boot answers");
    if (wasLost && agent.pollFailures() == 0)
        logEvent(log_level::info, "worker_regained", { { "worker", boot.worker.value() } });
    carryOut();
}

void queue_sidecar::impl::report()
{
    if (!leaderLink.hasLeader())
        return;
    if (const auto status = agent.report(loop.now()))
        leaderLink.send(packMessage(frame_kind::worker_report, 0, detail::toMessage(*status)));
}

void queue_sidecar::impl::handleOrders(const frame& received)
{
    const auto message = unpackMessage<message::worker_orders>(received.body);
    if (message.has_error())
        return;
    std::size_t malformed = 0;
    const auto orders = detail::fromMessage(message.value(), malformed);
    const auto late = agent.applyInstructions(message.value().term, orders, loop.now());
    for (const auto& run : late)
        logEvent(log_level::warning, "start_too_late",
            { { "job", run.task.job.value() }, { "task", toString(run.task) }, { "run", run.run.value() },
                { "worker", orders.boot.worker.value() } });
    carryOut();
}

void queue_sidecar::impl::sendOrders()
{
    while (!waitingOrders.empty() && ordersInFlight < maxOrdersInFlight) {
        const auto order = std::move(waitingOrders.front());
        waitingOrders.pop_front();
        ++ordersInFlight;
        std::visit([this](const auto& each) { send(each); }, order);
    }
}

template <class Reply> void queue_sidecar::impl::finishOrder(const Reply& reply)
{
    --ordersInFlight;
    agent.applyReply(reply, loop.now());
    carryOut();
}

void queue_sidecar::impl::send(const start_order& order)
{
    start_reply reply { order.start.run, order.boot, std::nullopt, {}, true };
    client.send(workerAddress(), platformAdapter.makeStartRequest(order.boot, order.start, order.term), orderTimeout,
        connection_use::kept, [this, reply](const http_result& result) { handleStartResult(reply, result); });
}

void queue_sidecar::impl::handleStartResult(start_reply reply, const http_result& result)
{
    const auto& run = reply.run;
    if (result.has_error()) {
        unansweredCalls.add();
        reply.mayHaveArrived = result.error().verdict != run_verdict::not_run;
        logEvent(log_level::warning, "start_unanswered",
            { { "job", run.task.job.value() }, { "task", toString(run.task) }, { "run", run.run.value() },
                { "reason", result.error().cause.message } });
    } else {
        std::tie(reply.result, reply.reason) = platformAdapter.readStartResult(result.value());
        if (*reply.result != start_result::accepted)
            logEvent(log_level::warning, "start_refused_by_worker",
                { { "job", run.task.job.value() }, { "task", toString(run.task) }, { "run", run.run.value() },
                    { "reason", reply.reason }, { "certain", !agent.mayStillStart(run) } });
    }
    finishOrder(reply);
}

void queue_sidecar::impl::send(const stop_order& order)
{
    const stop_reply reply { order.run, order.boot, std::nullopt };
    client.send(workerAddress(), platformAdapter.makeStopRequest(order.boot, order.run, order.term), orderTimeout,
        connection_use::kept, [this, reply](const http_result& result) { handleStopResult(reply, result); });
}

void queue_sidecar::impl::handleStopResult(stop_reply reply, const http_result& result)
{
    const auto& run = reply.run;
    if (result.has_error()) {
        unansweredCalls.add();
    } else {
        reply.isAccepted = result.value().status == 200;
        if (!*reply.isAccepted)
            logEvent(log_level::warning, "stop_refused_by_worker",
                { { "job", run.task.job.value() }, { "task", toString(run.task) }, { "run", run.run.value() },
                    { "status", result.value().status } });
    }
    finishOrder(reply);
}

result<std::unique_ptr<queue_sidecar>> queue_sidecar::start(
    event_loop& loop, const fleet_settings& settings, any_platform_adapter platformAdapter)
{
    auto state = std::make_unique<impl>(loop, settings, std::move(platformAdapter));
    BOOST_OUTCOME_TRYV(state->open());
    return std::unique_ptr<queue_sidecar>(new queue_sidecar(std::move(state)));
}

queue_sidecar::queue_sidecar(std::unique_ptr<impl> state)
    : m_impl(std::move(state))
{
}

queue_sidecar::~queue_sidecar() = default;

void queue_sidecar::stop(std::function<void()> done) { std::exchange(done, nullptr)(); }

void queue_sidecar::reload(const fleet_settings& settings) { m_impl->leaderLink.addSeeds(settings.seeds); }

} // namespace poplardeal
