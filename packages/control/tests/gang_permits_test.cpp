#include <boost/test/unit_test.hpp>
#include <poplardeal/control/gang_permits.h>

using namespace poplardeal;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(gang_permits_suite)

const instant start = instantFromMicros(1'000'000);
const task_id firstTask { job_id(1), 0, 1 };
const task_id secondTask { job_id(1), 1, 1 };

// Guards against an out order between two questions that starts a part of a gang.
BOOST_AUTO_TEST_CASE(order_within_the_window_does_not_split_the_gang)
{
    gang_permits permits;
    BOOST_TEST(permits.decide(firstTask, true, start));
    BOOST_TEST(permits.decide(secondTask, false, start + 500ms));
}

// Guards against a start later than 3 s after the order: window and permit together end before that.
BOOST_AUTO_TEST_CASE(window_ends)
{
    gang_permits permits;
    BOOST_TEST(permits.decide(firstTask, true, start));
    BOOST_TEST(!permits.decide(secondTask, true, start + gang_permits::window + 1us));
    BOOST_TEST((gang_permits::window + 2s < 3s));
}

BOOST_AUTO_TEST_CASE(refused_gang_gets_no_window_and_other_attempts_are_separate)
{
    gang_permits permits;
    BOOST_TEST(!permits.decide(firstTask, false, start));
    BOOST_TEST(!permits.decide(secondTask, false, start));
    BOOST_TEST(permits.decide({ job_id(1), 0, 2 }, true, start));
    BOOST_TEST(!permits.decide(firstTask, false, start));
}

BOOST_AUTO_TEST_SUITE_END()
