#pragma once

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <poplardeal/wire/http.h>
#include <vector>

/// An HTTP server on loopback in the loop of the test. It records the requests, and loses those that `answer` leaves
/// unanswered.
class fake_server {
public:
    using answer_function = std::function<std::optional<poplardeal::http_response>(const poplardeal::http_request&)>;

    explicit fake_server(poplardeal::event_loop& loop)
    {
        auto opened = poplardeal::http_server::open(
            loop, { "127.0.0.1", 0 }, 1 << 20, [this](poplardeal::http_request request, auto respond) {
                requests.push_back(request);
                if (auto response = answer(requests.back()))
                    respond(std::move(*response));
                else
                    m_unanswered.push_back(std::move(respond));
            });
        BOOST_REQUIRE(opened.has_value());
        m_server = std::move(opened.value());
    }

    poplardeal::address address() const { return m_server->local(); }
    std::string addressText() const { return toString(address()); }
    nlohmann::json body(std::size_t i) const { return nlohmann::json::parse(requests.at(i).body); }

    answer_function answer;
    std::vector<poplardeal::http_request> requests;

private:
    std::vector<poplardeal::http_responder> m_unanswered;
    std::unique_ptr<poplardeal::http_server> m_server;
};

inline poplardeal::http_response jsonResponse(int status, const nlohmann::json& body)
{
    return { status, { { "content-type", "application/json" } }, body.dump() };
}

/// Answers every request in the same way.
inline fake_server::answer_function always(int status, const nlohmann::json& body)
{
    return [=](const poplardeal::http_request&) { return jsonResponse(status, body); };
}

/// Takes every request in and never answers.
inline std::optional<poplardeal::http_response> neverAnswer(const poplardeal::http_request&) { return std::nullopt; }
