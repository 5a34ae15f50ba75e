#pragma once

#include <poplardeal/base/time.h>
#include <poplardeal/base/verdict.h>
#include <poplardeal/wire/address.h>
#include <poplardeal/wire/event_loop.h>
#include <poplardeal/wire/http.h>
#include <string>
#include <vector>

namespace poplardeal::detail {

/// What became of a call.
struct call_answer {
    run_verdict verdict { run_verdict::not_run };
    http_response response; ///< Status 0 if no entry answered.
    std::string message; ///< The last fault, if no entry answered.
};

/// Sends a call to the entries in turn, each one once at most, until one answers that it ran. After an answer was lost,
/// the call is sent again only if that is safe (`mayResend`). Runs the loop until the answer is there.
call_answer sendCall(
    event_loop&, const std::vector<address>& entries, const http_request&, duration timeout, bool mayResend);

} // namespace poplardeal::detail
