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

constexpr duration firstBackoff = 1s;
constexpr std::int64_t maxBackoffDoublings = 6;

/// Ended jobs that are kept for status requests; the oldest is dropped first.
constexpr std::size_t maxEndedJobs = 4096;

/// Steps of a task over its declaration (throttle, checkpoint, stop) are this far apart.
constexpr duration overuseStepInterval = 10s;

} // namespace poplardeal::detail
