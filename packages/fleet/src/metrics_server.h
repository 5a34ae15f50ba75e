#pragma once

#include "client_budgets.h"
#include <memory>
#include <poplardeal/base/metrics.h>
#include <poplardeal/fleet/settings.h>
#include <poplardeal/wire/http.h>

namespace poplardeal::detail {

/// Serves `GET /metrics` on the `ip` and `metricsPort` of the settings; null if the port is 0. Registry and budgets
/// must outlive the server.
result<std::unique_ptr<http_server>> serveMetrics(
    event_loop&, const fleet_settings&, const metrics_registry&, client_budgets&);

} // namespace poplardeal::detail
