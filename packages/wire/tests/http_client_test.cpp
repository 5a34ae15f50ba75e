#include "http_fixture.h"
#include <boost/test/data/test_case.hpp>
#include <sys/resource.h>
#include <unistd.h>

using namespace poplardeal;

namespace {

/// This process can open no descriptor until the end of the scope.
class no_descriptors {
public:
    no_descriptors()
    {
        ::getrlimit(RLIMIT_NOFILE, &m_before);
        const int lowestFree = ::dup(STDERR_FILENO);
        ::close(lowestFree);
        const rlimit lower { static_cast<rlim_t>(lowestFree), m_before.rlim_max };
        ::setrlimit(RLIMIT_NOFILE, &lower);
    }
    ~no_descriptors() { ::setrlimit(RLIMIT_NOFILE, &m_before); }
    no_descriptors(const no_descriptors&) = delete;
    no_descriptors& operator=(const no_descriptors&) = delete;

private:
    rlimit m_before {};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_clients, http_fixture)

const int passedStatuses[] = { 201, 302, 401, 404, 407, 408, 421, 500, 503 };

// Guards against libsoup acting on a status by itself: it sends a request again after 421, which names the leader.
BOOST_DATA_TEST_CASE_F(
    http_fixture, every_status_reaches_the_caller, boost::unit_test::data::make(passedStatuses), status)
{
    answerLater = true;
    std::optional<http_result> got;
    send(server->local(), post("abc"), patience, got);
    BOOST_REQUIRE(runUntil([&] { return !waiting.empty(); }));
    waiting[0]({ status, {}, "leader" });
    BOOST_REQUIRE(runUntil([&] { return got.has_value(); }));
    BOOST_REQUIRE(got->has_value());
    BOOST_TEST(got->value().status == status);
    BOOST_TEST(got->value().body == "leader");
    BOOST_TEST(seen.size() == 1u);
}

// Guards against a second execution: libsoup by itself repeats a request when a kept connection ends without a
// response.
BOOST_DATA_TEST_CASE_F(http_fixture, closed_kept_connection_does_not_repeat_the_request,
    boost::unit_test::data::make({ "GET", "PUT", "POST" }), method)
{
    const auto listening = raw_socket::listenOnLoopback();
    std::optional<http_result> first;
    const http_request request { method, "/run", "", {}, "" };
    client->send(listening.local(), request, patience, connection_use::kept, [&](http_result r) { first.emplace(r); });
    auto peer = acceptRequest(listening);
    peer.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    BOOST_REQUIRE(runUntil([&] { return first.has_value(); }));
    BOOST_REQUIRE(first->has_value());

    std::optional<http_result> second;
    client->send(listening.local(), request, patience, connection_use::kept, [&](http_result r) { second.emplace(r); });
    std::string head;
    BOOST_REQUIRE(runUntil([&] { return peer.receiveNow(head) && head.ends_with("\r\n\r\n"); }));
    peer.close();
    BOOST_REQUIRE(runUntil([&] { return second.has_value(); }));
    BOOST_REQUIRE(second->has_error());
    BOOST_TEST((second->error().verdict == run_verdict::may_have_run));
    settle();
    const auto repeated = listening.acceptNow();
    std::string again;
    if (repeated.isOpen())
        repeated.receiveNow(again);
    BOOST_TEST(again.empty());
}

// All kept connections to a server go silent at the same time, without being closed, while new ones work. Guards
// against a client that uses them up one by one, with a timeout for each.
BOOST_AUTO_TEST_CASE(silent_kept_connections_cost_one_timeout)
{
    constexpr duration timeout = std::chrono::milliseconds(200);
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    const auto listening = raw_socket::listenOnLoopback();
    std::vector<std::optional<http_result>> results(3);
    for (auto& result : results)
        client->send(listening.local(), post("x"), patience, connection_use::kept,
            [&result](http_result r) { result.emplace(std::move(r)); });
    std::vector<raw_socket> silent;
    for (std::size_t i = 0; i < results.size(); ++i) {
        silent.push_back(acceptRequest(listening));
        silent.back().send(answer);
    }
    BOOST_REQUIRE(runUntil([&] {
        return std::all_of(results.begin(), results.end(), [](const auto& each) { return each.has_value(); });
    }));
    const auto lost = call(listening.local(), post("x"), connection_use::kept, timeout);
    BOOST_REQUIRE(lost.has_error());
    BOOST_TEST((lost.error().cause.code == failure_code::timed_out));
    BOOST_TEST((lost.error().verdict == run_verdict::may_have_run));
    std::optional<http_result> next;
    client->send(listening.local(), post("x"), patience, connection_use::kept,
        [&next](http_result r) { next.emplace(std::move(r)); });
    acceptRequest(listening).send(answer);
    BOOST_REQUIRE(runUntil([&] { return next.has_value(); }));
    BOOST_TEST(next->has_value());
}

// Guards against an ambiguous verdict where a fresh connection gives a certain one.
BOOST_AUTO_TEST_CASE(connection_closed_by_the_server_is_not_used_for_requests_sent_once)
{
    auto listening = raw_socket::listenOnLoopback();
    const auto target = listening.local();
    std::optional<http_result> first;
    send(target, post(""), patience, first);
    auto peer = acceptRequest(listening);
    peer.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    BOOST_REQUIRE(runUntil([&] { return first.has_value(); }));
    listening.close();
    std::optional<http_result> second;
    send(target, post(""), patience, second);
    BOOST_REQUIRE(runUntil([&] { return second.has_value(); }));
    BOOST_REQUIRE(second->has_error());
    BOOST_TEST((second->error().verdict == run_verdict::not_run));
    BOOST_TEST((second->error().cause.code == failure_code::connection_refused));
}

// A client out of descriptors cannot connect either. Guards against taking that for a server that has ended.
BOOST_AUTO_TEST_CASE(a_connection_that_fails_here_is_not_refused)
{
    const auto listening = raw_socket::listenOnLoopback();
    std::optional<http_result> got;
    {
        const no_descriptors none;
        send(listening.local(), post(""), patience, got);
        BOOST_REQUIRE(runUntil([&] { return got.has_value(); }));
    }
    BOOST_REQUIRE(got->has_error());
    BOOST_TEST((got->error().verdict == run_verdict::not_run));
    BOOST_TEST((got->error().cause.code == failure_code::unavailable));
}

// Guards against a cut response that is handed on as a whole one.
BOOST_DATA_TEST_CASE_F(http_fixture, cut_response_is_a_failure,
    boost::unit_test::data::make({ "", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 10\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nzz\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n" }),
    sent)
{
    for (const auto use : { connection_use::kept, connection_use::fresh }) {
        const auto listening = raw_socket::listenOnLoopback();
        std::optional<http_result> got;
        client->send(listening.local(), post("x"), patience, use, [&](http_result r) { got.emplace(std::move(r)); });
        auto peer = acceptRequest(listening);
        peer.send(sent);
        peer.close();
        BOOST_REQUIRE(runUntil([&] { return got.has_value(); }));
        BOOST_REQUIRE(got->has_error());
        BOOST_TEST((got->error().verdict == run_verdict::may_have_run));
    }
}

// Guards against a chunked body that is decoded wrongly, and against a next response read from the end of this one.
BOOST_AUTO_TEST_CASE(chunked_responses_are_whole_and_the_client_goes_on)
{
    const auto listening = raw_socket::listenOnLoopback();
    const http_request request { "GET", "/", "", {}, "" };
    raw_socket peer;
    for (int i = 0; i < 3; ++i) {
        std::optional<http_result> got;
        send(listening.local(), request, patience, got);
        std::string head;
        BOOST_REQUIRE(runUntil([&] {
            auto taken = listening.acceptNow();
            if (taken.isOpen())
                peer = std::move(taken);
            if (peer.isOpen())
                peer.receiveNow(head);
            return head.ends_with("\r\n\r\n");
        }));
        peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nabcd\r\n");
        settle(std::chrono::milliseconds(2));
        peer.send("0A\r\n0123456789\r\n0\r\nX-Trailer: 1\r\n");
        settle(std::chrono::milliseconds(2));
        BOOST_TEST(!got);
        peer.send("\r\n");
        BOOST_REQUIRE(runUntil([&] { return got.has_value(); }));
        BOOST_REQUIRE(got->has_value());
        BOOST_TEST(got->value().body == "abcd0123456789");
    }
}

// Guards against a response without end that fills the memory.
BOOST_AUTO_TEST_CASE(response_over_the_limit_is_a_failure)
{
    answerLater = true;
    std::optional<http_result> got;
    send(server->local(), post("x"), patience, got);
    BOOST_REQUIRE(runUntil([&] { return waiting.size() == 1; }));
    waiting[0]({ 200, {}, std::string(http_client::maxResponseBody + 1, 'r') });
    BOOST_REQUIRE(runUntil([&] { return got.has_value(); }));
    BOOST_REQUIRE(got->has_error());
    BOOST_TEST((got->error().cause.code == failure_code::too_large));
}

// Guards against a timeout that claims too much: a request that was sent may have run, one still queued has not.
BOOST_AUTO_TEST_CASE(timeouts_know_whether_the_request_was_sent)
{
    answerLater = true;
    std::vector<http_result> ended;
    client = std::make_unique<http_client>(loop, 2);
    for (int i = 0; i < 3; ++i) {
        client->send(server->local(), post("x"), std::chrono::milliseconds(200),
            [&](http_result r) { ended.push_back(std::move(r)); });
    }
    BOOST_REQUIRE(runUntil([&] { return ended.size() == 3; }));
    int notRun = 0;
    for (const auto& end : ended) {
        BOOST_REQUIRE(end.has_error());
        BOOST_TEST((end.error().cause.code == failure_code::timed_out));
        notRun += end.error().verdict == run_verdict::not_run ? 1 : 0;
    }
    BOOST_TEST(notRun == 1);
    BOOST_TEST(seen.size() == 2);
}

// Guards against a loop that blocks on the rest of a response after its time is over.
BOOST_DATA_TEST_CASE_F(http_fixture, stalled_response_times_out,
    boost::unit_test::data::make(
        { "Content-Length: 10\r\n\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n" }),
    sent)
{
    const auto listening = raw_socket::listenOnLoopback();
    std::optional<http_result> got;
    send(listening.local(), post("x"), std::chrono::milliseconds(100), got);
    auto peer = acceptRequest(listening);
    peer.send(std::string("HTTP/1.1 200 OK\r\n") + sent);
    BOOST_REQUIRE(runUntil([&] { return got.has_value(); }));
    BOOST_REQUIRE(got->has_error());
    BOOST_TEST((got->error().cause.code == failure_code::timed_out));
    BOOST_TEST((got->error().verdict == run_verdict::may_have_run));
    std::string rest;
    BOOST_TEST(runUntil([&] { return !peer.receiveNow(rest); }));
}

// Guards against a queue without bound in front of a slow server.
BOOST_AUTO_TEST_CASE(requests_over_the_bound_are_not_run)
{
    answerLater = true;
    std::vector<http_result> ended;
    for (std::size_t i = 0; i < http_client::maxPending + 2; ++i)
        client->send(server->local(), {}, patience, [&](http_result r) { ended.push_back(std::move(r)); });
    BOOST_REQUIRE(runUntil([&] { return ended.size() == 2; }));
    for (const auto& end : ended) {
        BOOST_TEST((end.error().cause.code == failure_code::overloaded));
        BOOST_TEST((end.error().verdict == run_verdict::not_run));
    }
}

struct malformed_row {
    http_request request;
};
std::ostream& operator<<(std::ostream& out, const malformed_row& row)
{
    return out << row.request.method << ' ' << row.request.path << ' ' << row.request.query;
}

const malformed_row malformedRows[] = {
    { { "GET HTTP", "/", "", {}, "" } },
    { { "", "/", "", {}, "" } },
    { { "GET", "relative", "", {}, "" } },
    { { "GET", "/", "a=1 HTTP/1.1\r\nX: 1", {}, "" } },
};

// Guards against a request line that carries a second request.
BOOST_DATA_TEST_CASE_F(http_fixture, malformed_requests_are_not_sent, malformedRows, row)
{
    const auto got = call(row.request);
    BOOST_REQUIRE(got.has_error());
    BOOST_TEST((got.error().verdict == run_verdict::not_run));
    BOOST_TEST((got.error().cause.code == failure_code::invalid_argument));
}

BOOST_AUTO_TEST_SUITE_END()
