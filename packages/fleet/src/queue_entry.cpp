#include "call_verdict.h"
#include "client_budgets.h"
#include "leader_link.h"
#include "metrics_server.h"
#include "relay_host.h"
#include <nlohmann/json.hpp>
#include <poplardeal/base/line_limiter.h>
#include <poplardeal/base/log.h>
#include <poplardeal/fleet/queue_entry.h>
#include <poplardeal/jobs/codec.h>
#include <poplardeal/wire/message.h>

namespace poplardeal {

namespace {

    constexpr duration timerInterval = std::chrono::milliseconds(50);
    /// Calls without an answer from a leader fail after this; clients wait 3 s and need time for another attempt.
    constexpr duration callTimeout = std::chrono::milliseconds(2000);
    /// Time to keep listening after SIGTERM: the load balancer stops sending after two failed checks, one a second.
    constexpr duration drainTime = std::chrono::milliseconds(2600);
    constexpr duration stopReserve
        = std::chrono::milliseconds(800); ///< The process ends this long before its grace time.
    constexpr duration leaderGracePeriod = std::chrono::seconds(5); ///< Stays ready this long without a leader.
    constexpr std::size_t maxBodyBytes = std::size_t { 1024 } * 1024;
    constexpr std::size_t maxReadyBodyBytes = 1024;
    constexpr duration answerLogInterval = std::chrono::milliseconds(10);
    constexpr duration refusalLogInterval = std::chrono::seconds(1);
    constexpr std::size_t maxLoggedPath = 200; ///< Bytes of the path of a refused call.
    constexpr std::size_t maxCallsInFlight = 2048; ///< Further calls are refused; far above the load of one entry.

    /// A call that waits for the leader's answer.
    struct pending_call {
        message::queue_callT call;
        http_responder respond;
        instant receivedAt;
        unsigned attempts { 0 }; ///< Times that the call was sent; a leader may have received each of them.
    };

} // namespace

struct queue_entry::impl {
    impl(event_loop&, fleet_settings, any_platform_adapter);

    result<void> open();
    void handle(const http_request&, const http_responder&);
    void handleReadyRequest(const http_request&, const http_responder&) const;
    bool isReady() const;
    void forward(std::uint64_t correlation, pending_call&);
    void resendAll();
    void handleAnswer(const frame&);
    void finish(const pending_call&, const message::queue_answerT&);
    void onTimer();
    void stopWhenDrained();

