#include "client_budgets.h"
#include "control_metrics.h"
#include "folder_refusal.h"
#include "group_membership.h"
#include "job_leader.h"
#include "metrics_server.h"
#include "peer_mesh.h"
#include "replica_address.h"
#include "status_messages.h"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <poplardeal/base/line_limiter.h>
#include <poplardeal/base/log.h>
#include <poplardeal/consensus/raft_node.h>
#include <poplardeal/fleet/queue_control.h>
#include <poplardeal/wire/message.h>
#include <set>

namespace poplardeal {

using connection_number = std::uint64_t;

namespace {

    constexpr duration raftTick = std::chrono::milliseconds(25);
    constexpr duration heartbeatInterval = std::chrono::milliseconds(100);
    /// Lower bound. A message takes a few milliseconds and a slow disk write up to 150. Kept short, since the
    /// service is unavailable for about twice this timeout when a leader fails.
    constexpr duration electionTimeout = std::chrono::milliseconds(500);
    constexpr duration hintInterval = std::chrono::milliseconds(1000);
    constexpr duration refusalLogInterval = std::chrono::seconds(1);
    constexpr std::size_t maxLoggedPath = 200; ///< Bytes of the path of a refused call.
    constexpr duration metricsInterval = std::chrono::milliseconds(250);
    constexpr duration stopPollInterval = std::chrono::milliseconds(20);
    constexpr duration stopReserve = std::chrono::milliseconds(1500); ///< Left of the grace period after stopping.
    /// A plan is in its log entry twice, as text and in parts, so an entry holds what an operator may send.
    constexpr std::size_t maxOperatorBody = maxLogEntryBytes / 2;
    /// What surrounds a log entry or an operator's body in a frame.
    constexpr std::size_t maxFrameOverhead = std::size_t { 64 } * 1024;
    static_assert(maxLogEntryBytes + maxFrameOverhead <= maxRequestBody);
    constexpr std::size_t maxHelloBytes = std::size_t { 64 } * 1024;
    /// Share of the connections that may be without a hello, which is sent at once.
    constexpr std::size_t helloFraction = 4;
    constexpr std::size_t maxAdvertisedRelays = 4; ///< Per control_hint; a process tries them in turn.
    /// Operators' clients try another control after 1 s without an answer.
    constexpr duration forwardTimeout = std::chrono::milliseconds(900);
    /// Added to `forwardTimeout` for each MiB of the call, for its transfer, check and commit.
    constexpr duration forwardTimeoutPerMebibyte = std::chrono::milliseconds(1000);
    constexpr std::size_t bytesPerMebibyte = std::size_t { 1024 } * 1024;

    /// Tells the operator whether a repeated call can succeed.
    http_response refusalOf(const failure& reason)
    {
        if (reason.code == failure_code::too_large)
            return { 413, {}, reason.message + "\n" };
        return { 503, { { "retry-after", "1" } }, reason.message + "\n" };
    }

    struct incoming_connection {
        std::unique_ptr<channel> link;
        std::optional<message::helloT> hello;
        std::optional<worker_id> worker; ///< That the sidecar on this connection has last reported.
    };

    /// An operator's call that was forwarded to the leader and is not yet answered.
    struct forwarded_call {
        http_responder respond;
        event_loop::timer timeout;
    };

} // namespace

struct queue_control::impl {
    impl(event_loop&, fleet_settings, any_platform_adapter);

    result<void> open();
    result<void> openReplica(bool setAsideDamage);
    /// Takes part in the group, once the replica is open.
    result<void> join();
    void tick();
    void tickRefused(instant now);
    void noteRefusal(const failure&);

    void accept(std::unique_ptr<channel>);
    void handle(connection_number, const frame&);
    void handleHello(connection_number, incoming_connection&, const frame&);
    void answerCall(connection_number, const frame&);
    void handleReport(connection_number, const frame&);
    bool sendInstructions(const worker_id&, std::uint64_t term, const worker_instructions&);
    /// What this replica knows of the group: leader, term, members and relays.
    message::control_hintT hint() const;
    /// Sends the hint to all entries and sidecars if the term or this replica's leadership has changed.
    void broadcastHint();

