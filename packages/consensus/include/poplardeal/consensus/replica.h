#pragma once

#include <cstdint>
#include <filesystem>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <poplardeal/base/failure.h>
#include <poplardeal/base/ids.h>
#include <poplardeal/base/time.h>
#include <poplardeal/consensus/raft_node.h>
#include <string>
#include <string_view>
#include <vector>

namespace poplardeal {

/// What the replicated state machine must offer. Called from the main thread only, in log order.
class state_machine {
public:
    virtual ~state_machine() = default;

    /// Applies one committed payload and returns the answer for the proposer.
    virtual std::string apply(std::uint64_t index, std::string_view payload) = 0;
    virtual std::string takeSnapshot() const = 0;
    virtual result<void> installSnapshot(std::string_view) = 0;
};

/// How replicas reach one another and the loop. The functions must not block, and stay callable until the destructor of
/// the replica has returned.
struct replica_environment {
    /// Sends an encoded message to another replica; loss is allowed.
    std::function<void(replica_id, std::string)> send;
    /// Runs a function on the main thread soon. Called from the disk thread.
    std::function<void(std::function<void()>)> post;
    /// Optional. Called on the main thread when the replica stops for good: the disk failed (`io_error`), or the data
    /// folder turned out to be an old copy (`corrupt`). See `replica::failed`.
    std::function<void(const failure&)> stopped;
    /// Optional. Called on the main thread with the time that the disk thread took to write and sync once.
    std::function<void(duration)> written;
};

struct replica_options {
    replica_id self;
    std::vector<replica_id> voters; ///< First membership, the same on every replica.
    std::size_t votersNeeded { 3 }; ///< `raft_options::votersNeeded`.
    std::size_t maxVoters { std::numeric_limits<std::size_t>::max() }; ///< `raft_options::maxVoters`.
    std::filesystem::path dataFolder;
    duration heartbeatInterval { std::chrono::milliseconds(150) };
    duration electionTimeout { std::chrono::milliseconds(700) }; ///< Lower bound; the upper bound is twice it.
    std::uint64_t seed { 0 };
    std::uint64_t snapshotEvery { 10000 }; ///< Entries between snapshots.
    /// Bytes of entries between snapshots, whatever their number: a restart reads them all.
    std::size_t snapshotEveryBytes { std::size_t { 8 } * 1024 * 1024 };
    /// True only for the first start of a brand-new group: a replica with an empty data folder may vote at once.
    /// Without it, a replica with an empty folder does not vote until the leader has made it a learner, brought it up
    /// to date and made it a voter again. No effect on a folder with data. If the setting is left on and the folder is
    /// lost, the replica notices at the first message of a replica with a log that the group is not new, and joins as a
    /// learner too.
    bool bootstrap { false };
    /// Sets the files of a damaged folder aside and starts as a replica that has lost its folder. Only while a leader
    /// has a quorum without this replica.
    bool setAsideDamage { false };
    bool repeatsFullDisk { false }; ///< The attempt before this one ended with `no_space`, which has been logged.
};

/// What a replica found in its data folder when it opened it.
struct recovery_facts {
    bool fresh { false }; ///< The folder was empty.
    std::uint64_t entries { 0 }; ///< Of the log, after the snapshot.
    std::uint64_t cutBytes { 0 }; ///< Torn record at the end of the log.
    std::uint64_t lastSequence { 0 }; ///< Number of the last record; 0 if there is none.
    bool setAside { false }; ///< The files that it held were damaged and have been set aside.
    std::uint64_t opens { 0 }; ///< How often the folder has been opened, this time included.
};

/// Between two attempts to write to a full disk.
inline constexpr duration diskRetryInterval = std::chrono::milliseconds(250);
/// The same while only a snapshot waits: each attempt writes as much of it as there is room for.
inline constexpr duration snapshotRetryInterval = std::chrono::seconds(5);

/// One member of the control group: the Raft node joined to its store and to a state machine.
///
///     auto opened = replica::open(options, environment, machine, now);
///     opened.value()->propose(payload, now, [](result<std::string> answer) { ... });
class replica {
public:
    /// `locked` if another process holds the data folder, `corrupt` with file and offset if the log is damaged,
    /// `unknown_format` if another version wrote it, `no_space` if the disk is full (a later attempt opens the folder
    /// as it is), `io_error`. Each is logged as `data_folder_refused`, `no_space` unless the attempt is a repetition.
    static result<std::unique_ptr<replica>> open(replica_options, replica_environment, state_machine&, instant now);
    ~replica();

    /// Call at least every `heartbeatInterval / 2`.
    void tick(instant now);
    void receive(replica_id from, std::string_view message, instant now);

    /// Answers with the state machine's answer once the entry is committed and applied here. `not_leader`: the entry
    /// was not and will not be appended. `unavailable`: it may still be committed (leadership was lost meanwhile).
    void propose(std::string payload, instant now, std::function<void(result<std::string>)> done);

    bool isLeader() const;
    /// True while no other replica can be leader: a quorum has answered within the lease and all committed entries of
    /// earlier terms have been applied here.
    bool holdsLeaderLease(instant now) const;
    std::optional<replica_id> leader() const;
    /// True if this replica leads, or has heard its leader within the longest election timeout.
    bool hearsLeader(instant now) const;
    /// Campaigns of this replica that have failed since it was opened; each is logged as `election_failed`, at most one
    /// a second.
    std::uint64_t failedElections() const;
    std::uint64_t term() const;
    std::uint64_t commitIndex() const;
    std::uint64_t appliedIndex() const;

    /// Replaces the membership; at most one voter may be added, removed or replaced, and a new voter has to be a
    /// learner that has caught up (`unavailable` otherwise). New members start with an empty folder and without
    /// `bootstrap`. Answers like `propose`; `conflict` while an earlier change is not committed.
    void changeMembership(membership, instant now, std::function<void(result<std::string>)> done);
    const membership& members() const;
    /// False while this replica has an empty or outdated data folder or is a learner.
    bool mayVote() const;
    /// True while the disk thread has work whose end has not been reported here.
    bool isPersisting() const;
    /// The other members as this replica sees them while it leads; empty otherwise.
    std::vector<member_contact> contacts() const;
    /// Voters that answer this replica, itself included; 0 unless it leads.
    std::size_t answeringVoters(instant now) const;
    std::uint64_t lastIndex() const;
    const recovery_facts& recovery() const;
    /// True while something could not be written because the disk is full. It is tried again every `diskRetryInterval`,
    /// a snapshot alone every `snapshotRetryInterval`. Meanwhile a replica that cannot write its log takes part in
    /// nothing that it would have to record: it does not lead, vote or campaign, and remains the voter that it is.
    bool isDiskFull() const;
    /// Why this replica stopped, if it did: it no longer votes, answers or applies until the process restarts.
    std::optional<failure> failed() const;

    /// Hands leadership to the most advanced follower, for a planned stop. Returns false if this is not the leader.
    bool transferLeadership(instant now);

private:
    struct impl;
    explicit replica(std::shared_ptr<impl>);
    std::shared_ptr<impl> m_impl;
};

} // namespace poplardeal
