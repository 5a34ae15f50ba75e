#pragma once

#include <poplardeal/base/failure.h>
#include <poplardeal/jobs/model.h>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace poplardeal {

/// Replaces the current plan if its version is higher.
struct accept_plan {
    queue_plan plan;
};

/// Takes a data centre out of service or puts it back into service.
struct set_data_centre {
    data_centre_name dataCentre;
    bool inService { true };
};

/// Adds a job.
struct accept_submission {
    submission_id id;
    queue_name queue;
    workspace_name workspace;
    submission_spec spec;
};

struct cancel_submission {
    submission_id id;
};

/// One start of a task on a worker.
struct task_start {
    task_key task;
    run_number run;
    worker_boot worker;
    std::string address; ///< Address that the worker listens on.
};

/// Records starts. All starts of a gang must be in one command.
struct start_tasks {
    std::vector<task_start> starts;
};

/// Records the ended runs that a worker boot reports.
struct record_ends {
    worker_boot worker;
    std::vector<task_end> ends;
};

/// A run that is known to be over although its worker reported no end: its lease has expired, its worker boot is gone,
/// or its start can no longer be executed.
struct released_run {
    task_key task;
    run_number run;
    checkpoint saved; ///< Last checkpoint that the worker reported; empty: none.
};

/// Ends runs without a report of their worker.
struct release_runs {
    std::vector<released_run> runs;
};

/// Records jobs of which a worker has been seen to run a task.
struct record_begins {
    std::vector<submission_id> jobs;
};

/// The index of the alternative is stored, so the order must not change.
using job_command_body = std::variant<accept_plan, set_data_centre, accept_submission, cancel_submission, start_tasks,
    record_ends, release_runs, record_begins>;

/// One entry of the replicated log.
struct job_command {
    instant at; ///< Wall clock of the leader that proposed it.
    job_command_body body;
};

/// Largest size of a decoded command, in bytes. A plan of `maxQueues` queues takes about 10 MiB.
inline constexpr std::size_t maxCommandBytes = std::size_t { 64 } * 1024 * 1024;

/// CBOR of a command; compressed if it is large.
std::string encodeCommand(const job_command&);
/// Fails with `corrupt` if the bytes are not a valid command.
result<job_command> decodeCommand(std::string_view);

/// Result of applying a command.
enum class apply_outcome : std::uint8_t {
    applied,
    unchanged, ///< The state was already as requested, for example for a repeated command.
    not_found,
    refused, ///< The command conflicts with the state; nothing changed.
};

} // namespace poplardeal
