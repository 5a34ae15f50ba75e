#pragma once

#include <memory>
#include <poplardeal/base/time.h>
#include <poplardeal/standins/ledger.h>
#include <poplardeal/wire/event_loop.h>
#include <poplardeal/wire/http.h>
#include <string>

namespace poplardeal {

struct standin_runner_options {
    std::string name;
    unsigned slots { 8 };
    duration delay { 0 }; ///< Time that one request takes.
    bool failAll { false }; ///< Answers each request with 500, without delay.
};

/// The platform's runner program: runs any request by echoing its body, with headers `x-standin-runner` (its name) and
/// `x-standin-checksum`. `GET /healthz` gives 200 and is not recorded. More than `slots` requests at a time are a
/// breach of the sidecar's duty: they get 503 and a record.
///
/// Ledger records are {event: run | breach, runner, id, key, method, path, body_checksum, wall_us}; `id` and `key` are
/// the headers `x-poplardeal-request-id` and `idempotency-key`, the checksum is XXH3 in hexadecimal. A run is recorded
/// before its delay.
class standin_runner {
public:
    standin_runner(event_loop&, standin_runner_options, ledger_sink);
    ~standin_runner();
    standin_runner(const standin_runner&) = delete;
    standin_runner& operator=(const standin_runner&) = delete;

    void handle(http_request, const http_responder&);

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

/// XXH3 of a body in hexadecimal, as in the ledger.
std::string bodyChecksum(const std::string& body);

} // namespace poplardeal
