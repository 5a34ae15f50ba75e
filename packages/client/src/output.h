#pragma once

#include "arguments.h"
#include "control_client.h"
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace poplardeal::detail {

exit_code toExitCode(run_verdict);

/// The scalar at `key` as text; empty if there is none.
std::string fieldText(const nlohmann::json& object, const char* key);

/// The array at `key`; empty if there is none.
nlohmann::json fieldArray(const nlohmann::json& object, const char* key);

/// "2026-12-04T06:30:00Z" of microseconds since 1970; empty for 0.
std::string timeText(std::int64_t micros);

/// One line of JSON; bytes that are no UTF-8 are replaced.
std::string jsonLine(const nlohmann::json&);

/// A table with columns as wide as their widest cell; the first row is the heading.
std::string tableText(const std::vector<std::vector<std::string>>& rows);

/// Reads a file of at most `maxBytes`; "-" is standard input.
result<std::string> readFile(const std::string& path, std::size_t maxBytes);
result<void> writeFile(const std::string& path, const std::string& text);

/// Prints `error: MESSAGE` and gives `bad_input`.
exit_code reportBadInput(invocation&, const std::string& message);

/// Prints why an order or a read failed and what to do next, and gives the exit code of its verdict. `nextStep` is for
/// a refusal.
exit_code reportFailure(invocation&, const control_answer&, const std::string& nextStep);

/// A client for the control addresses, or `invalid_argument` if none are known.
result<std::unique_ptr<control_client>> makeControlClient(const invocation&);

/// An order body with its id and operator.
nlohmann::json orderBody(const invocation&);

} // namespace poplardeal::detail
