#pragma once

#include "loop_fixture.h"
#include "raw_socket.h"
#include <optional>
#include <poplardeal/wire/http.h>

namespace poplardeal {

inline constexpr std::size_t bodyLimit = 100000;
inline constexpr duration patience = std::chrono::seconds(30);

/// A server that records requests and answers them at once, or later through `waiting`.
struct http_fixture : loop_fixture {
    std::vector<http_request> seen;
    std::vector<http_responder> waiting;
    bool answerLater { false };
    std::unique_ptr<http_server> server;
    std::unique_ptr<http_client> client { std::make_unique<http_client>(loop, 4) };

    http_fixture()
    {
        auto opened = http_server::open(
            loop, { "127.0.0.1", 0 }, bodyLimit, [this](http_request request, http_responder respond) {
                seen.push_back(std::move(request));
                if (answerLater)
                    waiting.push_back(std::move(respond));
                else
                    respond({ 200, { { "x-served", "yes" } }, "echo:" + seen.back().body });
            });
        BOOST_REQUIRE(opened.has_value());
        server = std::move(opened.value());
    }

    void send(const address& to, http_request request, duration timeout, std::optional<http_result>& to_result)
    {
        client->send(to, std::move(request), timeout, [&](http_result r) { to_result.emplace(std::move(r)); });
    }

    http_result call(const address& to, http_request request, connection_use use, duration timeout = patience)
    {
        std::optional<http_result> got;
        client->send(to, std::move(request), timeout, use, [&](http_result r) { got.emplace(std::move(r)); });
        BOOST_REQUIRE(!got);
        BOOST_REQUIRE(runUntil([&] { return got.has_value(); }));
        return *got;
    }

    http_result call(http_request request) { return call(server->local(), std::move(request), connection_use::fresh); }

    /// Accepts one connection and waits for a whole request head on it.
    raw_socket acceptRequest(const raw_socket& listening)
    {
        raw_socket taken;
        std::string head;
        BOOST_REQUIRE(runUntil([&] {
            if (!taken.isOpen())
                taken = listening.acceptNow();
            return taken.isOpen() && taken.receiveNow(head) && head.find("\r\n\r\n") != std::string::npos;
        }));
        return taken;
    }

    std::string exchangeRaw(const raw_socket& peer, std::string_view bytes)
    {
        peer.send(bytes);
        std::string answer;
        BOOST_REQUIRE(runUntil([&] { return !peer.receiveNow(answer); }));
        return answer;
    }
};

inline http_request post(std::string body) { return { "POST", "/refund", "", {}, std::move(body) }; }

} // namespace poplardeal
