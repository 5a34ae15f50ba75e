#include <algorithm>
#include <malloc.h>
#include <poplardeal/wire/connection_budget.h>
#include <utility>

namespace poplardeal {

namespace {

    /// Of a connection without a request: its socket, streams and sources.
    constexpr std::size_t connectionBytes = 4096;
    constexpr std::size_t leastTrimmedPeak = std::size_t { 1024 } * 1024;
    constexpr std::size_t trimFraction = 4;
    /// Share of the connections that may be in the course of closing, and the buffer of each.
    constexpr std::size_t closingFraction = 8;
    constexpr std::size_t leastClosing = 2;
    constexpr std::size_t closingBytes = std::size_t { 17 } * 1024;

} // namespace

connection_budget::connection_budget(limits l)
    : m_limits(l)
{
}

/// The one whose bytes and time make the highest product. Idle connections free no memory.
connection_budget::member* connection_budget::worst(bool forMemory, instant now) const
{
    member* found = nullptr;
    double most = 0;
    for (auto* each : m_members) {
        if (!each->isEvictable())
            continue;
        const auto age = static_cast<double>((now - each->m_since).count()) + 1;
        const auto weight = age * static_cast<double>(each->m_bytes - (forMemory ? connectionBytes : 0));
        if (weight > most) {
            most = weight;
            found = each;
        }
    }
    return found;
}

bool connection_budget::makeRoom(std::size_t more, const member& asking, instant now)
{
    // An evicted connection may still count for a while.
    for (auto left = m_members.size(); m_bytes + more > m_limits.bytes && left > 0; --left) {
        auto* victim = worst(true, now);
        if (victim == nullptr || victim == &asking)
            return false;
        victim->evict(refusal_reason::evicted);
    }
    return m_bytes + more <= m_limits.bytes;
}

bool connection_budget::add(member& added, instant now)
{
    bool hasRoom = m_members.size() < m_limits.connections;
    if (auto* victim = hasRoom ? nullptr : worst(false, now)) {
        // Counts until libsoup has noticed, which is soon, if an answer was being written.
        victim->evict(refusal_reason::too_many_connections);
        hasRoom = true;
    }
    if (!hasRoom) {
        countRefusal(refusal_reason::too_many_connections);
        return false;
    }
    m_members.insert(&added);
    added.m_since = now;
    charge(added, 0);
    return true;
}

bool connection_budget::addClosing(member& added, instant now)
{
    const auto most = std::max(m_limits.connections / closingFraction, leastClosing);
    if (m_closing >= most || m_members.size() >= m_limits.connections)
        return false;
    m_members.insert(&added);
    added.m_since = now;
    added.m_isClosing = true;
    ++m_closing;
    charge(added, closingBytes);
    return true;
}

void connection_budget::remove(member& removed)
{
    if (m_members.erase(&removed) == 0)
        return;
    m_bytes -= std::exchange(removed.m_bytes, 0);
    m_closing -= std::exchange(removed.m_isClosing, false) ? 1 : 0;
}

bool connection_budget::resize(member& resized, std::size_t bytes, instant now)
{
    const auto held = bytes + connectionBytes;
    if (held > resized.m_bytes && !makeRoom(held - resized.m_bytes, resized, now))
        return false;
    charge(resized, bytes);
    return true;
}

void connection_budget::charge(member& charged, std::size_t bytes)
{
    m_bytes -= charged.m_bytes;
    charged.m_bytes = bytes + connectionBytes;
    m_bytes += charged.m_bytes;
    m_peak = std::max(m_peak, m_bytes);
}

void connection_budget::release(member& released, std::size_t bytes, instant now)
{
    charge(released, bytes);
    released.m_since = now;
}

void connection_budget::trim()
{
    if (m_peak < leastTrimmedPeak || m_bytes > m_peak / trimFraction)
        return;
    ::malloc_trim(0);
    m_peak = m_bytes;
}

} // namespace poplardeal
