#include "answered_orders.h"

#include <poplardeal/base/json.h>

namespace poplardeal::detail {

answered_orders::answered_orders(std::size_t maxOrders, duration retention)
    : m_maxOrders(maxOrders)
    , m_retention(retention)
{
}

answered_orders::lookup_result answered_orders::lookup(const order_id& id, std::uint64_t fingerprint) const
{
    const auto found = m_orders.find(id);
    if (found == m_orders.end())
        return { m_orders.size() >= m_maxOrders ? lookup_kind::full : lookup_kind::unknown, {} };
    if (found->second.fingerprint != fingerprint)
        return { lookup_kind::other_content, {} };
    return { lookup_kind::answered, found->second.answer };
}

void answered_orders::record(const order_id& id, std::uint64_t fingerprint, std::string answer, instant now)
{
    if (m_orders.emplace(id, answered_order { fingerprint, std::move(answer), now }).second)
        m_byAge.push_back(id);
}

void answered_orders::dropExpired(instant now)
{
    while (!m_byAge.empty()) {
        const auto oldest = m_orders.find(m_byAge.front());
        if (now - oldest->second.time < m_retention)
            return;
        m_orders.erase(oldest);
        m_byAge.pop_front();
    }
}

nlohmann::json answered_orders::save() const
{
    auto rows = nlohmann::json::array();
    for (const auto& id : m_byAge) {
        const auto& order = m_orders.at(id);
        rows.push_back({ id, order.fingerprint, order.answer, order.time });
    }
    return rows;
}

void answered_orders::restore(const nlohmann::json& rows)
{
    m_orders.clear();
    m_byAge.clear();
    for (const auto& row : rows)
        record(row.at(0).get<order_id>(), row.at(1), row.at(2), row.at(3).get<instant>());
}

} // namespace poplardeal::detail