    void handleOperatorCall(const http_request&, const http_responder&);
    bool mayExecute(const operator_request&) const;
    void putPlan(const put_plan&, const http_responder&);
    void changeDataCentre(const change_data_centre&, const http_responder&);
    void getPlan(const http_responder&);
    http_response redirectToLeader(const http_request&) const;
    void executeOperatorRequest(const operator_request&, const http_responder&);
    void forwardToLeader(const http_request&, const http_responder&);
    void handleForwardedCall(connection_number, const frame&);
    void handleForwardedAnswer(const frame&);
    std::vector<std::string> advertisedRelays() const;
    /// Repeats the leadership transfer until this replica is idle or the deadline has passed, then ends the stop.
    void pollStop(instant deadline);

    event_loop& loop;
    fleet_settings settings;
    any_platform_adapter adapter;
    metrics_registry metrics;
    detail::client_budgets budgets;
    replica_id self;
    detail::job_state_machine stateMachine;
    detail::job_leader jobLeader;
    detail::peer_mesh mesh;
    detail::group_membership groupMembership;
    detail::folder_refusal refusal;
    detail::control_metrics controlMetrics;
    std::unique_ptr<replica> raftReplica; ///< Null while the data folder cannot be opened.
    std::map<connection_number, incoming_connection> connections;
    std::map<worker_id, connection_number> sidecars;
    std::map<std::uint64_t, forwarded_call> forwarded; ///< Key: correlation id of the frame.
    std::uint64_t lastForwarded { 0 };
    connection_number lastConnection { 0 };
    std::unique_ptr<listener> frames;
    std::unique_ptr<http_server> http;
    std::unique_ptr<http_server> metricsHttp;
    event_loop::timer timer;
    event_loop::timer stopTimer;
    instant lastHintAt;
    instant leaderTickAt;
    instant metricsUpdatedAt;
    bool lastHintLeads { false };
    std::uint64_t lastHintTerm { 0 };
    bool stopping { false };
    bool hasFailed { false };
    std::function<void()> stopped;
    detail::line_limiter refusalLines { refusalLogInterval };
};

queue_control::impl::impl(event_loop& eventLoop, fleet_settings given, any_platform_adapter functions)
    : loop(eventLoop)
    , settings(std::move(given))
    , adapter(std::move(functions))
    , budgets(settings, metrics)
    , self(detail::replicaIdFromIp(settings.ip))
    , jobLeader(eventLoop, settings, stateMachine, metrics)
    , mesh(eventLoop, settings, self)
    , groupMembership(settings, self, [this](replica_id to, const frame& out) { mesh.send(to, out, loop.now()); })
    , refusal(settings, self, metrics)
    , controlMetrics(metrics, settings.toleratedLosses)
{
    jobLeader.onInstructions([this](const worker_id& worker, std::uint64_t term, const worker_instructions& out) {
        return sendInstructions(worker, term, out);
    });
    mesh.onFrame([this](const frame& received) {
        if (received.kind == frame_kind::operator_answer)
            return handleForwardedAnswer(received);
        if (received.kind == frame_kind::leave_answer)
            return groupMembership.recordLeaveAnswer();
        if (received.kind != frame_kind::control_hint)
            return;
        const auto parsed = unpackMessage<message::control_hint>(received.body);
        if (parsed.has_error())
            return;
        if (raftReplica)
            groupMembership.recordHint(parsed.value());
        else
            refusal.recordHint(parsed.value());
    });
}

result<void> queue_control::impl::open()
{
    const auto opened = openReplica(false);
    if (opened.has_error() && opened.error().code == failure_code::locked)
        return opened.error();
    BOOST_OUTCOME_TRY(serving,
        http_server::open(loop, settings.http, budgets.limits(maxOperatorBody), budgets.doors(),
            [this](const http_request& request, const http_responder& respond) {
                if (!raftReplica)
                    return respond(detail::folder_refusal::answer());
                handleOperatorCall(request, respond);
            }));
    http = std::move(serving);
    BOOST_OUTCOME_TRY(exposed, detail::serveMetrics(loop, settings, metrics, budgets));
    metricsHttp = std::move(exposed);
    if (opened.has_error()) {
        noteRefusal(opened.error());
    } else {
        BOOST_OUTCOME_TRYV(join());
    }
    timer = loop.every(raftTick, [this] { tick(); });
    return success();
}

result<void> queue_control::impl::openReplica(bool setAsideDamage)
{
    replica_options options;
    options.self = self;
    for (const auto& seed : settings.seeds)
        options.voters.push_back(detail::replicaIdFromIp(seed.ip));
    options.votersNeeded = detail::membership_manager::votersNeeded(settings.toleratedLosses);
    options.maxVoters = detail::membership_manager::maxVoters;
    options.dataFolder = settings.dataFolder;
    options.heartbeatInterval = heartbeatInterval;
    options.electionTimeout = electionTimeout;
    options.seed = self.value() ^ static_cast<std::uint64_t>(toMicros(loop.wallClock()));
    options.snapshotEvery = settings.snapshotEvery;
    // The replicas named as seeds, the same in all settings at the first start, bootstrap the group; others join it.
    const bool isSeed = std::find(options.voters.begin(), options.voters.end(), self) != options.voters.end();
    options.bootstrap = settings.bootstrap && isSeed;
    options.setAsideDamage = setAsideDamage;
    options.repeatsFullDisk = refusal.isDiskFull();
    replica_environment environment;
    environment.send = [this](replica_id to, std::string message) {
        mesh.send(to, frame { frame_kind::raft, 0, std::move(message) }, loop.now());
    };
    environment.post = [this](std::function<void()> work) { loop.post(std::move(work)); };
    environment.stopped = [this](const failure&) { loop.quit(); };
    environment.written = [this](duration time) { controlMetrics.recordWrite(time); };
    BOOST_OUTCOME_TRY(opened, replica::open(options, environment, stateMachine, loop.now()));
    raftReplica = std::move(opened);
    jobLeader.attach(*raftReplica);
    controlMetrics.recordRecovery(raftReplica->recovery());
    return success();
}

result<void> queue_control::impl::join()
{
    refusal.ended();
    BOOST_OUTCOME_TRY(accepting,
        listener::open(loop, { settings.listenIp, settings.framePort },
            [this](std::unique_ptr<channel> link) { accept(std::move(link)); }));
    frames = std::move(accepting);
    return success();
}

void queue_control::impl::noteRefusal(const failure& reason)
{
    refusal.refused(reason, loop.now());
    controlMetrics.recordDiskFull(refusal.isDiskFull());
}

void queue_control::impl::tickRefused(instant now)
{
    for (const auto to : refusal.nextProbes(now))
        mesh.send(to, packMessage(frame_kind::control_probe, 0, message::control_probeT {}), now);
    mesh.tick(now);
    if (!refusal.isAttemptDue(now))
        return;
    const auto opened = openReplica(refusal.maySetAside());
    if (opened.has_error() && opened.error().code != failure_code::locked)
        return noteRefusal(opened.error());
    const auto joined = opened.has_error() ? opened : join();
    if (joined.has_value())
        return;
    logEvent(log_level::error, "start_refused",
        { { "code", toString(joined.error().code) }, { "reason", joined.error().message } });
    hasFailed = true;
    loop.quit();
}

void queue_control::impl::tick()
{
    const auto now = loop.now();
    if (!raftReplica)
        return tickRefused(now);
    raftReplica->tick(now);
    if (now - leaderTickAt >= detail::job_leader::tickInterval) {
        leaderTickAt = now;
        jobLeader.tick(now);
    }
    const bool leads = jobLeader.leads();
    if (leads != lastHintLeads || raftReplica->term() != lastHintTerm || now - lastHintAt > hintInterval)
        broadcastHint();
    groupMembership.tick(*raftReplica, leads, now);
    mesh.tick(now);
    if (now - metricsUpdatedAt >= metricsInterval) {
        metricsUpdatedAt = now;
        controlMetrics.update(*raftReplica, now);
        controlMetrics.recordJoining(groupMembership.joiningFor(now));
    }
}

message::control_hintT queue_control::impl::hint() const
{
    message::control_hintT out;
    out.leads = !stopping && jobLeader.leads();
    out.term = raftReplica->term();
    if (const auto known = raftReplica->leader())
        out.leader = toString(address { detail::ipFromReplicaId(*known), settings.framePort });
    for (const auto& each : raftReplica->members().members)
        out.controls.push_back(toString(address { detail::ipFromReplicaId(each.id), settings.framePort }));
    out.relays = advertisedRelays();
    return out;
}

/// Addresses of entries that relay frames to control, from as many data centres as possible.
std::vector<std::string> queue_control::impl::advertisedRelays() const
{
    std::set<std::string> named;
    std::vector<std::string> out;
    std::vector<std::string> rest;
    for (const auto& [number, each] : connections) {
        if (!each.hello || each.hello->relay.empty())
            continue;
        const bool isNew = named.insert(each.hello->data_centre).second;
        (isNew ? out : rest).push_back(each.hello->relay);
    }
    out.insert(out.end(), rest.begin(), rest.end());
    if (out.size() > maxAdvertisedRelays)
        out.resize(maxAdvertisedRelays);
    return out;
}

void queue_control::impl::broadcastHint()
{
    const auto now = loop.now();
    const auto current = hint();
    const bool changed = current.leads != lastHintLeads || current.term != lastHintTerm;
    lastHintLeads = current.leads;
    lastHintTerm = current.term;
    lastHintAt = now;
    if (!changed)
        return;
    const auto out = packMessage(frame_kind::control_hint, 0, current);
    for (auto& [number, each] : connections) {
        if (each.hello && each.hello->role != message::process_role::control)
            each.link->send(out);
    }
}

void queue_control::impl::accept(std::unique_ptr<channel> link)
{
    const auto hasNoHello = [](const auto& item) { return !item.second.hello; };
    const auto silent = std::count_if(connections.begin(), connections.end(), hasNoHello);
    if (static_cast<std::size_t>(silent) >= budgets.maxFrameConnections() / helloFraction)
        connections.erase(std::find_if(connections.begin(), connections.end(), hasNoHello));
    if (connections.size() >= budgets.maxFrameConnections())
        return;
    const auto number = ++lastConnection;
    auto& each = connections[number];
    each.link = std::move(link);
    each.link->limitBody(maxHelloBytes);
    each.link->onFrame([this, number](const frame& received) { handle(number, received); });
    each.link->onClosed([this, number](const failure&) {
        std::erase_if(sidecars, [number](const auto& item) { return item.second == number; });
        connections.erase(number);
    });
}

void queue_control::impl::handleHello(connection_number number, incoming_connection& open, const frame& received)
{
    auto hello = unpackMessage<message::hello>(received.body);
    if (received.kind != frame_kind::hello || hello.has_error()) {
        logEvent(log_level::warning, "connection_refused",
            { { "peer", toString(open.link->peer()) }, { "reason", "the first frame is not a hello" } });
        connections.erase(number);
        return;
    }
    open.hello = std::move(hello).value();
    open.link->limitBody(maxRequestBody);
    if (open.hello->role != message::process_role::control)
        open.link->send(packMessage(frame_kind::control_hint, 0, hint()));
}

void queue_control::impl::handle(connection_number number, const frame& received)
{
    auto& open = connections.at(number);
    if (!open.hello)
        return handleHello(number, open, received);
    const auto now = loop.now();
    switch (received.kind) {
    case frame_kind::raft: {
        const replica_id from(open.hello->replica);
        groupMembership.recordContact(from, now);
        raftReplica->receive(from, received.body, now);
        return;
    }
    case frame_kind::join_group:
    case frame_kind::leave_group:
        if (const auto answer
            = groupMembership.receive(*raftReplica, jobLeader.leads(), replica_id(open.hello->replica), received, now))
            open.link->send(*answer);
        return;
    case frame_kind::control_probe:
        if (open.worker)
            jobLeader.recordContact(*open.worker);
        open.link->send(packMessage(frame_kind::control_hint, 0, hint()));
        return;
    case frame_kind::queue_call:
        return answerCall(number, received);
    case frame_kind::worker_report:
        return handleReport(number, received);
    case frame_kind::operator_call:
        return handleForwardedCall(number, received);
    default:
        logEvent(log_level::warning, "message_refused",
            { { "kind", static_cast<int>(received.kind) }, { "peer", open.hello->name } });
    }
}

void queue_control::impl::answerCall(connection_number number, const frame& received)
{
    auto call = unpackMessage<message::queue_call>(received.body);
    if (call.has_error())
        return;
    jobLeader.answerCall(
        std::move(call).value(), [this, number, correlation = received.correlation](const message::queue_answerT& out) {
            const auto found = connections.find(number);
            if (found != connections.end())
                found->second.link->send(packMessage(frame_kind::queue_answer, correlation, out));
        });
}

void queue_control::impl::handleReport(connection_number number, const frame& received)
{
    const auto report = unpackMessage<message::worker_report>(received.body);
    if (report.has_error())
        return;
    std::size_t malformed = 0;
    const auto status = detail::fromMessage(report.value(), malformed);
    if (malformed > 0)
        logEvent(log_level::warning, "report_entries_refused",
            { { "worker", status.boot.worker.value() }, { "count", malformed } });
    sidecars[status.boot.worker] = number;
    connections.at(number).worker = status.boot.worker;
    jobLeader.handleReport(status);
}

bool queue_control::impl::sendInstructions(const worker_id& worker, std::uint64_t term, const worker_instructions& out)
{
    const auto bound = sidecars.find(worker);
    if (bound == sidecars.end())
        return false;
    auto& link = *connections.at(bound->second).link;
    bool isSent = true;
    for (const auto& each : detail::toMessages(out, term))
        isSent = isSent && link.send(packMessage(frame_kind::worker_orders, 0, each));
    return isSent;
}

http_response queue_control::impl::redirectToLeader(const http_request& request) const
{
    const auto known = raftReplica->leader();
    if (!known || *known == self || stopping)
        return { 503, { { "retry-after", "1" } }, "no leader is known\n" };
    const auto target = toString(address { detail::ipFromReplicaId(*known), settings.http.port });
    return { 307, { { "location", "http://" + target + request.path } }, {} };
}

/// Every control refuses an invalid plan, whether it leads or not.
static std::optional<std::string> faultOf(const operator_request& request)
{
    const auto* put = std::get_if<put_plan>(&request);
    auto fault = put != nullptr ? validationError(put->plan) : std::nullopt;
    if (fault)
        logEvent(
            log_level::warning, "plan_refused", { { "version", put->plan.version.value() }, { "reason", *fault } });
    return fault;
}

/// A plan takes effect by its commit, so the leader needs no lease for it. Its lease may have run out while it read a
/// large plan, each time that the operator repeats it.
bool queue_control::impl::mayExecute(const operator_request& request) const
{
    return std::holds_alternative<put_plan>(request) ? raftReplica->isLeader() : jobLeader.leads();
}

void queue_control::impl::handleOperatorCall(const http_request& request, const http_responder& respond)
{
    const auto parsed = adapter.readOperatorRequest(request);
    if (parsed.has_error()) {
        if (const auto leftOut = refusalLines.admit(loop.now()))
            logEvent(log_level::warning, "operator_call_refused",
                { { "method", request.method }, { "path", request.path.substr(0, maxLoggedPath) },
                    { "reason", parsed.error().message }, { "left_out", *leftOut } });
        const int status = parsed.error().code == failure_code::not_found ? 404 : 400;
        return respond({ status, {}, parsed.error().message + "\n" });
    }
    if (const auto fault = faultOf(parsed.value()))
        return respond({ 400, {}, *fault + "\n" });
    if (mayExecute(parsed.value()))
        return executeOperatorRequest(parsed.value(), respond);
    // A forwarded call may reach the leader late. A late plan is rejected by its version, but a late change of a data
    // centre would undo a newer one, so its sender is redirected to the leader.
    const bool canBeForwarded = !std::holds_alternative<change_data_centre>(parsed.value());
    const auto known = raftReplica->leader();
    if (canBeForwarded && known && *known != self && !stopping)
        return forwardToLeader(request, respond);
    auto elsewhere = redirectToLeader(request);
    logEvent(log_level::info, "operator_call_redirected",
        { { "method", request.method }, { "path", request.path }, { "status", elsewhere.status },
            { "location", elsewhere.headers.contains("location") ? elsewhere.headers.at("location") : "" },
            { "term", raftReplica->term() } });
    respond(std::move(elsewhere));
}

void queue_control::impl::executeOperatorRequest(const operator_request& request, const http_responder& respond)
{
    if (const auto* plan = std::get_if<put_plan>(&request))
        return putPlan(*plan, respond);
    if (const auto* change = std::get_if<change_data_centre>(&request))
        return changeDataCentre(*change, respond);
    getPlan(respond);
}

/// Forwards the call to the leader and relays its answer: an operator who cannot reach the leader, or whose connection
/// to it failed, can retry the call here.
void queue_control::impl::forwardToLeader(const http_request& request, const http_responder& respond)
{
    message::operator_callT call;
    call.method = request.method;
    call.path = request.path;
    call.body.assign(request.body.begin(), request.body.end());
    const auto correlation = ++lastForwarded;
    auto& waiting = forwarded[correlation];
    waiting.respond = respond;
    const auto timeout = forwardTimeout + forwardTimeoutPerMebibyte * (request.body.size() / bytesPerMebibyte);
    waiting.timeout = loop.after(timeout, [this, correlation, method = request.method, path = request.path] {
        logEvent(log_level::warning, "operator_call_unanswered",
            { { "method", method }, { "path", path }, { "term", raftReplica->term() } });
        const auto expired = std::move(forwarded.at(correlation));
        forwarded.erase(correlation);
        expired.respond({ 503, { { "retry-after", "1" } }, "the leader has not answered\n" });
    });
    mesh.send(*raftReplica->leader(), packMessage(frame_kind::operator_call, correlation, call), loop.now());
}

void queue_control::impl::handleForwardedCall(connection_number number, const frame& received)
{
    const auto call = unpackMessage<message::operator_call>(received.body);
    if (call.has_error())
        return;
    http_request request;
    request.method = call.value().method;
    request.path = call.value().path;
    request.body.assign(call.value().body.begin(), call.value().body.end());
    const auto respond = [this, number, correlation = received.correlation](const http_response& response) {
        const auto found = connections.find(number);
        if (found == connections.end())
            return;
        message::operator_answerT out;
        out.status = static_cast<std::uint32_t>(response.status);
        for (const auto& [name, value] : response.headers) {
            auto entry = std::make_unique<message::headerT>();
            entry->name = name;
            entry->value = value;
            out.headers.push_back(std::move(entry));
        }
        out.body.assign(response.body.begin(), response.body.end());
        found->second.link->send(packMessage(frame_kind::operator_answer, correlation, out));
    };
    const auto parsed = adapter.readOperatorRequest(request);
    if (parsed.has_error())
        return respond({ 400, {}, parsed.error().message + "\n" });
    if (const auto fault = faultOf(parsed.value()))
        return respond({ 400, {}, *fault + "\n" });
    if (!mayExecute(parsed.value()))
        return respond({ 503, { { "retry-after", "1" } }, "this control does not lead\n" });
    executeOperatorRequest(parsed.value(), respond);
}

void queue_control::impl::handleForwardedAnswer(const frame& received)
{
    const auto found = forwarded.find(received.correlation);
    const auto answer = unpackMessage<message::operator_answer>(received.body);
    if (found == forwarded.end() || answer.has_error())
        return;
    const auto waiting = std::move(found->second);
    forwarded.erase(found);
    http_response out { static_cast<int>(answer.value().status), {}, {} };
    for (const auto& each : answer.value().headers)
        out.headers[each->name] = each->value;
    out.body.assign(answer.value().body.begin(), answer.value().body.end());
    waiting.respond(std::move(out));
}

void queue_control::impl::putPlan(const put_plan& request, const http_responder& respond)
{
    jobLeader.propose(
        accept_plan { request.plan }, [respond, version = request.plan.version](const result<apply_outcome>& outcome) {
            logEvent(outcome.has_error() ? log_level::warning : log_level::info, "plan_handed_in",
                { { "version", version.value() },
                    { "outcome",
                        outcome.has_error()                             ? outcome.error().message
                            : outcome.value() == apply_outcome::applied ? "in force"
                                                                        : "not newer" } });
            if (outcome.has_error())
                return respond(refusalOf(outcome.error()));
            respond({ 200, { { "content-type", "application/json" } }, "{}" });
        });
}

void queue_control::impl::changeDataCentre(const change_data_centre& request, const http_responder& respond)
{
    jobLeader.propose(set_data_centre { request.dataCentre, request.inService },
        [respond, request](const result<apply_outcome>& outcome) {
            logEvent(log_level::info, "data_centre_order",
                { { "data_centre_named", request.dataCentre.value() }, { "in_service", request.inService },
                    { "outcome", outcome.has_error() ? outcome.error().message : "recorded" } });
            if (outcome.has_error())
                return respond(refusalOf(outcome.error()));
            respond({ 200, { { "content-type", "application/json" } }, "{}" });
        });
}

void queue_control::impl::getPlan(const http_responder& respond)
{
    if (!stateMachine.table().hasPlan())
        return respond({ 503, { { "retry-after", "1" } }, "no plan has been handed in yet\n" });
    respond({ 200, { { "content-type", "application/json" } }, stateMachine.table().plan().document });
}

void queue_control::impl::pollStop(instant deadline)
{
    const auto now = loop.now();
    const bool hasLeft = !raftReplica->isLeader() && groupMembership.leave(*raftReplica, now);
    const bool idle = hasLeft && http->inFlight() == 0;
    if (idle || now >= deadline) {
        timer.cancel();
        logEvent(log_level::info, "control_stopped", { { "handed_over", !raftReplica->isLeader() } });
        return std::exchange(stopped, nullptr)();
    }
    if (raftReplica->isLeader())
        raftReplica->transferLeadership(now);
    stopTimer = loop.after(stopPollInterval, [this, deadline] { pollStop(deadline); });
}

result<std::unique_ptr<queue_control>> queue_control::start(
    event_loop& loop, const fleet_settings& settings, any_platform_adapter platformAdapter)
{
    auto state = std::make_unique<impl>(loop, settings, std::move(platformAdapter));
    BOOST_OUTCOME_TRYV(state->open());
    return std::unique_ptr<queue_control>(new queue_control(std::move(state)));
}

queue_control::queue_control(std::unique_ptr<impl> state)
    : m_impl(std::move(state))
{
}

queue_control::~queue_control() = default;

bool queue_control::failed() const
{
    return m_impl->hasFailed || !m_impl->raftReplica || m_impl->raftReplica->failed().has_value();
}

void queue_control::stop(std::function<void()> done)
{
    m_impl->stopping = true;
    if (!m_impl->raftReplica) {
        m_impl->timer.cancel();
        return done();
    }
    m_impl->stopped = std::move(done);
    m_impl->broadcastHint();
    m_impl->pollStop(m_impl->loop.now() + std::max(m_impl->settings.stopGrace - stopReserve, duration::zero()));
}

void queue_control::reload(const fleet_settings& settings)
{
    m_impl->settings.seeds = settings.seeds;
    m_impl->settings.leaseLength = settings.leaseLength;
}

} // namespace poplardeal
