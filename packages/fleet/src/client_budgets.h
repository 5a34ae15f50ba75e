#pragma once

#include <memory>
#include <poplardeal/base/metrics.h>
#include <poplardeal/fleet/settings.h>
#include <poplardeal/wire/connection_budget.h>
#include <poplardeal/wire/http.h>

namespace poplardeal::detail {

/// What the clients of a process may take of its machine. The rest is for its own work: a quarter of the descriptors
/// and more than half of the memory are never given to clients.
class client_budgets {
public:
    client_budgets(const fleet_settings&, metrics_registry&);

    /// Of the server for clients, operators or the worker.
    const std::shared_ptr<connection_budget>& doors() const { return m_doors; }
    /// Of the servers for readiness checks and metrics, which no client of the other doors can use up.
    const std::shared_ptr<connection_budget>& probes() const { return m_probes; }
    /// Connections of other processes that are accepted at the frame port.
    std::size_t maxFrameConnections() const { return m_maxFrameConnections; }

    /// Limits of a server; those that the settings do not name have defaults.
    http_limits limits(std::size_t maxBodyBytes) const;
    /// Brings the metrics up to date; call it before they are read.
    void updateMetrics();

private:
    http_limits m_limits;
    std::shared_ptr<connection_budget> m_doors;
    std::shared_ptr<connection_budget> m_probes;
    std::size_t m_maxFrameConnections;
    metrics_registry& m_metrics;
};

} // namespace poplardeal::detail
