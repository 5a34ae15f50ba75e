#pragma once

#include <memory>
#include <poplardeal/base/metrics.h>
#include <poplardeal/fleet/settings.h>
#include <poplardeal/wire/http.h>

namespace poplardeal::detail {

/// Serves `GET /metrics` on the metrics port of the settings; null if there is none.
result<std::unique_ptr<http_server>> serveMetrics(event_loop&, const fleet_settings&, const metrics_registry&);

} // namespace poplardeal::detail
