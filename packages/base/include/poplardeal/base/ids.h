#pragma once

#include <cstdint>
#include <poplardeal/base/strong.h>
#include <string>

namespace poplardeal {

using region_name = strong_id<struct region_name_tag, std::string>;
using data_centre_name = strong_id<struct data_centre_name_tag, std::string>;
using rack_name = strong_id<struct rack_name_tag, std::string>;
using workspace_name = strong_id<struct workspace_name_tag, std::string>;
using service_name = strong_id<struct service_name_tag, std::string>;
using operator_name = strong_id<struct operator_name_tag, std::string>;

/// Name of a job template of a workspace. A submission of it gets a `job_id`.
using job_name = strong_id<struct job_name_tag, std::string>;
using job_id = strong_id<struct job_id_tag, std::uint64_t>;

/// Instance names chosen by the platform and announced by the sidecar, for instance "kariakoo-w1".
using worker_id = strong_id<struct worker_id_tag, std::string>;
using endpoint_id = strong_id<struct endpoint_id_tag, std::string>;

/// Number of a replica of the control group, from 1.
using replica_id = strong_id<struct replica_id_tag, std::uint32_t>;

/// Grows with every restart of an instance, so that messages of an earlier process can be told apart.
using incarnation = strong_id<struct incarnation_tag, std::uint64_t>;

/// Number of an accepted deployment, from 1; 0 means none.
using deployment_version = strong_id<struct deployment_version_tag, std::uint64_t>;

/// Chosen by the client for one order. Resending an order keeps its id.
using order_id = strong_id<struct order_id_tag, std::string>;

/// Number of a lease on the resources of one task. Never used twice.
using lease_id = strong_id<struct lease_id_tag, std::uint64_t>;

/// One request of a caller, unique over all entries.
using request_id = strong_id<struct request_id_tag, std::string>;

/// Chosen by the caller for one non-idempotent request (header `Idempotency-Key`).
using idempotency_key = strong_id<struct idempotency_key_tag, std::string>;

/// One task of a job: `index` counts from 0 within the gang, `attempt` from 1 over whole-gang restarts.
struct task_id {
    job_id job;
    std::uint32_t index { 0 };
    std::uint32_t attempt { 1 };

    // The check takes a defaulted <=> for a comparison with 0.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const task_id&, const task_id&) = default;
};

/// "JOB.INDEX.ATTEMPT", for instance "17.0.1".
std::string toString(const task_id&);

} // namespace poplardeal
