#include "worker_api.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <poplardeal/base/json.h>
#include <sstream>

namespace poplardeal::detail {

namespace {

    // The worker is on the same machine; a call that takes longer means that it hangs.
    constexpr duration workerCallTimeout = std::chrono::milliseconds(1500);
    constexpr unsigned workerConnections = 16;

    const std::map<std::string, worker_task_state, std::less<>> taskStates = {
        { "prepared", worker_task_state::prepared },
        { "running", worker_task_state::running },
        { "finished", worker_task_state::finished },
        { "failed", worker_task_state::failed },
        { "stopped", worker_task_state::stopped },
    };

    template <class T> bool readNumber(std::string_view text, T& number)
    {
        const auto* end = text.data() + text.size();
        const auto read = std::from_chars(text.data(), end, number);
        return read.ec == std::errc() && read.ptr == end;
    }

    /// Runs a reader of untrusted JSON; its exceptions become failures.
    template <class T, class Reader> result<T> readJson(const result<std::string>& body, Reader&& reader)
    {
        if (body.has_error())
            return body.error();
        try {
            return reader(nlohmann::json::parse(body.value()));
        } catch (const std::exception& error) {
            return failure { failure_code::corrupt, std::string("answer of the worker: ") + error.what() };
        }
    }

    result<void> dropBody(const result<std::string>& body)
    {
        if (body.has_error())
            return body.error();
        return success();
    }

    worker_task readTask(const nlohmann::json& row)
    {
        auto id = parseWorkerTaskName(row.at("id").get<std::string>());
        if (id.has_error())
            throw std::invalid_argument(id.error().message);
        worker_task task;
        task.id = id.value();
        task.state = taskStates.at(row.at("state").get<std::string>());
        const auto& used = row.at("usage");
        task.used.cpu = cores(used.at("cores").get<std::int64_t>());
        task.used.memory = mebibytes(used.at("memory_mib").get<std::int64_t>());
        task.detail = row.value("detail", "");
        return task;
    }

} // namespace

std::string toWorkerTaskName(const leased_task& id)
{
    return toString(id.task) + "." + std::to_string(id.lease.value());
}

result<leased_task> parseWorkerTaskName(const std::string& name)
{
    std::istringstream in(name);
    std::vector<std::string> parts;
    for (std::string part; std::getline(in, part, '.');)
        parts.push_back(part);
    std::uint64_t job = 0;
    std::uint64_t lease = 0;
    leased_task id;
    const bool valid = parts.size() == 4 && readNumber(parts[0], job) && readNumber(parts[1], id.task.index)
        && readNumber(parts[2], id.task.attempt) && readNumber(parts[3], lease);
    if (!valid)
        return failure { failure_code::invalid_argument, "not a task name of this system: " + name };
    id.task.job = job_id(job);
    id.lease = lease_id(lease);
    return id;
}

worker_api::worker_api(event_loop& loop, address worker)
    : m_worker(std::move(worker))
    , m_http(loop, workerConnections)
{
}

void worker_api::call(std::string method, std::string path, std::string body, callback<std::string> done)
{
    http_request request;
    request.method = std::move(method);
    request.path = std::move(path);
    request.body = std::move(body);
    if (!request.body.empty())
        request.headers["content-type"] = "application/json";
    m_http.send(m_worker, std::move(request), workerCallTimeout, [done = std::move(done)](http_result answer) {
        if (answer.has_error())
            done(answer.error().cause);
        else if (answer.value().status / 100 != 2)
            done(failure { answer.value().status == 404 ? failure_code::not_found : failure_code::conflict,
                "the worker answered " + std::to_string(answer.value().status) + ": " + answer.value().body });
        else
            done(std::move(answer.value().body));
    });
}

void worker_api::capacity(callback<worker_capacity> done)
{
    call("GET", "/v1/capacity", {}, [done = std::move(done)](const result<std::string>& body) {
        done(readJson<worker_capacity>(body, [](const nlohmann::json& object) -> result<worker_capacity> {
            worker_capacity capacity;
            capacity.amount.cpu = cores(object.at("cores").get<std::int64_t>());
            capacity.amount.memory = mebibytes(object.at("memory_mib").get<std::int64_t>());
            capacity.amount.accelerator = accelerators(object.at("accelerators").get<std::int64_t>());
            capacity.boot = incarnation(object.at("boot_id").get<std::uint64_t>());
            return capacity;
        }));
    });
}

void worker_api::tasks(callback<std::vector<worker_task>> done)
{
    call("GET", "/v1/tasks", {}, [done = std::move(done)](const result<std::string>& body) {
        done(readJson<std::vector<worker_task>>(
            body, [](const nlohmann::json& object) -> result<std::vector<worker_task>> {
                std::vector<worker_task> tasks;
                for (const auto& row : object.at("tasks"))
                    tasks.push_back(readTask(row));
                return tasks;
            }));
    });
}

void worker_api::renewLease(duration lease, callback<void> done)
{
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(lease).count();
    const nlohmann::json body = { { "lease_ms", std::max<std::int64_t>(millis, 0) } };
    call("POST", "/v1/lease", body.dump(), [done = std::move(done)](const auto& answer) { done(dropBody(answer)); });
}

void worker_api::prepare(const leased_task& id, const task_demand& demand, callback<void> done)
{
    const nlohmann::json body = {
        { "cores", demand.amount.cpu },
        { "memory_mib", demand.amount.memory },
        { "accelerators", demand.acceleratorIndexes },
        { "run_time_ms", std::chrono::duration_cast<std::chrono::milliseconds>(demand.runTime).count() },
        { "command", demand.command },
    };
    call("PUT", "/v1/tasks/" + toWorkerTaskName(id), body.dump(),
        [done = std::move(done)](const auto& answer) { done(dropBody(answer)); });
}

void worker_api::act(const leased_task& id, const std::string& verb, callback<void> done)
{
    call("POST", "/v1/tasks/" + toWorkerTaskName(id) + "/" + verb, "{}",
        [done = std::move(done)](const auto& answer) { done(dropBody(answer)); });
}

void worker_api::release(const leased_task& id, callback<void> done)
{
    call("DELETE", "/v1/tasks/" + toWorkerTaskName(id), {},
        [done = std::move(done)](const auto& answer) { done(dropBody(answer)); });
}

} // namespace poplardeal::detail
