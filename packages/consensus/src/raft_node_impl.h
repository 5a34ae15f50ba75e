#pragma once

#include "raft_log.h"
#include <deque>
#include <map>
#include <poplardeal/consensus/raft_node.h>
#include <random>
#include <set>

namespace poplardeal {

namespace detail {

    enum class raft_role {
        follower,
        pre_candidate,
        candidate,
        leader,
    };

    enum class progress_state {
        probe, ///< The matching position is unknown: one append at a time.
        replicate, ///< Appends are sent ahead of the answers.
        snapshot, ///< The log no longer reaches back far enough.
    };

    struct inflight_append {
        std::uint64_t lastIndex { 0 };
        std::size_t bytes { 0 };
    };

    /// What the leader knows of one other member.
    struct progress {
        progress_state state { progress_state::probe };
        std::uint64_t matchIndex { 0 };
        std::uint64_t dataIncarnation { 0 }; ///< Of the folder that has given the answers.
        std::uint64_t nextIndex { 1 };
        bool probeSent { false };
        std::deque<inflight_append> inflight;
        std::size_t inflightBytes { 0 };
        std::optional<instant> answeredSentAt; ///< Sending time of the latest message that it has answered.
        std::uint64_t startCount { 0 };
        instant startSeenAt; ///< When `startCount` was first seen.
        std::uint64_t earlierAcknowledged { 0 }; ///< Highest durable index reported by its earlier starts in this term.
        std::uint64_t roundTarget { 0 }; ///< Last entry of the log when the present round began.
        instant roundBegan;
        bool wasRoundShort { false }; ///< The round before took less than `maxLag`.
        shared_snapshot snapshot;
        std::uint64_t snapshotOffset { 0 };
        bool chunkSent { false };
    };

    struct vote {
        bool isGranted { false };
        std::uint64_t dataIncarnation { 0 }; ///< Of the voter.
    };

    /// A data incarnation that is gone for good.
    struct lost_data {
        std::uint64_t incarnation { 0 };
        instant learnedAt;
    };

    struct pending_batch {
        std::uint64_t number { 0 };
        std::uint64_t term { 0 };
        std::uint64_t lastIndex { 0 };
        bool carriesOwnVote { false };
        std::size_t bytes { 0 }; ///< Of its entries.
    };

    struct deferred_message {
        std::uint64_t number { 0 }; ///< Batch that must be durable first.
        raft_message message;
    };

    /// Snapshot that is being received.
    struct incoming_snapshot {
        std::uint64_t index { 0 };
        std::uint64_t term { 0 };
        std::string data;
    };

} // namespace detail

/// Voters that only one of the two has.
std::size_t changedVoters(const membership&, const membership&);

struct raft_node::impl {
    impl(raft_options, raft_saved_state, instant now);

    // raft_node.cpp
    void tick(instant now);
    void receive(const raft_message&, instant now);
    result<log_position> propose(entry_kind, std::string payload);
    void persisted(std::uint64_t number, instant now);
    void setReadOnly(bool, instant now);
    bool receiveReadOnly(const raft_message&, instant now);
    void sendReadOnly(raft_message);
    std::size_t unwrittenBytes() const;
    raft_ready takeReady(instant now);
    void send(raft_message);
    void sendWhenDurable(raft_message);
    bool isUnused() const;
    void noteHistory(const raft_message&);
    void noteDataLoss(const raft_message&);
    void releaseDurable();
    raft_message messageTo(replica_id, message_kind) const;
    void appendOwn(entry_kind, std::string payload);

    // raft_election.cpp
    void becomeFollower(std::uint64_t newTerm, std::optional<replica_id> newLeader);
    void startPreVote(instant now);
    void startElection(bool transfer, instant now);
    void becomeLeader(instant now);
    void requestVotes(message_kind, std::uint64_t votedTerm, bool transfer);
    void beginCampaign(bool isPreVote, std::uint64_t votedTerm);
    void noteVoteReply(const raft_message&);
    void endFailedCampaign();
    void recordVote(replica_id voter, detail::vote, instant now);
    void onVoteRequest(const raft_message&, instant now);
    void onVoteAnswer(const raft_message&, instant now);
    void onTimeOutNow(const raft_message&, instant now);
    void resetElectionTimer(instant now);
    void retrySoon(instant now);
    bool hasHeardFromLeader(instant now) const;
    bool isLogUpToDate(const raft_message&) const;
    bool mayVote() const;
    bool mayCampaign() const;
    bool holdsLeaderLease(instant now) const;
    bool transferLeadership(instant now);
    void continueTransfer(replica_id, instant now);

