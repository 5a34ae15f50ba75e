#include "process/control_links.h"
#include "process/role_options.h"
#include "process/sidecar_report.h"
#include "request/message_forms.h"
#include "request/request_runner.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <poplardeal/base/log.h>
#include <poplardeal/daemon/endpoint_sidecar.h>
#include <utility>
#include <vector>

namespace poplardeal {
namespace detail {

    constexpr duration announcePeriod = std::chrono::milliseconds(500);
    // Least time between announcements of a changed load, so that they stay within the control traffic of an entry.
    constexpr duration loadAnnounceGap = std::chrono::milliseconds(100);
    // Entries learn of the draining within one hop. Requests that were on their way then are still taken.
    constexpr duration drainingAcceptTime = std::chrono::seconds(1);
    // Entries that do not answer the goodbye by then are taken as gone.
    constexpr duration goodbyeTimeout = std::chrono::seconds(2);

    /// Connection to one entry.
    struct entry_link {
        std::unique_ptr<dialer> connection;
        std::uint64_t number { 0 }; ///< Grows with each new connection.
        bool hasSaidGoodbye { false };
    };

} // namespace detail

struct endpoint_sidecar::impl {
    impl(event_loop& l, detail::sidecar_options s)
        : loop(l)
        , settings(std::move(s))
        , process(static_cast<std::uint64_t>(toMicros(loop.wallClock())))
        , controls(loop, detail::controlLinksSettings(settings))
        , runner(loop, detail::requestRunnerSettings(settings),
              [this](const detail::asker& to, const message::responseT& response) { answer(to, response); })
    {
    }

    result<void> start()
    {
        if (settings.http) {
            const auto report = [this](const http_request& request, const http_responder& respond) {
                respond(detail::reportSidecar(request.path, reportedState(), runner, controls));
            };
            BOOST_OUTCOME_TRY(opened, http_server::open(loop, *settings.http, maxControlBody, report));
            http = std::move(opened);
        }
        controls.onDeployment([this](const detail::deployment_in_force& deployment) {
            isOutOfService = deployment.outOfService.contains(data_centre_name(settings.dataCentre));
            announceAll();
        });
        runner.onChange([this] { loadChanged(); });
        for (const auto& entry : settings.entries)
            addEntry(entry);
        for (const auto& link : links)
            link.connection->start();
        controls.start();
        announceTimer = loop.every(detail::announcePeriod, [this] { announceAll(); });
        return success();
    }

    bool isServing() const { return !isStopping && !isOutOfService && runner.isReachable(); }

    detail::sidecar_state reportedState() const
    {
        return { settings.name, isServing(), isStopping, droppedAnswers, malformedFrames };
    }

    void addEntry(const address& entry)
    {
        const auto index = links.size();
        links.push_back({ std::make_unique<dialer>(loop, entry, settings.seed + index), 0, false });
        auto& connection = *links.back().connection;
        connection.onUp([this, index] {
            auto& link = links[index];
            ++link.number;
            link.hasSaidGoodbye = false;
            link.connection->send(packMessage(frame_kind::hello, 0, detail::helloOf(settings)));
            announceTo(link);
        });
        connection.onDown([this, index] {
            runner.connectionLost(index, links[index].number);
            finishStop();
        });
        connection.onFrame([this, index](const frame& received) { takeFrame(index, received); });
    }

    void takeFrame(std::size_t entry, const frame& received)
    {
        auto& link = links[entry];
        detail::asker from { entry, link.number, received.correlation, {} };
        if (received.kind == frame_kind::request) {
            auto request = unpackMessage<message::request>(received.body);
            if (!request || request.value().id.empty())
                return malformed(link, "request");
            from.id = request.value().id;
            runner.submit(from, std::move(request.value()));
        } else if (received.kind == frame_kind::outcome_query) {
            const auto query = unpackMessage<message::outcome_query>(received.body);
            if (!query)
                return malformed(link, "outcome_query");
            takeQuery(from, query.value());
        } else if (received.kind == frame_kind::goodbye) {
            link.hasSaidGoodbye = true;
            finishStop();
        } else {
            malformed(link, "unexpected frame");
        }
    }

    void takeQuery(detail::asker from, const message::outcome_queryT& query)
    {
        from.id = query.key;
        // The claim names the process that was to run the request; an earlier process took its outcomes with it.
        if (query.claim == process.value())
            return runner.askOutcome(from, idempotency_key(query.key));
        message::responseT unknown;
        unknown.id = from.id;
        unknown.verdict = message::verdict::may_have_run;
        unknown.status = detail::statusUnknownKey;
        unknown.body_checksum = detail::bodyChecksum({});
        unknown.error = "the claim is that of an earlier process";
        answer(from, unknown);
    }

