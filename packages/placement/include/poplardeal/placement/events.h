#pragma once

#include <cstdint>
#include <poplardeal/base/ids.h>
#include <poplardeal/base/units.h>
#include <poplardeal/deployment/model.h>
#include <string>
#include <variant>
#include <vector>

namespace poplardeal {

/// What a worker has, as its sidecar announced it.
struct worker_spec {
    worker_id id;
    incarnation instance;
    data_centre_name dataCentre;
    rack_name rack;
    resources capacity;
};

/// A new deployment is in force. Its data centre states count as orders.
struct deployment_changed {
    deployment current;
};

/// A worker session opened. A higher incarnation than before means that all its earlier tasks are gone.
struct worker_joined {
    worker_spec worker;
};

/// The session lease of a worker has expired and its tasks have stopped by themselves.
struct worker_lost {
    worker_id worker;
    incarnation instance;
};

/// Renewals of a worker are late. Nothing new is placed there; its tasks are kept until `worker_lost`.
struct worker_suspected {
    worker_id worker;
    incarnation instance;
};

/// Renewals of a suspected worker arrived again.
struct worker_recovered {
    worker_id worker;
    incarnation instance;
};

struct data_centre_ordered {
    data_centre_name dataCentre;
    bool inService { true };
};

/// `id` is new and was chosen by control; templates are looked up in the deployment in force.
struct job_submitted {
    job_id id;
    workspace_name workspace;
    job_name job;
};

struct job_cancelled {
    job_id id;
};

/// What became of one task at its worker, reported by the sidecar. Reports may be late or doubled.
enum class task_report_kind {
    prepared, ///< The worker holds the resources; nothing runs.
    prepare_refused,
    started,
    finished, ///< Ran to its end with success.
    failed,
    checkpointed, ///< Progress up to now is safe.
    stopped, ///< Stopped on order; the resources are free.
    released, ///< Was prepared, never ran; the resources are free.
};

struct task_reported {
    task_id task;
    lease_id lease;
    task_report_kind kind { task_report_kind::prepared };
    std::string detail;
};

/// Use of one task at the time of measurement; arrives late.
struct usage_reported {
    task_id task;
    lease_id lease;
    resources used;
};

/// Lets due deadlines take effect.
struct time_passed { };

using placement_event = std::variant<deployment_changed, worker_joined, worker_lost, worker_suspected, worker_recovered,
    data_centre_ordered, job_submitted, job_cancelled, task_reported, usage_reported, time_passed>;

} // namespace poplardeal
