#include "worker_task.h"
#include <algorithm>

namespace poplardeal::detail {

std::string_view toString(task_state state)
{
    switch (state) {
    case task_state::prepared:
        return "prepared";
    case task_state::running:
        return "running";
    case task_state::finished:
        return "finished";
    case task_state::failed:
        return "failed";
    case task_state::stopped:
        return "stopped";
    }
    return "stopped";
}

static failure badSpec(const std::string& reason) { return { failure_code::invalid_argument, reason }; }

result<task_spec> readTaskSpec(const std::string& body, const resources& capacity)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object())
        return badSpec("the body is not a JSON object");
    for (const auto* key : { "cores", "memory_mib", "run_time_ms" }) {
        if (!json.contains(key) || !json[key].is_number_unsigned())
            return badSpec(std::string(key) + " must be a whole number");
    }
    if (!json.contains("command") || !json["command"].is_string())
        return badSpec("command must be a string");
    if (!json.contains("accelerators") || !json["accelerators"].is_array())
        return badSpec("accelerators must be a list of indexes");
    task_spec spec;
    for (const auto& index : json["accelerators"]) {
        if (!index.is_number_unsigned() || index.get<std::int64_t>() >= capacity.accelerator.count())
            return badSpec("accelerator index out of range");
        spec.accelerators.push_back(index.get<std::uint32_t>());
    }
    std::sort(spec.accelerators.begin(), spec.accelerators.end());
    if (std::adjacent_find(spec.accelerators.begin(), spec.accelerators.end()) != spec.accelerators.end())
        return badSpec("accelerator index listed twice");
    spec.size = { cores(json["cores"].get<std::int64_t>()), mebibytes(json["memory_mib"].get<std::int64_t>()),
        accelerators(static_cast<std::int64_t>(spec.accelerators.size())) };
    spec.runTimeMs = json["run_time_ms"].get<std::int64_t>();
    spec.command = json["command"].get<std::string>();
    return spec;
}

void worker_task::advance(instant now, double timeScale)
{
    if (state != task_state::running)
        return;
    constexpr double throttledSpeed = 0.5;
    const std::chrono::duration<double, std::milli> passed = now - progressAt;
    progressMs += passed.count() / timeScale * (throttled ? throttledSpeed : 1.0);
    progressMs = std::min(progressMs, static_cast<double>(spec.runTimeMs));
    progressAt = now;
}

nlohmann::json describe(const worker_task& task, double usageFactor)
{
    const auto used = [&](std::int64_t declared) {
        const auto factor = task.state == task_state::running ? usageFactor : 0;
        return static_cast<std::int64_t>(static_cast<double>(declared) * factor);
    };
    return {
        { "id", task.id },
        { "state", toString(task.state) },
        { "cores", task.spec.size.cpu.count() },
        { "memory_mib", task.spec.size.memory.count() },
        { "accelerators", task.spec.accelerators },
        { "run_time_ms", task.spec.runTimeMs },
        { "command", task.spec.command },
        { "progress_ms", static_cast<std::int64_t>(task.progressMs) },
        { "checkpoint_ms", task.checkpointMs },
        { "detail", task.detail },
        { "throttled", task.throttled },
        { "usage",
            { { "cores", used(task.spec.size.cpu.count()) }, { "memory_mib", used(task.spec.size.memory.count()) } } },
    };
}

} // namespace poplardeal::detail
