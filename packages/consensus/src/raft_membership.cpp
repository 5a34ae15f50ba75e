#include "message_codec.h"
#include "raft_node_impl.h"
#include <algorithm>

namespace poplardeal {

using detail::progress;
using detail::raft_role;

std::size_t changedVoters(const membership& a, const membership& b)
{
    std::size_t changed = 0;
    for (const auto& m : a.members)
        changed += m.role == member_role::voter && !b.isVoter(m.id) ? 1 : 0;
    for (const auto& m : b.members)
        changed += m.role == member_role::voter && !a.isVoter(m.id) ? 1 : 0;
    return changed;
}

result<log_position> raft_node::impl::proposeMembership(membership wanted, instant now)
{
    if (role != raft_role::leader || transferTarget)
        return failure { failure_code::not_leader, "this replica is not the leader" };
    for (auto& m : wanted.members) {
        const auto* known = log.members().find(m.id);
        m.dataIncarnation = known ? known->dataIncarnation : 0;
        if (m.role != member_role::voter || m.id == options.self || (known && known->role == member_role::voter))
            continue;
        // An empty voter counts in the quorum before it can help to form one.
        const auto peer = peers.find(m.id);
        if (peer == peers.end() || !isCaughtUp(peer->second, now)) {
            return failure { failure_code::unavailable,
                "replica " + std::to_string(m.id.value()) + " has to be a learner that has caught up before it votes" };
        }
    }
    if (wanted.voterCount() == 0)
        return failure { failure_code::invalid_argument, "a membership needs at least one voter" };
    if (countAnsweringVoters(wanted, now) < wanted.voterCount() / 2 + 1)
        return failure { failure_code::unavailable, "no quorum of the new membership answers" };
    return appendMembership(wanted, now);
}

/// Voters that hold a part of the log and have answered within the election timeout.
std::size_t raft_node::impl::countAnsweringVoters(const membership& voters, instant now) const
{
    return static_cast<std::size_t>(std::count_if(voters.members.begin(), voters.members.end(), [&](const member& m) {
        if (m.role != member_role::voter)
            return false;
        const auto peer = peers.find(m.id);
        if (peer == peers.end())
            return m.id == options.self;
        const auto& answered = peer->second.answeredSentAt;
        return peer->second.matchIndex > 0 && answered && now - *answered < options.electionTimeout;
    }));
}

result<log_position> raft_node::impl::appendMembership(const membership& wanted, instant now)
{
    // Without a committed entry of its own term, a leader may not know of a change that another leader has committed.
    if (commit < termStartIndex)
        return failure { failure_code::unavailable, "the leader has not committed an entry of its term yet" };
    if (log.membersIndex() > commit)
        return failure { failure_code::conflict, "an earlier membership change is not committed" };
    const auto changed = changedVoters(log.members(), wanted);
    const bool isReplacement = changed == 2 && log.members().voterCount() == wanted.voterCount();
    if (changed > 1 && !isReplacement)
        return failure { failure_code::invalid_argument,
            "a membership change may add, remove or replace one voter at a time" };
    auto appended = propose(entry_kind::membership, detail::encodeMembership(wanted));
    if (appended) {
        membersChangedAt = now;
        syncProgressWithMembers();
    }
    return appended;
}

void raft_node::impl::syncProgressWithMembers()
{
    for (const auto* set : decidingSets()) {
        for (const auto& m : set->members) {
            if (m.id == options.self || peers.contains(m.id))
                continue;
            peers.emplace(m.id, unknownProgress());
        }
    }
    std::erase_if(peers, [this](const auto& item) { return !findMember(item.first); });
}

void raft_node::impl::settleMembership()
{
    if (role != raft_role::leader || log.membersIndex() > commit)
        return;
    syncProgressWithMembers();
    if (isRepetitionDue())
        appendOwn(entry_kind::membership, detail::encodeMembership(log.members()));
}

void raft_node::impl::stepDownIfRemoved()
{
    if (log.membersIndex() <= commit && !log.members().isVoter(options.self))
        becomeFollower(hard.term, std::nullopt);
}

// A member with another data incarnation than the membership's has lost its data folder. Its acknowledgements no longer
// count: it becomes a learner by a membership change, and a voter again once it has caught up.
bool raft_node::impl::checkIncarnation(progress& peer, const raft_message& m, instant now)
{
    const auto* known = findMember(m.from);
    if (!known)
        return false;
    if (known->dataIncarnation == m.dataIncarnation)
        return true;
    if (instantFromMicros(m.sentAt) < membersChangedAt)
        return false;
    // The answer is to a message that was sent when the member was known to have the other incarnation.
    noteLostData(m.from, known->dataIncarnation, now);
    if (!log.members().find(m.from))
        return false;
    auto changed = log.members();
    for (auto& entry : changed.members) {
        if (entry.id != m.from)
            continue;
        entry.promoteWhenCaughtUp = entry.promoteWhenCaughtUp || entry.role == member_role::voter;
        entry.role = member_role::learner;
        entry.dataIncarnation = m.dataIncarnation;
    }
    if (appendMembership(changed, now))
        peer = unknownProgress();
    return false;
}

// A restarted replica whose log ends before an entry that it acknowledged earlier in this term, or that answers under
// an older start than one already seen, runs on an old copy of its data folder.
bool raft_node::impl::checkRegression(progress& peer, const raft_message& m, instant now)
{
    if (m.startCount > peer.startCount) {
        peer.earlierAcknowledged = peer.matchIndex;
        peer.startCount = m.startCount;
        peer.startSeenAt = now;
    }
    const bool olderStart = m.startCount < peer.startCount && instantFromMicros(m.sentAt) > peer.startSeenAt;
    const bool forgotten = m.startCount == peer.startCount && m.rejected && m.matchIndex < peer.earlierAcknowledged;
    if (olderStart || forgotten) {
        auto verdict = messageTo(m.from, message_kind::data_lost);
        verdict.startCount = m.startCount;
        send(std::move(verdict));
    }
    return m.startCount == peer.startCount && !forgotten;
}

/// Of a member that is new to this leader.
progress raft_node::impl::unknownProgress() const
{
    progress out;
    out.nextIndex = log.lastIndex() + 1;
    out.roundTarget = log.lastIndex();
    out.roundBegan = membersChangedAt;
    return out;
}

// A round ends when the member holds all that the log held at the beginning of the round (Ongaro's
// dissertation, 4.2.1).
void raft_node::impl::noteRound(progress& peer, instant now)
{
    while (peer.matchIndex >= peer.roundTarget) {
        peer.wasRoundShort = now - peer.roundBegan < maxLag();
        peer.roundTarget = log.lastIndex();
        peer.roundBegan = now;
        if (peer.wasRoundShort)
            return;
    }
}

// To hold all committed entries at the moment of an answer is no condition: under load there need not be such a moment,
// and the safety of a change does not rest on it. With a lag of up to `maxLag`, the leader keeps its lease and commits
// entries also if it needs the member for a quorum.
bool raft_node::impl::isCaughtUp(const progress& peer, instant now) const
{
    return peer.matchIndex > 0 && peer.wasRoundShort && now - peer.roundBegan < maxLag();
}

/// A voter that has not answered this leader for twice the election timeout.
std::optional<replica_id> raft_node::impl::silentVoter(instant now) const
{
    for (const auto& [id, peer] : peers) {
        const auto last = std::max(peer.answeredSentAt.value_or(leaderSince), leaderSince);
        if (log.members().isVoter(id) && now - last > options.electionTimeout * 2)
            return id;
    }
    return std::nullopt;
}

/// In a group that has the voters that it needs, the learner takes the vote of a silent voter in the same change. As a
/// voter beside it, it would raise the quorum before the silent one has lost its vote.
void raft_node::impl::promoteIfCaughtUp(replica_id id, const progress& peer, instant now)
{
    const auto* known = log.members().find(id);
    if (!known || !known->promoteWhenCaughtUp || log.membersIndex() > commit || !isCaughtUp(peer, now))
        return;
    auto changed = log.members();
    const auto voters = changed.voterCount();
    const auto replaced = voters >= options.votersNeeded ? silentVoter(now) : std::nullopt;
    if (!replaced && voters >= options.maxVoters)
        return;
    for (auto& entry : changed.members) {
        if (entry.id != id && entry.id != replaced)
            continue;
        entry.role = entry.id == id ? member_role::voter : member_role::learner;
        entry.promoteWhenCaughtUp = entry.id != id;
    }
    // A refusal is not an error: the next answer of the learner repeats the attempt.
    static_cast<void>(appendMembership(changed, now));
}

} // namespace poplardeal
