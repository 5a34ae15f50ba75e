#include "report_queue.h"

#include <boost/test/unit_test.hpp>

using namespace poplardeal;
using namespace poplardeal::detail;
using namespace std::chrono_literals;

namespace {

const leased_task task { task_id { job_id(1), 0, 1 }, lease_id(7) };
const instant start = instantFromMicros(1'000'000);

} // namespace

BOOST_AUTO_TEST_SUITE(report_queue_suite)

// Guards against a task whose end control never learns of because one report was lost.
BOOST_AUTO_TEST_CASE(report_is_repeated_until_acknowledged)
{
    report_queue queue("w1", incarnation(3));
    queue.add(task, message::report_kind::finished, "");
    const auto first = queue.takeDue(start);
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_TEST(queue.takeDue(start + 1s).empty());
    const auto again = queue.takeDue(start + 2s);
    BOOST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again[0].correlation == first[0].correlation);
    BOOST_TEST((queue.acknowledge(first[0].correlation) == task));
    BOOST_TEST(queue.empty());
    BOOST_TEST(!queue.acknowledge(first[0].correlation).has_value());
}

// Guards against reports that wait for the repeat interval although a new leader knows nothing of them.
BOOST_AUTO_TEST_CASE(new_session_gets_everything_at_once)
{
    report_queue queue("w1", incarnation(3));
    queue.add(task, message::report_kind::started, "");
    queue.takeDue(start);
    queue.resendAll();
    BOOST_TEST(queue.takeDue(start).size() == 1U);
}

// Guards against a burst that fills the connection's queue.
BOOST_AUTO_TEST_CASE(rounds_are_bounded)
{
    report_queue queue("w1", incarnation(3));
    for (std::size_t i = 0; i < report_queue::maxPerRound + 1; ++i)
        queue.add(task, message::report_kind::started, "");
    BOOST_TEST(queue.takeDue(start).size() == report_queue::maxPerRound);
    BOOST_TEST(queue.takeDue(start).size() == 1U);
}

BOOST_AUTO_TEST_CASE(task_names_survive_text)
{
    const auto parsed = parseWorkerTaskName(toWorkerTaskName(task));
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST((parsed.value() == task));
    for (const auto* name : { "", "1.0.1", "1.0.1.7.9", "1.0.x.7", "-1.0.1.7", "1..1.7" })
        BOOST_TEST(parseWorkerTaskName(name).has_error(), name);
}

BOOST_AUTO_TEST_SUITE_END()
