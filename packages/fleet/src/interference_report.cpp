#include "interference_report.h"
#include <nlohmann/json.hpp>
#include <poplardeal/base/log.h>

namespace poplardeal::detail {

interference_report::interference_report(metrics_registry& metrics)
    : m_pairs(metrics.getGauge("poplardeal_interfering_pairs", "Pairs of kinds of which one slows the other down"))
{
}

void interference_report::update(const interference_table& table)
{
    std::set<pair_name> known;
    for (const auto& each : table.estimates()) {
        known.emplace(each.affected, each.cause);
        if (m_known.contains({ each.affected, each.cause }))
            continue;
        logEvent(log_level::info, "interference_known",
            { { "affected", each.affected.value() }, { "cause", each.cause.value() }, { "slowdown", each.slowdown },
                { "certainty", each.certainty } });
    }
    for (const auto& [affected, cause] : m_known) {
        if (!known.contains({ affected, cause }))
            logEvent(log_level::info, "interference_forgotten",
                { { "affected", affected.value() }, { "cause", cause.value() } });
    }
    m_known = std::move(known);
    m_pairs.set(static_cast<double>(m_known.size()));
}

} // namespace poplardeal::detail
