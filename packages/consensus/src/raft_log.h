#pragma once

#include <deque>
#include <iterator>
#include <poplardeal/consensus/raft_types.h>

namespace poplardeal::detail {

/// The log in memory: entries after a base position, and the memberships they carry.
class raft_log {
public:
    raft_log(membership initial, shared_snapshot, std::vector<log_entry>);

    std::uint64_t baseIndex() const { return m_baseIndex; }
    std::uint64_t firstIndex() const { return m_baseIndex + 1; }
    std::uint64_t lastIndex() const { return m_baseIndex + m_entries.size(); }
    std::uint64_t lastTerm() const { return termAt(lastIndex()); }
    /// 0 if the position is neither the base nor in the log.
    std::uint64_t termAt(std::uint64_t index) const;
    const log_entry& at(std::uint64_t index) const { return m_entries[index - firstIndex()]; }
    /// The largest index up to `index` whose term is at most `term`; the base index if there is none.
    std::uint64_t lastIndexNotAfterTerm(std::uint64_t index, std::uint64_t term) const;

    void append(log_entry);
    void truncateFrom(std::uint64_t index);
    /// Drops the entries up to the snapshot, or all of them if `discard`.
    void installSnapshot(const shared_snapshot&, bool discard);

    /// Takes a snapshot of this replica's own state machine and drops the entries up to `base`.
    void compact(shared_snapshot, std::uint64_t base);

    const shared_snapshot& snapshot() const { return m_snapshot; }
    const membership& members() const { return m_memberships.back().second; }
    std::uint64_t membersIndex() const { return m_memberships.back().first; }
    /// The membership before the last change in the log; `members()` if there is none.
    const membership& earlierMembers() const
    {
        return (m_memberships.size() > 1 ? *std::prev(m_memberships.end(), 2) : m_memberships.back()).second;
    }
    const membership& membersAt(std::uint64_t index) const;

private:
    void noteMembership(const log_entry&);

    std::uint64_t m_baseIndex { 0 };
    std::uint64_t m_baseTerm { 0 };
    std::deque<log_entry> m_entries;
    shared_snapshot m_snapshot;
    std::deque<std::pair<std::uint64_t, membership>> m_memberships; ///< By index; the first one is that of the base.
};

} // namespace poplardeal::detail
