#include "raft_node_impl.h"
#include <algorithm>
#include <set>

namespace poplardeal {

using detail::progress;
using detail::raft_role;

void raft_node::impl::resetElectionTimer(instant now)
{
    std::uniform_int_distribution<duration::rep> spread(0, options.electionTimeout.count());
    electionDeadline = now + options.electionTimeout + duration(spread(random));
}

// A failed campaign is repeated sooner than the election timeout: the leader is already known to be silent, and voters
// that still hear one refuse anyway.
void raft_node::impl::retrySoon(instant now)
{
    const auto quarter = options.electionTimeout / 4;
    std::uniform_int_distribution<duration::rep> spread(0, quarter.count());
    electionDeadline = now + quarter + duration(spread(random));
}

bool raft_node::impl::hasHeardFromLeader(instant now) const
{
    return role == raft_role::leader || now - lastHeard < options.electionTimeout;
}

bool raft_node::impl::isLogUpToDate(const raft_message& m) const
{
    if (m.logTerm != log.lastTerm())
        return m.logTerm > log.lastTerm();
    return m.logIndex >= log.lastIndex();
}

static bool isVoterWithData(const membership& members, const raft_options& options)
{
    const auto* self = members.find(options.self);
    return self && self->role == member_role::voter && self->dataIncarnation == options.dataIncarnation;
}

bool raft_node::impl::mayVote() const { return !dataLost && isVoterWithData(log.members(), options); }

/// A voter that a change removes is needed until the change is committed: it may be the only one with the entry.
bool raft_node::impl::mayCampaign() const
{
    const bool beingRemoved = log.membersIndex() > commit && isVoterWithData(log.earlierMembers(), options);
    return mayVote() || (!dataLost && beingRemoved);
}

void raft_node::impl::becomeFollower(std::uint64_t newTerm, std::optional<replica_id> newLeader)
{
    if (newTerm > hard.term) {
        hard.term = newTerm;
        hard.vote.reset();
        hardChanged = true;
        ownVotePending = false;
    }
    role = raft_role::follower;
    leader = newLeader;
    votes.clear();
    peers.clear();
    transferTarget.reset();
    transferSent = false;
    uncommittedBytes = 0;
    if (newLeader)
        campaign.reset();
}

void raft_node::impl::startPreVote(instant now)
{
    endFailedCampaign();
    retrySoon(now);
    leader.reset();
    if (!mayCampaign())
        return;
    role = raft_role::pre_candidate;
    votes.clear();
    roundBegan = now;
    beginCampaign(true, hard.term + 1);
    requestVotes(message_kind::pre_vote, hard.term + 1, false);
    recordVote(options.self, { true, options.dataIncarnation }, now);
}

void raft_node::impl::startElection(bool transfer, instant now)
{
    retrySoon(now);
    role = raft_role::candidate;
    leader.reset();
    votes.clear();
    roundBegan = now;
    ++hard.term;
    hard.vote = options.self;
    hardChanged = true;
    ownVotePending = true;
    beginCampaign(false, hard.term);
    requestVotes(message_kind::vote, hard.term, transfer);
}

void raft_node::impl::requestVotes(message_kind kind, std::uint64_t votedTerm, bool transfer)
{
    std::set<std::pair<replica_id, std::uint64_t>> asked; // With the data incarnation.
    for (const auto* set : decidingSets()) {
        for (const auto& m : set->members) {
            if (m.id == options.self || m.role != member_role::voter || !asked.emplace(m.id, m.dataIncarnation).second)
                continue;
            auto request = messageTo(m.id, kind);
            request.term = votedTerm;
            request.logIndex = log.lastIndex();
            request.logTerm = log.lastTerm();
            request.transfer = transfer;
            request.expectedIncarnation = m.dataIncarnation;
            if (kind == message_kind::vote)
                sendWhenDurable(std::move(request));
            else
                send(std::move(request));
        }
    }
}

void raft_node::impl::beginCampaign(bool isPreVote, std::uint64_t votedTerm)
{
    campaign.emplace();
    campaign->isPreVote = isPreVote;
    campaign->term = votedTerm;
    campaign->lastIndex = log.lastIndex();
    for (const auto* set : decidingSets()) {
        for (const auto& m : set->members) {
            const bool isKnown = std::any_of(campaign->voters.begin(), campaign->voters.end(),
                [&](const auto& asked) { return asked.id == m.id && asked.expectedIncarnation == m.dataIncarnation; });
            if (m.role == member_role::voter && !isKnown)
                campaign->voters.push_back({ m.id, m.dataIncarnation });
        }
    }
}

/// Also notes answers that come after this replica has given the campaign up for a newer term.
void raft_node::impl::noteVoteReply(const raft_message& m)
{
    const bool isPreVote = m.kind == message_kind::pre_vote_answer;
    if (!campaign || (!isPreVote && m.kind != message_kind::vote_answer && m.kind != message_kind::data_replaced))
        return;
    if (m.kind != message_kind::data_replaced
        && (campaign->isPreVote != isPreVote || (!m.rejected && campaign->term != m.term)))
        return;
    for (auto& voter : campaign->voters) {
        if (voter.id != m.from)
            continue;
        if (voter.expectedIncarnation != m.dataIncarnation) {
            voter.reply = vote_reply::data_replaced;
        } else {
            voter.reply = m.rejected ? vote_reply::refused : vote_reply::granted;
            voter.lastIndex = m.rejected ? m.logIndex : 0;
        }
    }
}

void raft_node::impl::endFailedCampaign()
{
    if (!campaign)
        return;
    const auto count = [this](const membership& set, bool isCommitted) {
        vote_count out { 0, votesNeeded(set, isCommitted) };
        for (const auto& voter : campaign->voters) {
            const auto* known = set.find(voter.id);
            const bool isAsked
                = known && known->role == member_role::voter && known->dataIncarnation == voter.expectedIncarnation;
            out.granted += isAsked && voter.reply == vote_reply::granted ? 1 : 0;
        }
        return out;
    };
    campaign->votes = count(log.members(), isMembershipSettled());
    if (isChangeOpen())
        campaign->earlierVotes = count(log.earlierMembers(), true);
    failedCampaign = std::exchange(campaign, std::nullopt);
}

void raft_node::impl::recordVote(replica_id voter, detail::vote given, instant now)
{
    votes.emplace(voter, given);
    if (voter == options.self && campaign) {
        for (auto& asked : campaign->voters) {
            if (asked.id == voter && asked.expectedIncarnation == given.dataIncarnation)
                asked.reply = vote_reply::granted;
        }
    }
    if (!hasVoteQuorum())
        return;
    if (role == raft_role::pre_candidate)
        startElection(false, now);
    else if (role == raft_role::candidate)
        becomeLeader(now);
}

void raft_node::impl::onVoteRequest(const raft_message& m, instant now)
{
    const bool pre = m.kind == message_kind::pre_vote;
    if (dataLost)
        return;
    if (m.expectedIncarnation != options.dataIncarnation) {
        auto answer = messageTo(m.from, message_kind::data_replaced);
        answer.expectedIncarnation = m.expectedIncarnation;
        return sendWhenDurable(std::move(answer));
    }
    if (!m.transfer && hasHeardFromLeader(now))
        return;
    bool granted = isLogUpToDate(m);
    if (pre)
        granted = granted && m.term > hard.term;
    else
        granted = granted && (!hard.vote || *hard.vote == m.from);
    auto answer = messageTo(m.from, pre ? message_kind::pre_vote_answer : message_kind::vote_answer);
    answer.rejected = !granted;
    answer.logIndex = log.lastIndex();
    if (pre) {
        if (granted)
            answer.term = m.term;
        return send(std::move(answer));
    }
    if (granted && !hard.vote) {
        hard.vote = m.from;
        hardChanged = true;
        resetElectionTimer(now);
    }
    sendWhenDurable(std::move(answer));
}

void raft_node::impl::onVoteAnswer(const raft_message& m, instant now)
{
    const detail::vote given { !m.rejected, m.dataIncarnation };
    if (m.kind == message_kind::pre_vote_answer && role == raft_role::pre_candidate) {
        if (m.rejected || m.term == hard.term + 1)
            recordVote(m.from, given, now);
    } else if (m.kind == message_kind::vote_answer && role == raft_role::candidate) {
        recordVote(m.from, given, now);
    }
}

void raft_node::impl::onTimeOutNow(const raft_message&, instant now)
{
    if (role == raft_role::follower && mayVote())
        startElection(true, now);
}

void raft_node::impl::becomeLeader(instant now)
{
    role = raft_role::leader;
    leader = options.self;
    campaign.reset();
    leaderSince = now;
    membersChangedAt = now;
    lastHeartbeat = now;
    peers.clear();
    transferTarget.reset();
    transferSent = false;
    uncommittedBytes = 0;
    syncProgressWithMembers();
    appendOwn(entry_kind::no_op, {});
    termStartIndex = log.lastIndex();
}

bool raft_node::impl::holdsLeaderLease(instant now) const
{
    if (role != raft_role::leader || readOnly || transferTarget || commit < termStartIndex)
        return false;
    const auto answered = quorumAnsweredSentAt(now);
    return answered && now - *answered < options.electionTimeout * 4 / 5;
}

bool raft_node::impl::transferLeadership(instant now)
{
    if (role != raft_role::leader)
        return false;
    if (transferTarget)
        return true;
    const progress* best = nullptr;
    for (const auto& [id, peer] : peers) {
        const bool recent = peer.answeredSentAt && now - *peer.answeredSentAt < options.electionTimeout;
        if (!log.members().isVoter(id) || !recent || (best && peer.matchIndex <= best->matchIndex))
            continue;
        best = &peer;
        transferTarget = id;
    }
    if (!best)
        return false;
    transferDeadline = now + options.electionTimeout;
    continueTransfer(*transferTarget, now);
    return true;
}

void raft_node::impl::continueTransfer(replica_id id, instant)
{
    if (!transferTarget || *transferTarget != id || transferSent)
        return;
    if (peers[id].matchIndex < log.lastIndex())
        return;
    transferSent = true;
    send(messageTo(id, message_kind::time_out_now));
}

} // namespace poplardeal
