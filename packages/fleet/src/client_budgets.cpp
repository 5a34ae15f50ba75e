#include "client_budgets.h"
#include <algorithm>
#include <utility>

namespace poplardeal::detail {

namespace {

    constexpr std::size_t bytesPerMegabyte = std::size_t { 1024 } * 1024;
    constexpr std::size_t memoryShareOfDoors = 4; ///< One part in so many, also below.
    constexpr std::size_t memoryShareOfProbes = 32;
    /// Of logs, data files, listeners and the links to controls and the worker.
    constexpr std::size_t ownDescriptors = 64;

    /// The descriptors that clients and other processes share.
    std::size_t sharedDescriptors(std::size_t all) { return all - std::min(all / 2, ownDescriptors); }

    std::shared_ptr<connection_budget> makeBudget(std::size_t bytes, std::size_t connections)
    {
        return std::make_shared<connection_budget>(connection_budget::limits { bytes, connections });
    }

} // namespace

client_budgets::client_budgets(const fleet_settings& settings, metrics_registry& metrics)
    : m_limits(settings.clientLimits)
    , m_metrics(metrics)
{
    const auto bytes = settings.memoryMegabytes * bytesPerMegabyte;
    const auto descriptors = sharedDescriptors(settings.maxDescriptors);
    auto connections = descriptors * 3 / 8;
    if (settings.maxConnections > 0)
        connections = std::min(connections, settings.maxConnections);
    m_doors = makeBudget(bytes / memoryShareOfDoors, connections);
    m_probes = makeBudget(bytes / memoryShareOfProbes, std::max<std::size_t>(descriptors / 16, 4));
    m_maxFrameConnections = descriptors / 2;
}

http_limits client_budgets::limits(std::size_t maxBodyBytes) const
{
    auto out = m_limits;
    out.maxBodyBytes = maxBodyBytes;
    return out;
}

void client_budgets::updateMetrics()
{
    for (std::size_t i = 0; i < refusalNames.size(); ++i) {
        const auto reason = static_cast<refusal_reason>(i);
        auto& counted = m_metrics.getCounter("poplardeal_requests_refused_total",
            "Requests refused and connections cut before a request was handled", { { "reason", refusalNames.at(i) } });
        counted.add(m_doors->refused(reason) + m_probes->refused(reason) - counted.value());
    }
    const std::pair<const char*, const connection_budget&> budgets[] { { "doors", *m_doors }, { "probes", *m_probes } };
    for (const auto& [name, budget] : budgets) {
        m_metrics.getGauge("poplardeal_connections", "Connections of clients", { { "budget", name } })
            .set(static_cast<double>(budget.connections()));
        m_metrics
            .getGauge("poplardeal_buffered_bytes", "Held for requests and answers of clients", { { "budget", name } })
            .set(static_cast<double>(budget.bytes()));
    }
}

} // namespace poplardeal::detail
