#pragma once

#include <cstdint>
#include <poplardeal/base/ids.h>
#include <poplardeal/base/time.h>
#include <poplardeal/base/units.h>
#include <string>
#include <variant>
#include <vector>

namespace poplardeal {

/// Hold the resources for a task under a lease; nothing runs yet.
struct prepare_task {
    task_id task;
    lease_id lease;
    worker_id worker;
    incarnation instance;
    resources amount;
    std::vector<std::uint32_t> acceleratorIndexes; ///< Adjacent, ascending.
    duration runTime { 0 };
    std::string command;
};

/// All tasks of the gang are prepared: ask for a permit and start.
struct start_task {
    task_id task;
    lease_id lease;
    worker_id worker;
};

struct checkpoint_task {
    task_id task;
    lease_id lease;
    worker_id worker;
};

struct throttle_task {
    task_id task;
    lease_id lease;
    worker_id worker;
};

/// Stop a running task and free its resources.
struct stop_task {
    task_id task;
    lease_id lease;
    worker_id worker;
};

/// Free the resources of a task that was prepared and must not start.
struct release_task {
    task_id task;
    lease_id lease;
    worker_id worker;
};

using placement_command
    = std::variant<prepare_task, start_task, checkpoint_task, throttle_task, stop_task, release_task>;

} // namespace poplardeal
