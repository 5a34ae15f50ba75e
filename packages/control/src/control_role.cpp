#include "connections.h"
#include "control_context.h"
#include "operator_api.h"
#include "peer_links.h"
#include "request_claims.h"
#include "worker_service.h"

#include <poplardeal/base/log.h>
#include <poplardeal/control/control_role.h>
#include <xxhash.h>

namespace poplardeal {

namespace detail {

    namespace {

        constexpr duration tickInterval = std::chrono::milliseconds(50);
        /// Time for a follower to take over and for answers to leave before the process ends.
        constexpr duration stopDeadline = std::chrono::seconds(5);
        constexpr duration stopPollInterval = std::chrono::milliseconds(50);

        replica_options toReplicaOptions(const daemon_settings& settings)
        {
            replica_options options;
            options.self = settings.control->replica;
            for (const auto& peer : settings.control->peers)
                options.voters.push_back(peer.replica);
            options.dataFolder = settings.control->dataFolder;
            options.bootstrap = settings.control->bootstrap;
            options.seed = settings.control->replica.value();
            return options;
        }

        frame toUpdate(const control_state& state)
        {
            const auto& record = state.history().back();
            message::deployment_updateT update;
            update.version = record.version.value();
            update.digest = XXH3_64bits(record.toml.data(), record.toml.size());
            update.toml = record.toml;
            for (const auto& dataCentre : state.current()->dataCentres) {
                if (!dataCentre.inService)
                    update.out_of_service.push_back(dataCentre.name.value());
            }
            return packMessage(frame_kind::deployment_update, 0, update);
        }

    } // namespace

} // namespace detail

struct control_role::impl {
    impl(event_loop&, const daemon_settings&);

    result<void> open();
    void tick();
    void handle(detail::connection_id, detail::connection&, const frame&);
    void publishDeployment();
    void pollStop(instant deadline);
    std::optional<address> addressOfLeader(bool http) const;

