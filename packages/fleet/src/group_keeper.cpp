#include "group_keeper.h"
#include <algorithm>

namespace poplardeal::detail {

namespace {

    constexpr duration joinValid = std::chrono::seconds(2); ///< A request to join is repeated more often than this.

} // namespace

group_keeper::group_keeper(replica_id self)
    : m_self(self)
{
}

void group_keeper::heardFrom(replica_id from, instant now) { m_heard[from] = now; }

void group_keeper::wantsToJoin(replica_id from, instant now)
{
    m_heard[from] = now;
    m_joining[from] = now;
}

void group_keeper::leadershipBegan(instant now)
{
    m_leadsSince = now;
    m_isChanging = false;
}

std::optional<membership> group_keeper::addJoining(const membership& current, instant now)
{
    std::erase_if(m_joining,
        [&](const auto& item) { return now - item.second > joinValid || current.find(item.first) != nullptr; });
    if (m_joining.empty() || current.voterCount() >= maxVoters)
        return std::nullopt;
    auto changed = current;
    changed.members.push_back({ m_joining.begin()->first, member_role::learner, 0, true });
    return changed;
}

/// An even number of voters bears no more losses than one voter fewer, so an absent one may go. With an odd number it
/// stays a member: it is expected back.
std::optional<membership> group_keeper::removeAbsent(const membership& current, instant now) const
{
    if (current.voterCount() % 2 != 0)
        return std::nullopt;
    const auto isAbsent = [&](const member& each) {
        if (each.id == m_self)
            return false;
        const auto heard = m_heard.find(each.id);
        const auto last = heard == m_heard.end() ? m_leadsSince : std::max(heard->second, m_leadsSince);
        return now - last > absenceLimit;
    };
    const auto absent = std::find_if(current.members.begin(), current.members.end(),
        [&](const member& each) { return each.role == member_role::voter && isAbsent(each); });
    if (absent == current.members.end())
        return std::nullopt;
    auto changed = current;
    std::erase_if(changed.members, [&](const member& each) { return each.id == absent->id; });
    return changed;
}

std::optional<membership> group_keeper::nextChange(const membership& current, instant now)
{
    if (m_isChanging)
        return std::nullopt;
    auto change = addJoining(current, now);
    if (!change)
        change = removeAbsent(current, now);
    m_isChanging = change.has_value();
    return change;
}

} // namespace poplardeal::detail
