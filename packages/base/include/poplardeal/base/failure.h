#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <string_view>

namespace poplardeal {

/// Reason of a refusal, stable over releases. `toString` gives the word used in JSON and logs.
enum class failure_code {
    invalid_argument,
    not_found,
    conflict,
    not_leader,
    unavailable,
    connection_refused, ///< Nothing listens at the address: the process there has ended.
    timed_out,
    too_large,
    overloaded,
    corrupt,
    io_error,
    no_space, ///< The disk or the quota is full: nothing was damaged, and a later attempt may succeed.
    locked,
    unknown_format, ///< Written by another version; intact as far as can be told.
    infeasible,
    internal,
};

std::string_view toString(failure_code);

/// Why an operation was not done. `message` names the place and the reason and is fit for an operator to read.
struct failure {
    failure_code code { failure_code::internal };
    std::string message;

    friend bool operator==(const failure&, const failure&) = default;
};

/// A value or a `failure`. Reading the value of a failed result ends the process; test it first.
template <class T> using result = boost::outcome_v2::basic_result<T, failure, boost::outcome_v2::policy::terminate>;

using boost::outcome_v2::success;

} // namespace poplardeal
