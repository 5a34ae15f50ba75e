#include <poplardeal/base/failure.h>
#include <poplardeal/base/ids.h>
#include <poplardeal/base/verdict.h>

namespace poplardeal {

std::string toString(const task_id& id)
{
    return std::to_string(id.job.value()) + "." + std::to_string(id.index) + "." + std::to_string(id.attempt);
}

std::string_view toString(failure_code code)
{
    switch (code) {
    case failure_code::invalid_argument:
        return "invalid-argument";
    case failure_code::not_found:
        return "not-found";
    case failure_code::conflict:
        return "conflict";
    case failure_code::not_leader:
        return "not-leader";
    case failure_code::unavailable:
        return "unavailable";
    case failure_code::connection_refused:
        return "connection-refused";
    case failure_code::timed_out:
        return "timed-out";
    case failure_code::too_large:
        return "too-large";
    case failure_code::overloaded:
        return "overloaded";
    case failure_code::corrupt:
        return "corrupt";
    case failure_code::no_space:
        return "no-space";
    case failure_code::io_error:
        return "io-error";
    case failure_code::unknown_format:
        return "unknown-format";
    case failure_code::locked:
        return "locked";
    case failure_code::infeasible:
        return "infeasible";
    case failure_code::internal:
        return "internal";
    }
    return "internal";
}

std::string_view toString(run_verdict verdict)
{
    switch (verdict) {
    case run_verdict::not_run:
        return "not-run";
    case run_verdict::ran:
        return "ran";
    case run_verdict::may_have_run:
        return "may-have-run";
    }
    return "may-have-run";
}

std::optional<run_verdict> parseRunVerdict(std::string_view text)
{
    for (const auto verdict : { run_verdict::not_run, run_verdict::ran, run_verdict::may_have_run }) {
        if (text == toString(verdict))
            return verdict;
    }
    return std::nullopt;
}

} // namespace poplardeal
