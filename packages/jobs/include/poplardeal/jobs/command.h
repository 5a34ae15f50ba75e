#pragma once

#include <poplardeal/base/failure.h>
#include <poplardeal/jobs/model.h>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace poplardeal {

/// Takes effect if its version is higher than the one held.
struct accept_plan {
    queue_plan plan;
};

struct set_data_centre {
    data_centre_name dataCentre;
    bool inService { true };
};

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
    std::string address; ///< Where the worker listens.
};

/// Starts of a gang must stand in one command.
struct start_tasks {
    std::vector<task_start> starts;
};

/// Ends that a worker boot lists.
struct record_ends {
    worker_boot worker;
    std::vector<task_end> ends;
};

/// A run of which it is certain that it is over although no end was listed: its lease has expired, its worker boot is
/// gone, or its start can no longer be carried out.
struct released_run {
    task_key task;
    run_number run;
    checkpoint saved; ///< Last checkpoint seen, or empty.
};

struct release_runs {
    std::vector<released_run> runs;
};

using job_command_body = std::variant<accept_plan, set_data_centre, accept_submission, cancel_submission, start_tasks,
    record_ends, release_runs>;

/// One entry of the replicated log.
struct job_command {
    instant at; ///< Wall clock of the leader that proposed it.
    job_command_body body;
};

std::string encodeCommand(const job_command&);
/// `corrupt` if the bytes are no command.
result<job_command> decodeCommand(std::string_view);

/// What applying a command did.
enum class apply_outcome : std::uint8_t {
    applied,
    unchanged, ///< Already so; a repeated command.
    not_found,
    refused, ///< The command contradicts the state; nothing changed.
};

} // namespace poplardeal
