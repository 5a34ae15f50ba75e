#include "checkpoints.h"
#include "worker_task.h"
#include <algorithm>
#include <poplardeal/standins/worker.h>

namespace poplardeal {
namespace detail {

    static http_response jsonResponse(int status, const nlohmann::json& body)
    {
        return { status, { { "content-type", "application/json" } }, body.dump() + "\n" };
    }

    static http_response refusal(int status, failure_code code, const std::string& message)
    {
        return jsonResponse(status, { { "error", { { "code", toString(code) }, { "message", message } } } });
    }

    static http_response notFound() { return refusal(404, failure_code::not_found, "no such task or action"); }

    static http_response wrongState(const worker_task& task)
    {
        return refusal(409, failure_code::conflict, "the task is " + std::string(toString(task.state)));
    }

    /// "ID" or "ID/ACTION" behind `/v1/tasks/`. Ids are file names of checkpoints too.
    struct task_path {
        std::string id;
        std::string action;
    };

    static std::optional<task_path> readTaskPath(std::string_view path)
    {
        constexpr std::string_view prefix = "/v1/tasks/";
        if (!path.starts_with(prefix))
            return std::nullopt;
        path.remove_prefix(prefix.size());
        const auto slash = path.find('/');
        task_path read { std::string(path.substr(0, slash)), {} };
        if (slash != std::string_view::npos)
            read.action = path.substr(slash + 1);
        const auto isIdCharacter = [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; };
        if (read.id.empty() || read.id.front() == '.' || !std::all_of(read.id.begin(), read.id.end(), isIdCharacter))
            return std::nullopt;
        return read;
    }

} // namespace detail

/// A longer lease would let tasks run on for too long beside their successors.
static constexpr std::int64_t maxLeaseMs = 3600 * 1000;

struct standin_worker::impl {
    impl(standin_worker_options o, ledger_sink l)
        : options(std::move(o))
        , ledger(std::move(l))
        , saved(options.checkpointFolder)
    {
    }

    void record(const char* event, const detail::worker_task& task, instant wallClock) const
    {
        ledger({
            { "event", event },
            { "worker", options.name },
            { "task", task.id },
            { "command", task.spec.command },
            { "accelerators", task.spec.accelerators },
            { "progress_ms", static_cast<std::int64_t>(task.progressMs) },
            { "wall_us", toMicros(wallClock) },
        });
    }

    void advance(instant now, instant wallClock)
    {
        stopUnleased(now, wallClock);
        for (auto& [id, task] : tasks) {
            task.advance(now, options.timeScale);
            if (task.state != detail::task_state::running)
                continue;
            if (options.failAll || options.failCommands.contains(task.spec.command)) {
                task.state = detail::task_state::failed;
                record("fail", task, wallClock);
            } else if (task.isDone()) {
                task.state = detail::task_state::finished;
                record("finish", task, wallClock);
            }
        }
    }

    std::optional<std::string> holderOf(const detail::task_spec& spec) const
    {
        resources free = options.capacity;
        for (const auto& [id, task] : tasks) {
            if (!task.holdsResources())
                continue;
            const auto& held = task.spec.accelerators;
            const auto shares
                = [&](std::uint32_t index) { return std::binary_search(held.begin(), held.end(), index); };
            if (std::any_of(spec.accelerators.begin(), spec.accelerators.end(), shares))
                return "an accelerator is held by task " + id;
            free -= task.spec.size;
        }
        if (!spec.size.fitsIn(free))
            return "not enough free cores or memory";
        return std::nullopt;
    }

    http_response prepare(const std::string& id, const std::string& body)
    {
        const auto spec = detail::readTaskSpec(body, options.capacity);
        if (spec.has_error())
            return detail::refusal(400, spec.error().code, spec.error().message);
        const auto known = tasks.find(id);
        if (known != tasks.end()) {
            if (known->second.state == detail::task_state::prepared && known->second.spec == spec.value())
                return detail::jsonResponse(200, detail::describe(known->second, options.usageFactor));
            return detail::wrongState(known->second);
        }
        if (tasks.size() >= maxTasks)
            return detail::refusal(503, failure_code::overloaded, "too many tasks");
        if (const auto reason = holderOf(spec.value()))
            return detail::refusal(409, failure_code::conflict, *reason);
        detail::worker_task task;
        task.id = id;
        task.spec = spec.value();
        task.checkpointMs = std::min(saved.load(id), task.spec.runTimeMs);
        task.progressMs = static_cast<double>(task.checkpointMs);
        const auto& added = tasks.emplace(id, std::move(task)).first->second;
        return detail::jsonResponse(201, detail::describe(added, options.usageFactor));
    }

