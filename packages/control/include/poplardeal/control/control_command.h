#pragma once

#include <cstdint>
#include <poplardeal/base/failure.h>
#include <poplardeal/base/ids.h>
#include <poplardeal/base/time.h>
#include <poplardeal/base/verdict.h>
#include <poplardeal/placement/events.h>
#include <string>
#include <string_view>
#include <variant>

namespace poplardeal {

/// Who gave an order, and the id under which it may be resent.
struct order_origin {
    order_id id;
    operator_name operatorName;
};

/// Put a deployment in force if `base` is still the version in force.
struct apply_deployment {
    order_origin origin;
    deployment_version base;
    std::string toml;
};

struct order_data_centre {
    order_origin origin;
    data_centre_name dataCentre;
    bool inService { true };
};

struct submit_job {
    order_origin origin;
    workspace_name workspace;
    job_name job;
};

struct cancel_job {
    order_origin origin;
    job_id job;
};

/// Reserve an idempotency key of a service for one request at one endpoint.
struct claim_key {
    service_name service;
    idempotency_key key;
    endpoint_id endpoint;
    incarnation instance;
    request_id request;
    std::uint64_t fingerprint { 0 }; ///< Hash of method, path and body.
};

/// Record how a claimed request ended. `not_run` frees the key.
struct settle_key {
    service_name service;
    idempotency_key key;
    request_id request;
    run_verdict verdict { run_verdict::may_have_run };
};

/// What a sidecar or the leader observed, for the scheduler.
struct observe_placement {
    placement_event event;
};

using control_command = std::variant<apply_deployment, order_data_centre, submit_job, cancel_job, claim_key, settle_key,
    observe_placement>;

/// One payload of the replicated log: a command and the leader's wall clock when it was proposed.
struct control_entry {
    instant time;
    control_command command;
};

/// CBOR form of an entry. Of the placement events only those that sidecars or the leader observe can be encoded;
/// deployments, orders and submissions enter as commands of their own.
std::string encodeControlEntry(const control_entry&);

/// `corrupt` if the bytes are not an entry of this format.
result<control_entry> decodeControlEntry(std::string_view);

} // namespace poplardeal
