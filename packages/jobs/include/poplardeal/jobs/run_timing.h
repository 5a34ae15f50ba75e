#pragma once

#include <poplardeal/base/time.h>

namespace poplardeal {

/// How long workers take to stop, save and resume runs. Set by the platform; the defaults suit one that states nothing.
struct run_timing {
    duration stop { std::chrono::milliseconds(400) }; ///< From an order to stop until the run has ended, at most.
    duration checkpointInterval { std::chrono::milliseconds(500) }; ///< Between checkpoints of a run.
    duration restore { std::chrono::milliseconds(600) }; ///< Of a checkpoint, at a start.
    duration gangStart { std::chrono::milliseconds(1500) }; ///< In which all members of a gang must have begun.
    /// From acceptance of a guaranteed job until all of its tasks have begun, at most.
    duration reclaim { std::chrono::milliseconds(2700) };
    duration notice { std::chrono::milliseconds(2000) }; ///< Between a worker's announcement and its leaving.
};

} // namespace poplardeal
