#pragma once

#include <cstdint>
#include <functional>
#include <poplardeal/base/failure.h>
#include <poplardeal/base/ids.h>
#include <poplardeal/base/units.h>
#include <poplardeal/wire/http.h>
#include <string>
#include <vector>

namespace poplardeal::detail {

struct worker_capacity {
    resources amount;
    incarnation boot;
};

/// One task with the lease it is held under. The worker knows it as "JOB.INDEX.ATTEMPT.LEASE".
struct leased_task {
    task_id task;
    lease_id lease;

    // The check takes a defaulted <=> for a comparison with 0.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const leased_task&, const leased_task&) = default;
};

std::string toWorkerTaskName(const leased_task&);
result<leased_task> parseWorkerTaskName(const std::string&);

enum class worker_task_state {
    prepared,
    running,
    finished,
    failed,
    stopped,
};

struct worker_task {
    leased_task id;
    worker_task_state state { worker_task_state::prepared };
    resources declared;
    resources used;
    std::string detail;
};

struct task_demand {
    resources amount;
    std::vector<std::uint32_t> acceleratorIndexes;
    duration runTime { 0 };
    std::string command;
};

/// Typed calls to the HTTP API of the worker beside this process.
class worker_api {
public:
    worker_api(event_loop&, address worker);

    template <class T> using callback = std::function<void(result<T>)>;

    void capacity(callback<worker_capacity>);
    void tasks(callback<std::vector<worker_task>>);
    void renewLease(duration, callback<void>);
    void prepare(const leased_task&, const task_demand&, callback<void>);
    /// `verb` is "start", "stop", "checkpoint" or "throttle".
    void act(const leased_task&, const std::string& verb, callback<void>);
    /// Refused by the worker while the task runs.
    void release(const leased_task&, callback<void>);

private:
    void call(std::string method, std::string path, std::string body, callback<std::string>);

    address m_worker;
    http_client m_http;
};

} // namespace poplardeal::detail
