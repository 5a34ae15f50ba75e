#include "leader_link.h"
#include "metrics_server.h"
#include "relay_host.h"
#include <nlohmann/json.hpp>
#include <poplardeal/base/log.h>
#include <poplardeal/fleet/queue_entry.h>
#include <poplardeal/jobs/codec.h>
#include <poplardeal/wire/message.h>

namespace poplardeal {

namespace {

    constexpr duration pollInterval = std::chrono::milliseconds(50);
    /// Calls that no leader has answered are given up after this; callers wait 3 s and need time for another attempt.
    constexpr duration callLimit = std::chrono::milliseconds(2000);
    /// After SIGTERM the load balancer needs two missed checks, one a second, to send nothing new.
    constexpr duration drainTime = std::chrono::milliseconds(2600);
    constexpr duration stopReserve = std::chrono::milliseconds(800); ///< Kept free before the end of the grace time.
    constexpr duration leaderGrace = std::chrono::seconds(5); ///< Readiness outlasts a change of leader.
    constexpr std::size_t maxBody = std::size_t { 1024 } * 1024;
    constexpr std::size_t maxReadyBody = 1024;
    constexpr std::size_t maxCalls = 2048; ///< In flight; more are refused. Far above the calls of one entry.

    struct pending_call {
        message::queue_callT call;
        http_responder respond;
        instant receivedAt;
        bool wasSent { false };
    };

} // namespace

struct queue_entry::impl {
    impl(event_loop&, fleet_settings, dialect_functions);

    result<void> open();
    void handle(const http_request&, const http_responder&);
    void answerReady(const http_request&, const http_responder&) const;
    bool isReady() const;
    void forward(std::uint64_t correlation, pending_call&);
    void resendAll();
    void takeAnswer(const frame&);
    void finish(const pending_call&, const message::queue_answerT&);
    void poll();
    void pollStop();

    event_loop& loop;
    fleet_settings settings;
    dialect_functions dialect;
    metrics_registry metrics;
    detail::leader_link controls;
    detail::relay_host relays;
    std::map<std::uint64_t, pending_call> calls;
    std::uint64_t lastCall { 0 };
    std::unique_ptr<http_server> http;
    std::unique_ptr<http_server> ready;
    std::unique_ptr<http_server> metricsHttp;
    event_loop::timer timer;
    event_loop::timer linkTimer;
    instant leaderSeenAt;
    instant stopAskedAt;
    bool stopping { false };
    bool closing { false };
    std::function<void()> stopped;
    timing& callTime;
};

queue_entry::impl::impl(event_loop& eventLoop, fleet_settings given, dialect_functions functions)
    : loop(eventLoop)
    , settings(std::move(given))
    , dialect(std::move(functions))
    , controls(eventLoop, settings, message::process_role::entry, toString(address { settings.ip, settings.framePort }))
    , relays(eventLoop, [this](const address& target) { return controls.isControl(target); })
    , callTime(metrics.getTiming("poplardeal_call_seconds", "Time from a call's arrival to its answer"))
{
    controls.onLeaderChanged([this] { resendAll(); });
    controls.onFrame([this](const frame& received) {
        if (received.kind == frame_kind::queue_answer)
            takeAnswer(received);
    });
}

result<void> queue_entry::impl::open()
{
    BOOST_OUTCOME_TRY(serving,
        http_server::open(loop, settings.http, maxBody,
            [this](const http_request& request, const http_responder& respond) { handle(request, respond); }));
    http = std::move(serving);
    BOOST_OUTCOME_TRY(checked,
        http_server::open(loop, settings.ready, maxReadyBody,
            [this](const http_request& request, const http_responder& respond) { answerReady(request, respond); }));
    ready = std::move(checked);
    BOOST_OUTCOME_TRY(exposed, detail::serveMetrics(loop, settings, metrics));
    metricsHttp = std::move(exposed);
    BOOST_OUTCOME_TRYV(relays.open({ settings.listenIp, settings.framePort }));
    controls.start(loop.now());
    timer = loop.every(pollInterval, [this] { poll(); });
    linkTimer = loop.every(detail::leader_link::tickInterval, [this] { controls.tick(loop.now()); });
    return success();
}

bool queue_entry::impl::isReady() const
{
    return !stopping && (controls.hasLeader() || loop.now() - leaderSeenAt < leaderGrace);
}

void queue_entry::impl::answerReady(const http_request&, const http_responder& respond) const
{
    if (isReady())
        respond({ 200, {}, "ready\n" });
    else
        respond({ 503, {}, stopping ? "stopping\n" : "no control leads\n" });
}

void queue_entry::impl::handle(const http_request& request, const http_responder& respond)
{
    auto parsed = dialect.readQueueRequest(request);
    pending_call pending;
    pending.respond = respond;
    pending.receivedAt = loop.now();
    message::queue_answerT refusal;
    if (parsed.has_error()) {
        logEvent(log_level::info, "call_refused",
            { { "method", request.method }, { "path", request.path }, { "reason", parsed.error().message } });
        refusal.outcome = message::queue_outcome::malformed;
        refusal.reason = parsed.error().message;
        return finish(pending, refusal);
    }
    const auto& known = parsed.value();
    pending.call.verb = known.verb;
    pending.call.host = known.host;
    pending.call.path = known.path;
    pending.call.key = known.key.value();
    if (known.verb == message::queue_verb::submit) {
        const auto job = toCbor(known.job);
        pending.call.job.assign(job.begin(), job.end());
    }
    if (!controls.hasLeader() || calls.size() >= maxCalls) {
        refusal.outcome = message::queue_outcome::not_ready;
        refusal.retry_after_ms = 1000;
        refusal.reason = controls.hasLeader() ? "too many calls in flight" : "no control leads";
        return finish(pending, refusal);
    }
    const auto correlation = ++lastCall;
    auto& kept = calls.emplace(correlation, std::move(pending)).first->second;
    forward(correlation, kept);
}

void queue_entry::impl::forward(std::uint64_t correlation, pending_call& pending)
{
    if (controls.send(packMessage(frame_kind::queue_call, correlation, pending.call)))
        pending.wasSent = true;
}

/// Every call may be sent again: a submission or cancellation that was recorded is only confirmed.
void queue_entry::impl::resendAll()
{
    if (!controls.hasLeader())
        return;
    for (auto& [correlation, pending] : calls)
        forward(correlation, pending);
}

void queue_entry::impl::takeAnswer(const frame& received)
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
    finish(pending, answered.value());
}

