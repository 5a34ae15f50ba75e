#pragma once

#include <functional>
#include <map>
#include <memory>
#include <poplardeal/base/failure.h>
#include <poplardeal/base/verdict.h>
#include <poplardeal/wire/address.h>
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
/// is harmless.
using http_responder = std::function<void(http_response)>;

/// An HTTP/1.1 server on libsoup.
class http_server {
public:
    /// `maxBody` in bytes: larger requests are answered 413 and never reach the handler.
    static result<std::unique_ptr<http_server>> open(
        event_loop&, const address&, std::size_t maxBody, std::function<void(http_request, http_responder)> handler);
    ~http_server();

    address local() const;
    /// Stops taking connections; requests in flight go on.
    void stopListening();
    /// Requests handed to the handler and not yet answered to the last byte.
    std::size_t inFlight() const;

private:
    struct impl;
    explicit http_server(std::unique_ptr<impl>);
    std::unique_ptr<impl> m_impl;
};

/// Why a request got no whole answer, and whether the server may have run it.
struct http_failure {
    failure cause;
    run_verdict verdict { run_verdict::may_have_run }; ///< `not_run` only if no connection was made.
};

using http_result = boost::outcome_v2::basic_result<http_response, http_failure, boost::outcome_v2::policy::terminate>;

/// An HTTP/1.1 client on libsoup that keeps connections. It never repeats a request by itself.
class http_client {
public:
    /// `maxConnections` to one server at the same time.
    http_client(event_loop&, unsigned maxConnections);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    void send(const address& server, http_request, duration timeout, std::function<void(http_result)> done);

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace poplardeal
