#pragma once

#include <optional>
#include <string_view>

namespace poplardeal {

/// Says whether a request may have run. `not_run` is a promise and is given only when it is certain.
enum class run_verdict {
    not_run,
    ran,
    may_have_run,
};

/// "not-run", "ran" or "may-have-run".
std::string_view toString(run_verdict);
std::optional<run_verdict> parseRunVerdict(std::string_view);

} // namespace poplardeal
