#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <poplardeal/emulator/idle_play.h>

using namespace poplardeal;
using namespace poplardeal::emulator;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

idle_job makeJob(duration at, std::uint32_t priority, std::uint32_t count, std::int64_t accelerator, duration runTime)
{
    idle_job out;
    out.at = at;
    out.priority = priority;
    out.step.count = count;
    out.step.need = { millicores(1000), mebibytes(1000), accelerators(accelerator) };
    out.step.estimate = runTime;
    out.runTime = runTime;
    return out;
}

idle_job makeGang(duration at, std::uint32_t priority, std::uint32_t count, std::int64_t accelerator, duration runTime)
{
    auto out = makeJob(at, priority, count, accelerator, runTime);
    out.step.gang = true;
    return out;
}

idle_job makeLongRunning(duration at, std::uint32_t priority, duration declared)
{
    auto out = makeJob(at, priority, 1, 1, seconds(3600));
    out.step.longRunning = true;
    out.step.estimate = declared;
    return out;
}

void addSmallJobs(idle_scenario& out, std::size_t count, duration at, duration gap, duration runTime)
{
    for (std::size_t i = 0; i < count; ++i)
        out.jobs.push_back(makeJob(at + static_cast<duration::rep>(i) * gap, 2, 1, 1, runTime));
}

/// Review case 8.
idle_scenario hopelessGangs(std::size_t gangs, duration declared, duration otherRunTime)
{
    idle_scenario out;
    for (std::size_t i = 0; i < gangs; ++i)
        out.jobs.push_back(makeLongRunning(seconds(1), 2, declared));
    for (std::size_t i = 0; i < gangs; ++i)
        out.jobs.push_back(makeGang(seconds(6), 1, 4, 8, seconds(5)));
    addSmallJobs(out, 20, seconds(7), milliseconds(10), otherRunTime);
    return out;
}

/// The relative of review case 8.
idle_scenario gangBesideBusyWorker()
{
    idle_scenario out;
    out.workers = 8;
    out.jobs = { makeLongRunning(seconds(1), 2, seconds(3600)), makeJob(seconds(2), 1, 1, 8, seconds(100)),
        makeGang(seconds(4), 1, 7, 8, seconds(5)) };
    out.losses = { { seconds(6), 0 } };
    return out;
}

/// Review case 9, with small jobs before so that all workers have been used.
idle_scenario failingLongRunning(std::size_t tasks, duration failsAfter)
{
    idle_scenario out;
    out.workers = 10;
    addSmallJobs(out, 20, milliseconds(500), milliseconds(10), milliseconds(300));
    for (std::size_t i = 0; i < tasks; ++i) {
        out.jobs.push_back(makeLongRunning(seconds(4), 2, seconds(60)));
        out.jobs.back().runTime = failsAfter;
        out.jobs.back().fails = true;
    }
    out.jobs.push_back(makeGang(seconds(16), 1, 5, 5, milliseconds(1500)));
    return out;
}

/// A form of review case 9: a job that can never be done each second.
idle_scenario hopelessJobs()
{
    idle_scenario out;
    out.workers = 10;
    for (int second = 1; second < 30; ++second) {
        out.jobs.push_back(makeJob(seconds(second), 2, 1, 1, milliseconds(300)));
        out.jobs.back().fails = true;
    }
    out.jobs.push_back(makeGang(seconds(16), 1, 8, 5, milliseconds(1500)));
    return out;
}

struct idle_row {
    const char* name;
    idle_scenario scenario;
};
std::ostream& operator<<(std::ostream& out, const idle_row& row) { return out << row.name; }

const idle_row idleRows[] = {
    { "hopeless gang", hopelessGangs(1, duration::zero(), seconds(1)) },
    { "hopeless gang, declared time of a minute", hopelessGangs(1, seconds(60), seconds(90)) },
    { "two hopeless gangs", hopelessGangs(2, duration::zero(), seconds(1)) },
    { "gang waits for a busy worker", gangBesideBusyWorker() },
    { "long-running task that fails", failingLongRunning(1, milliseconds(300)) },
    { "three long-running tasks that fail", failingLongRunning(3, milliseconds(700)) },
    { "hopeless job each second", hopelessJobs() },
};

planner_options makeOptions()
{
    planner_options out;
    out.usesExpectedTimes = true;
    out.weighsPreemptions = true;
    out.order.order = work_order::value;
    return out;
}

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::uint64_t drawnSchedules = 40; // A play takes up to fifteen times as long.
#else
constexpr std::uint64_t drawnSchedules = 2000;
#endif

void checkPlay(const idle_scenario& scenario, const std::string& name)
{
    const auto result = playIdle(scenario, makeOptions());
    const std::string first = result.violations.empty() ? "" : result.violations.front();
    BOOST_TEST(first == "", name << ": " << first);
}

} // namespace

// Review cases 8 and 9. Guards against a task that waits for more than 3 s while there is capacity for it twice over.
BOOST_DATA_TEST_CASE(no_task_waits_beside_ample_room, idleRows, row) { checkPlay(row.scenario, row.name); }

// Review case 9: a task that fails at once had each of its workers kept from all others. Guards against a gang of a
// higher rank that isn't started at once beside it.
BOOST_AUTO_TEST_CASE(a_failing_task_does_not_hold_up_a_gang)
{
    auto scenario = failingLongRunning(1, milliseconds(300));
    scenario.length = milliseconds(16500);
    BOOST_TEST(playIdle(scenario, makeOptions()).startsByJob.back() == 5U);
}

// Guards against a long-running task that is started several times a second while it fails at once.
BOOST_AUTO_TEST_CASE(a_task_that_fails_at_once_is_restarted_after_a_pause)
{
    auto scenario = failingLongRunning(1, milliseconds(300));
    scenario.jobs.pop_back();
    scenario.length = seconds(24);
    const auto starts = playIdle(scenario, makeOptions()).startsByJob.back();
    BOOST_TEST(starts >= 7U); // Within 3 s of each end.
    BOOST_TEST(starts <= 17U);
}

// Guards against a failing worker that takes the blame off itself by failing many jobs: the attempts of jobs that can
// be done must not be used up there.
BOOST_AUTO_TEST_CASE(a_worker_that_fails_everything_uses_up_no_job)
{
    idle_scenario scenario;
    scenario.workers = 5;
    scenario.badWorkers = { 2 };
    for (int i = 0; i < 60; ++i)
        scenario.jobs.push_back(makeJob(milliseconds(500 + 250 * i), 2, 1, 4, milliseconds(900)));
    const auto result = playIdle(scenario, makeOptions());
    BOOST_TEST(result.violations.empty());
    for (const auto starts : result.startsByJob)
        BOOST_TEST(starts <= 2U);
}

// Each seed is a schedule of gangs, long-running tasks, tasks that fail or overrun, hopeless jobs and lost workers.
// Guards against a task that waits beside ample room for a reason that no row above has.
BOOST_AUTO_TEST_CASE(no_task_waits_beside_ample_room_in_drawn_schedules)
{
    for (std::uint64_t seed = 1; seed <= drawnSchedules; ++seed)
        checkPlay(drawIdleScenario(seed), "seed " + std::to_string(seed));
}