    event_loop& loop;
    daemon_settings settings;
    detail::control_context context;
    detail::peer_links peers;
    detail::connections connections;
    detail::worker_service workers;
    detail::request_claims claims;
    detail::operator_api api;
    std::unique_ptr<listener> frames;
    std::unique_ptr<http_server> http;
    event_loop::timer timer;
    event_loop::timer stopTimer;
    bool wasLeading { false };
    std::function<void()> stopped;
};

control_role::impl::impl(event_loop& eventLoop, const daemon_settings& daemonSettings)
    : loop(eventLoop)
    , settings(daemonSettings)
    , context { eventLoop, {}, {}, false, {}, [this] { return addressOfLeader(false); },
        [this] { return addressOfLeader(true); } }
    , peers(eventLoop, daemonSettings)
    , connections([this](detail::connection_id id, detail::connection& open,
                      const frame& received) { handle(id, open, received); },
          [this](const detail::connection& ended) {
              if (ended.worker)
                  workers.disconnected(*ended.worker);
          })
    , workers(context, connections)
    , claims(context, connections)
    , api(context, connections, peers, daemonSettings.name, daemonSettings.control->replica)
{
    context.state.onDeploymentChanged([this] { publishDeployment(); });
}

std::optional<address> control_role::impl::addressOfLeader(bool wantsHttp) const
{
    const auto leader = context.member->leader();
    if (!leader)
        return std::nullopt;
    for (const auto& peer : settings.control->peers) {
        if (peer.replica == *leader)
            return wantsHttp ? peer.http : peer.listen;
    }
    return std::nullopt;
}

result<void> control_role::impl::open()
{
    replica_environment environment;
    environment.send = [this](replica_id to, std::string message) { peers.send(to, std::move(message)); };
    environment.stopped = [this](const failure& reason) {
        logEvent(log_level::error, "control_failed", { { "reason", reason.message } });
        loop.quit();
    };
    environment.post = [this](std::function<void()> work) { loop.post(std::move(work)); };
    auto member = replica::open(detail::toReplicaOptions(settings), environment, context.state, loop.now());
    if (member.has_error())
        return member.error();
    context.member = std::move(member).value();
    auto accepting = listener::open(
        loop, settings.control->listen, [this](std::unique_ptr<channel> link) { connections.accept(std::move(link)); });
    if (accepting.has_error())
        return accepting.error();
    frames = std::move(accepting).value();
    auto serving = http_server::open(loop, settings.control->http, detail::operator_api::maxBody,
        [this](const http_request& request, const http_responder& respond) { api.handle(request, respond); });
    if (serving.has_error())
        return serving.error();
    http = std::move(serving).value();
    timer = loop.every(detail::tickInterval, [this] { tick(); });
    logEvent(log_level::info, "control_started",
        { { "replica", settings.control->replica.value() }, { "version", context.state.version().value() } });
    return success();
}

void control_role::impl::tick()
{
    const auto now = loop.now();
    context.member->tick(now);
    const bool leading = context.leads();
    if (leading && !wasLeading) {
        logEvent(log_level::info, "leadership_taken", { { "term", context.member->term() } });
        workers.takeOver(now);
    } else if (!leading && wasLeading) {
        logEvent(log_level::warning, "leadership_lost", { { "term", context.member->term() } });
    }
    wasLeading = leading;
    if (leading)
        workers.tick(now);
    else
        context.state.takeCommands();
}

void control_role::impl::publishDeployment()
{
    logEvent(log_level::info, "deployment_in_force", { { "version", context.state.version().value() } });
    if (context.state.version().value() > 0)
        connections.sendToClients(detail::toUpdate(context.state));
}

void control_role::impl::handle(detail::connection_id id, detail::connection& open, const frame& received)
{
    switch (received.kind) {
    case frame_kind::hello:
        if (open.hello->role != message::process_role::control && context.state.version().value() > 0)
            open.link->send(detail::toUpdate(context.state));
        return;
    case frame_kind::raft:
        if (open.hello->role == message::process_role::control)
            context.member->receive(replica_id(open.hello->replica), received.body, loop.now());
        return;
    case frame_kind::deployment_ack:
        if (const auto ack = unpackMessage<message::deployment_ack>(received.body); ack.has_value())
            open.held = deployment_version(ack.value().version);
        return;
    case frame_kind::session_open:
        return workers.openSession(id, received);
    case frame_kind::session_renew:
        return workers.renewSession(id, received);
    case frame_kind::task_report:
        return workers.takeReport(id, received);
    case frame_kind::permit_request:
        return workers.answerPermit(id, received);
    case frame_kind::claim:
        return claims.claim(id, received);
    case frame_kind::settle:
        return claims.settle(id, received);
    default:
        return;
    }
}

void control_role::impl::pollStop(instant deadline)
{
    const bool handedOver = !context.member->isLeader();
    if ((handedOver && http->inFlight() == 0) || loop.now() >= deadline) {
        timer.cancel();
        connections.closeAll();
        logEvent(log_level::info, "control_stopped");
        return std::exchange(stopped, nullptr)();
    }
    stopTimer = loop.after(detail::stopPollInterval, [this, deadline] { pollStop(deadline); });
}

result<std::unique_ptr<control_role>> control_role::start(event_loop& loop, const daemon_settings& settings)
{
    auto state = std::make_unique<impl>(loop, settings);
    if (auto opened = state->open(); opened.has_error())
        return opened.error();
    return std::unique_ptr<control_role>(new control_role(std::move(state)));
}

control_role::control_role(std::unique_ptr<impl> state)
    : m_impl(std::move(state))
{
}

control_role::~control_role() = default;

bool control_role::failed() const { return m_impl->context.member->failed().has_value(); }

void control_role::stop(std::function<void()> done)
{
    auto& state = *m_impl;
    state.context.stopping = true;
    state.stopped = std::move(done);
    state.http->stopListening();
    state.context.member->transferLeadership(state.loop.now());
    state.pollStop(state.loop.now() + detail::stopDeadline);
}

} // namespace poplardeal
