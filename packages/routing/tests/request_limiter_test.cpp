#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <poplardeal/routing/request_limiter.h>
#include <rapidcheck.h>
#include <set>

using namespace poplardeal;

namespace {

instant at(std::int64_t milliseconds) { return instantFromMicros(milliseconds * 1000); }

limited_request makeRequest(
    std::uint64_t id, std::int64_t deadlineMs, std::uint8_t urgency = 1, const std::string& group = "a")
{
    limited_request made;
    made.id = id;
    made.group = group;
    made.urgency = urgency;
    made.deadline = at(deadlineMs);
    return made;
}

/// A limiter whose 8 slots are taken by requests 1000 to 1007, with run times of 10 ms behind it.
request_limiter makeBusy()
{
    request_limiter limiter;
    limiter.submit(makeRequest(999, 10'000), at(0));
    limiter.finish(999, at(10));
    for (std::uint64_t id = 1000; id < 1008; ++id)
        limiter.submit(makeRequest(id, 10'000), at(10));
    return limiter;
}

} // namespace

BOOST_AUTO_TEST_SUITE(limiter)

// Guards against more than 8 requests at the runner, more than 64 connections, lost or doubled requests, and a start
// after the deadline, under any sequence of events.
BOOST_AUTO_TEST_CASE(bounds_hold_under_any_sequence)
{
    const bool held = rc::check("slots, connections, deadlines and accounting", [] {
        request_limiter limiter;
        std::map<std::uint64_t, instant> waiting;
        std::set<std::uint64_t> running;
        std::uint64_t nextId = 0;
        std::int64_t now = 0;
        unsigned probes = 0;
        const auto apply = [&](const limiter_decision& decision) {
            for (const auto& refused : decision.refused)
                RC_ASSERT(waiting.erase(refused.id) == 1U);
            for (const auto id : decision.start) {
                RC_ASSERT(waiting.at(id) > at(now));
                waiting.erase(id);
                RC_ASSERT(running.insert(id).second);
            }
        };
        const auto steps = *rc::gen::inRange(1, 400);
        for (int step = 0; step < steps; ++step) {
            now += *rc::gen::inRange(0, 5);
            const auto action = *rc::gen::inRange(0, 10);
            if (action < 6) {
                const auto request = makeRequest(++nextId, now + *rc::gen::inRange(0, 200),
                    *rc::gen::inRange<std::uint8_t>(0, 3), std::string(1, *rc::gen::inRange('a', 'd')));
                waiting[request.id] = request.deadline;
                apply(limiter.submit(request, at(now)));
            } else if (action < 8 && !running.empty()) {
                const auto id = *running.begin();
                running.erase(id);
                apply(limiter.finish(id, at(now)));
            } else if (action == 8 && !waiting.empty()) {
                const auto id = waiting.begin()->first;
                RC_ASSERT(limiter.withdraw(id));
                waiting.erase(id);
            } else if (limiter.tryHoldConnection()) {
                ++probes;
            }
            RC_ASSERT(running.size() <= 8U);
            RC_ASSERT(limiter.running() == running.size());
            RC_ASSERT(limiter.queued() == waiting.size());
            RC_ASSERT(running.size() + probes <= 64U);
            RC_ASSERT(running.size() + waiting.size() <= 64U);
        }
    });
    BOOST_TEST(held);
}

// Guards against work that is started after nobody waits for it any more.
BOOST_AUTO_TEST_CASE(expired_requests_are_refused_not_started)
{
    auto limiter = makeBusy();
    limiter.submit(makeRequest(1, 60), at(11));
    limiter.submit(makeRequest(2, 500), at(11));
    const auto decision = limiter.finish(1000, at(60));
    BOOST_TEST((decision.refused == std::vector<refused_request> { { 1, refusal::deadline_passed } }));
    BOOST_TEST((decision.start == std::vector<std::uint64_t> { 2 }));

    // 3 ms are left of a usual run of 10 ms.
    limiter.submit(makeRequest(3, 103), at(60));
    const auto near = limiter.tick(at(100));
    BOOST_TEST((near.refused == std::vector<refused_request> { { 3, refusal::wait_too_long } }));
}

// Guards against a queue that takes work it can only finish too late.
BOOST_AUTO_TEST_CASE(requests_that_would_wait_too_long_are_refused_early)
{
    auto limiter = makeBusy();
    for (std::uint64_t id = 1; id <= 40; ++id)
        limiter.submit(makeRequest(id, 10'000), at(10));
    // 40 waiting requests at 10 ms over 8 slots take 51 ms, and its own run 10 ms: 61 ms, with margin 80 ms.
    const auto late = limiter.submit(makeRequest(100, 85), at(10));
    BOOST_TEST((late.refused == std::vector<refused_request> { { 100, refusal::wait_too_long } }));
    BOOST_TEST(limiter.submit(makeRequest(101, 95), at(10)).refused.empty());
}

// Guards against a limiter that refuses everything for ever after some slow requests: a free slot is always used.
BOOST_AUTO_TEST_CASE(free_slots_are_used_whatever_the_expected_run_time)
{
    request_limiter limiter;
    limiter.submit(makeRequest(1, 100'000), at(0));
    limiter.finish(1, at(60'000));
    BOOST_TEST(limiter.submit(makeRequest(2, 60'010), at(60'000)).start.size() == 1U);
}

struct full_row {
    std::uint8_t urgency;
    const char* group;
    bool isTaken;
};
std::ostream& operator<<(std::ostream& out, const full_row& row) { return out << int(row.urgency) << row.group; }

const full_row fullRows[] = {
    { 0, "a", true }, // more urgent than those that wait
    { 1, "b", true }, // a group that has nothing waiting
    { 1, "a", false }, // the group that fills the queue
    { 2, "b", false }, // less urgent than those that wait
};

// Guards against a full queue that shuts out urgent work or small callers.
BOOST_DATA_TEST_CASE(full_queue_refuses_the_least_urgent_and_the_largest_group, fullRows, row)
{
    auto limiter = makeBusy();
    for (std::uint64_t id = 1; id <= 56; ++id)
        limiter.submit(makeRequest(id, 10'000), at(10));
    const auto decision = limiter.submit(makeRequest(100, 10'000, row.urgency, row.group), at(10));
    BOOST_REQUIRE(decision.refused.size() == 1U);
    BOOST_TEST((decision.refused[0].id != 100U) == row.isTaken);
    BOOST_TEST((decision.refused[0].reason == (row.isTaken ? refusal::displaced : refusal::queue_full)));
    BOOST_TEST(limiter.queued() == 56U);
}

// Guards against one caller with many requests keeping others from being served.
BOOST_AUTO_TEST_CASE(groups_are_served_in_turn_and_urgent_first)
{
    auto limiter = makeBusy();
    for (std::uint64_t id = 1; id <= 20; ++id)
        limiter.submit(makeRequest(id, 10'000, 1, "large"), at(10));
    for (std::uint64_t id = 21; id <= 23; ++id)
        limiter.submit(makeRequest(id, 10'000, 1, "small"), at(10));
    limiter.submit(makeRequest(30, 10'000, 0, "large"), at(10));
    std::vector<std::uint64_t> started;
    for (std::uint64_t id = 1000; id < 1007; ++id) {
        for (const auto next : limiter.finish(id, at(11)).start)
            started.push_back(next);
    }
    BOOST_TEST(started == (std::vector<std::uint64_t> { 30, 1, 21, 2, 22, 3, 23 }), boost::test_tools::per_element());
}

// Guards against bodies of waiting requests taking all memory.
BOOST_AUTO_TEST_CASE(waiting_bytes_are_bounded)
{
    auto limiter = makeBusy();
    const std::size_t mebibyte = 1024 * 1024;
    for (std::uint64_t id = 1; id <= 10; ++id) {
        auto request = makeRequest(id, 10'000);
        request.bytes = 16 * mebibyte;
        limiter.submit(request, at(10));
    }
    BOOST_TEST(limiter.queuedBytes() == 64 * mebibyte);
    BOOST_TEST(limiter.queued() == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
