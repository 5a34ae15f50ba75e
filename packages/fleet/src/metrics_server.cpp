#include "metrics_server.h"

namespace poplardeal::detail {

result<std::unique_ptr<http_server>> serveMetrics(
    event_loop& loop, const fleet_settings& settings, const metrics_registry& metrics, client_budgets& budgets)
{
    constexpr std::size_t maxBody = 1024;
    if (settings.metricsPort == 0)
        return std::unique_ptr<http_server>();
    return http_server::open(loop, { settings.ip, settings.metricsPort }, budgets.limits(maxBody), budgets.probes(),
        [&metrics, &budgets](const http_request& request, const http_responder& respond) {
            if (request.path != "/metrics")
                return respond({ 404, {}, "not found\n" });
            budgets.updateMetrics();
            respond({ 200, { { "content-type", metrics_registry::contentType } }, metrics.exposition() });
        });
}

} // namespace poplardeal::detail
