#include "entry_client.h"
#include "output.h"
#include "verbs.h"

#include <algorithm>
#include <glib.h>
#include <ostream>

namespace poplardeal::detail {

/// Limit of a request body at the entry.
static constexpr std::size_t maxCallBody = 16 * std::size_t(1024) * 1024;

static std::string percentDecoded(const std::string& text)
{
    gchar* decoded = g_uri_unescape_string(text.c_str(), nullptr);
    std::string result = decoded ? decoded : text;
    g_free(decoded);
    return result;
}

static result<http_request> makeCall(const invocation& call)
{
    const auto& target = call.operands[1];
    if (target.empty() || target.front() != '/')
        return failure { failure_code::invalid_argument, "PATH \"" + target + "\" must start with /" };
    const auto mark = std::min(target.find('?'), target.size());
    http_request request;
    request.method = call.flags.method;
    request.path = "/v1/call/" + call.operands[0] + percentDecoded(target.substr(0, mark));
    request.query = mark < target.size() ? target.substr(mark + 1) : "";
    if (!call.flags.key.empty())
        request.headers["idempotency-key"] = call.flags.key;
    else if (call.flags.nonIdempotent)
        request.headers["x-poplardeal-idempotent"] = "false";
    const auto& data = call.flags.data;
    if (data.empty() || data.front() != '@') {
        request.body = data;
        return request;
    }
    auto body = readFile(data.substr(1), maxCallBody);
    if (body.has_error())
        return body.error();
    request.body = std::move(body.value());
    return request;
}

static nlohmann::json answerJson(const call_answer& answer)
{
    auto json = nlohmann::json { { "verdict", toString(answer.verdict) }, { "status", answer.response.status },
        { "headers", answer.response.headers }, { "body", answer.response.body } };
    if (!answer.message.empty())
        json["error"] = answer.message;
    return json;
}

static std::string callNextStep(const invocation& call, run_verdict verdict)
{
    if (verdict == run_verdict::not_run)
        return "It did not run: it is safe to send it again. See poplardeal status for the service.";
    if (!call.flags.key.empty())
        return "Send it again with --key " + call.flags.key + ": it runs at most once.";
    return "It may have run: look at its effect before you send it again, and use --key next time.";
}

exit_code runCall(invocation& call)
{
    if (call.flags.entry.empty())
        return reportBadInput(call, "no entry address: give --entry IP:PORT,... or set POPLARDEAL_ENTRY");
    const auto request = makeCall(call);
    if (request.has_error())
        return reportBadInput(call, request.error().message);
    const bool mayResend = !call.flags.key.empty() || !call.flags.nonIdempotent;
    const auto answer = sendCall(call.loop, call.flags.entry, request.value(), call.flags.timeout, mayResend);
    if (call.flags.json)
        call.out << jsonLine(answerJson(answer)) << "\n";
    else
        call.out << answer.response.body << std::flush;
    if (answer.verdict != run_verdict::ran || answer.response.status >= 400) {
        const auto status = std::to_string(answer.response.status);
        call.err << toString(answer.verdict) << ": "
                 << (answer.message.empty() ? "HTTP status " + status : answer.message) << "\n";
    }
    if (answer.verdict != run_verdict::ran)
        call.err << callNextStep(call, answer.verdict) << "\n";
    return toExitCode(answer.verdict);
}

} // namespace poplardeal::detail
