#include "process/control_links.h"
#include "process/entry_report.h"
#include "process/role_options.h"
#include "request/call_router.h"

#include <nlohmann/json.hpp>
#include <poplardeal/base/log.h>
#include <poplardeal/daemon/entry_role.h>
#include <utility>

namespace poplardeal {
namespace detail {

    // Time for the load balancer to see the failing health check before connections are refused.
    constexpr duration unhealthyTime = std::chrono::seconds(1);

} // namespace detail

struct entry_role::impl {
    impl(event_loop& l, const detail::entry_options& s)
        : loop(l)
        , settings(s)
        , controls(loop, detail::controlLinksSettings(settings))
        , router(loop, detail::callRouterSettings(settings, loop.wallClock()), controls)
    {
        controls.onDeployment(
            [this](const detail::deployment_in_force& deployment) { router.setOutOfService(deployment.outOfService); });
    }

    result<void> open()
    {
        const auto accept
            = [this](std::unique_ptr<channel> connection) { router.addConnection(std::move(connection)); };
        BOOST_OUTCOME_TRY(openedFrames, listener::open(loop, settings.frames, accept));
        frames = std::move(openedFrames);
        const auto handle
            = [this](http_request request, const http_responder& respond) { take(std::move(request), respond); };
        BOOST_OUTCOME_TRY(openedHttp, http_server::open(loop, settings.http, detail::maxPayload, handle));
        http = std::move(openedHttp);
        controls.start();
        return success();
    }

    void take(http_request request, const http_responder& respond)
    {
        if (request.path == "/healthz")
            return respond(isStopping ? http_response { 503, {}, "stopping\n" } : http_response { 200, {}, "ok\n" });
        if (request.path == "/v1/status")
            return respond(
                detail::jsonResponse(detail::entryStatus(settings.name, controls, router, isStopping, loop.now())));
        if (request.path == "/metrics")
            return respond(detail::textResponse(detail::entryMetrics(controls, router)));
        // Kept connections may still bring requests; without this they could hold up the stop forever.
        if (isRefusing)
            return respond(detail::stoppingResponse());
        router.accept(std::move(request), respond);
    }

    void stop(std::function<void()> callback)
    {
        if (isStopping)
            return;
        isStopping = true;
        done = std::move(callback);
        logEvent(log_level::info, "stopping", { { "in_flight", router.inFlight() } });
        stopTimer = loop.after(detail::unhealthyTime, [this] {
            isRefusing = true;
            http->stopListening();
            router.whenIdle([this] { waitForAnswers(); });
        });
    }

    /// The last bytes of the answers may still be on their way to the callers.
    void waitForAnswers()
    {
        stopTimer = loop.every(std::chrono::milliseconds(10), [this] {
            if (http->inFlight() > 0 || !done)
                return;
            router.closeConnections();
            logEvent(log_level::info, "stopped", { { "accepted", router.counts().accepted } });
            loop.post(std::exchange(done, nullptr));
        });
    }

    event_loop& loop;
    detail::entry_options settings;
    detail::control_links controls;
    detail::call_router router;
    std::unique_ptr<listener> frames;
    std::unique_ptr<http_server> http;
    bool isStopping { false };
    bool isRefusing { false };
    std::function<void()> done;
    event_loop::timer stopTimer;
};

entry_role::entry_role(std::unique_ptr<impl> i)
    : m_impl(std::move(i))
{
}

entry_role::~entry_role() = default;

result<std::unique_ptr<entry_role>> entry_role::start(event_loop& loop, const daemon_settings& settings)
{
    BOOST_OUTCOME_TRY(own, detail::entryOptions(settings));
    auto started = std::make_unique<impl>(loop, own);
    BOOST_OUTCOME_TRY(started->open());
    return std::unique_ptr<entry_role>(new entry_role(std::move(started)));
}

void entry_role::stop(std::function<void()> done) { m_impl->stop(std::move(done)); }

address entry_role::httpAddress() const { return m_impl->http->local(); }

address entry_role::frameAddress() const { return m_impl->frames->local(); }

} // namespace poplardeal
