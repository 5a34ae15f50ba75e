#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <poplardeal/control/worker_sessions.h>

using namespace poplardeal;
using namespace std::chrono_literals;

namespace {

const worker_id worker("w1");
const incarnation first(1);
const instant start = instantFromMicros(1'000'000);

struct silence_row {
    duration silence;
    int suspected;
    int lost;
};
std::ostream& operator<<(std::ostream& out, const silence_row& row) { return out << row.silence.count() << " us"; }

const silence_row silenceRows[] = {
    { 0s, 0, 0 },
    { 7999ms, 0, 0 },
    { 8s, 1, 0 },
    { 19999ms, 1, 0 },
    { 20s, 0, 1 },
};

template <class Event> int countOf(const std::vector<placement_event>& events)
{
    int count = 0;
    for (const auto& event : events)
        count += std::holds_alternative<Event>(event);
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(worker_sessions_suite)

// Guards against a worker that counts as lost while its sidecar may still run tasks under the lease.
BOOST_DATA_TEST_CASE(silence_decides_the_state, silenceRows, row)
{
    worker_sessions sessions;
    sessions.open(worker, first, start);
    const auto due = sessions.collectDue(start + row.silence);
    BOOST_TEST(countOf<worker_suspected>(due) == row.suspected);
    BOOST_TEST(countOf<worker_lost>(due) == row.lost);
    BOOST_TEST(sessions.collectDue(start + row.silence).empty());
}

// Guards against a lost worker that goes on under its old session after its tasks were given away.
BOOST_AUTO_TEST_CASE(lost_session_cannot_be_renewed)
{
    worker_sessions sessions;
    sessions.open(worker, first, start);
    sessions.collectDue(start + 20s);
    BOOST_TEST(!sessions.renew(worker, first, start + 21s));
    BOOST_TEST(!sessions.renew(worker, incarnation(2), start + 21s));
}

// Guards against a new leader that declares workers lost whose lease an earlier leader has just renewed.
BOOST_AUTO_TEST_CASE(takeover_gives_a_whole_lease)
{
    worker_sessions sessions;
    sessions.open(worker, first, start);
    sessions.takeOver({ { worker, first } }, start + 19s);
    BOOST_TEST(sessions.collectDue(start + 20s).empty());
    BOOST_TEST(countOf<worker_lost>(sessions.collectDue(start + 39s)) == 1);
}

BOOST_AUTO_TEST_CASE(renewal_after_suspicion_recovers)
{
    worker_sessions sessions;
    sessions.open(worker, first, start);
    sessions.collectDue(start + 8s);
    BOOST_TEST(sessions.renew(worker, first, start + 9s));
    BOOST_TEST(countOf<worker_recovered>(sessions.collectDue(start + 9s)) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
