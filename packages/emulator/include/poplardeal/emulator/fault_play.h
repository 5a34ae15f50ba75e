#pragma once

#include <cstdint>
#include <poplardeal/base/time.h>
#include <string>
#include <vector>

namespace poplardeal::emulator {

/// A small cluster with one fault after the other, drawn from a seed.
struct fault_scenario {
    std::size_t workers { 3 };
    std::size_t slotsPerWorker { 3 };
    std::size_t listedEnds { 500 }; ///< Ends that a worker lists at once.
    std::size_t jobs { 8 };
    std::size_t faults { 6 };
    bool hasLateDepartures { false }; ///< Workers that crash have said that they end, and that comes late.
    bool hasSilentWorkers { false }; ///< Workers that answer no calls for some time; their runs go on.
    duration faultTime { std::chrono::seconds(16) }; ///< In which jobs arrive and faults begin.
    duration settleTime { std::chrono::seconds(60) }; ///< Without faults, in which all jobs have to end.
};

/// What happened in a play.
struct fault_result {
    std::size_t jobs { 0 };
    std::size_t starts { 0 }; ///< Runs that a worker has begun.
    std::size_t leaders { 0 };
    std::vector<std::string> faults; ///< In order of time, for a report.
    std::vector<std::string> violations; ///< Broken promises; must be empty.
};

/// Plays the scheduler's job table, worker registry, planner and sidecar agents against `worker_model`s in virtual
/// time, under messages that are lost, late or repeated, pauses, restarts, crashes and changes of the leader. Promises:
///
/// - no two runs of a task at the same time, and no start after a run that has ended `done`, if its end is recorded;
/// - no failed run is counted that no worker has seen fail;
/// - an accepted job stays known and ends, completed or failed as its tasks do.
///
/// The replicated log itself is taken as given: an entry commits after a delay, or is lost with its leader.
fault_result playFaults(const fault_scenario&, std::uint64_t seed);

} // namespace poplardeal::emulator
