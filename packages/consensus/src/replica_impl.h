#pragma once

#include "disk_worker.h"
#include <limits>
#include <map>
#include <poplardeal/base/line_limiter.h>
#include <poplardeal/consensus/replica.h>

namespace poplardeal {

using proposal_callback = std::function<void(result<std::string>)>;

struct pending_proposal {
    std::uint64_t term { 0 };
    proposal_callback done;
};

struct replica::impl : std::enable_shared_from_this<replica::impl> {
    impl(replica_options given, replica_environment environmentGiven, state_machine& machineGiven, raft_node nodeGiven)
        : options(std::move(given))
        , environment(std::move(environmentGiven))
        , machine(machineGiven)
        , node(std::move(nodeGiven))
    {
    }

    void startDisk(log_store);
    void onDiskReport(const detail::disk_report&);
    void noteRoom(const std::optional<failure>& before);
    void retryDisk();
    void scheduleFlush();
    void flush();
    void carryOut(raft_ready);
    void applyCommitted(const log_entry&);
    void snapshotIfDue();
    void appended(result<log_position>, proposal_callback);
    void abandonProposals(const std::string& reason, std::uint64_t beforeTerm);
    void noteRoleChange();
    void noteFailedElection();
    void noteMembers();
    void stop(failure);
    void observe(instant now) { latest = std::max(latest, now); }

    replica_options options;
    replica_environment environment;
    state_machine& machine;
    raft_node node;
    instant latest; ///< The largest `now` seen.
    std::uint64_t applied { 0 };
    std::uint64_t snapshotIndex { 0 };
    std::size_t bytesSinceSnapshot { 0 }; ///< Of applied entries.
    std::map<std::uint64_t, pending_proposal> proposals; ///< By index.
    std::uint64_t requestedNumber { 0 }; ///< Last batch given to the disk thread.
    std::uint64_t requestedSnapshot { 0 }; ///< Last own snapshot given to the disk thread.
    detail::disk_report lastReport;
    instant diskTriedAt; ///< When the disk was last found to be full.
    bool isDiskRetried { false }; ///< The disk thread tries again what found no room.
    bool flushScheduled { false };
    bool flushing { false };
    bool wasLeader { false };
    bool wasVoter { false };
    std::uint64_t leaderTerm { 0 };
    membership shownMembers; ///< As last logged.
    std::uint64_t failedElections { 0 };
    detail::line_limiter electionLines { std::chrono::seconds(1) };
    std::optional<failure> stopReason;
    recovery_facts recovery;
    std::unique_ptr<detail::disk_worker<log_store>> disk;
};

} // namespace poplardeal
