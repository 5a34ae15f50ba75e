#pragma once

#include <cstddef>
#include <cstdint>
#include <poplardeal/base/time.h>

namespace poplardeal::detail {

using namespace std::chrono_literals;

/// A prepare that takes longer releases the gang; part of the budget of 5.4 s for urgent work.
constexpr duration prepareTimeout = 3s;
/// A start that is not reported within this time is taken back. Permits are valid for 2 s, so it will not come.
constexpr duration startTimeout = 30s;
/// Time for checkpoints before a stop, and for the answer to the stop. Two rounds, on a worker that does not answer
/// and on another one, fit into 5.4 s with 1 s left for the prepare.
constexpr duration checkpointTimeout = 1200ms;
constexpr duration stopTimeout = 1s;
/// A stop without an answer is sent again after this time.
constexpr duration stopResendInterval = 5s;
/// Workers that refuse, or do not answer, get nothing new for this time.
constexpr duration avoidanceAfterRefusal = 5s;
constexpr duration avoidanceAfterSilence = 30s;

/// Checkpoint, stop, and some time for the messages.
constexpr duration claimTimeout = checkpointTimeout + stopTimeout + 300ms;

/// A data centre that returned takes this many tasks at once and then this many a second, for this long.
constexpr std::int64_t refillBurst = 32;
constexpr std::int64_t refillPerSecond = 32;
constexpr duration refillPeriod = 60s;

/// Free places searched for in one pass. It bounds the time of one event when many different demands wait.
constexpr std::int64_t maxSearchesPerPass = 64;
/// Waiting jobs are looked at this often even if nothing happens, because they age.
constexpr duration reviewInterval = 10s;
/// Jobs that places are drained for at the same time. Each one keeps capacity in less efficient use.
constexpr std::size_t maxDrainingJobs = 4;
/// A job for which no place can be drained is not looked at again for this time, and one search is made in a pass.
constexpr duration drainRetryInterval = 1min;
/// A job is aged when it waited for this multiple of its estimated run time, or for the longer time.
constexpr std::int64_t agedWaitFactor = 2;
constexpr duration minAgedWait = 30s;
constexpr duration maxAgedWait = 15min;

/// Bounds on the search that moves all reservations, in blocks placed and in time between failed attempts.
constexpr std::int64_t maxRepackSteps = 20'000;
constexpr duration repackInterval = 1s;

/// A worker that failed tasks of this many different jobs in a row takes one task at a time until one succeeds.
constexpr std::size_t failedJobsBeforeProbation = 3;
constexpr duration pauseAfterFailedProbe = 60s;

/// A job that failed on a worker is not placed there for this time, so that a bad worker does not use up its restarts.
constexpr duration avoidanceAfterFailure = 10min;

/// Small borrowers are moved together, to open a block for a job that waits, at most this often, and only if the job
/// waited and they ran for some time since they started. A move costs a checkpoint and a restart.
constexpr duration consolidationInterval = 10s;
constexpr duration compactionInterval = 10s;
constexpr std::int64_t workersPerMoveInterval = 128;
constexpr duration minWaitForConsolidation = 30s;
constexpr duration minRunBeforeMove = 2min;

constexpr duration firstBackoff = 1s;
constexpr std::int64_t maxBackoffDoublings = 6;

/// Ended jobs that are kept for status requests; the oldest is dropped first.
constexpr std::size_t maxEndedJobs = 4096;

/// Steps of a task over its declaration (throttle, checkpoint, stop) are this far apart.
constexpr duration overuseStepInterval = 10s;

} // namespace poplardeal::detail
