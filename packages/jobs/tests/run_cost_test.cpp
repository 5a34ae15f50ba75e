#include "job_fixture.h"
#include "run_cost.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace poplardeal;
using namespace poplardeal::test;

namespace {

struct cost_row {
    const char* name;
    bool isCheckpointable;
    std::int64_t savedMs; ///< Age of the last checkpoint seen; negative: none was.
    std::uint32_t starts;
    double valueShare;
    double cost; ///< In core-seconds, for 10 cores that have run for 8 s.
};
std::ostream& operator<<(std::ostream& out, const cost_row& row) { return out << row.name; }

// A stop takes 0.2 s, a restore 0.3 s.
const cost_row costRows[] = {
    { "fresh checkpoint", true, 0, 1, 1, 5 },
    { "old checkpoint", true, 2000, 1, 1, 25 },
    { "checkpoint from before the start", true, 20000, 1, 1, 85 },
    { "no checkpoint seen", true, -1, 1, 1, 85 },
    { "not checkpointable", false, 100, 1, 1, 85 },
    { "third try", true, 0, 3, 1, 15 },
    { "late job", true, 2000, 1, 0.2, 5 },
};

constexpr double tolerancePercent = 0.001;

} // namespace

// Urgent gangs choose their victims among bulk tasks with and without checkpoints. Guards against victims that are
// chosen by a constant instead of by what they lose, and against one that is stopped at each of its tries.
BOOST_DATA_TEST_CASE(cost_is_the_work_since_the_last_checkpoint_seen, costRows, row)
{
    run_timing timing;
    timing.stop = std::chrono::milliseconds(200);
    timing.restore = std::chrono::milliseconds(300);
    detail::stopped_run run;
    run.weight = 10;
    run.isCheckpointable = row.isCheckpointable;
    run.startedAt = at(10000);
    if (row.savedMs >= 0)
        run.savedAt = at(18000 - row.savedMs);
    run.starts = row.starts;
    run.valueShare = row.valueShare;
    BOOST_TEST(costOfEnding(timing, run, at(18000)) == row.cost, boost::test_tools::tolerance(tolerancePercent));
}

// A bulk task has run for 5 s on a full cluster when an urgent job arrives, and its worker has not
// listed it. Guards against a missing report that makes a victim look cheap: the cost is then an upper bound.
BOOST_DATA_TEST_CASE(missing_reports_count_as_no_checkpoint, boost::unit_test::data::make({ false, true }), isReported)
{
    table_fixture f;
    std::map<worker_id, worker_view> workers { { worker_id("w"), workerView("w", "r") } };
    auto bulk = step(1, need(8), 60000);
    bulk.checkpointable = true;
    f.submit("bulk", "bulk", { bulk });
    f.start(task("bulk"), 1, boot("w"));
    f.ms += 5000;
    const auto now = at(50000);
    if (isReported)
        workers.at(worker_id("w")).running[task("bulk")]
            = { run_number(1), checkpoint("s"), 8, 0, at(45000), now, now, at(49900) };
    f.submit("now", "urgent", { step(1, need(8), 1000) }, "club");
    const auto decisions = planJobs({}, { f.table, workers, {}, {}, now, at(f.ms), {} });
    BOOST_REQUIRE(decisions.stops.size() == 1U);
    const double cores = 11 + 8 * 8;
    const double lost = isReported ? 0.1 : 5;
    BOOST_TEST(
        decisions.stops[0].discardedWork == cores * (lost + 0.4), boost::test_tools::tolerance(tolerancePercent));
}
