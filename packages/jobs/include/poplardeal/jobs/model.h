#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <poplardeal/base/ids.h>
#include <poplardeal/base/time.h>
#include <poplardeal/base/units.h>
#include <string>
#include <vector>

namespace poplardeal {

using millicores = quantity<struct millicores_tag>;

/// Chosen by the client for one submission. A retry of the submission carries the same id.
using submission_id = strong_id<struct submission_id_tag, std::string>;
using queue_name = strong_id<struct queue_name_tag, std::string>;
using api_key = strong_id<struct api_key_tag, std::string>;
using worker_label = strong_id<struct worker_label_tag, std::string>;

/// Number of a start of a task, from 1 and increasing. All tasks of one start of a gang share it.
using run_number = strong_id<struct run_number_tag, std::uint32_t>;

/// Opaque checkpoint of a task; empty means none.
using checkpoint = strong_id<struct checkpoint_tag, std::string>;

/// Version of a queue plan, assigned by the operator. Only a plan with a higher version replaces the current one.
using plan_version = strong_id<struct plan_version_tag, std::uint64_t>;

/// Resources that a task needs or that a worker has.
struct demand {
    millicores cpu;
    mebibytes memory;
    accelerators accelerator;

    friend bool operator==(const demand&, const demand&) = default;
    bool fitsIn(const demand& free) const
    {
        return cpu <= free.cpu && memory <= free.memory && accelerator <= free.accelerator;
    }
    demand& operator+=(const demand& other)
    {
        cpu += other.cpu;
        memory += other.memory;
        accelerator += other.accelerator;
        return *this;
    }
    demand& operator-=(const demand& other)
    {
        cpu -= other.cpu;
        memory -= other.memory;
        accelerator -= other.accelerator;
        return *this;
    }
};

/// One step of a job: `count` equal tasks that may run once all steps in `after` are done.
struct step_spec {
    std::uint32_t count { 1 };
    demand need; ///< Of each task.
    duration estimate { 0 }; ///< Declared run time of a task; often inaccurate.
    std::vector<std::uint32_t> after; ///< Indices of earlier steps.
    bool checkpointable { false };
    bool gang { false }; ///< All tasks run at the same time, or none runs.
    bool rackLocal { false }; ///< Runs several times slower when spread over racks.
    bool speculative { false }; ///< Copies of a task may run in parallel; the scheduler starts only one.
    bool longRunning { false }; ///< Runs until the job is cancelled; restarted whatever the reason for its end.
    bool bestEffort { false }; ///< The CPU of its tasks is not deducted from the worker's capacity.
    worker_label requiredLabel; ///< Label that a worker must have; empty: none.
    rack_name affinity; ///< Rack that holds the data; empty: none.
    std::uint32_t maxPerWorker { 0 }; ///< Maximum tasks of the step on one worker within an occurrence; 0: no limit.
    std::uint32_t maxUnavailable { 0 }; ///< Long-running tasks that the system may stop at the same time.
    std::string image;
    duration latencyTarget { 0 };

    friend bool operator==(const step_spec&, const step_spec&) = default;
};

/// What a client submits.
struct submission_spec {
    std::string payload; ///< Passed to the worker unchanged.
    std::vector<step_spec> steps;
    std::uint32_t occurrences { 0 }; ///< 0: the job runs once and immediately.
    std::int64_t firstDueMs { 0 }; ///< Due time of occurrence 0, Unix milliseconds.
    std::int64_t intervalMs { 0 }; ///< Between the due times of consecutive occurrences.

    friend bool operator==(const submission_spec&, const submission_spec&) = default;
};

/// Where clients submit jobs, and the objectives and limits of these jobs.
struct queue_spec {
    queue_name name;
    std::string host;
    std::string pathPrefix;
    service_name service;
    std::uint32_t priority { 0 }; ///< 0 is the highest.
    std::uint32_t attempts { 1 }; ///< The job fails after this many failed runs of one task.
    double stretch { 1 }; ///< Time objective of a job: `stretch` times the longest chain of work, plus `allowance`.
    duration allowance { 0 };
    duration timeout { 0 };
    bool isPublic { false }; ///< No API key needed.
    bool needsAdvice { false }; ///< Placement of its steps is restricted by an external policy service.

