#pragma once

#include <limits>
#include <nlohmann/json.hpp>
#include <poplardeal/base/json.h>
#include <poplardeal/jobs/model.h>

/// JSON serialization of the job model, for the replicated log and for messages between processes.
namespace poplardeal {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(demand, cpu, memory, accelerator)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(step_spec, count, need, estimate, after, checkpointable, gang, rackLocal,
    speculative, longRunning, bestEffort, requiredLabel, affinity, maxPerWorker, maxUnavailable, image, latencyTarget)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(submission_spec, payload, steps, occurrences, firstDueMs, intervalMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    queue_spec, name, host, pathPrefix, service, priority, attempts, stretch, allowance, timeout, isPublic, needsAdvice)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(pool_spec, name, enforcesCapacity, spare)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(workspace_quota, name, keys, guaranteed)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(queue_plan, version, queues, pools, workspaces, document)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(task_key, job, occurrence, step, index)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(worker_boot, worker, startedAtMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(task_end, number, task, run, kind, saved)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(live_task, task, run, saved, percent)

/// Encodes a value that has a JSON serialization as CBOR.
template <class T> std::string toCbor(const T& value)
{
    std::string out;
    nlohmann::json::to_cbor(nlohmann::json(value), out);
    return out;
}

/// Deepest nesting of arrays and objects that is decoded. Our own types need less than ten levels.
inline constexpr std::size_t maxCborDepth = 64;

/// Values in a submission: 256 steps of about 20 members and up to 255 earlier steps.
inline constexpr std::size_t maxSubmissionValues = 100'000;

/// Throws `std::runtime_error` if the bytes are not CBOR, nested deeper than `maxCborDepth` or hold more than
/// `maxValues` values. The decoder calls itself for each level, so a small message could exhaust the stack, and takes
/// up to a hundred bytes of memory for each byte.
void requireBoundedCbor(std::string_view, std::size_t maxValues);

/// Throws `std::exception` if the bytes do not encode a `T`.
template <class T> T fromCbor(std::string_view bytes, std::size_t maxValues = std::numeric_limits<std::size_t>::max())
{
    requireBoundedCbor(bytes, maxValues);
    return nlohmann::json::from_cbor(bytes.begin(), bytes.end()).template get<T>();
}

} // namespace poplardeal