void queue_entry::impl::finish(const pending_call& pending, const message::queue_answerT& out)
{
    callTime.observe(loop.now() - pending.receivedAt);
    const bool isServed = out.outcome == message::queue_outcome::accepted
        || out.outcome == message::queue_outcome::shown || out.outcome == message::queue_outcome::counted;
    if (!isServed)
        logEvent(log_level::info, "call_answered",
            { { "path", pending.call.path }, { "verb", message::EnumNamequeue_verb(pending.call.verb) },
                { "outcome", message::EnumNamequeue_outcome(out.outcome) }, { "reason", out.reason },
                { "term", controls.term() } });
    pending.respond(dialect.writeQueueAnswer(pending.call.verb, out));
}

void queue_entry::impl::poll()
{
    const auto now = loop.now();
    if (controls.hasLeader())
        leaderSeenAt = now;
    while (!calls.empty()) {
        const auto oldest = calls.begin();
        if (now - oldest->second.receivedAt < callLimit)
            break;
        const auto pending = std::move(oldest->second);
        calls.erase(oldest);
        message::queue_answerT out;
        const bool changesState
            = pending.call.verb == message::queue_verb::submit || pending.call.verb == message::queue_verb::cancel;
        out.outcome
            = pending.wasSent && changesState ? message::queue_outcome::uncertain : message::queue_outcome::not_ready;
        out.retry_after_ms = 1000;
        out.reason = "no control has answered in time";
        finish(pending, out);
    }
    if (stopping)
        pollStop();
}

void queue_entry::impl::pollStop()
{
    const auto elapsed = loop.now() - stopAskedAt;
    if (elapsed >= drainTime && !std::exchange(closing, true))
        http->stopListening();
    const bool last = elapsed >= settings.stopGrace - stopReserve;
    // Connections that were open at the signal may still carry a request; they are told to close with its response.
    const bool idle = closing && elapsed >= drainTime * 3 / 2 && http->inFlight() == 0;
    if (!stopped || !(last || idle))
        return;
    logEvent(log_level::info, "entry_stopped", { { "calls_in_flight", http->inFlight() } });
    std::exchange(stopped, nullptr)();
}

result<std::unique_ptr<queue_entry>> queue_entry::start(
    event_loop& loop, const fleet_settings& settings, dialect_functions dialect)
{
    auto state = std::make_unique<impl>(loop, settings, std::move(dialect));
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
    m_impl->stopping = true;
    m_impl->stopAskedAt = m_impl->loop.now();
    m_impl->stopped = std::move(done);
}

void queue_entry::reload(const fleet_settings& settings) { m_impl->controls.addSeeds(settings.seeds); }

} // namespace poplardeal
