#include "request/call.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace poplardeal::detail {

constexpr std::string_view callPrefix = "/v1/call/";
constexpr std::int64_t defaultTimeoutMs = 30'000;
constexpr std::int64_t maxTimeoutMs = 600'000;

static const std::string* findHeader(const http_request& request, const std::string& name)
{
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? nullptr : &found->second;
}

static result<duration> readTimeout(const http_request& request)
{
    const auto* text = findHeader(request, "x-poplardeal-timeout-ms");
    if (text == nullptr)
        return std::chrono::milliseconds(defaultTimeoutMs);
    std::int64_t value = 0;
    const auto* end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || value < 1 || value > maxTimeoutMs)
        return failure { failure_code::invalid_argument, "x-poplardeal-timeout-ms: not a number from 1 to 600000" };
    return std::chrono::milliseconds(value);
}

static result<std::uint8_t> readUrgency(const http_request& request)
{
    const auto* text = findHeader(request, "x-poplardeal-priority");
    if (text == nullptr || *text == "guaranteed")
        return std::uint8_t { 1 };
    if (*text == "urgent")
        return std::uint8_t { 0 };
    if (*text == "borrowed")
        return std::uint8_t { 2 };
    return failure { failure_code::invalid_argument, "x-poplardeal-priority: not urgent, guaranteed or borrowed" };
}

static bool isSafeToRepeat(const std::string& method)
{
    // RFC 9110 section 9.2.2: these two methods are not idempotent.
    return method != "POST" && method != "PATCH";
}

static result<repeat_rule> readRepeatRule(const http_request& request)
{
    if (const auto* key = findHeader(request, "idempotency-key")) {
        const bool isPrintable = std::ranges::all_of(*key, [](char c) { return c > ' ' && c < 127; });
        if (key->empty() || key->size() > maxKeyLength || !isPrintable)
            return failure { failure_code::invalid_argument,
                "idempotency-key: not 1 to 256 printable characters without blanks" };
        return repeat_rule::claimed;
    }
    const auto* marked = findHeader(request, "x-poplardeal-idempotent");
    if (marked == nullptr)
        return isSafeToRepeat(request.method) ? repeat_rule::idempotent : repeat_rule::unmarked;
    if (*marked == "true")
        return repeat_rule::idempotent;
    if (*marked == "false")
        return repeat_rule::single;
    return failure { failure_code::invalid_argument, "x-poplardeal-idempotent: not true or false" };
}

result<call_request> readCallRequest(http_request http)
{
    if (!http.path.starts_with(callPrefix))
        return failure { failure_code::not_found, "no such path" };
    const auto rest = http.path.substr(callPrefix.size());
    const auto slash = rest.find('/');
    call_request request;
    request.service = service_name(rest.substr(0, slash));
    request.path = slash == std::string::npos ? "/" : rest.substr(slash);
    if (request.service.value().empty() || request.service.value().size() > maxServiceLength)
        return failure { failure_code::invalid_argument, "service name is empty or longer than 128 bytes" };
    BOOST_OUTCOME_TRY(timeout, readTimeout(http));
    BOOST_OUTCOME_TRY(urgency, readUrgency(http));
    BOOST_OUTCOME_TRY(repeat, readRepeatRule(http));
    request.timeout = timeout;
    request.urgency = urgency;
    request.repeat = repeat;
    if (request.repeat == repeat_rule::claimed) {
        request.key = idempotency_key(http.headers.at("idempotency-key"));
        request.fingerprint = requestFingerprint(http, request.service.value(), request.path);
    }
    request.http = std::move(http);
    return request;
}

http_response refusalResponse(int status, run_verdict verdict, std::string_view code, std::string_view message)
{
    const nlohmann::ordered_json body { { "verdict", toString(verdict) },
        { "error", { { "code", code }, { "message", message } } } };
    http_response response;
    response.status = status;
    response.headers["content-type"] = "application/json";
    response.headers["x-poplardeal-verdict"] = toString(verdict);
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    return response;
}

} // namespace poplardeal::detail
