#include "known_controls.h"
#include "replica_address.h"
#include <algorithm>
#include <poplardeal/wire/address.h>

namespace poplardeal::detail {

bool known_controls::recordOne(const std::string& text)
{
    const auto parsed = parseAddress(text);
    if (parsed.has_error() || !isConnectable(parsed.value()))
        return false;
    const auto id = replicaIdFromIp(parsed.value().ip);
    const bool isNew = std::erase(m_known, id) == 0;
    m_known.push_back(id);
    if (m_known.size() > maxKnown)
        m_known.erase(m_known.begin());
    return isNew;
}

bool known_controls::record(const message::control_hintT& hint)
{
    if (hint.controls.size() > maxKnown)
        return false;
    bool hasNew = false;
    for (const auto& each : hint.controls)
        hasNew = recordOne(each) || hasNew;
    if (!hint.leader.empty())
        hasNew = recordOne(hint.leader) || hasNew;
    return hasNew;
}

} // namespace poplardeal::detail
