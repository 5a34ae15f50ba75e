#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <poplardeal/base/failure.h>
#include <poplardeal/base/verdict.h>
#include <poplardeal/wire/address.h>
#include <poplardeal/wire/connection_budget.h>
#include <poplardeal/wire/event_loop.h>
#include <string>

namespace poplardeal {

/// Header names are in lower case.
using http_headers = std::map<std::string, std::string>;

struct http_request {
    std::string method { "GET" };
    std::string path { "/" }; ///< Without the query, percent-decoded.
    std::string query; ///< As sent, without '?'.
    http_headers headers;
    std::string body;
};

struct http_response {
    int status { 200 };
    http_headers headers;
    std::string body;
};

/// Answers one request, once; may be kept and called later, from the loop's thread. Answering after the peer has gone
/// is harmless. A request whose responder is destroyed unanswered gets status 500.
using http_responder = std::function<void(http_response)>;

/// Limits for each connection of a server.
struct http_limits {
    std::size_t maxBodyBytes { std::size_t { 1024 } * 1024 }; ///< Larger requests are answered 413.
    std::size_t maxHeaderBytes { std::size_t { 32 } * 1024 }; ///< With the request line; 431 otherwise.
    std::size_t maxHeaderFields { 4096 }; ///< As many as fit into 16 KiB; 431 otherwise.
    duration headerTimeout { std::chrono::seconds(10) }; ///< From the first byte of a request to the end of its head.
    duration idleTimeout { std::chrono::seconds(60) }; ///< Without a byte.
    std::size_t minBytesPerSecond { 4096 }; ///< Of a body or answer, after `headerTimeout`.
};

/// An HTTP/1.1 server on libsoup. Request bodies need Content-Length (411 otherwise). A request is handled once it has
/// arrived whole, and the next one of its connection is read after its answer is written. Memory and connections come
/// from a `connection_budget`; what does not fit is answered 503 as not run, or cut.
///
///     auto server = http_server::open(loop, address { "127.0.0.1", 0 }, 65536,
///         [](http_request request, http_responder respond) { respond({ 200, {}, "seen " + request.path }); });
class http_server {
public:
    /// `maxBody` in bytes: larger requests are answered 413 and never reach the handler. With a budget of its own.
    static result<std::unique_ptr<http_server>> open(
        event_loop&, const address&, std::size_t maxBody, std::function<void(http_request, http_responder)> handler);
    /// Several servers may share a budget.
    static result<std::unique_ptr<http_server>> open(event_loop&, const address&, const http_limits&,
        std::shared_ptr<connection_budget>, std::function<void(http_request, http_responder)> handler);
    ~http_server();

    address local() const;
    /// Stops taking connections; requests in flight go on, and their responses close the connection.
    void stopListening();
    /// Requests whose headers have arrived and that are not yet answered to the last byte. A planned stop waits for 0.
    std::size_t inFlight() const;
    /// Requests refused, and connections cut, before a handler was called. By reason: `connection_budget::refused`.
    std::uint64_t refused() const;

private:
    struct impl;
    explicit http_server(std::unique_ptr<impl>);
    std::unique_ptr<impl> m_impl;
};

/// Why a request got no whole answer, and whether the server may have run it.
struct http_failure {
    failure cause;
    /// `not_run` only if no byte of the request was sent.
    run_verdict verdict { run_verdict::may_have_run };
};

using http_result = boost::outcome_v2::basic_result<http_response, http_failure, boost::outcome_v2::policy::terminate>;

/// Which connection a request is sent on.
enum class connection_use {
    /// A kept one if there is one. The server may be closing it at that moment, and then the request ends with
    /// `may_have_run`; for requests that the caller may repeat.
    kept,
    /// A new one, closed after the response: if the server is gone, this is known before the request is sent.
    fresh,
};

/// An HTTP/1.1 client on libsoup that keeps connections. It never repeats a request and follows no redirect. Requests
/// under way when it is destroyed end without a call of `done`. After a request without an answer in time, the next
/// ones to that server use new connections.
class http_client {
public:
    /// `maxConnections` to one server at the same time.
    http_client(event_loop&, unsigned maxConnections);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Calls `done` once, never from within `send`; a failure has code `timed_out`, `unavailable`, `too_large`,
    /// `corrupt`, `overloaded` or `invalid_argument`. GET, HEAD and OPTIONS requests without `idempotency-key` use a
    /// kept connection, others a fresh one.
    void send(const address& server, http_request, duration timeout, std::function<void(http_result)> done);
    void send(
        const address& server, http_request, duration timeout, connection_use, std::function<void(http_result)> done);

    /// Requests under way or waiting for a connection; more are refused as `overloaded`.
    static constexpr std::size_t maxPending = 4096;
    static constexpr std::size_t maxResponseBody = std::size_t { 16 } * 1024 * 1024;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace poplardeal
