#pragma once

#include <map>
#include <poplardeal/jobs/worker_registry.h>
#include <set>
#include <string>
#include <vector>

namespace poplardeal::emulator {

struct simulated_run {
    run_number run;
    instant startedAt;
    double resumedFrom { 0 }; ///< Share of the work that a checkpoint has saved.
    duration fullTime { 0 }; ///< Of the whole work on this worker.
    duration restoreTime { 0 };
    std::optional<instant> workBeganAt; ///< A gang begins when all members are there.
    instant endsAt { instant::max() };
    end_kind endsAs { end_kind::done };
    bool isCheckpointable { false };
    double reportedShare { 0 }; ///< Share that the last reported checkpoint holds.
    bool isStopping { false };
    double weight { 0 }; ///< In cores.

    /// Share of the work that is done.
    double progress(instant now) const;
    /// Share of the work that the last periodic checkpoint holds.
    double savedShare(instant now, duration checkpointInterval) const;
};

/// One worker with its runs, as its sidecar sees it.
struct simulated_worker {
    worker_boot boot;
    std::string address;
    rack_name rack;
    demand capacity;
    double slowness { 1 };
    instant silentUntil;
    bool isUp { true };
    instant leavesAt { instant::max() };
    std::map<task_key, simulated_run> running;
    std::vector<task_end> ended; ///< Not yet acknowledged.
    std::uint64_t lastEnd { 0 };
    std::set<run_key> refusing; ///< Runs that were stopped before they began.
    std::uint64_t reportNumber { 0 }; ///< Only the report that was scheduled last is sent.

    bool isSilent(instant now) const { return now < silentUntil; }
    bool isDraining() const { return leavesAt != instant::max(); }
    /// The report of this moment. What it lists as saved counts as reported.
    worker_status status(instant now, duration checkpointInterval);
};

/// The checkpoint of a run that has this share of its work done, and the share that one holds.
checkpoint encodeProgress(double share);
double decodeProgress(const checkpoint&);

} // namespace poplardeal::emulator
