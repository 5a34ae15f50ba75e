#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace poplardeal {

enum class log_level {
    debug,
    info,
    warning,
    error,
};

/// What every log line of a process carries, and where the lines go.
struct log_options {
    std::string process; ///< Name of the instance, for instance "control-1".
    std::string dataCentre;
    std::string file; ///< Empty: standard error.
    log_level level { log_level::info };
    bool toStandardOutput { false }; ///< Without a file: standard output in place of standard error.
};

/// Sets up logging. Call once, before the first `logEvent`; without it nothing is written.
void initLogging(const log_options&);

/// Writes one JSON line with time, logical clock, level, process, data centre, event and the members of `fields`.
///
///     logEvent(log_level::info, "task_started", { { "job", 17 }, { "task", "17.0.1" } });
void logEvent(log_level, std::string_view event, const nlohmann::json& fields);
void logEvent(log_level, std::string_view event);

} // namespace poplardeal
