#include "membership_manager.h"
#include "replica_address.h"
#include <algorithm>
#include <poplardeal/wire/address.h>

namespace poplardeal::detail {

namespace {

    constexpr duration requestLifetime = std::chrono::seconds(2); ///< Replicas repeat their requests more often.

} // namespace

membership_manager::membership_manager(replica_id self, std::size_t toleratedLosses)
    : m_self(self)
    , m_votersNeeded(votersNeeded(toleratedLosses))
{
}

void membership_manager::recordContact(replica_id from, instant now) { m_lastContact[from] = now; }

void membership_manager::recordJoinRequest(replica_id from, instant now)
{
    constexpr std::uint16_t anyPort = 1;
    if (!isConnectable({ ipFromReplicaId(from), anyPort }))
        return;
    m_lastContact[from] = now;
    m_joinRequests[from] = now;
}

void membership_manager::recordLeaveRequest(replica_id from, instant now)
{
    std::erase_if(m_leaveRequests, [&](const auto& item) { return now - item.second > requestLifetime; });
    m_lastContact[from] = now;
    m_leaveRequests[from] = now;
}

void membership_manager::leadershipBegan(instant now)
{
    m_leadsSince = now;
    m_isChanging = false;
}

std::optional<membership> membership_manager::addLearner(const membership& current, instant now)
{
    std::erase_if(m_joinRequests,
        [&](const auto& item) { return now - item.second > requestLifetime || current.find(item.first) != nullptr; });
    if (m_joinRequests.empty())
        return std::nullopt;
    auto changed = current;
    if (changed.members.size() >= maxMembers) {
        const auto rank = [&](const member& each) {
            const bool mayGo = each.role == member_role::learner && isAbsent(each, learnerAbsenceLimit, now);
            return std::pair(!mayGo, heardAt(each));
        };
        const auto absent = std::min_element(changed.members.begin(), changed.members.end(),
            [&](const member& a, const member& b) { return rank(a) < rank(b); });
        if (rank(*absent).first)
            return std::nullopt;
        changed.members.erase(absent);
    }
    changed.members.push_back({ m_joinRequests.begin()->first, member_role::learner, 0, true });
    return changed;
}

instant membership_manager::heardAt(const member& each) const
{
    const auto heard = m_lastContact.find(each.id);
    return heard == m_lastContact.end() ? m_leadsSince : std::max(heard->second, m_leadsSince);
}

bool membership_manager::isAbsent(const member& each, duration limit, instant now) const
{
    return each.id != m_self && now - heardAt(each) > limit;
}

bool membership_manager::isLeaving(const member& each, instant now) const
{
    const auto asked = m_leaveRequests.find(each.id);
    return each.id != m_self && asked != m_leaveRequests.end() && now - asked->second <= requestLifetime;
}

/// Without the vote of an unavailable voter, the group tolerates at least as many failures of the others, but its
/// entries are on fewer disks. A group that needs all its voters keeps them.
std::optional<membership> membership_manager::withoutUnavailableVoter(const membership& current, instant now) const
{
    if (needsAllVoters(current))
        return std::nullopt;
    auto changed = current;
    auto& all = changed.members;
    const auto findVoter = [&all](const auto& condition) {
        return std::find_if(all.begin(), all.end(),
            [&](const member& each) { return each.role == member_role::voter && condition(each); });
    };
    // One that is leaving still votes, so an absent one goes first. It may have lost its disk and know no other member.
    const auto absent = findVoter([&](const member& each) { return isAbsent(each, voterAbsenceLimit, now); });
    if (absent != all.end()) {
        absent->role = member_role::learner;
        absent->promoteWhenCaughtUp = true;
        return changed;
    }
    const auto leaving = findVoter([&](const member& each) { return isLeaving(each, now); });
    if (leaving == all.end())
        return std::nullopt;
    all.erase(leaving);
    return changed;
}

std::optional<membership> membership_manager::withoutLostLearner(const membership& current, instant now) const
{
    auto changed = current;
    const auto lost = std::find_if(changed.members.begin(), changed.members.end(),
        [&](const member& each) { return each.role == member_role::learner && isAbsent(each, learnerLifetime, now); });
    if (lost == changed.members.end())
        return std::nullopt;
    changed.members.erase(lost);
    return changed;
}

bool membership_manager::mayStop(const membership& current, replica_id id, instant now) const
{
    return !m_isChanging && (!current.isVoter(id) || !withoutUnavailableVoter(current, now));
}

std::optional<membership> membership_manager::nextChange(const membership& current, instant now)
{
    if (m_isChanging)
        return std::nullopt;
    auto change = withoutUnavailableVoter(current, now);
    if (!change)
        change = addLearner(current, now);
    if (!change)
        change = withoutLostLearner(current, now);
    m_isChanging = change.has_value();
    return change;
}

} // namespace poplardeal::detail