    void malformed(const detail::entry_link& link, std::string_view what)
    {
        ++malformedFrames;
        logEvent(
            log_level::warning, "malformed_frame", { { "peer", toString(link.connection->peer()) }, { "what", what } });
    }

    void answer(const detail::asker& to, const message::responseT& response)
    {
        auto& link = links[to.entry];
        const bool isSame = link.number == to.connection;
        if (!isSame || !link.connection->send(packMessage(frame_kind::response, to.correlation, response)))
            ++droppedAnswers;
    }

    announcement currentState()
    {
        const auto& limiter = runner.limiter();
        return { endpoint_id(settings.name), service_name(settings.service), data_centre_name(settings.dataCentre),
            process, ++sequence, isServing() ? endpoint_state::serving : endpoint_state::draining,
            settings.limits.slots, limiter.freeSlots(), limiter.queued() };
    }

    void announceTo(detail::entry_link& link)
    {
        if (link.connection->isUp())
            link.connection->send(packMessage(frame_kind::announce, 0, detail::toMessage(currentState())));
    }

    void announceAll()
    {
        lastAnnounced = loop.now();
        announcedFree = runner.limiter().freeSlots() > 0;
        announcedReachable = runner.isReachable();
        for (auto& link : links)
            announceTo(link);
    }

    void loadChanged()
    {
        if (isStopping)
            finishStop();
        const bool isStateChange = announcedReachable != runner.isReachable();
        const bool isFreeChange = announcedFree != (runner.limiter().freeSlots() > 0);
        const bool isDue = loop.now() - lastAnnounced >= detail::loadAnnounceGap;
        if (isStateChange || (isFreeChange && isDue))
            announceAll();
    }

    void stop(std::function<void()> callback)
    {
        if (isStopping)
            return;
        isStopping = true;
        done = std::move(callback);
        logEvent(log_level::info, "draining", { { "endpoint", settings.name } });
        announceAll();
        refuseTimer = loop.after(detail::drainingAcceptTime, [this] {
            runner.refuseNew();
            isRefusing = true;
            finishStop();
        });
    }

    /// Says goodbye once nothing is held, and ends when each entry has answered: then no request is on its way.
    void finishStop()
    {
        if (!isRefusing || !runner.isIdle() || !done)
            return;
        if (!isLeaving) {
            isLeaving = true;
            for (auto& link : links)
                link.connection->send(packMessage(frame_kind::goodbye, 0, message::goodbyeT {}));
            goodbyeTimer = loop.after(detail::goodbyeTimeout, [this] { end(); });
        }
        const bool isEach = std::ranges::all_of(
            links, [](const auto& link) { return link.hasSaidGoodbye || !link.connection->isUp(); });
        if (isEach)
            end();
    }

    void end()
    {
        if (!done)
            return;
        announceTimer.cancel();
        logEvent(log_level::info, "stopped",
            { { "endpoint", settings.name }, { "started", runner.counts().started },
                { "refused", runner.counts().refused }, { "dropped_answers", droppedAnswers } });
        loop.post(std::exchange(done, nullptr));
    }

    event_loop& loop;
    detail::sidecar_options settings;
    incarnation process;
    detail::control_links controls;
    std::vector<detail::entry_link> links;
    detail::request_runner runner;
    std::uint64_t sequence { 0 };
    std::uint64_t droppedAnswers { 0 };
    std::uint64_t malformedFrames { 0 };
    instant lastAnnounced;
    bool announcedFree { true };
    bool announcedReachable { false };
    bool isOutOfService { false };
    bool isStopping { false };
    bool isRefusing { false };
    bool isLeaving { false };
    std::function<void()> done;
    std::unique_ptr<http_server> http;
    event_loop::timer announceTimer;
    event_loop::timer refuseTimer;
    event_loop::timer goodbyeTimer;
};

endpoint_sidecar::endpoint_sidecar(std::unique_ptr<impl> i)
    : m_impl(std::move(i))
{
}

endpoint_sidecar::~endpoint_sidecar() = default;

result<std::unique_ptr<endpoint_sidecar>> endpoint_sidecar::start(event_loop& loop, const daemon_settings& settings)
{
    BOOST_OUTCOME_TRY(own, detail::sidecarOptions(settings));
    auto started = std::make_unique<impl>(loop, std::move(own));
    BOOST_OUTCOME_TRY(started->start());
    return std::unique_ptr<endpoint_sidecar>(new endpoint_sidecar(std::move(started)));
}

void endpoint_sidecar::stop(std::function<void()> done) { m_impl->stop(std::move(done)); }

std::optional<address> endpoint_sidecar::httpAddress() const
{
    return m_impl->http ? std::optional(m_impl->http->local()) : std::nullopt;
}

} // namespace poplardeal
