#include <algorithm>
#include <array>
#include <charconv>
#include <poplardeal/jobs/model.h>
#include <set>
#include <string_view>

namespace poplardeal {

static std::optional<std::string> sharedKeyError(const queue_plan& plan)
{
    std::set<api_key> seen;
    for (const auto& workspace : plan.workspaces) {
        for (const auto& key : std::set<api_key>(workspace.keys.begin(), workspace.keys.end())) {
            if (!seen.insert(key).second)
                return "workspace '" + workspace.name.value() + "' shares a key with another workspace";
        }
    }
    return std::nullopt;
}

std::optional<std::string> validationError(const queue_plan& plan)
{
    if (plan.queues.size() > maxQueues)
        return std::to_string(plan.queues.size()) + " queues, at most " + std::to_string(maxQueues);
    std::set<service_name> pools;
    for (const auto& pool : plan.pools)
        pools.insert(pool.name);
    std::set<std::pair<std::string, std::string>> routes;
    for (const auto& queue : plan.queues) {
        if (!pools.contains(queue.service))
            return "queue '" + queue.name.value() + "' refers to the unknown service '" + queue.service.value() + "'";
        if (!routes.emplace(queue.host, queue.pathPrefix).second)
            return "queue '" + queue.name.value() + "' has the same host and path prefix as another queue";
        if (queue.timeout <= duration::zero())
            return "queue '" + queue.name.value() + "' must have a timeout above 0";
    }
    return sharedKeyError(plan);
}

std::optional<std::string> validationError(const submission_spec& job)
{
    if (job.payload.size() > maxPayloadBytes)
        return "the payload is longer than " + std::to_string(maxPayloadBytes) + " bytes";
    if (job.steps.empty() || job.steps.size() > maxSteps)
        return "a job must have 1 to " + std::to_string(maxSteps) + " steps";
    if (job.occurrences > maxOccurrences)
        return "a job may have at most " + std::to_string(maxOccurrences) + " occurrences";
    std::uint64_t tasks = 0;
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        const auto& step = job.steps[i];
        if (step.count == 0 || step.count > maxTasksPerStep)
            return "step " + std::to_string(i) + ": count must be 1 to " + std::to_string(maxTasksPerStep);
        for (const auto earlier : step.after) {
            if (earlier >= i)
                return "step " + std::to_string(i) + ": 'after' may refer to earlier steps only";
        }
        tasks += step.count;
    }
    tasks *= std::max(job.occurrences, 1U);
    if (tasks > maxTasksPerJob)
        return "a job of " + std::to_string(tasks) + " tasks, at most " + std::to_string(maxTasksPerJob);
    return std::nullopt;
}

std::string toString(const task_key& task)
{
    return task.job.value() + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step) + "."
        + std::to_string(task.index);
}

static bool consumeNumber(std::string_view& text, std::uint32_t& out)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (error != std::errc())
        return false;
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return true;
}

static bool consumeDot(std::string_view& text)
{
    if (!text.starts_with('.'))
        return false;
    text.remove_prefix(1);
    return true;
}

std::optional<task_key> parseTaskKey(std::string_view text)
{
    const auto dot = text.find('.');
    if (dot == std::string_view::npos || dot == 0)
        return std::nullopt;
    task_key out;
    out.job = submission_id(std::string(text.substr(0, dot)));
    text.remove_prefix(dot);
    for (auto* part : { &out.occurrence, &out.step, &out.index }) {
        if (!consumeDot(text) || !consumeNumber(text, *part))
            return std::nullopt;
    }
    if (!text.empty())
        return std::nullopt;
    return out;
}

std::string_view toString(end_kind kind)
{
    constexpr std::array<std::string_view, 6> names { "done", "failed", "stopped", "lapsed", "broken", "alone" };
    return names[static_cast<std::size_t>(kind)];
}

std::string_view toString(submission_phase phase)
{
    constexpr std::array<std::string_view, 5> names { "queued", "running", "completed", "failed", "cancelled" };
    return names[static_cast<std::size_t>(phase)];
}

} // namespace poplardeal
