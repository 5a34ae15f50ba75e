#include "http_fixture.h"
#include <boost/test/data/test_case.hpp>
#include <glib.h>

using namespace poplardeal;

BOOST_FIXTURE_TEST_SUITE(http, http_fixture)

// Guards against a request or response that arrives changed.
BOOST_AUTO_TEST_CASE(request_and_response_arrive_unchanged)
{
    http_request request { "PUT", "/a b/\xc3\xa9%/c", "x=1&y=%20", { { "x-own", "value" } }, std::string("\0\r\n", 3) };
    const auto got = call(request);
    BOOST_REQUIRE(got.has_value());
    BOOST_TEST(got.value().status == 200);
    BOOST_TEST(got.value().headers.at("x-served") == "yes");
    BOOST_TEST(got.value().body == "echo:" + request.body);
    BOOST_REQUIRE(seen.size() == 1);
    BOOST_TEST(seen[0].method == request.method);
    BOOST_TEST(seen[0].path == request.path);
    BOOST_TEST(seen[0].query == request.query);
    BOOST_TEST(seen[0].headers.at("x-own") == "value");
    BOOST_TEST(seen[0].body == request.body);
    const auto head = call({ "HEAD", "/", "", {}, "" });
    BOOST_REQUIRE(head.has_value());
    BOOST_TEST(head.value().headers.at("content-length") == "5");
}

