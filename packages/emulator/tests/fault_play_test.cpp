#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <poplardeal/emulator/fault_play.h>

using namespace poplardeal::emulator;

namespace {

struct kept_row {
    const char* cause;
    std::uint64_t seed;
};
std::ostream& operator<<(std::ostream& out, const kept_row& row) { return out << row.cause << ' ' << row.seed; }

// Seeds on which faults were found that have been mended since.
const kept_row keptRows[] = {
    { "ends of a later boot acknowledged by a poll for the earlier one", 100 },
    { "repeated start carried out by a later boot", 408 },
    { "run given up by one boot while the next one runs it", 1721 },
    { "start ordered while its release is being recorded", 3350 },
    { "refused start begun by an order that was overtaken", 7958 },
    { "run that has ended refused as if it had never begun", 16948 },
    { "lease of a former leader longer than thought after a report that was held up", 78406 },
};

// Seeds of plays with one worker: stops that never got past the fence of a new leader.
const std::uint64_t oneWorkerSeeds[] = { 463, 828, 1234 };

struct range_row {
    const char* name;
    fault_scenario scenario;
    std::uint64_t firstSeed;
};
std::ostream& operator<<(std::ostream& out, const range_row& row) { return out << row.name; }

fault_scenario makeScenario(std::size_t workers, std::size_t jobs, std::size_t faults)
{
    fault_scenario out;
    out.workers = workers;
    out.jobs = jobs;
    out.faults = faults;
    return out;
}

fault_scenario makeCutListScenario()
{
    auto out = makeScenario(2, 10, 10);
    out.slotsPerWorker = 6;
    out.listedEnds = 2;
    return out;
}

fault_scenario makeLateDepartureScenario()
{
    auto out = makeScenario(3, 8, 10);
    out.hasLateDepartures = true;
    return out;
}

fault_scenario makeSilentWorkerScenario()
{
    auto out = makeLateDepartureScenario();
    out.hasSilentWorkers = true;
    return out;
}

const range_row rangeRows[] = {
    { "one fault", makeScenario(3, 8, 1), 1 },
    { "some faults", makeScenario(3, 8, 6), 1 },
    { "many faults", makeScenario(3, 8, 15), 1 },
    { "one worker", makeScenario(1, 5, 5), 1 },
    { "more workers", makeScenario(8, 16, 10), 1 },
    { "lists of ends that are cut", makeCutListScenario(), 1 },
    { "late word that a worker ends", makeLateDepartureScenario(), 1 },
    { "late word that a worker ends, and workers that are silent", makeSilentWorkerScenario(), 1 },
};

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::uint64_t playsPerRange = 40; // A play takes up to fifteen times as long.
#else
constexpr std::uint64_t playsPerRange = 2000;
#endif

void checkPlay(const fault_scenario& scenario, std::uint64_t seed)
{
    const auto result = playFaults(scenario, seed);
    const std::string first = result.violations.empty() ? "" : result.violations.front();
    BOOST_TEST(first == "", "seed " << seed << ": " << first);
    BOOST_TEST(result.starts > 0U, "seed " << seed << ": nothing was started");
}

} // namespace

// Each seed is a schedule of jobs, losses, delays, pauses, restarts, crashes and changes of the leader. Guards against
// a task that runs twice at a time or again after its end was recorded, a failure that no worker saw, and a lost job.
BOOST_DATA_TEST_CASE(promises_hold_on_seeds_that_once_failed, keptRows, row) { checkPlay({}, row.seed); }

BOOST_DATA_TEST_CASE(jobs_end_on_a_cluster_of_one_worker, oneWorkerSeeds, seed)
{
    checkPlay(makeScenario(1, 5, 5), seed);
}

BOOST_DATA_TEST_CASE(promises_hold_under_random_faults, rangeRows, row)
{
    for (auto seed = row.firstSeed; seed < row.firstSeed + playsPerRange; ++seed)
        checkPlay(row.scenario, seed);
}
