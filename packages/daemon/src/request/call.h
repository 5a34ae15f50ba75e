#pragma once

#include "request/message_forms.h"

#include <cstdint>
#include <optional>
#include <poplardeal/base/failure.h>
#include <poplardeal/base/ids.h>
#include <poplardeal/base/time.h>
#include <poplardeal/base/verdict.h>
#include <poplardeal/wire/event_loop.h>
#include <poplardeal/wire/http.h>
#include <set>
#include <string>

namespace poplardeal::detail {

/// What a caller has said about repeating its request.
enum class repeat_rule {
    idempotent, ///< May be sent again whatever happened to it.
    unmarked, ///< POST or PATCH without a header: may be sent again if it did not run.
    claimed, ///< Has an idempotency key.
    single, ///< `X-Poplardeal-Idempotent: false`: is sent once.
};

/// The caller's request as read from HTTP.
struct call_request {
    service_name service;
    std::string path; ///< At the runner.
    http_request http;
    repeat_rule repeat { repeat_rule::idempotent };
    idempotency_key key;
    std::uint8_t urgency { 1 };
    duration timeout { 0 };
    std::uint64_t fingerprint { 0 };
};

inline constexpr std::size_t maxKeyLength = 256;
inline constexpr std::size_t maxServiceLength = 128;

/// Reads a request of `ANY /v1/call/SERVICE/PATH`. `not_found` for another path, `invalid_argument` for a bad header.
result<call_request> readCallRequest(http_request);

/// One request of a caller on its way through the entry.
struct call {
    struct attempt {
        endpoint_id endpoint;
        incarnation process;
        instant sentAt;
        std::uint64_t correlation { 0 };
        std::string id;
        bool isOutcomeQuery { false };
    };

    std::uint64_t number { 0 };
    std::string id;
    call_request request;
    http_responder respond;
    instant deadline;
    std::size_t bytes { 0 };
    unsigned attempts { 0 }; ///< Handed to a connection.
    unsigned lastAttemptId { 0 };
    std::set<endpoint_id> tried;
    bool mayHaveRun { false }; ///< An earlier attempt may have run.
    bool isClaiming { false };
    bool holdsClaim { false }; ///< Control has granted, or may have granted, the claim of `attemptId`.
    std::string attemptId;
    std::optional<attempt> current;
    std::optional<http_response> lastAnswer; ///< Server error of an earlier attempt, given if no other does better.
    event_loop::timer deadlineTimer;
    event_loop::timer pauseTimer;
    duration pause { 0 };
};

/// An answer of the entry itself.
http_response refusalResponse(int status, run_verdict, std::string_view code, std::string_view message);

} // namespace poplardeal::detail
