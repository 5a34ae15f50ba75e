#pragma once

#include <memory>
#include <poplardeal/base/metrics.h>
#include <poplardeal/fleet/settings.h>
#include <poplardeal/wire/http.h>

namespace poplardeal::detail {

/// Serves `GET /metrics` on the `ip` and `metricsPort` of the settings; null if the port is 0. The registry must
/// outlive the server.
result<std::unique_ptr<http_server>> serveMetrics(event_loop&, const fleet_settings&, const metrics_registry&);

} // namespace poplardeal::detail
