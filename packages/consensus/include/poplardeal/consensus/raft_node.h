#pragma once

#include <limits>
#include <memory>
#include <optional>
#include <poplardeal/base/failure.h>
#include <poplardeal/consensus/raft_types.h>
#include <vector>

namespace poplardeal {

/// Largest payload of one log entry, 16 MiB. A message that carries it has to fit into one frame.
inline constexpr std::size_t maxLogEntryBytes = std::size_t { 16 } * 1024 * 1024;

struct raft_options {
    replica_id self;
    membership initialMembers; ///< First membership, the same on every replica.
    std::uint64_t dataIncarnation { 0 };
    /// Random. Replaces the data incarnation 0 if the log is empty although the group has a history: the folder of a
    /// bootstrapped replica was lost, and its settings still ask for the bootstrap. 0: never.
    std::uint64_t rejoinIncarnation { 0 };
    std::uint64_t startCount { 1 };
    std::size_t votersNeeded { 3 }; ///< With as many, a learner that becomes a voter takes the place of a silent one.
    std::size_t maxVoters { std::numeric_limits<std::size_t>::max() }; ///< Further learners wait for a silent voter.
    duration heartbeatInterval { std::chrono::milliseconds(150) };
    duration electionTimeout { std::chrono::milliseconds(700) }; ///< Lower bound; the upper bound is twice it.
    std::uint64_t seed { 0 }; ///< Of the randomised election timeouts.
    std::size_t maxEntryBytes { maxLogEntryBytes }; ///< Larger proposals are refused as `too_large`.
    std::size_t maxMessageBytes { std::size_t(256)
        * 1024 }; ///< Payload of one append, unless a single entry is larger.
    std::size_t maxInflightBytes { std::size_t(4) * 1024 * 1024 }; ///< Unanswered appends to one replica.
    std::size_t maxUncommittedBytes { std::size_t(32) * 1024
        * 1024 }; ///< Proposals beyond this are refused as `overloaded`.
    std::size_t maxUnwrittenBytes { std::size_t(4) * 1024
        * 1024 }; ///< Entries that a read-only replica takes from its leader and cannot write yet.
    std::size_t snapshotChunkBytes { std::size_t(256) * 1024 };
    /// Entries kept in memory before a snapshot, so that a member that lags a little needs no snapshot.
    std::uint64_t retainedEntries { 1000 };
    /// Of these entries, in bytes; a follower that needs earlier ones receives the snapshot.
    std::size_t retainedBytes { std::size_t { 8 } * 1024 * 1024 };
};

/// What the store found in the data folder.
struct raft_saved_state {
    hard_state hard;
    shared_snapshot snapshot; ///< May be null.
    std::vector<log_entry> entries; ///< Follow the snapshot without a gap.
};

/// Part of `raft_ready` that must reach the disk, in this order. Afterwards call `raft_node::persisted(number)`.
struct persist_batch {
    std::uint64_t number { 0 }; ///< Consecutive. Batches are persisted in this order.
    shared_snapshot snapshot; ///< Received from the leader; null if there is none.
    bool discardLog { false }; ///< The snapshot replaces the whole log, also entries after it.
    std::optional<hard_state> hard;
    std::optional<std::uint64_t> dataIncarnation; ///< New incarnation of the folder.
    std::vector<log_entry> entries; ///< Replace all entries from the first one's index on.

