#include "http_fixture.h"
#include <boost/test/data/test_case.hpp>

using namespace poplardeal;

namespace {

constexpr std::size_t largeBody = 262144;

/// A server with a small budget, which answers when the test says so.
struct limits_fixture : loop_fixture {
    http_limits limits { .maxBodyBytes = largeBody,
        .headerTimeout = std::chrono::seconds(1),
        .idleTimeout = std::chrono::seconds(2),
        .minBytesPerSecond = largeBody };
    std::shared_ptr<connection_budget> budget
        = std::make_shared<connection_budget>(connection_budget::limits { std::size_t { 2 } * 1024 * 1024, 8 });
    std::vector<std::string> seen;
    std::vector<http_responder> waiting;
    std::unique_ptr<http_server> server = std::move(http_server::open(
        loop, { "127.0.0.1", 0 }, limits, budget, [this](const http_request& request, const http_responder& respond) {
            seen.push_back(request.path);
            waiting.push_back(respond);
        }).value());

    static std::string head(const std::string& path, const std::string& fields)
    {
        return "POST " + path + " HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n";
    }

    std::string readToEnd(const raw_socket& peer)
    {
        std::string answer;
        BOOST_TEST(runUntil([&] { return !peer.receiveNow(answer); }));
        return answer;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(client_limits, limits_fixture)

// Guards against a refusal of one request that is as large, and has as many fields, as the limits of the pages allow.
BOOST_AUTO_TEST_CASE(a_request_at_the_limits_is_served)
{
    std::string fields = "Content-Length: 262144\r\nExpect: 100-continue\r\nConnection: close\r\n";
    while (fields.size() < 16300)
        fields += "a:\r\n";
    const auto peer = raw_socket::connectTo(server->local());
    peer.send(head("/large", fields));
    std::string answer;
    BOOST_TEST(runUntil([&] { return peer.receiveNow(answer) && answer.ends_with("\r\n\r\n"); }));
    BOOST_TEST(answer == "HTTP/1.1 100 Continue\r\n\r\n");
    for (std::size_t sent = 0; sent < largeBody; sent += 4096) {
        peer.send(std::string(4096, 'b'));
        settle(std::chrono::milliseconds(1));
    }
    BOOST_REQUIRE(runUntil([&] { return !waiting.empty(); }));
    waiting[0]({ 200, {}, "done" });
    BOOST_TEST(readToEnd(peer).starts_with("HTTP/1.1 200"));
    BOOST_TEST(budget->connections() == 0);
    BOOST_TEST(budget->bytes() == 0);
}

// Guards against a request sent ahead that is handled, or held beyond one head, before the answer to the one before it.
BOOST_AUTO_TEST_CASE(requests_sent_ahead_wait_for_the_answer)
{
    const auto peer = raw_socket::connectTo(server->local());
    std::string all;
    for (int i = 0; i < 100; ++i)
        all += head("/" + std::to_string(i), "Content-Length: 3\r\n") + "abc";
    peer.send(all);
    for (std::size_t i = 0; i < 100; ++i) {
        BOOST_REQUIRE(runUntil([&] { return !waiting.empty(); }));
        settle(std::chrono::milliseconds(1));
        BOOST_REQUIRE(seen.size() == i + 1);
        BOOST_TEST(seen.back() == "/" + std::to_string(i));
        std::exchange(waiting, {}).front()({ 200, {}, "done" });
    }
    BOOST_TEST(server->refused() == 0);
}

// Guards against a crowd of partial bodies that keeps a whole request out, and against a refusal that hides that the
// request has not run.
BOOST_AUTO_TEST_CASE(the_connection_that_holds_most_for_longest_goes_first)
{
    std::vector<raw_socket> crowd;
    for (int i = 0; i < 7; ++i) {
        crowd.push_back(raw_socket::connectTo(server->local()));
        crowd.back().send(head("/part", "Content-Length: 262144\r\n") + std::string(200000, 'b'));
        settle(std::chrono::milliseconds(30));
    }
    const auto peer = raw_socket::connectTo(server->local());
    peer.send(head("/whole", "Content-Length: 262144\r\n") + std::string(largeBody, 'b'));
    BOOST_REQUIRE(runUntil([&] { return !waiting.empty(); }));
    BOOST_TEST(seen.front() == "/whole");
    BOOST_TEST(budget->bytes() <= budget->bounds().bytes);
    BOOST_TEST(budget->refused(refusal_reason::evicted) > 0);
    const auto refusal = readToEnd(crowd.front());
    BOOST_TEST(refusal.starts_with("HTTP/1.1 503"));
    BOOST_TEST(refusal.find("Retry-After: 1") != std::string::npos);
    BOOST_TEST(refusal.find("Connection: close") != std::string::npos);
}

// Guards against connections beyond the limit, and against silent ones that keep others out.
BOOST_AUTO_TEST_CASE(a_new_connection_replaces_the_oldest_without_a_request)
{
    std::vector<raw_socket> crowd;
    for (int i = 0; i < 20; ++i) {
        crowd.push_back(raw_socket::connectTo(server->local()));
        settle(std::chrono::milliseconds(2));
        BOOST_TEST(budget->connections() <= budget->bounds().connections);
    }
    crowd.back().send(head("/last", "Content-Length: 0\r\n"));
    BOOST_TEST(runUntil([&] { return !waiting.empty(); }));
    BOOST_TEST(budget->refused(refusal_reason::too_many_connections) == 12);
}

// Guards against a request that is never completed and keeps its connection.
BOOST_DATA_TEST_CASE_F(limits_fixture, a_request_that_stops_half_way_is_cut,
    boost::unit_test::data::make(
        { "POST /slow HTTP/1.1\r\nHos", "POST /slow HTTP/1.1\r\nContent-Length: 1000\r\n\r\nb" }),
    part)
{
    const auto peer = raw_socket::connectTo(server->local());
    peer.send(part);
    readToEnd(peer);
    BOOST_TEST(budget->refused(refusal_reason::too_slow) == 1);
    BOOST_TEST(seen.empty());
    BOOST_TEST(budget->connections() == 0);
}

// Guards against framing that the connection and libsoup read in two ways, so that a body becomes a request.
BOOST_DATA_TEST_CASE_F(limits_fixture, ambiguous_framing_is_refused,
    boost::unit_test::data::make({ "Content-Length : 3\r\n", "Content-Length:\r\n 3\r\n",
        "Content-Length: 3\r\nContent-Length: 3\r\n", "Content-Length: +3\r\n", "Content-Len\tgth: 3\r\n" }),
    fields)
{
    const auto peer = raw_socket::connectTo(server->local());
    peer.send(head("/", fields) + "abc");
    BOOST_TEST(readToEnd(peer).starts_with("HTTP/1.1 400"));
    BOOST_TEST(seen.empty());
}

BOOST_AUTO_TEST_SUITE_END()
