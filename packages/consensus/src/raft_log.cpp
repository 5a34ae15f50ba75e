#include "raft_log.h"
#include "message_codec.h"
#include <algorithm>

namespace poplardeal {

const member* membership::find(replica_id id) const
{
    const auto found = std::find_if(members.begin(), members.end(), [&](const member& m) { return m.id == id; });
    return found == members.end() ? nullptr : &*found;
}

bool membership::isVoter(replica_id id) const
{
    const auto* found = find(id);
    return found && found->role == member_role::voter;
}

std::size_t membership::voterCount() const
{
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [](const member& m) { return m.role == member_role::voter; }));
}

bool membership::hasSameVoters(const membership& other) const
{
    const auto isThere = [&other](const member& each) {
        const auto* found = other.find(each.id);
        return each.role != member_role::voter
            || (found && found->role == member_role::voter && found->dataIncarnation == each.dataIncarnation);
    };
    return voterCount() == other.voterCount() && std::all_of(members.begin(), members.end(), isThere);
}

membership membershipOfVoters(const std::vector<replica_id>& voters)
{
    membership out;
    for (const auto& id : voters)
        out.members.push_back(member { id, member_role::voter, 0, false });
    return out;
}

namespace detail {

    raft_log::raft_log(membership initial, shared_snapshot snapshot, std::vector<log_entry> entries)
        : m_snapshot(std::move(snapshot))
    {
        if (m_snapshot) {
            m_baseIndex = m_snapshot->index;
            m_baseTerm = m_snapshot->term;
            initial = m_snapshot->members;
        }
        m_memberships.emplace_back(m_baseIndex, std::move(initial));
        for (auto& entry : entries) {
            if (entry.index > m_baseIndex)
                append(std::move(entry));
        }
    }

    std::uint64_t raft_log::termAt(std::uint64_t index) const
    {
        if (index == m_baseIndex)
            return m_baseTerm;
        if (index < firstIndex() || index > lastIndex())
            return 0;
        return at(index).term;
    }

    std::uint64_t raft_log::lastIndexNotAfterTerm(std::uint64_t index, std::uint64_t term) const
    {
        auto candidate = std::min(index, lastIndex());
        while (candidate > m_baseIndex && termAt(candidate) > term)
            --candidate;
        return candidate;
    }

    void raft_log::append(log_entry entry)
    {
        noteMembership(entry);
        m_entries.push_back(std::move(entry));
    }

    void raft_log::truncateFrom(std::uint64_t index)
    {
        while (lastIndex() >= index && !m_entries.empty())
            m_entries.pop_back();
        while (m_memberships.size() > 1 && m_memberships.back().first >= index)
            m_memberships.pop_back();
    }

    void raft_log::installSnapshot(const shared_snapshot& snapshot, bool discard)
    {
        if (discard)
            m_entries.clear();
        while (!m_entries.empty() && m_entries.front().index <= snapshot->index)
            m_entries.pop_front();
        m_baseIndex = snapshot->index;
        m_baseTerm = snapshot->term;
        m_snapshot = snapshot;
        while (!m_memberships.empty() && (discard || m_memberships.front().first <= snapshot->index))
            m_memberships.pop_front();
        m_memberships.emplace_front(snapshot->index, snapshot->members);
    }

    void raft_log::compact(shared_snapshot snapshot, std::uint64_t base)
    {
        m_snapshot = std::move(snapshot);
        if (base <= m_baseIndex)
            return;
        auto baseMembers = membersAt(base);
        m_baseTerm = termAt(base);
        m_entries.erase(m_entries.begin(), m_entries.begin() + static_cast<std::ptrdiff_t>(base - m_baseIndex));
        m_baseIndex = base;
        while (!m_memberships.empty() && m_memberships.front().first <= base)
            m_memberships.pop_front();
        m_memberships.emplace_front(base, std::move(baseMembers));
    }

    const membership& raft_log::membersAt(std::uint64_t index) const
    {
        auto position = m_memberships.size() - 1;
        while (position > 0 && m_memberships[position].first > index)
            --position;
        return m_memberships[position].second;
    }

    void raft_log::noteMembership(const log_entry& entry)
    {
        if (entry.kind != entry_kind::membership)
            return;
        if (auto members = decodeMembership(entry.payload))
            m_memberships.emplace_back(entry.index, std::move(members.value()));
    }

} // namespace detail
} // namespace poplardeal
