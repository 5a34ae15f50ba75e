#include "raft_node_impl.h"
#include <algorithm>
#include <set>

// A quorum of a set of voters is a majority. Of an even number of four or more, half is enough once a voter is known to
// have lost its data for good: it gives no vote any more, so the half is a majority of the others, and it has a member
// in common with each majority of all. Two such halves, after the loss of different voters, have one in common only if
// what is counted was given after the loss was learned: a voter that was lost meanwhile could otherwise be counted in
// both.
//
// A majority of a set has a member in common with each majority of the set after one voter is added or removed, but not
// after one is replaced. The change that replaces one therefore needs a quorum of both sets until it is committed, too:
// its entry is then on a majority of the set before, which lets nobody lead who does not have it.
//
// The half of a set has a member in common with a majority of the set before or after it only if that majority holds a
// majority of the set itself. That is so for changes from an odd to an even number, whose majorities do; a change
// away from a set that may be halved therefore needs a quorum of both sets until it is committed. Only a set that is
// known to be committed may be halved.

namespace poplardeal {

static bool mayBeHalved(const membership& set)
{
    constexpr std::size_t fewest = 4;
    return set.voterCount() >= fewest && set.voterCount() % 2 == 0;
}

/// Whether the voters before the last change decide as well.
bool raft_node::impl::isChangeOpen() const
{
    const auto& before = log.earlierMembers();
    return !isMembershipSettled() && (mayBeHalved(before) || changedVoters(before, log.members()) > 1);
}

/// Whether the last change of the voters is known to be committed.
bool raft_node::impl::isMembershipSettled() const
{
    return log.membersIndex() <= commit || log.members().hasSameVoters(log.earlierMembers());
}

/// Once a change of the voters is committed that replaces one, or from or to a set that may be halved, the leader
/// repeats it: a replica that has the second entry knows that the first one is committed, also after a restart.
bool raft_node::impl::isRepetitionDue() const
{
    const auto& before = log.earlierMembers();
    return log.membersIndex() <= commit && !log.members().hasSameVoters(before)
        && (mayBeHalved(log.members()) || mayBeHalved(before) || changedVoters(before, log.members()) > 1);
}

std::vector<const membership*> raft_node::impl::decidingSets() const
{
    if (isChangeOpen())
        return { &log.members(), &log.earlierMembers() };
    return { &log.members() };
}

const member* raft_node::impl::findMember(replica_id id) const
{
    for (const auto* set : decidingSets()) {
        if (const auto* found = set->find(id))
            return found;
    }
    return nullptr;
}

void raft_node::impl::onDataReplaced(const raft_message& m, instant now)
{
    if (m.dataIncarnation != m.expectedIncarnation)
        noteLostData(m.from, m.expectedIncarnation, now);
}

void raft_node::impl::noteLostData(replica_id id, std::uint64_t lost, instant now)
{
    const auto known = lostData.find(id);
    if (known == lostData.end() || known->second.incarnation != lost)
        lostData[id] = { lost, now };
}

/// When the first loss of a voter's data was learned; empty if there is none.
std::optional<instant> raft_node::impl::lossLearnedAt(const membership& set) const
{
    std::optional<instant> first;
    for (const auto& m : set.members) {
        const auto lost = lostData.find(m.id);
        const bool isLost
            = m.role == member_role::voter && lost != lostData.end() && lost->second.incarnation == m.dataIncarnation;
        if (isLost && (!first || lost->second.learnedAt < *first))
            first = lost->second.learnedAt;
    }
    return first;
}

/// `answered(member, since)`: whether the voter has given what is counted, in answer to something sent after
/// `since`, if that is set.
template <class Answered>
bool raft_node::impl::isQuorumOf(const membership& set, bool isCommitted, const Answered& answered) const
{
    const auto count = [&](std::optional<instant> since) {
        return static_cast<std::size_t>(std::count_if(set.members.begin(), set.members.end(), [&](const member& m) {
            const auto lost = lostData.find(m.id);
            const bool isLost = lost != lostData.end() && lost->second.incarnation == m.dataIncarnation;
            return m.role == member_role::voter && !(since && isLost) && answered(m, since);
        }));
    };
    const auto voters = set.voterCount();
    if (count(std::nullopt) > voters / 2)
        return true;
    const auto lossAt = isCommitted && mayBeHalved(set) ? lossLearnedAt(set) : std::nullopt;
    return lossAt && count(lossAt) >= voters / 2;
}

template <class Answered> bool raft_node::impl::isQuorum(const Answered& answered) const
{
    // A change is proposed only when the one before it is committed.
    return isQuorumOf(log.members(), isMembershipSettled(), answered)
        && (!isChangeOpen() || isQuorumOf(log.earlierMembers(), true, answered));
}

bool raft_node::impl::hasVoteQuorum() const
{
    return isQuorum([this](const member& m, std::optional<instant> since) {
        const auto found = votes.find(m.id);
        return found != votes.end() && found->second.isGranted && found->second.dataIncarnation == m.dataIncarnation
            && (!since || roundBegan > *since);
    });
}

/// Votes of the present campaign that make a quorum of the set, see `isQuorumOf`.
std::size_t raft_node::impl::votesNeeded(const membership& set, bool isCommitted) const
{
    const auto lossAt = isCommitted && mayBeHalved(set) ? lossLearnedAt(set) : std::nullopt;
    return set.voterCount() / 2 + (lossAt && roundBegan > *lossAt ? 0 : 1);
}

/// The last entry that a quorum has made durable; the commit index if there is none after it.
std::uint64_t raft_node::impl::quorumIndex() const
{
    std::set<std::uint64_t, std::greater<>> candidates { stableIndex };
    for (const auto& [id, peer] : peers)
        candidates.insert(peer.matchIndex);
    for (const auto index : candidates) {
        if (index <= commit)
            break;
        const bool isDurable = isQuorum([&](const member& m, std::optional<instant> since) {
            if (m.id == options.self)
                return m.dataIncarnation == options.dataIncarnation && stableIndex >= index;
            const auto peer = peers.find(m.id);
            return peer != peers.end() && peer->second.matchIndex >= index
                && peer->second.dataIncarnation == m.dataIncarnation
                && (!since || (peer->second.answeredSentAt && *peer->second.answeredSentAt > *since));
        });
        if (isDurable)
            return index;
    }
    return commit;
}

/// The latest moment for which a quorum has answered messages sent then or later.
std::optional<instant> raft_node::impl::quorumAnsweredSentAt(instant now) const
{
    std::set<instant, std::greater<>> candidates { now };
    for (const auto& [id, peer] : peers) {
        if (peer.answeredSentAt)
            candidates.insert(*peer.answeredSentAt);
    }
    for (const auto sentAt : candidates) {
        const bool hasAnswered = isQuorum([&](const member& m, std::optional<instant> since) {
            if (m.id == options.self)
                return m.dataIncarnation == options.dataIncarnation;
            const auto peer = peers.find(m.id);
            return peer != peers.end() && peer->second.dataIncarnation == m.dataIncarnation
                && peer->second.answeredSentAt && *peer->second.answeredSentAt >= sentAt
                && (!since || *peer->second.answeredSentAt > *since);
        });
        if (hasAnswered)
            return sentAt;
    }
    return std::nullopt;
}

} // namespace poplardeal