    http_response act(detail::worker_task& task, const std::string& action, instant now, instant wallClock)
    {
        using detail::task_state;
        const bool running = task.state == task_state::running;
        if (action == "start") {
            if (isLeaseExpired(now))
                return detail::refusal(409, failure_code::conflict, "the lease has expired");
            if (!running && task.state != task_state::prepared)
                return detail::wrongState(task);
            if (!running)
                start(task, now, wallClock);
        } else if (action == "stop") {
            stop(task, wallClock);
        } else if (action == "checkpoint" || action == "throttle") {
            if (!running)
                return detail::wrongState(task);
            if (action == "throttle")
                task.throttled = true;
            else
                checkpoint(task);
        } else {
            return detail::notFound();
        }
        return detail::jsonResponse(200, detail::describe(task, options.usageFactor));
    }

    void start(detail::worker_task& task, instant now, instant wallClock) const
    {
        task.state = detail::task_state::running;
        task.progressAt = now;
        record("start", task, wallClock);
    }

    void stop(detail::worker_task& task, instant wallClock) const
    {
        if (task.state == detail::task_state::running)
            record("stop", task, wallClock);
        if (task.holdsResources())
            task.state = detail::task_state::stopped;
    }

    void checkpoint(detail::worker_task& task)
    {
        task.checkpointMs = static_cast<std::int64_t>(task.progressMs);
        saved.save(task.id, task.checkpointMs);
    }

    http_response release(detail::worker_task& task)
    {
        if (task.state == detail::task_state::running)
            return detail::wrongState(task);
        auto shown = detail::jsonResponse(200, detail::describe(task, options.usageFactor));
        tasks.erase(std::string(task.id));
        return shown;
    }

    http_response capacity() const
    {
        return detail::jsonResponse(200,
            { { "cores", options.capacity.cpu.count() }, { "memory_mib", options.capacity.memory.count() },
                { "accelerators", options.capacity.accelerator.count() }, { "boot_id", options.bootId } });
    }

    http_response renewLease(const std::string& body, instant now)
    {
        const auto json = nlohmann::json::parse(body, nullptr, false);
        if (!json.is_object() || !json.contains("lease_ms") || !json["lease_ms"].is_number_unsigned())
            return detail::refusal(400, failure_code::invalid_argument, "lease_ms must be a whole number");
        leaseEnd = now + std::chrono::milliseconds(std::min(json["lease_ms"].get<std::int64_t>(), maxLeaseMs));
        return detail::jsonResponse(200, nlohmann::json::object());
    }

    bool isLeaseExpired(instant now) const { return leaseEnd && now >= *leaseEnd; }

    /// Fences the tasks: control may start them elsewhere once the lease has expired.
    void stopUnleased(instant now, instant wallClock)
    {
        if (!isLeaseExpired(now))
            return;
        for (auto& [id, task] : tasks) {
            if (task.holdsResources()) {
                stop(task, wallClock);
                task.detail = "the lease expired";
            }
        }
    }

    http_response list() const
    {
        auto shown = nlohmann::json::array();
        for (const auto& [id, task] : tasks)
            shown.push_back(detail::describe(task, options.usageFactor));
        return detail::jsonResponse(200, { { "tasks", std::move(shown) } });
    }

    http_response handle(const http_request& request, instant now, instant wallClock)
    {
        if (request.method == "GET" && request.path == "/v1/capacity")
            return capacity();
        if (request.method == "GET" && request.path == "/v1/tasks")
            return list();
        if (request.method == "POST" && request.path == "/v1/lease")
            return renewLease(request.body, now);
        const auto path = detail::readTaskPath(request.path);
        if (!path)
            return detail::notFound();
        if (request.method == "PUT" && path->action.empty())
            return prepare(path->id, request.body);
        const auto task = tasks.find(path->id);
        if (task == tasks.end())
            return detail::notFound();
        if (request.method == "POST")
            return act(task->second, path->action, now, wallClock);
        if (request.method == "DELETE" && path->action.empty())
            return release(task->second);
        return detail::refusal(405, failure_code::invalid_argument, "method not allowed");
    }

    standin_worker_options options;
    ledger_sink ledger;
    detail::checkpoints saved;
    std::map<std::string, detail::worker_task> tasks;
    std::optional<instant> leaseEnd; ///< Nothing before the first lease was given.
};

standin_worker::standin_worker(standin_worker_options options, ledger_sink ledger)
    : m_impl(std::make_unique<impl>(std::move(options), std::move(ledger)))
{
}

standin_worker::~standin_worker() = default;

http_response standin_worker::handle(const http_request& request, instant now, instant wallClock)
{
    m_impl->advance(now, wallClock);
    return m_impl->handle(request, now, wallClock);
}

void standin_worker::advance(instant now, instant wallClock) { m_impl->advance(now, wallClock); }

} // namespace poplardeal