    friend bool operator==(const queue_spec&, const queue_spec&) = default;
};

/// A pool of workers that serves queues.
struct pool_spec {
    service_name name;
    bool enforcesCapacity { true };
    bool spare { false };

    friend bool operator==(const pool_spec&, const pool_spec&) = default;
};

struct workspace_quota {
    workspace_name name;
    std::vector<api_key> keys;
    accelerators guaranteed; ///< Guaranteed to jobs of priority 0.

    friend bool operator==(const workspace_quota&, const workspace_quota&) = default;
};

/// One version of all queues, pools and workspaces, submitted by an operator.
struct queue_plan {
    plan_version version;
    std::vector<queue_spec> queues;
    std::vector<pool_spec> pools;
    std::vector<workspace_quota> workspaces;
    std::string document; ///< The plan as submitted, returned when an operator reads it.

    friend bool operator==(const queue_plan&, const queue_plan&) = default;
};

/// Why a plan is invalid, or nothing if it is valid. Faults: more than `maxQueues` queues, an unknown pool, two queues
/// with the same host and path prefix, a timeout of 0, an API key of two workspaces.
std::optional<std::string> validationError(const queue_plan&);

/// Why a job is invalid, or nothing if it is valid.
std::optional<std::string> validationError(const submission_spec&);

/// Queues in one plan. A control process needs about 4 KiB of memory for each while it reads the plan.
inline constexpr std::size_t maxQueues = 20000;

/// Limits on one submission. The platform's largest steps have fewer than 200 tasks; gangs have up to 128 at the design
/// size.
inline constexpr std::size_t maxSteps = 256;
inline constexpr std::uint32_t maxTasksPerStep = 4096;
inline constexpr std::uint32_t maxOccurrences = 10000;
inline constexpr std::size_t maxPayloadBytes = 4000;
/// Tasks of all steps and occurrences. One that waits takes about 100 bytes in every control process.
inline constexpr std::uint64_t maxTasksPerJob = 65536;

/// One task of one occurrence of a job.
struct task_key {
    submission_id job;
    std::uint32_t occurrence { 0 };
    std::uint32_t step { 0 };
    std::uint32_t index { 0 };

    // clang-tidy mistakes a defaulted <=> for a comparison with a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const task_key&, const task_key&) = default;
};

/// "JOB.OCCURRENCE.STEP.INDEX"
std::string toString(const task_key&);
/// Reads the form that `toString` writes; nothing if the text has another form.
std::optional<task_key> parseTaskKey(std::string_view);

/// One life of a worker process: a restart under the same id has another start time.
struct worker_boot {
    worker_id worker;
    std::int64_t startedAtMs { 0 };

    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const worker_boot&, const worker_boot&) = default;
};

/// Why a run ended. Stored and sent by number, so the order must not change.
enum class end_kind : std::uint8_t {
    done,
    failed, ///< The task or the worker failed.
    stopped,
    lease_expired, ///< The lease of the worker expired.
    gang_member_ended, ///< Another member of the gang ended.
    gang_incomplete, ///< The other members of the gang did not start in time.
};

/// The name in messages, which differs from the enumerator for some kinds.
std::string_view toString(end_kind);

/// One ended run that a worker reports.
struct task_end {
    std::uint64_t number { 0 }; ///< Increasing within a worker boot.
    task_key task;
    run_number run;
    end_kind kind { end_kind::done };
    checkpoint saved;

    friend bool operator==(const task_end&, const task_end&) = default;
};

/// One task that a worker reports as running.
struct live_task {
    task_key task;
    run_number run;
    checkpoint saved;
    double percent { 0 }; ///< Progress, 0 to 100; 100 for long-running tasks that do their work.

    friend bool operator==(const live_task&, const live_task&) = default;
};

enum class submission_phase : std::uint8_t {
    queued,
    running,
    completed,
    failed,
    cancelled,
};

std::string_view toString(submission_phase);

} // namespace poplardeal