    event_loop& loop;
    fleet_settings settings;
    any_platform_adapter platformAdapter;
    metrics_registry metrics;
    detail::client_budgets budgets;
    detail::leader_link leaderLink;
    detail::relay_host relays;
    std::map<std::uint64_t, pending_call> calls;
    std::uint64_t lastCorrelation { 0 };
    std::unique_ptr<http_server> http;
    std::unique_ptr<http_server> ready;
    std::unique_ptr<http_server> metricsHttp;
    event_loop::timer timer;
    event_loop::timer linkTimer;
    instant leaderSeenAt;
    instant stopRequestedAt;
    bool isStopping { false };
    bool hasStoppedListening { false };
    std::function<void()> onStopped;
    timing& callTime;
    detail::line_limiter refusalLines { refusalLogInterval };
    detail::line_limiter answerLines { answerLogInterval };
};

queue_entry::impl::impl(event_loop& eventLoop, fleet_settings initialSettings, any_platform_adapter adapterFunctions)
    : loop(eventLoop)
    , settings(std::move(initialSettings))
    , platformAdapter(std::move(adapterFunctions))
    , budgets(settings, metrics)
    , leaderLink(
          eventLoop, settings, message::process_role::entry, toString(address { settings.ip, settings.framePort }))
    , relays(
          eventLoop, [this](const address& target) { return leaderLink.isControl(target); },
          budgets.maxFrameConnections() / 2)
    , callTime(metrics.getTiming("poplardeal_call_seconds", "Time from a call's arrival to its answer"))
{
    leaderLink.onLeaderChanged([this] { resendAll(); });
    leaderLink.onFrame([this](const frame& received) {
        if (received.kind == frame_kind::queue_answer)
            handleAnswer(received);
    });
}

result<void> queue_entry::impl::open()
{
    BOOST_OUTCOME_TRY(server,
        http_server::open(loop, settings.http, budgets.limits(maxBodyBytes), budgets.doors(),
            [this](const http_request& request, const http_responder& respond) { handle(request, respond); }));
    http = std::move(server);
    BOOST_OUTCOME_TRY(readyServer,
        http_server::open(loop, settings.ready, budgets.limits(maxReadyBodyBytes), budgets.probes(),
            [this](
                const http_request& request, const http_responder& respond) { handleReadyRequest(request, respond); }));
    ready = std::move(readyServer);
    BOOST_OUTCOME_TRY(metricsServer, detail::serveMetrics(loop, settings, metrics, budgets));
    metricsHttp = std::move(metricsServer);
    BOOST_OUTCOME_TRYV(relays.open({ settings.listenIp, settings.framePort }));
    leaderLink.start(loop.now());
    timer = loop.every(timerInterval, [this] { onTimer(); });
    linkTimer = loop.every(detail::leader_link::tickInterval, [this] { leaderLink.tick(loop.now()); });
    return success();
}

bool queue_entry::impl::isReady() const
{
    return !isStopping && (leaderLink.hasLeader() || loop.now() - leaderSeenAt < leaderGracePeriod);
}

void queue_entry::impl::handleReadyRequest(const http_request&, const http_responder& respond) const
{
    if (isReady())
        respond({ 200, {}, "ready\n" });
    else
        respond({ 503, {}, isStopping ? "stopping\n" : "no control leads\n" });
}

void queue_entry::impl::handle(const http_request& request, const http_responder& respond)
{
    auto parsed = platformAdapter.readQueueRequest(request);
    pending_call pending;
    pending.respond = respond;
    pending.receivedAt = loop.now();
    message::queue_answerT refusal;
    if (parsed.has_error()) {
        if (const auto leftOut = refusalLines.admit(loop.now()))
            logEvent(log_level::info, "call_refused",
                { { "method", request.method }, { "path", request.path.substr(0, maxLoggedPath) },
                    { "reason", parsed.error().message }, { "left_out", *leftOut } });
        refusal.outcome = message::queue_outcome::malformed;
        refusal.reason = parsed.error().message;
        return finish(pending, refusal);
    }
    const auto& parsedCall = parsed.value();
    pending.call.verb = parsedCall.verb;
    pending.call.host = parsedCall.host;
    pending.call.path = parsedCall.path;
    pending.call.key = parsedCall.key.value();
    if (parsedCall.verb == message::queue_verb::submit) {
        const auto job = toCbor(parsedCall.job);
        pending.call.job.assign(job.begin(), job.end());
    }
    if (!leaderLink.hasLeader() || calls.size() >= maxCallsInFlight) {
        refusal.outcome = message::queue_outcome::not_ready;
        refusal.retry_after_ms = 1000;
        refusal.reason = leaderLink.hasLeader() ? "too many calls in flight" : "no control leads";
        return finish(pending, refusal);
    }
    const auto correlation = ++lastCorrelation;
    auto& stored = calls.emplace(correlation, std::move(pending)).first->second;
    forward(correlation, stored);
}

void queue_entry::impl::forward(std::uint64_t correlation, pending_call& pending)
{
    if (leaderLink.send(packMessage(frame_kind::queue_call, correlation, pending.call)))
        ++pending.attempts;
}

/// Sends pending calls to the new leader. All calls are idempotent: a submission or cancellation that was already
/// recorded is only confirmed.
void queue_entry::impl::resendAll()
{
    if (!leaderLink.hasLeader())
        return;
    for (auto& [correlation, pending] : calls)
        forward(correlation, pending);
}

void queue_entry::impl::handleAnswer(const frame& received)
{
    const auto found = calls.find(received.correlation);
    if (found == calls.end())
        return;
    const auto answered = unpackMessage<message::queue_answer>(received.body);
    if (answered.has_error()) {
        logEvent(log_level::warning, "message_refused", { { "kind", "queue_answer" } });
        return;
    }
    const auto pending = std::move(found->second);
    calls.erase(found);
    finish(pending, detail::verdictOf(answered.value(), pending.call.verb, pending.attempts));
}

void queue_entry::impl::finish(const pending_call& pending, const message::queue_answerT& answer)
{
    callTime.observe(loop.now() - pending.receivedAt);
    const bool isServed = answer.outcome == message::queue_outcome::accepted
        || answer.outcome == message::queue_outcome::shown || answer.outcome == message::queue_outcome::counted;
    // Calls that this entry refuses by itself cost little, and may come at any rate.
    const auto leftOut = pending.attempts == 0 && !isServed ? answerLines.admit(loop.now()) : std::uint64_t { 0 };
    if (!isServed && leftOut)
        logEvent(log_level::info, "call_answered",
            { { "path", pending.call.path }, { "verb", message::EnumNamequeue_verb(pending.call.verb) },
                { "outcome", message::EnumNamequeue_outcome(answer.outcome) }, { "reason", answer.reason },
                { "term", leaderLink.term() }, { "left_out", *leftOut } });
    pending.respond(platformAdapter.writeQueueAnswer(pending.call.verb, answer));
}

void queue_entry::impl::onTimer()
{
    const auto now = loop.now();
    if (leaderLink.hasLeader())
        leaderSeenAt = now;
    while (!calls.empty()) {
        const auto oldest = calls.begin();
        if (now - oldest->second.receivedAt < callTimeout)
            break;
        const auto pending = std::move(oldest->second);
        calls.erase(oldest);
        message::queue_answerT answer;
        const bool mayBeRecorded = pending.attempts > 0 && detail::changesState(pending.call.verb);
        answer.outcome = mayBeRecorded ? message::queue_outcome::uncertain : message::queue_outcome::not_ready;
        answer.retry_after_ms = 1000;
        answer.reason = "no control has answered in time";
        finish(pending, answer);
    }
    if (isStopping)
        stopWhenDrained();
}

void queue_entry::impl::stopWhenDrained()
{
    const auto elapsed = loop.now() - stopRequestedAt;
    if (elapsed >= drainTime && !std::exchange(hasStoppedListening, true))
        http->stopListening();
    const bool isDeadline = elapsed >= settings.stopGrace - stopReserve;
    // Connections that were open at SIGTERM may still send a request; its response tells the client to close them.
    const bool isIdle = hasStoppedListening && elapsed >= drainTime * 3 / 2 && http->inFlight() == 0;
    if (!onStopped || !(isDeadline || isIdle))
        return;
    logEvent(log_level::info, "entry_stopped", { { "calls_in_flight", http->inFlight() } });
    std::exchange(onStopped, nullptr)();
}

result<std::unique_ptr<queue_entry>> queue_entry::start(
    event_loop& loop, const fleet_settings& settings, any_platform_adapter platformAdapter)
{
    auto state = std::make_unique<impl>(loop, settings, std::move(platformAdapter));
    BOOST_OUTCOME_TRYV(state->open());
    return std::unique_ptr<queue_entry>(new queue_entry(std::move(state)));
}

queue_entry::queue_entry(std::unique_ptr<impl> state)
    : m_impl(std::move(state))
{
}

queue_entry::~queue_entry() = default;

void queue_entry::stop(std::function<void()> done)
{
    m_impl->isStopping = true;
    m_impl->stopRequestedAt = m_impl->loop.now();
    m_impl->onStopped = std::move(done);
}

void queue_entry::reload(const fleet_settings& settings) { m_impl->leaderLink.addSeeds(settings.seeds); }

} // namespace poplardeal
