#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <poplardeal/base/ids.h>
#include <poplardeal/base/time.h>
#include <string>
#include <vector>

namespace poplardeal {

enum class member_role : std::uint8_t {
    voter,
    learner, ///< Receives the log, neither votes nor counts towards a quorum.
};

/// One member of the group. The data incarnation is drawn anew whenever a replica starts with an empty data folder in
/// an existing group: what its earlier folder acknowledged or voted says nothing about the new one. A replica campaigns
/// only if its membership lists it as a voter with its own incarnation, and votes only for candidates whose membership
/// does.
struct member {
    replica_id id;
    member_role role { member_role::voter };
    std::uint64_t dataIncarnation { 0 }; ///< 0 for a replica that took part in the bootstrap of the group.
    bool promoteWhenCaughtUp { false }; ///< A learner that joins, or was a voter, and becomes one.

    friend bool operator==(const member&, const member&) = default;
};

/// The members of the group, effective from the moment the entry that carries them is appended. Until that entry is
/// committed, decisions also need a quorum of the voters before.
struct membership {
    std::vector<member> members;

    const member* find(replica_id) const;
    bool isVoter(replica_id) const;
    std::size_t voterCount() const;
    /// True if both have the same voters with the same data.
    bool hasSameVoters(const membership&) const;

    friend bool operator==(const membership&, const membership&) = default;
};

membership membershipOfVoters(const std::vector<replica_id>&);

enum class entry_kind : std::uint8_t {
    no_op,
    command,
    membership, ///< The payload is an encoded `membership`.
};

struct log_entry {
    std::uint64_t term { 0 };
    std::uint64_t index { 0 }; ///< From 1, without gaps.
    entry_kind kind { entry_kind::no_op };
    std::string payload;

    friend bool operator==(const log_entry&, const log_entry&) = default;
};

/// What a replica must never forget.
struct hard_state {
    std::uint64_t term { 0 };
    std::optional<replica_id> vote; ///< The candidate that received this replica's vote in `term`.

    friend bool operator==(const hard_state&, const hard_state&) = default;
};

/// State of the state machine after the entry `index`. Replaces the log up to there.
struct log_snapshot {
    std::uint64_t index { 0 };
    std::uint64_t term { 0 };
    membership members;
    std::string data;
};

using shared_snapshot = std::shared_ptr<const log_snapshot>;

enum class message_kind : std::uint8_t {
    pre_vote,
    pre_vote_answer,
    vote,
    vote_answer,
    append,
    append_answer,
    snapshot_chunk,
    snapshot_answer,
    time_out_now, ///< Asks the receiver to become a candidate at once (leadership transfer).
    data_lost, ///< Tells the receiver that its data folder lacks entries that it has acknowledged.
    /// Answer to a vote request: the data incarnation that it expects is gone. Has no part in any term.
    data_replaced,
};

/// One message between replicas. Which members are used depends on the kind.
struct raft_message {
    message_kind kind { message_kind::append };
    replica_id from;
    replica_id to;
    std::uint64_t term { 0 };
    std::uint64_t logIndex {
        0
    }; ///< Votes and their answers: last entry. Append: entry before the first one. Answers: see `matchIndex`.
    std::uint64_t logTerm { 0 };
    std::uint64_t matchIndex { 0 }; ///< Append answer: last durable entry that matches the leader's log.
    std::uint64_t commit { 0 };
    bool rejected { false };
    bool transfer { false }; ///< Vote: the leader asked for this election, so the promise made to it does not hold.
    std::int64_t sentAt { 0 }; ///< Leader's clock at the time of sending, in microseconds; answers repeat it.
    std::uint64_t dataIncarnation { 0 }; ///< Of the sender.
    std::uint64_t expectedIncarnation { 0 }; ///< Vote requests: of the receiver, in the sender's membership. Repeated
                                             ///< by `data_replaced`.
    std::uint64_t startCount { 0 }; ///< How often the sender's data folder has been opened.
    std::vector<log_entry> entries;
    std::uint64_t snapshotIndex { 0 };
    std::uint64_t snapshotTerm { 0 };
    std::uint64_t snapshotOffset { 0 }; ///< Chunk: position of `chunk`. Answer: bytes received so far.
    std::uint64_t snapshotSize { 0 };
    membership snapshotMembers;
    std::string chunk;
};

} // namespace poplardeal
