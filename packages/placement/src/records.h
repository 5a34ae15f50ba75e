#pragma once

#include "accelerator_mask.h"
#include <cstdint>
#include <map>
#include <optional>
#include <poplardeal/base/time.h>
#include <poplardeal/placement/events.h>
#include <poplardeal/placement/scheduler.h>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace poplardeal::detail {

/// Number of a lease in the tables of the scheduler; 0 is none.
using lease_number = std::uint64_t;
using job_number = std::uint64_t;

/// Place chosen for one task.
struct task_spot {
    std::uint32_t worker { 0 };
    accelerator_mask accelerators { 0 };
    friend bool operator==(const task_spot&, const task_spot&) = default;
};

/// One set of blocks to be packed: `blocks` blocks of `blockAccelerators` adjacent accelerators within a scope.
struct shape_instance {
    std::int64_t blocks { 1 };
    std::int64_t blockAccelerators { 1 };
    scope within { scope::rack };
    friend bool operator==(const shape_instance&, const shape_instance&) = default;
    friend bool operator<(const shape_instance& a, const shape_instance& b)
    {
        return std::tie(a.blocks, a.blockAccelerators, a.within) < std::tie(b.blocks, b.blockAccelerators, b.within);
    }
};

enum class lease_state {
    claimed, ///< Promised to a waiting job; the resources are still held by tasks that are being stopped.
    preparing,
    prepared,
    starting, ///< start_task was issued, `started` was not reported yet.
    running,
    checkpointing,
    checkpointed, ///< Checkpoint done, stop follows with the rest of the gang.
    stopping,
    releasing, ///< Its job no longer waits for it.
};

/// Resources held on a worker for one task.
struct lease_record {
    lease_number number { 0 };
    task_id task;
    workspace_name workspace;
    resources amount;
    task_spot spot;
    lease_state state { lease_state::preparing };
    bool started { false };
    bool secured { false }; ///< Lies on the reservation of its workspace and is not preempted.
    instant progressFrom; ///< Work after this moment is lost by a stop.
    std::int64_t overuseSteps { 0 };
    instant overuseSince;
};

enum class stop_cause {
    none,
    preempted,
    evacuated,
    worker_lost,
    task_failed,
    cancelled,
    overused,
    start_late,
    start_refused, ///< The worker released or stopped a task on its own.
};

struct job_record {
    job_number number { 0 };
    workspace_name workspace;
    job_template spec;
    job_phase phase { job_phase::waiting };
    stop_cause cause { stop_cause::none };
    std::string reason;
    std::uint32_t attempt { 0 };
    std::int64_t failures { 0 };
    std::int64_t refusals { 0 }; ///< Prepares refused or late in a row, for the backoff.
    instant acceptedAt;
    instant notBefore;
    instant attemptStartedAt;
    instant phaseDeadline; ///< When the timer of the present phase is due; earlier timers are void.
    std::optional<instant> startedAt;
    std::optional<instant> endedAt;
    std::vector<lease_number> leases; ///< By task index; 0 once the lease ended.
    std::int64_t finishedTasks { 0 };
    std::set<std::uint32_t> failedWorkers;
    instant avoidFailedUntil; ///< Until then none of `failedWorkers` is used.
    bool claiming { false }; ///< Waits, with claims instead of leases, for preempted tasks to leave.
    std::vector<task_spot> shadow; ///< Place that is drained for this job; others use it as backfill.
    instant drainAfter; ///< No search for a place to drain before this moment.
    job_number backfilledBefore { 0 }; ///< This job may preempt it.
    bool everStarted { false };
    bool uncertain { false }; ///< A start was issued and nothing proves that the task did not run.
};

struct worker_record {
    worker_spec spec;
    std::uint32_t rack { 0 };
    std::uint32_t dataCentre { 0 };
    bool present { false };
    bool suspected { false };
    accelerator_mask used { 0 };
    accelerator_mask claimed { 0 };
    accelerator_mask reserved { 0 }; ///< Counterparts of guarantees.
    resources free; ///< Not held by leases.
    resources claimedAmount;
    instant avoidUntil;
    std::set<lease_number> leases;
    std::set<lease_number> claims;
    std::vector<job_number> failedJobs; ///< Different jobs that failed here in a row.
    bool onProbation { false };
};

struct rack_record {
    rack_name name;
    std::uint32_t dataCentre { 0 };
    std::vector<std::uint32_t> workers;
};

struct data_centre_record {
    data_centre_name name;
    bool inService { true };
    instant returnedAt;
    std::int64_t startTokens { 0 }; ///< Tasks that may be placed as of `tokensAt`, while it is being filled again.
    instant tokensAt;
    std::vector<std::uint32_t> racks;
};

/// One guaranteed shape and the place that can be taken back for it at any time. No place: none is in service.
struct reservation {
    workspace_name owner;
    shape_instance shape;
    std::vector<task_spot> cells;
};

struct workspace_record {
    workspace definition;
    bool defined { false };
    resources held;
};

enum class timer_kind {
    prepare_late,
    start_late,
    stop_due, ///< Checkpoints have had their time.
    stop_late, ///< A stop was not answered.
    claim_late, ///< Preempted tasks did not leave in time.
    backoff_over,
    wake, ///< Workers may be used again.
    review, ///< Jobs have aged.
    refill, ///< A data centre that returned may take more tasks.
};

/// Due time, kind and the job or worker it is for. A timer that no longer applies does nothing.
using timer = std::tuple<instant, timer_kind, std::uint64_t>;

} // namespace poplardeal::detail
