#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <poplardeal/deployment/breaks.h>

using namespace poplardeal;
using namespace std::chrono_literals;

namespace {

struct break_row {
    std::vector<change_window> breaks;
    duration timeOfDay;
    bool isBreak;
};
std::ostream& operator<<(std::ostream& out, const break_row& row) { return out << row.timeOfDay.count() << " us"; }

const change_window morning { 330min, 30min };
const change_window overMidnight { 1425min, 30min };

const break_row breakRows[] = {
    { {}, 12h, true },
    { { morning }, 330min, true },
    { { morning }, 330min - 1us, false },
    { { morning }, 360min - 1us, true },
    { { morning }, 360min, false },
    { { overMidnight }, 1425min - 1us, false },
    { { overMidnight }, 1425min, true },
    { { overMidnight }, 0min, true },
    { { overMidnight }, 15min - 1us, true },
    { { overMidnight }, 15min, false },
    { { morning, overMidnight }, 5min, true },
    { { morning, overMidnight }, 12h, false },
    { { { 0min, 1440min } }, 24h - 1us, true },
    { { { 720min, 1440min } }, 0min, true },
};

} // namespace

BOOST_AUTO_TEST_SUITE(breaks)

// Guards against changes in a shift, and against refusals at the edges of a break or after midnight.
BOOST_DATA_TEST_CASE(windows_hold_on_every_day, breakRows, row)
{
    deployment plan;
    plan.breaks = row.breaks;
    for (const auto day : { 0, 1, 20'000 })
        BOOST_TEST(isInBreak(plan, instantFromMicros(0) + std::chrono::days(day) + row.timeOfDay) == row.isBreak);
}

BOOST_AUTO_TEST_SUITE_END()