    bool empty() const { return !snapshot && !hard && !dataIncarnation && entries.empty(); }
};

/// What the node wants done since the last call.
struct raft_ready {
    persist_batch persist;
    std::vector<raft_message> messages; ///< May be sent at once: the node holds back those that wait for the disk.
    shared_snapshot install; ///< To install into the state machine before `committed` is applied.
    std::vector<log_entry> committed; ///< To apply in order.
};

struct log_position {
    std::uint64_t index { 0 };
    std::uint64_t term { 0 };
};

/// What the leader knows of another member.
struct member_contact {
    replica_id id;
    std::optional<instant> answeredSentAt; ///< When the latest message was sent that the member has answered.
    std::uint64_t matchIndex { 0 }; ///< Last entry that the member has reported as durable.
};

/// What a voter has answered to a request for its vote.
enum class vote_reply {
    silent, ///< It is gone, still hears a leader, or cannot write.
    granted,
    refused, ///< Its log is newer, or it has voted for another candidate of the term.
    data_replaced, ///< Its data folder is not the one that the candidate's membership names.
};

struct asked_voter {
    replica_id id;
    std::uint64_t expectedIncarnation { 0 };
    vote_reply reply { vote_reply::silent };
    std::uint64_t lastIndex { 0 }; ///< Of its log, with a refusal.
};

/// Votes of the voters of one membership.
struct vote_count {
    std::size_t granted { 0 };
    std::size_t quorum { 0 }; ///< Votes that elect a leader.
};

/// A campaign after which no leader was heard until the next election timeout.
struct failed_campaign {
    bool isPreVote { true };
    std::uint64_t term { 0 }; ///< For which the votes were asked.
    std::uint64_t lastIndex { 0 }; ///< Of the candidate's log.
    std::vector<asked_voter> voters; ///< The candidate included: its own vote counts once it is durable.
    vote_count votes;
    std::optional<vote_count> earlierVotes; ///< Of the voters before a change that also needs a quorum of them.
};

/// One Raft member without sockets, clock, disk or threads: the caller brings in time and messages, and carries out
/// what `takeReady` returns after each input.
///
/// Lease: a follower refuses votes for `electionTimeout` after it has heard from a leader, and after its own start. The
/// leader's lease ends 4/5 `electionTimeout` after it sent the messages that a quorum has answered. It is exclusive as
/// long as the rates of any two replicas' clocks differ from real time by at most 10%: 0.8 * 1.1 / 0.9 < 1.
///
///     node.propose("payload", now);
///     auto ready = node.takeReady(now);   // persist ready.persist, send ready.messages, apply ready.committed
///     node.persisted(ready.persist.number, now);
class raft_node {
public:
    raft_node(raft_options, raft_saved_state, instant now);
    raft_node(raft_node&&) noexcept;
    raft_node& operator=(raft_node&&) noexcept;
    ~raft_node();

    void tick(instant now);
    void receive(const raft_message&, instant now);
    /// `not_leader`, `too_large` or `overloaded` if the entry was not appended.
    result<log_position> propose(std::string payload, instant now);
    /// Adds, removes or replaces at most one voter; a new voter has to be a learner that has caught up. The data
    /// incarnations are filled in here. `conflict` while an earlier change is not committed; `unavailable` if the
    /// learner lags, if no quorum of the new membership answers, or before the first commit of the term.
    result<log_position> proposeMembership(membership, instant now);
    /// All batches up to this number are durable.
    void persisted(std::uint64_t number, instant now);
    /// Whether the disk takes no writes for now, because it is full. A read-only replica leads, votes and campaigns no
    /// more. A leader hands leadership over, or steps down. A follower answers its leader, also in a term that it
    /// cannot record, but reports as durable only what is: the leader's lease and its commits do not rest on the term.
    void setReadOnly(bool, instant now);
    /// Drops the log up to the snapshot, which the state machine took at an applied index.
    void compact(shared_snapshot);
    /// Hands leadership to the most advanced voter. False if this is not the leader or if there is no other voter.
    bool transferLeadership(instant now);
    raft_ready takeReady(instant now);
    /// The latest campaign that has failed since the last call.
    std::optional<failed_campaign> takeFailedCampaign();

    bool isLeader() const;
    /// True if a quorum answered within the lease and an entry of this term is committed.
    bool holdsLeaderLease(instant now) const;
    /// Index of the no-op that this leader appended first. Once it is applied, so are all entries of earlier terms.
    std::uint64_t termStartIndex() const;
    std::optional<replica_id> leader() const;
    /// True if this replica leads, or has heard its leader within the longest election timeout.
    bool hearsLeader(instant now) const;
    std::uint64_t term() const;
    std::uint64_t commitIndex() const;
    std::uint64_t lastIndex() const;
    std::uint64_t firstIndex() const; ///< Of the first entry that is still in the log.
    /// Term of an entry of the log, 0 if the entry is not in the log.
    std::uint64_t termAt(std::uint64_t index) const;
    const membership& members() const;
    /// Membership as of an entry; used for snapshots.
    const membership& membersAt(std::uint64_t index) const;
    /// The other members; empty unless this is the leader.
    std::vector<member_contact> contacts() const;
    /// Voters that have answered within the election timeout, itself included; 0 unless this is the leader.
    std::size_t answeringVoters(instant now) const;
    /// True if this replica may vote: its data folder is the one that the membership names.
    bool mayVote() const;
    /// Set once the leader has shown that the data folder is an old copy: it lacks entries acknowledged from it, or its
    /// start was followed by another one. Only the leader that received the acknowledgement can tell; an old copy put
    /// back after that leader's term goes unnoticed.
    bool dataLost() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace poplardeal
