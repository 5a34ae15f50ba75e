#include "job_fixture.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <poplardeal/jobs/interference_table.h>
#include <random>

using namespace poplardeal;
using namespace poplardeal::test;

namespace {

const task_kind bulk("bulk/0");
const task_kind cause("scan/0");

/// Steps of 24 bulk tasks on 12 workers of uneven speed; a task of another kind runs on every second worker.
struct load_row {
    const char* name;
    double slowdown; ///< Of bulk tasks beside the other kind.
    double slowWorkers; ///< Factor on the run time on the workers that have the other kind; their speed is known.
    double oddRun; ///< Factor on one run beside the other kind in the first step.
    bool isKnown; ///< After ten steps.
};
std::ostream& operator<<(std::ostream& out, const load_row& row) { return out << row.name; }

const load_row loadRows[] = {
    { "pairs that interfere", 1.5, 1, 1, true },
    { "pairs that do not", 1, 1, 1, false },
    { "a slow worker looks like it", 1, 2.4, 1, false },
    { "slow workers and interference", 1.5, 2.4, 1, true },
    { "one odd run", 1, 1, 20, false },
};

struct interference_play {
    interference_table table;
    std::mt19937_64 random;
    std::int64_t ms { initialWallMs };
    std::uint32_t steps { 0 };
    std::map<worker_boot, double> slowness;

    explicit interference_play(std::uint64_t seed)
        : random(seed)
    {
    }

    void step(const load_row& row)
    {
        constexpr std::uint32_t workers = 12;
        constexpr std::uint32_t tasks = 24;
        std::normal_distribution<double> uneven(0, 0.3);
        const step_key key { submission_id("j" + std::to_string(steps++)), 0, 0 };
        for (std::uint32_t w = 0; w < workers; w += 2)
            table.didBegin(boot("w" + std::to_string(w)), cause, at(ms));
        for (std::uint32_t i = 0; i < tasks; ++i) {
            const auto worker = boot("w" + std::to_string(i % workers));
            const bool isBeside = i % 2 == 0;
            const double speed = isBeside ? row.slowWorkers : 1;
            double time = 5000 * std::exp(uneven(random)) * speed * (isBeside ? row.slowdown : 1);
            if (i == 0 && steps == 1)
                time *= row.oddRun;
            table.didBegin(worker, bulk, at(ms));
            table.didComplete(key, worker, bulk, at(ms), at(ms + static_cast<std::int64_t>(time)));
            slowness[worker] = speed;
            table.didEnd(worker, bulk, at(ms + static_cast<std::int64_t>(time)));
        }
        table.didCompleteStep(key, bulk, slowness);
        for (std::uint32_t w = 0; w < workers; w += 2)
            table.didEnd(boot("w" + std::to_string(w)), cause, at(ms));
        ms += 60000;
    }
};

} // namespace

// Load: bulk steps spread over workers of which half run another kind. Guards against verdicts from slow workers and
// odd runs, and against interference that is not noticed within ten steps.
BOOST_DATA_TEST_CASE(pairs_are_known_after_ten_steps, loadRows, row)
{
    interference_play play(20261206);
    for (int i = 0; i < 10; ++i)
        play.step(row);
    BOOST_TEST((play.table.slowdown(bulk, cause) > 1) == row.isKnown);
    BOOST_TEST(play.table.slowdown(cause, bulk) == 1);
}

// Guards against false pairs: 100 seeds of 40 steps without any interference.
BOOST_AUTO_TEST_CASE(independent_kinds_are_not_taken_for_a_pair)
{
    std::size_t falsePairs = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        interference_play play(seed);
        for (int i = 0; i < 40; ++i)
            play.step(loadRows[1]);
        falsePairs += play.table.estimates().size();
    }
    BOOST_TEST(falsePairs == 0U);
}

// Guards against a verdict that stays when the kinds have changed, and against one that a new leader lacks.
BOOST_AUTO_TEST_CASE(a_pair_that_no_longer_interferes_is_forgotten)
{
    interference_play play(7);
    for (int i = 0; i < 10; ++i)
        play.step(loadRows[0]);
    BOOST_REQUIRE(play.table.hasEstimates());
    interference_table next;
    next.restore(play.table.records());
    BOOST_TEST(next.slowdown(bulk, cause) == play.table.slowdown(bulk, cause));
    for (int i = 0; i < 20; ++i)
        play.step(loadRows[1]);
    BOOST_TEST(!play.table.hasEstimates());
}

// Guards against memory that grows with the time that a process runs.
BOOST_AUTO_TEST_CASE(the_table_is_bounded)
{
    interference_table table;
    for (std::uint32_t i = 0; i < 3 * interference_table::maxSteps; ++i) {
        const task_kind kind("k" + std::to_string(i));
        const step_key step { submission_id("j" + std::to_string(i)), 0, 0 };
        table.didBegin(boot("w"), kind, at(initialWallMs));
        table.didComplete(step, boot("w"), kind, at(initialWallMs), at(initialWallMs + 1000));
        table.didComplete(step, boot("w"), bulk, at(initialWallMs), at(initialWallMs + 1000));
    }
    BOOST_TEST(table.records().kinds.size() == interference_table::maxKinds);
    BOOST_TEST(table.records().steps.size() <= interference_table::maxSteps);
    BOOST_TEST(table.records().presence.size() == 1U);
    table.didEndJob(submission_id("j0"));
    BOOST_TEST(!table.records().steps.contains({ submission_id("j0"), 0, 0 }));
}
