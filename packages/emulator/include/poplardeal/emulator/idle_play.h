#pragma once

#include <cstdint>
#include <poplardeal/jobs/planner.h>
#include <string>
#include <vector>

namespace poplardeal::emulator {

/// A job of one step, and what its tasks do.
struct idle_job {
    duration at { 0 }; ///< From the start of the play.
    std::uint32_t priority { 1 }; ///< 0 to 2; each has a queue.
    step_spec step;
    duration runTime { 0 }; ///< Until a run ends by itself; a long-running task that works on never does.
    bool fails { false }; ///< Each run ends `failed`.
};

/// A worker that is lost for good.
struct worker_loss {
    duration at { 0 };
    std::size_t worker { 0 };
};

/// Workers of 8 accelerators without any fault but those that are given, so that only the scheduler keeps a task from
/// an idle worker.
struct idle_scenario {
    std::size_t workers { 4 };
    std::size_t workersPerRack { 3 };
    std::vector<idle_job> jobs;
    std::vector<worker_loss> losses;
    std::vector<std::size_t> badWorkers; ///< Fail each run.
    duration length { std::chrono::seconds(40) };
};

struct idle_result {
    std::size_t starts { 0 };
    std::vector<std::uint32_t> startsByJob;
    std::vector<std::string> violations; ///< Must be empty.
};

/// Plays a scenario in virtual time with the scheduler's job table, worker registry and planner. A violation is what
/// the platform's rule on lost work names: for 3 s a job has nothing running while a task's turn has come, there is
/// capacity for it twice over, and under half of the capacity is in use. Each task of a long-running step counts by
/// itself, from 6 s after its last run and however full the service is.
idle_result playIdle(const idle_scenario&, const planner_options&);

/// A scenario drawn from a seed: gangs, long-running tasks with and without a declared time, tasks that fail or
/// overrun, jobs that can never be done, workers that are lost or fail everything.
idle_scenario drawIdleScenario(std::uint64_t seed);

} // namespace poplardeal::emulator
