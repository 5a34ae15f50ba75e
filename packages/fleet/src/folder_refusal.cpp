#include "folder_refusal.h"
#include "replica_address.h"
#include <set>

namespace poplardeal::detail {

namespace {

    gauge& refusalGauge(metrics_registry& metrics, failure_code code)
    {
        return metrics.getGauge("poplardeal_data_folder_refused",
            "1 while this control cannot open its data folder for the reason in code",
            { { "code", std::string(toString(code)) } });
    }

} // namespace

folder_refusal::folder_refusal(const fleet_settings& settings, replica_id self, metrics_registry& metrics)
    : m_settings(settings)
    , m_self(self)
    , m_gauges { { { failure_code::corrupt, &refusalGauge(metrics, failure_code::corrupt) },
          { failure_code::unknown_format, &refusalGauge(metrics, failure_code::unknown_format) },
          { failure_code::no_space, &refusalGauge(metrics, failure_code::no_space) },
          { failure_code::io_error, &refusalGauge(metrics, failure_code::io_error) } } }
{
}

void folder_refusal::showRefusal(std::optional<failure_code> code)
{
    m_code = code;
    for (const auto& each : m_gauges)
        each.value->set(code == each.code ? 1 : 0);
}

void folder_refusal::refused(const failure& reason, instant now)
{
    if (!m_code)
        m_refusedSince = now;
    m_attemptedAt = now;
    m_otherLeads = false;
    showRefusal(reason.code);
}

void folder_refusal::ended() { showRefusal(std::nullopt); }

bool folder_refusal::maySetAside() const { return m_code == failure_code::corrupt && m_otherLeads; }

bool folder_refusal::isAttemptDue(instant now) const
{
    return maySetAside() || now - m_attemptedAt >= (isDiskFull() ? fullDiskAttemptInterval : attemptInterval);
}

std::vector<replica_id> folder_refusal::nextProbes(instant now)
{
    std::vector<replica_id> out;
    if (now - m_refusedSince < holdOff || (m_probedAt && now - *m_probedAt < probeInterval))
        return out;
    m_probedAt = now;
    std::set<replica_id> asked(m_known.list().begin(), m_known.list().end());
    for (const auto& seed : m_settings.seeds)
        asked.insert(replicaIdFromIp(seed.ip));
    asked.erase(m_self);
    out.assign(asked.begin(), asked.end());
    return out;
}

void folder_refusal::recordHint(const message::control_hintT& hint)
{
    m_otherLeads = m_otherLeads || hint.leads;
    m_known.record(hint);
}

http_response folder_refusal::answer()
{
    return { 503, { { "retry-after", "1" } }, "this control cannot open its data folder\n" };
}

} // namespace poplardeal::detail
