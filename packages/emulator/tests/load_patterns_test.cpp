#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <numeric>
#include <poplardeal/emulator/emulator.h>

using namespace poplardeal;
using namespace poplardeal::emulator;

namespace {

constexpr std::size_t workers = 24;
constexpr double roundingPercent = 1e-6;
constexpr double targetWorth = 0.57; ///< That the users state for days with trouble.

struct pattern_row {
    const char* scenario;
    std::uint64_t seed;
};
std::ostream& operator<<(std::ostream& out, const pattern_row& row) { return out << row.scenario << ' ' << row.seed; }

const pattern_row patternRows[] = {
    { "steady", 1 },
    { "urgent-burst", 1 },
    { "urgent-burst", 2 },
    { "cut-off", 1 },
    { "cut-off", 2 },
    { "short-notice", 1 },
    { "short-notice", 2 },
    { "bulk-burst", 1 },
    { "hard-burst", 1 },
    { "hard-burst", 2 },
};

struct guarantee_row {
    const char* scenario;
    bool weighs;
    std::uint64_t seed;
};
std::ostream& operator<<(std::ostream& out, const guarantee_row& row)
{
    return out << row.scenario << ' ' << row.weighs << ' ' << row.seed;
}

const guarantee_row guaranteeRows[] = {
    { "urgent-burst", false, 1 },
    { "urgent-burst", true, 1 },
    { "bulk-burst", true, 1 },
    { "hard-burst", false, 1 },
    { "hard-burst", true, 1 },
    { "hard-burst", true, 2 },
};

const pattern_row expectedTimesRows[] = {
    { "steady", 1 },
    { "short-notice", 1 },
    { "bulk-burst", 1 },
    { "uneven", 1 },
    { "uneven-long", 1 },
    { "uneven-mild", 1 },
};

scenario find(const std::string& name)
{
    for (auto& each : standardScenarios(workers)) {
        if (each.name == name)
            return each;
    }
    throw std::out_of_range(name);
}

} // namespace

// The heaviest loads that users describe. Guards against choices of the scheduler that serve them below the target, and
// against a task that runs twice at a time when workers are cut off, leave or crash.
BOOST_DATA_TEST_CASE(heavy_loads_are_served_within_the_target, patternRows, row)
{
    const auto load = find(row.scenario);
    const auto result = emulate(load, {}, row.seed);
    BOOST_TEST(result.doubleRuns == 0U);
    BOOST_TEST(result.worth() >= targetWorth);
}

// The same with workers chosen by expected times, and on workers of uneven speed. Guards against the same faults.
BOOST_DATA_TEST_CASE(expected_times_serve_heavy_loads_within_the_target, expectedTimesRows, row)
{
    planner_options options;
    options.usesExpectedTimes = true;
    const auto result = emulate(find(row.scenario), options, row.seed);
    BOOST_TEST(result.doubleRuns == 0U);
    BOOST_TEST(result.worth() >= targetWorth);
}

// Bursts of urgent gangs on a cluster that bulk tasks fill, also while workers leave. Guards against guaranteed jobs
// that begin later than `reclaim_ms` allows, with and without the weighing of preemptions, and against a summary by
// reason that leaves out a part of the wasted work.
BOOST_DATA_TEST_CASE(guaranteed_jobs_begin_in_time, guaranteeRows, row)
{
    planner_options options;
    options.weighsPreemptions = row.weighs;
    const auto result = emulate(find(row.scenario), options, row.seed);
    BOOST_TEST(result.reclaims > 0U);
    BOOST_TEST(result.lateReclaims == 0U);
    BOOST_TEST(result.doubleRuns == 0U);
    BOOST_TEST(result.worth() >= targetWorth);
    const auto& parts = result.wastedByReason;
    BOOST_TEST(std::accumulate(parts.begin(), parts.end(), 0.0) == result.wastedWork,
        boost::test_tools::tolerance(roundingPercent));
}

// Guards against a play that cannot be repeated.
BOOST_AUTO_TEST_CASE(plays_repeat)
{
    const auto load = find("short-notice");
    const auto first = emulate(load, {}, 3);
    const auto second = emulate(load, {}, 3);
    BOOST_TEST(first.worth() == second.worth());
    BOOST_TEST(first.wastedWork == second.wastedWork);
    BOOST_TEST(first.starts == second.starts);
}
