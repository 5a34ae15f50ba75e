#include "raft_node_impl.h"
#include <algorithm>

namespace poplardeal {

using detail::progress;
using detail::progress_state;
using detail::raft_role;

/// Upper bound of the encoding around one payload.
constexpr std::size_t entryOverheadBytes = 64;

void raft_node::impl::onAppend(const raft_message& m, instant now)
{
    if (role == raft_role::leader)
        return;
    if (role != raft_role::follower)
        becomeFollower(hard.term, m.from);
    leader = m.from;
    campaign.reset();
    lastHeard = now;
    resetElectionTimer(now);

    auto answer = messageTo(m.from, message_kind::append_answer);
    answer.sentAt = m.sentAt;
    answer.logIndex = m.logIndex;
    if (m.logIndex < log.baseIndex()) {
        // Entries up to the commit index are equal on every replica; this replica no longer holds them to compare.
        answer.matchIndex = std::min(commit, stableIndex);
        answer.logIndex = commit;
        return send(std::move(answer));
    }
    if (m.logIndex > log.lastIndex() || log.termAt(m.logIndex) != m.logTerm) {
        const auto hint = log.lastIndexNotAfterTerm(m.logIndex, m.logTerm);
        answer.rejected = true;
        answer.matchIndex = hint;
        answer.logTerm = log.termAt(hint);
        // Of a read-only replica, only heartbeats are refused: the leader repeats a refused append at once.
        if (readOnly)
            return m.entries.empty() ? sendReadOnly(std::move(answer)) : void();
        return sendWhenDurable(std::move(answer));
    }
    const auto held = storeEntries(m.entries);
    const auto matched = m.logIndex + held;
    adoptCommit(std::min(m.commit, matched));
    answer.logIndex = matched;
    answer.matchIndex = matched;
    if (readOnly) {
        answer.matchIndex = std::min(matched, stableIndex);
        return held == m.entries.size() ? sendReadOnly(std::move(answer)) : void();
    }
    if (m.entries.empty() && durableTerm == hard.term && !hardChanged && !incarnationChanged) {
        // A heartbeat is answered at once, so that a slow disk does not look like a lost replica.
        answer.matchIndex = std::min(matched, stableIndex);
        return send(std::move(answer));
    }
    sendWhenDurable(std::move(answer));
}

/// Returns how many of the entries the log holds. A read-only replica takes them up to a limit.
std::size_t raft_node::impl::storeEntries(const std::vector<log_entry>& entries)
{
    std::size_t held = 0;
    auto unwritten = readOnly ? unwrittenBytes() : 0;
    for (const auto& entry : entries) {
        if (entry.index <= log.lastIndex()) {
            if (log.termAt(entry.index) == entry.term) {
                ++held;
                continue;
            }
            log.truncateFrom(entry.index);
            stableIndex = std::min(stableIndex, entry.index - 1);
            for (auto& batch : pendingBatches)
                batch.lastIndex = std::min(batch.lastIndex, entry.index - 1);
        }
        const auto bytes = entry.payload.size() + entryOverheadBytes;
        if (readOnly && unwritten + bytes > options.maxUnwrittenBytes)
            break;
        unwritten += bytes;
        unsentBytes += bytes;
        ++held;
        log.append(entry);
        if (firstUnsent == 0 || entry.index < firstUnsent)
            firstUnsent = entry.index;
    }
    return held;
}

void raft_node::impl::adoptCommit(std::uint64_t index) { commit = std::max(commit, std::min(index, log.lastIndex())); }

void raft_node::impl::onAppendAnswer(const raft_message& m, instant now)
{
    const auto found = peers.find(m.from);
    if (role != raft_role::leader || found == peers.end())
        return;
    auto& peer = found->second;
    if (!checkIncarnation(peer, m, now) || !checkRegression(peer, m, now))
        return;
    const auto sentAt = instantFromMicros(m.sentAt);
    peer.dataIncarnation = m.dataIncarnation;
    peer.answeredSentAt = std::max(peer.answeredSentAt.value_or(sentAt), sentAt);
    if (m.rejected)
        return onRejectedAppend(peer, m);

    peer.matchIndex = std::max(peer.matchIndex, m.matchIndex);
    while (!peer.inflight.empty() && peer.inflight.front().lastIndex <= m.logIndex) {
        peer.inflightBytes -= peer.inflight.front().bytes;
        peer.inflight.pop_front();
    }
    if (peer.state == progress_state::probe && m.logIndex + 1 >= peer.nextIndex) {
        peer.state = progress_state::replicate;
        peer.nextIndex = m.logIndex + 1;
    }
    if (peer.state == progress_state::snapshot && peer.snapshot && m.matchIndex >= peer.snapshot->index) {
        peer.snapshot = nullptr;
        peer.state = progress_state::replicate;
    }
    peer.nextIndex = std::max(peer.nextIndex, peer.matchIndex + 1);
    noteRound(peer, now);
    advanceCommit();
    if (role != raft_role::leader)
        return;
    promoteIfCaughtUp(m.from, peer, now);
    continueTransfer(m.from, now);
}

void raft_node::impl::onRejectedAppend(progress& peer, const raft_message& m)
{
    if (peer.state == progress_state::snapshot || m.logIndex <= peer.matchIndex)
        return;
    if (peer.state == progress_state::probe && m.logIndex + 1 != peer.nextIndex)
        return;
    // The hint is the follower's last entry whose term is not above the one asked for. Entries here with a later term
    // than the hint's cannot match either, which skips a whole term with each answer.
    const auto hint = log.lastIndexNotAfterTerm(std::min(m.matchIndex, m.logIndex - 1), m.logTerm);
    peer.state = progress_state::probe;
    peer.nextIndex = std::max(hint, peer.matchIndex) + 1;
    peer.probeSent = false;
    peer.inflight.clear();
    peer.inflightBytes = 0;
}

void raft_node::impl::sendAppends(instant now)
{
    for (auto& [id, peer] : peers)
        sendAppendsTo(id, peer, now);
}

void raft_node::impl::sendAppendsTo(replica_id id, progress& peer, instant now)
{
    if (peer.state != progress_state::snapshot && peer.nextIndex <= log.baseIndex())
        startSnapshot(peer);
    if (peer.state == progress_state::snapshot)
        return sendSnapshotChunk(id, peer, now);
    if (peer.state == progress_state::probe) {
        if (!peer.probeSent)
            sendOneAppend(id, peer, false, now);
        peer.probeSent = true;
        return;
    }
    while (peer.nextIndex <= log.lastIndex() && peer.inflightBytes < options.maxInflightBytes)
        sendOneAppend(id, peer, false, now);
}

void raft_node::impl::sendOneAppend(replica_id id, progress& peer, bool heartbeat, instant now)
{
    auto m = messageTo(id, message_kind::append);
    m.logIndex = std::max(peer.nextIndex - 1, log.baseIndex());
    m.logTerm = log.termAt(m.logIndex);
    m.commit = commit;
    m.sentAt = toMicros(now);
    std::size_t bytes = 0;
    for (auto index = peer.nextIndex; !heartbeat && index <= log.lastIndex(); ++index) {
        const auto& entry = log.at(index);
        if (!m.entries.empty() && bytes + entry.payload.size() + entryOverheadBytes > options.maxMessageBytes)
            break;
        bytes += entry.payload.size() + entryOverheadBytes;
        m.entries.push_back(entry);
    }
    if (peer.state == progress_state::replicate && !m.entries.empty()) {
        peer.nextIndex += m.entries.size();
        peer.inflight.push_back({ peer.nextIndex - 1, bytes });
        peer.inflightBytes += bytes;
    }
    send(std::move(m));
}

void raft_node::impl::sendHeartbeats(instant now)
{
    lastHeartbeat = now;
    for (auto& [id, peer] : peers) {
        // A heartbeat also repeats a probe that was lost. A lost snapshot chunk is repeated only to a member that
        // answers, so that a dead one costs no more than small messages.
        const bool answers = peer.answeredSentAt && now - *peer.answeredSentAt < options.electionTimeout;
        peer.chunkSent = peer.chunkSent && !answers;
        sendOneAppend(id, peer, true, now);
    }
}

void raft_node::impl::advanceCommit()
{
    const auto index = quorumIndex();
    // Only entries of the own term are committed by counting; the earlier ones are committed with them.
    if (index <= commit || log.termAt(index) != hard.term)
        return;
    for (auto i = commit + 1; i <= index; ++i)
        uncommittedBytes -= std::min(uncommittedBytes, log.at(i).payload.size());
    commit = index;
    stepDownIfRemoved();
    settleMembership();
}

} // namespace poplardeal
