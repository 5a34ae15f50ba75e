#include "raft_node_impl.h"
#include <algorithm>

namespace poplardeal {

using detail::progress;
using detail::progress_state;
using detail::raft_role;

void raft_node::impl::startSnapshot(progress& peer)
{
    peer.state = progress_state::snapshot;
    peer.snapshot = log.snapshot();
    peer.snapshotOffset = 0;
    peer.chunkSent = false;
    peer.inflight.clear();
    peer.inflightBytes = 0;
}

void raft_node::impl::sendSnapshotChunk(replica_id id, progress& peer, instant now)
{
    if (peer.chunkSent || !peer.snapshot)
        return;
    peer.chunkSent = true;
    auto m = messageTo(id, message_kind::snapshot_chunk);
    m.sentAt = toMicros(now);
    m.snapshotIndex = peer.snapshot->index;
    m.snapshotTerm = peer.snapshot->term;
    m.snapshotOffset = peer.snapshotOffset;
    m.snapshotSize = peer.snapshot->data.size();
    m.snapshotMembers = peer.snapshot->members;
    m.chunk = peer.snapshot->data.substr(peer.snapshotOffset, options.snapshotChunkBytes);
    send(std::move(m));
}

void raft_node::impl::onSnapshotAnswer(const raft_message& m, instant now)
{
    const auto found = peers.find(m.from);
    if (role != raft_role::leader || found == peers.end())
        return;
    auto& peer = found->second;
    if (!checkIncarnation(peer, m, now))
        return;
    const auto sentAt = instantFromMicros(m.sentAt);
    peer.dataIncarnation = m.dataIncarnation;
    peer.answeredSentAt = std::max(peer.answeredSentAt.value_or(sentAt), sentAt);
    if (peer.state != progress_state::snapshot || !peer.snapshot || peer.snapshot->index != m.snapshotIndex)
        return;
    if (m.snapshotOffset > peer.snapshot->data.size() || m.snapshotOffset == peer.snapshotOffset)
        return;
    peer.snapshotOffset = m.snapshotOffset;
    peer.chunkSent = false;
}

void raft_node::impl::onSnapshotChunk(const raft_message& m, instant now)
{
    if (role == raft_role::leader)
        return;
    if (role != raft_role::follower)
        becomeFollower(hard.term, m.from);
    leader = m.from;
    campaign.reset();
    lastHeard = now;
    resetElectionTimer(now);
    if (readOnly)
        return;

    if (m.snapshotIndex <= commit) {
        auto answer = messageTo(m.from, message_kind::append_answer);
        answer.sentAt = m.sentAt;
        answer.logIndex = commit;
        answer.matchIndex = commit;
        return sendWhenDurable(std::move(answer));
    }
    if (!incoming || incoming->index != m.snapshotIndex || incoming->term != m.snapshotTerm)
        incoming = detail::incoming_snapshot { m.snapshotIndex, m.snapshotTerm, {} };
    if (m.snapshotOffset == incoming->data.size())
        incoming->data += m.chunk;
    if (incoming->data.size() == m.snapshotSize)
        return installReceivedSnapshot(m);
    auto answer = messageTo(m.from, message_kind::snapshot_answer);
    answer.sentAt = m.sentAt;
    answer.snapshotIndex = m.snapshotIndex;
    answer.snapshotOffset = incoming->data.size();
    sendWhenDurable(std::move(answer));
}

void raft_node::impl::installReceivedSnapshot(const raft_message& m)
{
    auto received = std::make_shared<log_snapshot>();
    received->index = m.snapshotIndex;
    received->term = m.snapshotTerm;
    received->members = m.snapshotMembers;
    received->data = std::move(incoming->data);
    incoming.reset();

    // Entries after the snapshot may be kept only if the log holds the snapshot's last entry.
    const bool discard = log.termAt(received->index) != received->term;
    log.installSnapshot(received, discard);
    snapshotToPersist = received;
    snapshotToInstall = received;
    discardLog = discard;
    if (discard) {
        firstUnsent = 0;
        stableIndex = 0;
        for (auto& batch : pendingBatches)
            batch.lastIndex = 0;
    } else if (firstUnsent != 0) {
        firstUnsent = std::max(firstUnsent, log.firstIndex());
        if (firstUnsent > log.lastIndex())
            firstUnsent = 0;
    }
    commit = received->index;
    emitted = received->index;

    auto answer = messageTo(m.from, message_kind::append_answer);
    answer.sentAt = m.sentAt;
    answer.logIndex = received->index;
    answer.matchIndex = received->index;
    sendWhenDurable(std::move(answer));
}

void raft_node::impl::compact(shared_snapshot snapshot)
{
    const auto previous = log.snapshot() ? log.snapshot()->index : 0;
    if (snapshot->index <= previous || snapshot->index > emitted)
        return;
    auto base = snapshot->index - std::min(snapshot->index, options.retainedEntries);
    base = std::max(base, log.firstIndex() - 1);
    std::size_t retained = 0;
    for (auto index = snapshot->index; index > base; --index) {
        retained += log.at(index).payload.size();
        if (retained > options.retainedBytes)
            base = index;
    }
    if (firstUnsent != 0)
        base = std::min(base, firstUnsent - 1);
    log.compact(std::move(snapshot), base);
}

} // namespace poplardeal