// Guards against a connection that is closed after each request, or closed without a word to the caller.
BOOST_AUTO_TEST_CASE(connections_are_kept)
{
    const auto peer = raw_socket::connectTo(server->local());
    std::string answers;
    for (int i = 0; i < 3; ++i) {
        peer.send("GET /kept HTTP/1.1\r\nHost: a\r\n\r\n");
        BOOST_REQUIRE(runUntil([&] { return !peer.receiveNow(answers) || answers.ends_with("echo:"); }));
        BOOST_REQUIRE(answers.ends_with("echo:"));
        answers.clear();
    }
    answerLater = true;
    peer.send("GET /kept HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_REQUIRE(runUntil([&] { return waiting.size() == 1; }));
    waiting[0]({ 204, {}, "" });
    BOOST_REQUIRE(runUntil([&] { return !peer.receiveNow(answers); }));
    BOOST_TEST(answers.starts_with("HTTP/1.1 204"));
    BOOST_TEST(answers.find("Connection: close") != std::string::npos);
}

// Guards against header values that end the header block early, and against headers of another connection.
BOOST_AUTO_TEST_CASE(unsafe_headers_are_not_sent)
{
    auto request = post("abc");
    request.headers
        = { { "x-bad", "1\r\nx-smuggled: 1" }, { "content-length", "1" }, { "transfer-encoding", "chunked" } };
    const auto got = call(request);
    BOOST_REQUIRE(got.has_value());
    BOOST_TEST(got.value().body == "echo:abc");
    BOOST_TEST(!seen[0].headers.contains("x-bad"));
    BOOST_TEST(!seen[0].headers.contains("x-smuggled"));
}

// Guards against a use of libsoup that it answers with a critical warning in the log.
BOOST_AUTO_TEST_CASE(empty_response_logs_no_warning)
{
    static int warnings = 0;
    warnings = 0;
    const auto count = [](const gchar*, GLogLevelFlags level, const gchar*, gpointer) {
        warnings += (level & (G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING)) != 0 ? 1 : 0;
    };
    auto* before = g_log_set_default_handler(count, nullptr);
    answerLater = true;
    std::optional<http_result> got;
    send(server->local(), post("abc"), patience, got);
    BOOST_TEST(runUntil([&] { return !waiting.empty(); }));
    waiting.at(0)({ 200, {}, "" });
    BOOST_TEST(runUntil([&] { return got.has_value(); }));
    g_log_set_default_handler(before, nullptr);
    BOOST_REQUIRE(got->has_value());
    BOOST_TEST(got->value().body.empty());
    BOOST_TEST(warnings == 0);
}

// Guards against large bodies that are cut, and against memory taken for bodies over the limit.
BOOST_AUTO_TEST_CASE(bodies_over_the_limit_never_reach_the_handler)
{
    const std::string atLimit(bodyLimit, 'b');
    auto got = call(post(atLimit));
    BOOST_REQUIRE(got.has_value());
    BOOST_TEST(got.value().body.size() == atLimit.size() + 5);
    got = call(post(atLimit + "b"));
    BOOST_REQUIRE(got.has_value());
    BOOST_TEST(got.value().status == 413);
    BOOST_TEST(seen.size() == 1);
    BOOST_TEST(server->inFlight() == 0);
}

// Guards against an unexpected error in the handling of one request or response that ends the process.
BOOST_AUTO_TEST_CASE(an_exception_of_a_handler_costs_one_request)
{
    bool fails = true;
    auto opened = http_server::open(
        loop, { "127.0.0.1", 0 }, bodyLimit, [&fails](const http_request&, const http_responder& respond) {
            if (std::exchange(fails, false))
                throw std::out_of_range("no such entry");
            respond({ 200, {}, "" });
        });
    BOOST_REQUIRE(opened.has_value());
    BOOST_TEST(call(opened.value()->local(), post("a"), connection_use::fresh).value().status == 500);
    bool wasCalled = false;
    client->send(opened.value()->local(), post("b"), patience, [&wasCalled](const http_result&) {
        wasCalled = true;
        throw std::out_of_range("no such entry");
    });
    BOOST_REQUIRE(runUntil([&] { return wasCalled; }));
    BOOST_TEST(call(opened.value()->local(), post("c"), connection_use::fresh).value().status == 200);
}

struct refused_row {
    const char* name;
    std::string head;
    std::string status;
};
std::ostream& operator<<(std::ostream& out, const refused_row& row) { return out << row.name; }

const refused_row refusedRows[] = {
    { "declared length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100001\r\n\r\n", "413" },
    { "length over 63 bits", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 18446744073709551615\r\n\r\n", "413" },
    { "asks before sending", "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 100001\r\n\r\n",
        "413" },
    { "no length", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", "411" },
    { "two lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde", "400" },
    { "length not a number", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0x3\r\n\r\nabc", "400" },
    { "large header", "GET / HTTP/1.1\r\nHost: a\r\nX-Large: " + std::string(40000, 'h') + "\r\n\r\n", "431" },
    { "malformed request line", "nonsense\r\n\r\n", "400" },
    { "malformed escape", "GET /%00 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "400" },
};

// Guards against a server that waits for, or takes in, a request that it will refuse.
BOOST_DATA_TEST_CASE_F(http_fixture, oversized_requests_are_refused_before_their_body, refusedRows, row)
{
    const auto peer = raw_socket::connectTo(server->local());
    const auto answer = exchangeRaw(peer, row.head);
    BOOST_TEST(answer.substr(0, 7) == "HTTP/1.");
    BOOST_TEST(answer.substr(9, 3) == row.status);
    BOOST_TEST(server->refused() == 1);
    BOOST_TEST(seen.empty());
    BOOST_TEST(server->inFlight() == 0);
}

// A caller on a slow link sends all of its request before it reads. Guards against a reset that takes the refusal away,
// so that the caller sends the same again.
BOOST_AUTO_TEST_CASE(a_refusal_reaches_a_caller_that_sends_for_longer_than_the_server_waits)
{
    const auto peer = raw_socket::connectTo(server->local());
    peer.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100001\r\n\r\n");
    for (int sent = 0; sent < 30; ++sent) {
        peer.send(std::string(3000, 'b'));
        settle(std::chrono::milliseconds(100));
    }
    std::string answer;
    peer.receiveNow(answer);
    BOOST_TEST(answer.substr(0, 12) == "HTTP/1.1 413");
    BOOST_TEST(seen.empty());
}

// Guards against a cut request that is run.
BOOST_DATA_TEST_CASE_F(http_fixture, cut_request_never_reaches_the_handler,
    boost::unit_test::data::make({ "keep-alive", "close" }), connection)
{
    auto peer = raw_socket::connectTo(server->local());
    const auto head = std::string("POST / HTTP/1.1\r\nHost: a\r\nConnection: ") + connection;
    peer.send(head + "\r\nContent-Length: 10\r\n\r\nhalf");
    BOOST_TEST(runUntil([&] { return server->inFlight() == 1; }));
    peer.close();
    BOOST_TEST(runUntil([&] { return server->inFlight() == 0; }));
    BOOST_TEST(seen.empty());
}

// Guards against a header block without end that fills the memory.
BOOST_AUTO_TEST_CASE(endless_header_is_cut_off)
{
    const auto peer = raw_socket::connectTo(server->local());
    peer.send("GET / HTTP/1.1\r\n");
    const auto line = "X-Line: " + std::string(8000, 'h') + "\r\n";
    std::string answer;
    bool open = true;
    int lines = 0;
    while (open && lines < 1000) {
        peer.send(line);
        ++lines;
        settle(std::chrono::milliseconds(1));
        open = peer.receiveNow(answer);
    }
    BOOST_TEST(!open);
    BOOST_TEST(seen.empty());
}

// Guards against a crash when the caller has gone before its answer.
BOOST_AUTO_TEST_CASE(answering_after_the_peer_has_gone_is_harmless)
{
    answerLater = true;
    auto peer = raw_socket::connectTo(server->local());
    peer.send("GET /late HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_REQUIRE(runUntil([&] { return waiting.size() == 1; }));
    peer.close();
    settle();
    waiting[0]({ 200, {}, std::string(1000000, 'r') });
    waiting[0]({ 200, {}, "twice" });
    BOOST_TEST(runUntil([&] { return server->inFlight() == 0; }));
}

// Guards against a request that is never answered because its handler lost it.
BOOST_AUTO_TEST_CASE(dropped_responder_answers_500)
{
    answerLater = true;
    std::optional<http_result> got;
    send(server->local(), post("x"), patience, got);
    BOOST_REQUIRE(runUntil([&] { return waiting.size() == 1; }));
    waiting.clear();
    BOOST_REQUIRE(runUntil([&] { return got.has_value(); }));
    BOOST_REQUIRE(got->has_value());
    BOOST_TEST(got->value().status == 500);
}

// Guards against a planned stop that cuts off requests in flight, or that still takes new ones.
BOOST_AUTO_TEST_CASE(stop_lets_requests_in_flight_finish)
{
    answerLater = true;
    std::optional<http_result> got;
    send(server->local(), post("x"), patience, got);
    BOOST_REQUIRE(runUntil([&] { return waiting.size() == 1; }));
    server->stopListening();
    const auto refused = call(post("late"));
    BOOST_REQUIRE(refused.has_error());
    BOOST_TEST((refused.error().verdict == run_verdict::not_run));
    BOOST_TEST(server->inFlight() == 1);
    waiting[0]({ 200, {}, std::string(3000000, 'r') });
    BOOST_REQUIRE(runUntil([&] { return got.has_value(); }));
    BOOST_REQUIRE(got->has_value());
    BOOST_TEST(got->value().body.size() == 3000000);
    BOOST_TEST(got->value().headers.at("connection") == "close");
    BOOST_TEST(runUntil([&] { return server->inFlight() == 0; }));
}

// Guards against use of freed memory when owners are destroyed with requests under way.
BOOST_AUTO_TEST_CASE(owners_may_be_destroyed_with_requests_under_way)
{
    answerLater = true;
    std::optional<http_result> got;
    send(server->local(), post("x"), patience, got);
    BOOST_REQUIRE(runUntil([&] { return waiting.size() == 1; }));
    const auto half = raw_socket::connectTo(server->local());
    half.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf");
    settle();
    client.reset();
    server.reset();
    waiting[0]({});
    settle();
    BOOST_TEST(!got.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
