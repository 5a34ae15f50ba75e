#include "entry_client.h"

#include <algorithm>
#include <optional>

namespace poplardeal::detail {

static std::optional<run_verdict> headerVerdict(const http_response& response)
{
    const auto found = response.headers.find("x-poplardeal-verdict");
    return found == response.headers.end() ? std::nullopt : parseRunVerdict(found->second);
}

/// One try at one entry.
static call_answer sendOnce(
    event_loop& loop, http_client& http, const address& entry, http_request request, duration timeout)
{
    constexpr std::int64_t microsPerMilli = 1000;
    const auto milliseconds = std::max<std::int64_t>(timeout.count() / microsPerMilli, 1);
    request.headers["x-poplardeal-timeout-ms"] = std::to_string(milliseconds);
    call_answer answer;
    loop.post([&] {
        http.send(entry, request, timeout, [&](const http_result& result) {
            if (result.has_error()) {
                answer.verdict = result.error().verdict;
                answer.message = toString(entry) + ": " + result.error().cause.message;
            } else {
                answer.response = result.value();
                // An answer without a verdict is from no entry; it promises nothing.
                answer.verdict = headerVerdict(answer.response).value_or(run_verdict::may_have_run);
            }
            loop.quit();
        });
    });
    answer.response.status = 0;
    loop.run();
    return answer;
}

call_answer sendCall(event_loop& loop, const std::vector<address>& entries, const http_request& request,
    duration timeout, bool mayResend)
{
    http_client http(loop, 1);
    const auto deadline = loop.now() + timeout;
    bool mayHaveRun = false;
    call_answer last;
    for (const auto& entry : entries) {
        const auto remaining = deadline - loop.now();
        if (remaining <= duration(0))
            break;
        last = sendOnce(loop, http, entry, request, remaining);
        if (last.verdict == run_verdict::ran)
            return last;
        mayHaveRun |= last.verdict == run_verdict::may_have_run;
        if (mayHaveRun && !mayResend)
            break;
    }
    if (mayHaveRun)
        last.verdict = run_verdict::may_have_run;
    return last;
}

} // namespace poplardeal::detail
