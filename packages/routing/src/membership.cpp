#include <algorithm>
#include <poplardeal/routing/membership.h>
#include <xxhash.h>

namespace poplardeal {

std::uint64_t rendezvousWeight(const std::string& tracker, const endpoint_id& endpoint)
{
    const auto seed = XXH3_64bits(tracker.data(), tracker.size());
    return XXH3_64bits_withSeed(endpoint.value().data(), endpoint.value().size(), seed);
}

membership_table::membership_table(membership_settings settings)
    : m_settings(std::move(settings))
{
}

announce_result membership_table::take(const announcement& announced, instant now)
{
    auto found = m_known.find(announced.endpoint);
    if (found != m_known.end()) {
        const auto& known = found->second;
        const auto& last = known.record.last;
        if (announced.process < last.process)
            return announce_result::stale;
        if (announced.process == last.process && (known.finished || announced.sequence <= last.sequence))
            return announce_result::stale;
    }
    const bool wasPresent = found != m_known.end() && found->second.present;
    const bool sameService = wasPresent && found->second.record.last.service == announced.service;
    if (wasPresent && !sameService)
        setAbsent(found->first, found->second);
    if (!sameService && !makeRoom(announced, now))
        return announce_result::not_tracked;
    m_known[announced.endpoint] = known_endpoint { { announced, now }, true, false };
    m_services[announced.service].insert(announced.endpoint);
    return announce_result::accepted;
}

void membership_table::leave(const endpoint_id& endpoint, incarnation process, instant now)
{
    auto found = m_known.find(endpoint);
    if (found == m_known.end() || found->second.record.last.process != process)
        return;
    setAbsent(endpoint, found->second);
    found->second.finished = true;
    found->second.record.heardAt = now;
}

void membership_table::disconnect(const endpoint_id& endpoint, incarnation process, instant now)
{
    auto found = m_known.find(endpoint);
    if (found == m_known.end() || found->second.record.last.process != process)
        return;
    setAbsent(endpoint, found->second);
    found->second.record.heardAt = now;
}

void membership_table::setOutOfService(std::set<data_centre_name> names) { m_outOfService = std::move(names); }

std::vector<endpoint_id> membership_table::expire(instant now)
{
    std::vector<endpoint_id> silent;
    for (auto it = m_known.begin(); it != m_known.end();) {
        auto& [id, known] = *it;
        if (known.present && now - known.record.heardAt >= m_settings.forgetAfter) {
            setAbsent(id, known);
            silent.push_back(id);
        }
        const bool isOld = !known.present && now - known.record.heardAt >= m_settings.rememberFor;
        it = isOld ? m_known.erase(it) : std::next(it);
    }
    return silent;
}

std::vector<const endpoint_record*> membership_table::eligible(const service_name& service, instant now) const
{
    std::vector<const endpoint_record*> records;
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return records;
    for (const auto& id : found->second) {
        const auto& record = m_known.at(id).record;
        if (isEligible(record, now))
            records.push_back(&record);
    }
    return records;
}

const endpoint_record* membership_table::find(const endpoint_id& endpoint) const
{
    const auto found = m_known.find(endpoint);
    return found != m_known.end() && found->second.present ? &found->second.record : nullptr;
}

std::size_t membership_table::presentCount(const service_name& service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.size();
}

std::vector<const endpoint_record*> membership_table::present() const
{
    std::vector<const endpoint_record*> records;
    for (const auto& [id, known] : m_known) {
        if (known.present)
            records.push_back(&known.record);
    }
    return records;
}

bool membership_table::isEligible(const endpoint_record& record, instant now) const
{
    const bool isHeard = now - record.heardAt < m_settings.forgetAfter;
    const bool isServing = record.last.state == endpoint_state::serving;
    return isHeard && isServing && !m_outOfService.contains(record.last.dataCentre);
}

bool membership_table::makeRoom(const announcement& announced, instant now)
{
    if (!makeRoomInService(announced, now))
        return false;
    if (m_known.contains(announced.endpoint) || m_known.size() < m_settings.maxKnown)
        return true;
    auto oldest = m_known.end();
    for (auto it = m_known.begin(); it != m_known.end(); ++it) {
        if (it->second.present)
            continue;
        if (oldest == m_known.end() || it->second.record.heardAt < oldest->second.record.heardAt)
            oldest = it;
    }
    if (oldest == m_known.end())
        return false;
    m_known.erase(oldest);
    return true;
}

bool membership_table::makeRoomInService(const announcement& announced, instant now)
{
    const auto found = m_services.find(announced.service);
    if (found == m_services.end() || found->second.size() < m_settings.maxPerService)
        return true;
    // An endpoint that may not get requests takes no place from one that may.
    const auto rank = [&](const endpoint_record& record) {
        return std::pair(isEligible(record, now), rendezvousWeight(m_settings.tracker, record.last.endpoint));
    };
    const auto worst = std::ranges::min_element(
        found->second, {}, [&](const endpoint_id& id) { return rank(m_known.at(id).record); });
    if (rank(endpoint_record { announced, now }) <= rank(m_known.at(*worst).record))
        return false;
    const endpoint_id replaced(worst->value()); // A copy: setAbsent erases the set's element.
    setAbsent(replaced, m_known.at(replaced));
    return true;
}

void membership_table::setAbsent(const endpoint_id& endpoint, known_endpoint& known)
{
    known.present = false;
    const auto found = m_services.find(known.record.last.service);
    if (found == m_services.end())
        return;
    found->second.erase(endpoint);
    if (found->second.empty())
        m_services.erase(found);
}

} // namespace poplardeal
