#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <poplardeal/base/failure.h>
#include <poplardeal/base/time.h>
#include <poplardeal/base/verdict.h>
#include <poplardeal/placement/commands.h>
#include <poplardeal/placement/events.h>
#include <string>
#include <vector>

namespace poplardeal {

enum class job_phase {
    waiting,
    preparing,
    running,
    stopping, ///< Preempted or moved; waits again afterwards.
    succeeded,
    failed,
    cancelled,
    refused, ///< Can never run; did not run.
};

std::string_view toString(job_phase);

/// Where one task of a job is held.
struct task_placement {
    task_id task;
    lease_id lease;
    worker_id worker;
    std::vector<std::uint32_t> acceleratorIndexes;
    bool running { false };
};

/// What is known of one job. `reason` says why it waits or how it ended, fit for an operator to read.
struct job_status {
    job_id id;
    workspace_name workspace;
    job_name job;
    job_phase phase { job_phase::waiting };
    run_verdict verdict { run_verdict::not_run };
    std::string reason;
    std::uint32_t attempt { 0 };
    instant acceptedAt;
    std::optional<instant> startedAt;
    std::optional<instant> endedAt;
    std::vector<task_placement> tasks;
    bool guaranteed { false }; ///< Lies on the guarantee of its workspace and is not preempted.
};

/// Adjacent accelerators of one worker.
struct accelerator_block {
    worker_id worker;
    std::vector<std::uint32_t> acceleratorIndexes;
};

/// One guaranteed shape with the blocks that can be taken back for it at any time; no blocks while the workers in
/// service cannot hold it.
struct guarantee_status {
    workspace_name workspace;
    guaranteed_shape shape; ///< With a count of 1.
    std::vector<accelerator_block> blocks;
};

/// The placement decisions. Deterministic: the same events at the same times give the same state and commands.
///
///     scheduler s;
///     s.apply(deployment_changed { plan }, now);
///     for (const auto& command : s.apply(job_submitted { job_id(1), workspace_name("film"), job_name("render") },
///     now))
///         send(command);
class scheduler {
public:
    scheduler();
    ~scheduler();
    scheduler(scheduler&&) noexcept;
    scheduler& operator=(scheduler&&) noexcept;

    /// Takes in one event and returns what is to be done. `now` never decreases from call to call.
    std::vector<placement_command> apply(const placement_event&, instant now);

    /// When `time_passed` has to be applied next, if at all.
    std::optional<instant> nextDeadline() const;

    /// Whether a task may start now: its gang is prepared as a whole, the lease is current, its data centre in service.
    bool mayStart(const task_id&, lease_id) const;

    /// Commands that are still unanswered for one worker, to be sent again to a new session or by a new leader.
    std::vector<placement_command> outstandingCommands(const worker_id&) const;

    /// Tasks that hold resources of one worker.
    std::vector<task_placement> tasksOn(const worker_id&) const;

    std::optional<job_status> job(job_id) const;
    /// All jobs kept, in order of their ids. Ended jobs are kept up to a bound.
    std::vector<job_status> jobs() const;

    /// All guaranteed shapes of the deployment in force. The blocks of different shapes never overlap.
    std::vector<guarantee_status> guarantees() const;

    /// CBOR text of the whole state, and the state back from it (`corrupt` if it is not one).
    std::string save() const;
    static result<scheduler> restore(const std::string&);

    /// Hash of the state, equal on replicas that applied the same events.
    std::uint64_t digest() const;

private:
    friend scheduler makeFirstFitFifo();
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace poplardeal
