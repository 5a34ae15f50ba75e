#include "raft_node_impl.h"
#include <algorithm>
#include <numeric>
#include <utility>

namespace poplardeal {

using detail::raft_role;

raft_node::impl::impl(raft_options given, raft_saved_state saved, instant now)
    : options(std::move(given))
    , random(options.seed * 0x9e3779b97f4a7c15U + options.self.value())
    , log(options.initialMembers, saved.snapshot, std::move(saved.entries))
    , hard(saved.hard)
    , commit(log.baseIndex())
    , emitted(log.baseIndex())
    , lastHeard(now)
    , stableIndex(log.lastIndex())
    , durableTerm(hard.term)
{
    resetElectionTimer(now);
    if (options.initialMembers.voterCount() == 1 && mayVote() && log.members().voterCount() == 1)
        electionDeadline = now;
}

void raft_node::impl::tick(instant now)
{
    if (role == raft_role::leader) {
        const auto answered = std::max(quorumAnsweredSentAt(now).value_or(leaderSince), leaderSince);
        const bool transferFailed = transferTarget && now >= transferDeadline;
        // A delayed time_out_now may still start an election in this term, which the lease does not exclude.
        if (now - answered >= options.electionTimeout || (transferFailed && (transferSent || readOnly))) {
            becomeFollower(hard.term, std::nullopt);
            resetElectionTimer(now);
            return;
        }
        if (transferFailed)
            transferTarget.reset();
        if (now - lastHeartbeat >= options.heartbeatInterval)
            sendHeartbeats(now);
        return;
    }
    if (now >= electionDeadline && !readOnly)
        startPreVote(now);
}

static bool carriesLeader(message_kind kind)
{
    return kind == message_kind::append || kind == message_kind::snapshot_chunk || kind == message_kind::time_out_now
        || kind == message_kind::data_lost;
}

/// Whether a replica takes part in the term of such a message by handling it. An unused replica takes over no term that
/// it has only heard of: from then on it would count as one that has all its data.
static bool entersTerm(message_kind kind)
{
    return kind == message_kind::vote || kind == message_kind::append || kind == message_kind::snapshot_chunk;
}

void raft_node::impl::receive(const raft_message& m, instant now)
{
    if (m.to != options.self || m.from == options.self)
        return;
    noteVoteReply(m);
    if (m.kind == message_kind::data_replaced)
        return onDataReplaced(m, now);
    if (readOnly && !receiveReadOnly(m, now))
        return;
    noteHistory(m);
    const bool future = m.kind == message_kind::pre_vote || (m.kind == message_kind::pre_vote_answer && !m.rejected);
    if (m.term > hard.term && !future && isUnused() && !entersTerm(m.kind)) {
        noteDataLoss(m);
        return;
    }
    if (m.term > hard.term) {
        if (m.kind == message_kind::vote && !m.transfer && hasHeardFromLeader(now))
            return;
        if (!future && role == raft_role::leader)
            resetElectionTimer(now);
        if (!future)
            becomeFollower(m.term, carriesLeader(m.kind) ? std::optional(m.from) : std::nullopt);
    } else if (m.term < hard.term) {
        // The answer carries the newer term, which makes an outdated leader or candidate step down, and shows an unused
        // replica that the group has a history.
        if (carriesLeader(m.kind) || m.kind == message_kind::pre_vote) {
            auto answer = messageTo(
                m.from, m.kind == message_kind::pre_vote ? message_kind::pre_vote_answer : message_kind::append_answer);
            answer.rejected = true;
            answer.logIndex = log.lastIndex();
            sendWhenDurable(std::move(answer));
        }
        return;
    }
    switch (m.kind) {
    case message_kind::pre_vote:
    case message_kind::vote:
        return onVoteRequest(m, now);
    case message_kind::pre_vote_answer:
    case message_kind::vote_answer:
        return onVoteAnswer(m, now);
    case message_kind::append:
        return onAppend(m, now);
    case message_kind::append_answer:
        return onAppendAnswer(m, now);
    case message_kind::snapshot_chunk:
        return onSnapshotChunk(m, now);
    case message_kind::snapshot_answer:
        return onSnapshotAnswer(m, now);
    case message_kind::time_out_now:
        return onTimeOutNow(m, now);
    case message_kind::data_lost:
        return noteDataLoss(m);
    case message_kind::data_replaced: // Handled above, whatever its term.
        return;
    }
}

/// Whether a read-only replica handles a message as others do. It votes for nobody, and enters a term only with its
/// leader.
bool raft_node::impl::receiveReadOnly(const raft_message& m, instant now)
{
    if (m.term < hard.term)
        return false;
    switch (m.kind) {
    case message_kind::append:
    case message_kind::snapshot_chunk:
    case message_kind::data_lost:
        return true;
    case message_kind::append_answer:
    case message_kind::snapshot_answer:
        if (m.term > hard.term && role == raft_role::leader) {
            becomeFollower(hard.term, std::nullopt);
            resetElectionTimer(now);
        }
        return m.term == hard.term;
    default:
        return false;
    }
}

void raft_node::impl::setReadOnly(bool wanted, instant now)
{
    if (std::exchange(readOnly, wanted) == wanted)
        return;
    if (!readOnly) {
        // Replicas whose disks have room again at the same time campaign one after the other.
        if (role != raft_role::leader && now >= electionDeadline)
            retrySoon(now);
        return;
    }
    campaign.reset();
    std::erase_if(deferred, [](const auto& each) { return each.message.kind == message_kind::vote; });
    if (role == raft_role::follower || transferLeadership(now))
        return;
    becomeFollower(hard.term, std::nullopt);
    resetElectionTimer(now);
}

void raft_node::impl::noteDataLoss(const raft_message& m)
{
    const bool isLost = m.kind == message_kind::data_lost && m.startCount == options.startCount;
    dataLost = dataLost || isLost;
}

/// Whether this replica has been bootstrapped and has taken no part in any term: its folder is new, or was lost.
bool raft_node::impl::isUnused() const
{
    return options.rejoinIncarnation != 0 && options.dataIncarnation == 0 && log.lastIndex() == 0 && hard.term == 0;
}

// An unused replica may have lost its folder if others have a log. It joins like a replica with an empty folder. One
// that is merely late joins the same way; these are fewer than half of the voters, because the others have elected the
// first leader.
void raft_node::impl::noteHistory(const raft_message& m)
{
    if (!isUnused())
        return;
    const bool history = m.logIndex > 0 || m.commit > 0 || m.kind == message_kind::snapshot_chunk;
    if (!history)
        return;
    options.dataIncarnation = options.rejoinIncarnation;
    incarnationChanged = true;
}

result<log_position> raft_node::impl::propose(entry_kind kind, std::string payload)
{
    if (role != raft_role::leader || transferTarget)
        return failure { failure_code::not_leader, "this replica is not the leader" };
    if (readOnly)
        return failure { failure_code::not_leader, "the disk of this replica is full" };
    if (payload.size() > options.maxEntryBytes)
        return failure { failure_code::too_large,
            "log entry of " + std::to_string(payload.size()) + " bytes, at most "
                + std::to_string(options.maxEntryBytes) };
    if (uncommittedBytes + payload.size() > options.maxUncommittedBytes)
        return failure { failure_code::overloaded, "too many bytes of log entries await their commit" };
    appendOwn(kind, std::move(payload));
    return log_position { log.lastIndex(), hard.term };
}

void raft_node::impl::appendOwn(entry_kind kind, std::string payload)
{
    uncommittedBytes += payload.size();
    const auto index = log.lastIndex() + 1;
    log.append(log_entry { hard.term, index, kind, std::move(payload) });
    if (firstUnsent == 0)
        firstUnsent = index;
}

void raft_node::impl::persisted(std::uint64_t number, instant now)
{
    durableNumber = std::max(durableNumber, number);
    while (!pendingBatches.empty() && pendingBatches.front().number <= durableNumber) {
        const auto batch = pendingBatches.front();
        pendingBatches.pop_front();
        stableIndex = std::max(stableIndex, batch.lastIndex);
        durableTerm = std::max(durableTerm, batch.term);
        if (batch.carriesOwnVote && role == raft_role::candidate && batch.term == hard.term)
            recordVote(options.self, { true, options.dataIncarnation }, now);
    }
    if (role == raft_role::leader)
        advanceCommit();
}

void raft_node::impl::releaseDurable()
{
    while (!deferred.empty() && deferred.front().number <= durableNumber) {
        // A replica that has moved to a newer term may have replaced entries that an older answer reports as durable.
        if (deferred.front().message.term >= hard.term)
            outgoing.push_back(std::move(deferred.front().message));
        deferred.pop_front();
    }
}

/// Answers a leader without waiting for the disk, in a term that may not be durable. Two promises rest on such an
/// answer, and both outlive a restart without the term: to vote for nobody within the election timeout, which a
/// restarted replica does not either, and to hold the entries up to the index named, which are durable. Entries of the
/// leader's own term, by which it commits, are durable only behind the term.
void raft_node::impl::sendReadOnly(raft_message m)
{
    if (!incarnationChanged && incarnationNumber <= durableNumber)
        send(std::move(m));
}

std::size_t raft_node::impl::unwrittenBytes() const
{
    return std::accumulate(pendingBatches.begin(), pendingBatches.end(), unsentBytes,
        [](std::size_t sum, const auto& batch) { return sum + batch.bytes; });
}

raft_ready raft_node::impl::takeReady(instant now)
{
    if (role == raft_role::leader)
        sendAppends(now);
    raft_ready out;
    auto& batch = out.persist;
    batch.snapshot = std::exchange(snapshotToPersist, nullptr);
    batch.discardLog = std::exchange(discardLog, false);
    if (std::exchange(hardChanged, false))
        batch.hard = hard;
    if (std::exchange(incarnationChanged, false)) {
        batch.dataIncarnation = options.dataIncarnation;
        incarnationNumber = batchNumber + 1;
    }
    for (auto index = firstUnsent; index != 0 && index <= log.lastIndex(); ++index)
        batch.entries.push_back(log.at(index));
    firstUnsent = 0;
    if (!batch.empty()) {
        batch.number = ++batchNumber;
        pendingBatches.push_back({ batch.number, hard.term, log.lastIndex(), std::exchange(ownVotePending, false),
            std::exchange(unsentBytes, 0) });
    }
    releaseDurable();
    out.messages = std::exchange(outgoing, {});
    out.install = std::exchange(snapshotToInstall, nullptr);
    while (emitted < commit)
        out.committed.push_back(log.at(++emitted));
    return out;
}

raft_message raft_node::impl::messageTo(replica_id to, message_kind kind) const
{
    raft_message out;
    out.kind = kind;
    out.from = options.self;
    out.to = to;
    out.term = hard.term;
    out.dataIncarnation = options.dataIncarnation;
    out.startCount = options.startCount;
    return out;
}

void raft_node::impl::send(raft_message m) { outgoing.push_back(std::move(m)); }

void raft_node::impl::sendWhenDurable(raft_message m)
{
    const bool unsent = hardChanged || incarnationChanged || firstUnsent != 0 || snapshotToPersist;
    deferred.push_back({ unsent ? batchNumber + 1 : batchNumber, std::move(m) });
}

raft_node::raft_node(raft_options options, raft_saved_state saved, instant now)
    : m_impl(std::make_unique<impl>(std::move(options), std::move(saved), now))
{
}
raft_node::raft_node(raft_node&&) noexcept = default;
raft_node& raft_node::operator=(raft_node&&) noexcept = default;
raft_node::~raft_node() = default;

void raft_node::tick(instant now) { m_impl->tick(now); }
void raft_node::receive(const raft_message& m, instant now) { m_impl->receive(m, now); }
result<log_position> raft_node::propose(std::string payload, instant)
{
    return m_impl->propose(entry_kind::command, std::move(payload));
}
result<log_position> raft_node::proposeMembership(membership members, instant now)
{
    return m_impl->proposeMembership(std::move(members), now);
}
void raft_node::persisted(std::uint64_t number, instant now) { m_impl->persisted(number, now); }
void raft_node::setReadOnly(bool readOnly, instant now) { m_impl->setReadOnly(readOnly, now); }
void raft_node::compact(shared_snapshot snapshot) { m_impl->compact(std::move(snapshot)); }
bool raft_node::transferLeadership(instant now) { return m_impl->transferLeadership(now); }
raft_ready raft_node::takeReady(instant now) { return m_impl->takeReady(now); }
std::optional<failed_campaign> raft_node::takeFailedCampaign()
{
    return std::exchange(m_impl->failedCampaign, std::nullopt);
}
bool raft_node::isLeader() const { return m_impl->role == raft_role::leader; }
bool raft_node::holdsLeaderLease(instant now) const { return m_impl->holdsLeaderLease(now); }
std::uint64_t raft_node::termStartIndex() const { return m_impl->termStartIndex; }
std::optional<replica_id> raft_node::leader() const { return m_impl->leader; }
bool raft_node::hearsLeader(instant now) const
{
    return isLeader() || (m_impl->leader && now - m_impl->lastHeard < 2 * m_impl->options.electionTimeout);
}
std::uint64_t raft_node::term() const { return m_impl->hard.term; }
std::uint64_t raft_node::commitIndex() const { return m_impl->commit; }
std::uint64_t raft_node::lastIndex() const { return m_impl->log.lastIndex(); }
std::uint64_t raft_node::firstIndex() const { return m_impl->log.firstIndex(); }
std::uint64_t raft_node::termAt(std::uint64_t index) const { return m_impl->log.termAt(index); }
const membership& raft_node::members() const { return m_impl->log.members(); }
const membership& raft_node::membersAt(std::uint64_t index) const { return m_impl->log.membersAt(index); }
std::vector<member_contact> raft_node::contacts() const
{
    std::vector<member_contact> out;
    for (const auto& [id, peer] : m_impl->peers)
        out.push_back({ id, peer.answeredSentAt, peer.matchIndex });
    return out;
}
std::size_t raft_node::answeringVoters(instant now) const
{
    return isLeader() ? m_impl->countAnsweringVoters(m_impl->log.members(), now) : 0;
}
bool raft_node::mayVote() const { return m_impl->mayVote(); }
bool raft_node::dataLost() const { return m_impl->dataLost; }

} // namespace poplardeal
