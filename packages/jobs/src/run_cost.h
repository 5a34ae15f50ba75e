#pragma once

#include <cstdint>
#include <optional>
#include <poplardeal/jobs/run_timing.h>

namespace poplardeal::detail {

/// A unit whose runs could be stopped.
struct stopped_run {
    double weight { 0 }; ///< In cores, of all members.
    bool isCheckpointable { false };
    instant startedAt; ///< Earliest start of a member.
    std::optional<instant> savedAt; ///< Oldest of the members' last checkpoints; empty if one of them is not known.
    std::uint32_t starts { 1 }; ///< Starts of the unit so far.
    double valueShare { 1 }; ///< Share of its value that the job can still earn.
};

/// Time that a stop makes a unit repeat or wait: since its last known checkpoint, for the stop and for the restore.
duration timeLostByEnding(const run_timing&, const stopped_run&, instant now);

/// Work that is lost with the run, in core-seconds: since its last known checkpoint, until the stop has taken effect.
double workLostByEnding(const run_timing&, const stopped_run&, instant now);

/// Work that a stop repeats, in core-seconds weighted by the value that the job can still earn. An upper bound where
/// reports are missing, as these are taken to have shown no checkpoint. It grows with the number of starts, so that the
/// same unit isn't preempted again and again.
double costOfEnding(const run_timing&, const stopped_run&, instant now);

} // namespace poplardeal::detail
