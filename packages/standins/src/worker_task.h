#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <poplardeal/base/failure.h>
#include <poplardeal/base/time.h>
#include <poplardeal/base/units.h>
#include <string>
#include <string_view>
#include <vector>

namespace poplardeal::detail {

enum class task_state {
    prepared,
    running,
    finished,
    failed,
    stopped,
};

std::string_view toString(task_state);

/// What a prepare request asks for.
struct task_spec {
    resources size;
    std::vector<std::uint32_t> accelerators;
    std::int64_t runTimeMs { 0 };
    std::string command;

    friend bool operator==(const task_spec&, const task_spec&) = default;
};

/// Reads the body of a prepare request. `invalid_argument` on a missing or malformed member or an accelerator index
/// outside the worker.
result<task_spec> readTaskSpec(const std::string& body, const resources& capacity);

struct worker_task {
    std::string id;
    task_spec spec;
    task_state state { task_state::prepared };
    bool throttled { false };
    double progressMs { 0 }; ///< Declared run time done, up to `progressAt`.
    instant progressAt;
    std::int64_t checkpointMs { 0 };
    std::string detail; ///< Why the task ended, if it did not end by itself.

    bool holdsResources() const { return state == task_state::prepared || state == task_state::running; }

    /// Brings the progress of a running task up to `now`.
    void advance(instant now, double timeScale);
    bool isDone() const { return progressMs >= static_cast<double>(spec.runTimeMs); }
};

nlohmann::json describe(const worker_task&, double usageFactor);

} // namespace poplardeal::detail