    // raft_quorum.cpp
    bool isChangeOpen() const;
    bool isMembershipSettled() const;
    bool isRepetitionDue() const;
    std::vector<const membership*> decidingSets() const;
    const member* findMember(replica_id) const;
    std::optional<instant> lossLearnedAt(const membership&) const;
    template <class Answered> bool isQuorumOf(const membership&, bool isCommitted, const Answered&) const;
    template <class Answered> bool isQuorum(const Answered&) const;
    void onDataReplaced(const raft_message&, instant now);
    void noteLostData(replica_id, std::uint64_t lost, instant now);
    bool hasVoteQuorum() const;
    std::size_t votesNeeded(const membership&, bool isCommitted) const;
    std::uint64_t quorumIndex() const;
    std::optional<instant> quorumAnsweredSentAt(instant now) const;

    // raft_replication.cpp
    void onAppend(const raft_message&, instant now);
    std::size_t storeEntries(const std::vector<log_entry>&);
    void onAppendAnswer(const raft_message&, instant now);
    void onRejectedAppend(detail::progress&, const raft_message&);
    void sendAppends(instant now);
    void sendAppendsTo(replica_id, detail::progress&, instant now);
    void sendOneAppend(replica_id, detail::progress&, bool heartbeat, instant now);
    void sendHeartbeats(instant now);
    void advanceCommit();
    void adoptCommit(std::uint64_t);

    // raft_snapshot.cpp
    void onSnapshotChunk(const raft_message&, instant now);
    void installReceivedSnapshot(const raft_message&);
    void onSnapshotAnswer(const raft_message&, instant now);
    void startSnapshot(detail::progress&);
    void sendSnapshotChunk(replica_id, detail::progress&, instant now);
    void compact(shared_snapshot);

    // raft_membership.cpp
    result<log_position> proposeMembership(membership, instant now);
    result<log_position> appendMembership(const membership&, instant now);
    std::size_t countAnsweringVoters(const membership&, instant now) const;
    bool checkIncarnation(detail::progress&, const raft_message&, instant now);
    bool checkRegression(detail::progress&, const raft_message&, instant now);
    duration maxLag() const { return options.electionTimeout / 2; }
    detail::progress unknownProgress() const;
    void noteRound(detail::progress&, instant now);
    bool isCaughtUp(const detail::progress&, instant now) const;
    std::optional<replica_id> silentVoter(instant now) const;
    void promoteIfCaughtUp(replica_id, const detail::progress&, instant now);
    void syncProgressWithMembers();
    void stepDownIfRemoved();
    void settleMembership();

    raft_options options;
    std::mt19937_64 random;
    detail::raft_log log;
    detail::raft_role role { detail::raft_role::follower };
    hard_state hard;
    std::optional<replica_id> leader;
    std::uint64_t commit { 0 };
    std::uint64_t emitted { 0 }; ///< Last entry handed out as committed.
    instant lastHeard; ///< When a leader was last heard.
    instant electionDeadline;
    std::map<replica_id, detail::vote> votes;
    instant roundBegan; ///< When the votes were asked for.
    std::map<replica_id, detail::lost_data> lostData;
    bool transferElection { false };
    std::optional<failed_campaign> campaign; ///< Under way, or without a leader that has been heard since.
    std::optional<failed_campaign> failedCampaign; ///< Not handed out yet.

    // Persistence.
    bool hardChanged { false };
    bool incarnationChanged { false };
    bool ownVotePending { false };
    std::uint64_t firstUnsent { 0 }; ///< First entry not yet handed out to persist; 0 if there is none.
    std::size_t unsentBytes { 0 }; ///< Of the entries from `firstUnsent` on.
    bool readOnly { false };
    shared_snapshot snapshotToPersist;
    bool discardLog { false };
    shared_snapshot snapshotToInstall;
    std::uint64_t batchNumber { 0 };
    std::uint64_t durableNumber { 0 };
    std::uint64_t incarnationNumber { 0 }; ///< Batch with the latest change of the incarnation; 0 if there is none.
    std::uint64_t stableIndex { 0 };
    std::uint64_t durableTerm { 0 };
    std::deque<detail::pending_batch> pendingBatches;
    std::deque<detail::deferred_message> deferred;
    std::vector<raft_message> outgoing;

    // Leader.
    std::map<replica_id, detail::progress> peers;
    std::uint64_t termStartIndex { 0 }; ///< The no-op of this term.
    instant leaderSince;
    instant lastHeartbeat;
    instant membersChangedAt;
    std::size_t uncommittedBytes { 0 };
    std::optional<replica_id> transferTarget;
    bool transferSent { false };
    instant transferDeadline;

    std::optional<detail::incoming_snapshot> incoming;
    bool dataLost { false };
};

} // namespace poplardeal
