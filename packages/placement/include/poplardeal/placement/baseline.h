#pragma once

#include <poplardeal/placement/scheduler.h>

namespace poplardeal {

/// A scheduler with the simplest policy, for comparison: jobs strictly in order of submission, each gang on the first
/// blocks that hold it, no guarantees, no preemption, no backfill. Two-phase starts, quotas, scopes and data centre
/// orders work as in `scheduler()`.
scheduler makeFirstFitFifo();

} // namespace poplardeal
