#include "claimed_keys.h"

#include <poplardeal/base/json.h>

namespace poplardeal::detail {

claimed_keys::claimed_keys(std::size_t maxClaims, duration retention)
    : m_maxClaims(maxClaims)
    , m_retention(retention)
{
}

claimed_keys::claim_result claimed_keys::claim(const claim_key& wanted, instant now)
{
    const scoped_key key { wanted.service, wanted.key };
    if (const auto found = m_claims.find(key); found != m_claims.end()) {
        if (found->second.fingerprint != wanted.fingerprint)
            return claim_result::fingerprint_differs;
        const bool sameRequest = found->second.request == wanted.request && found->second.endpoint == wanted.endpoint;
        return sameRequest ? claim_result::granted : claim_result::already_claimed;
    }
    // m_byAge counts freed claims too, so that claims and releases in turn cannot make it grow without bound.
    if (m_byAge.size() >= m_maxClaims)
        return claim_result::full;
    m_claims.emplace(key,
        claim_record {
            wanted.endpoint, wanted.instance, wanted.request, wanted.fingerprint, run_verdict::may_have_run, now });
    m_byAge.push_back({ key, now });
    return claim_result::granted;
}

void claimed_keys::settle(const settle_key& settled)
{
    const auto found = m_claims.find({ settled.service, settled.key });
    if (found == m_claims.end() || found->second.request != settled.request)
        return;
    if (settled.verdict == run_verdict::not_run && found->second.verdict == run_verdict::may_have_run)
        m_claims.erase(found);
    else if (settled.verdict == run_verdict::ran)
        found->second.verdict = run_verdict::ran;
}

const claimed_keys::claim_record* claimed_keys::find(const service_name& service, const idempotency_key& key) const
{
    const auto found = m_claims.find({ service, key });
    return found == m_claims.end() ? nullptr : &found->second;
}

void claimed_keys::dropExpired(instant now)
{
    while (!m_byAge.empty() && now - m_byAge.front().time >= m_retention) {
        const auto found = m_claims.find(m_byAge.front().key);
        if (found != m_claims.end() && found->second.time == m_byAge.front().time)
            m_claims.erase(found);
        m_byAge.pop_front();
    }
}

nlohmann::json claimed_keys::save() const
{
    auto rows = nlohmann::json::array();
    for (const auto& dated : m_byAge) {
        const auto found = m_claims.find(dated.key);
        if (found == m_claims.end() || found->second.time != dated.time) {
            rows.push_back({ dated.key.first, dated.key.second, dated.time });
            continue;
        }
        const auto& claim = found->second;
        rows.push_back({ dated.key.first, dated.key.second, dated.time, claim.endpoint, claim.instance, claim.request,
            claim.fingerprint, claim.verdict });
    }
    return rows;
}

void claimed_keys::restore(const nlohmann::json& rows)
{
    m_claims.clear();
    m_byAge.clear();
    for (const auto& row : rows) {
        const scoped_key key { row.at(0).get<service_name>(), row.at(1).get<idempotency_key>() };
        const auto time = row.at(2).get<instant>();
        m_byAge.push_back({ key, time });
        if (row.size() == 3)
            continue;
        m_claims[key] = { row.at(3).get<endpoint_id>(), row.at(4).get<incarnation>(), row.at(5).get<request_id>(),
            row.at(6).get<std::uint64_t>(), row.at(7).get<run_verdict>(), time };
    }
}

} // namespace poplardeal::detail
