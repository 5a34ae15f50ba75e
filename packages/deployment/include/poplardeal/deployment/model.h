#pragma once

#include <compare>
#include <cstdint>
#include <poplardeal/base/ids.h>
#include <poplardeal/base/time.h>
#include <poplardeal/base/units.h>
#include <string>
#include <string_view>
#include <vector>

namespace poplardeal {

/// The part of the resource tree within which all blocks of a shape or all tasks of a gang must lie.
enum class scope {
    worker,
    rack,
    data_centre,
    anywhere,
};

/// Order in which waiting jobs are served, the first one first.
enum class job_priority {
    urgent,
    guaranteed,
    borrowed,
};

std::string_view toString(scope);
std::string_view toString(job_priority);

struct region {
    region_name name;
    friend bool operator==(const region&, const region&) = default;
};

struct data_centre {
    data_centre_name name;
    region_name region;
    bool inService { true };
    friend bool operator==(const data_centre&, const data_centre&) = default;
};

/// Expected workers of one rack. Admission counts on them; the workers announce themselves when they run.
struct worker_pool {
    data_centre_name dataCentre;
    rack_name rack;
    std::int64_t workers { 0 };
    resources perWorker;
    friend bool operator==(const worker_pool&, const worker_pool&) = default;
};

/// A daily time, in UTC, in which workspaces and jobs may be changed.
struct change_window {
    std::chrono::minutes start { 0 }; ///< Since midnight.
    std::chrono::minutes length { 0 };
    friend bool operator==(const change_window&, const change_window&) = default;
};

/// `count` independent sets of `blocks` blocks, each of `blockAccelerators` adjacent accelerators of one worker.
struct guaranteed_shape {
    std::int64_t blocks { 1 };
    accelerators blockAccelerators { 1 };
    scope within { scope::rack };
    std::int64_t count { 1 };
    friend bool operator==(const guaranteed_shape&, const guaranteed_shape&) = default;
};

/// What a workspace may submit. All amounts are for one task; each task needs adjacent accelerators of one worker.
struct job_template {
    job_name name;
    std::int64_t tasks { 1 };
    resources perTask;
    scope within { scope::anywhere };
    job_priority priority { job_priority::borrowed };
    duration runTime { 0 }; ///< As declared; may be far off.
    std::int64_t maxRestarts { 3 };
    std::string command; ///< Handed to the worker as it is.
    friend bool operator==(const job_template&, const job_template&) = default;
};

struct workspace {
    workspace_name name;
    resources quota; ///< Upper bound on what its running jobs hold together.
    std::vector<guaranteed_shape> guarantees;
    std::vector<job_template> jobs;
    friend bool operator==(const workspace&, const workspace&) = default;
};

/// A kind of endpoint that callers name in their requests.
struct service {
    service_name name;
    workspace_name workspace;
    std::int64_t slots { 8 };
    std::int64_t connections { 64 };
    friend bool operator==(const service&, const service&) = default;
};

/// All that supervisors hand over in one go.
struct deployment {
    std::string name;
    std::vector<region> regions;
    std::vector<data_centre> dataCentres;
    std::vector<worker_pool> workerPools;
    std::vector<change_window> breaks;
    std::vector<workspace> workspaces;
    std::vector<service> services;
    friend bool operator==(const deployment&, const deployment&) = default;
};

} // namespace poplardeal
