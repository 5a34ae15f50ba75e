#include "job_fixture.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace poplardeal;
using namespace poplardeal::test;

namespace {

constexpr int workerCount = 8;

worker_boot worker(int number) { return boot("w" + std::to_string(number)); }

/// Bulk steps of two tasks a worker, beside scans that run on one half of the workers and then on the other.
struct learning_fixture : table_fixture {
    int rounds { 0 };

    void playRound(double slowdown)
    {
        const auto number = std::to_string(rounds);
        const int firstScan = rounds++ % 2 * workerCount / 2;
        submit("scan" + number, "normal", { step(workerCount / 2, need(1)) });
        submit("bulk" + number, "bulk", { step(2 * workerCount, need(1)) });
        for (int i = 0; i < workerCount / 2; ++i)
            start(task("scan" + number, 0, static_cast<std::uint32_t>(i)), 1, worker(firstScan + i));
        for (int i = 0; i < 2 * workerCount; ++i)
            start(task("bulk" + number, 0, static_cast<std::uint32_t>(i)), 1, worker(i % workerCount));
        const auto begun = ms;
        const auto endBulk = [&](bool isBesideScan) {
            ms = begun + static_cast<std::int64_t>(5000 * (isBesideScan ? slowdown : 1));
            for (int i = 0; i < 2 * workerCount; ++i) {
                const int on = i % workerCount;
                if ((on >= firstScan && on < firstScan + workerCount / 2) == isBesideScan)
                    end(worker(on), task("bulk" + number, 0, static_cast<std::uint32_t>(i)), 1, end_kind::done);
            }
        };
        endBulk(false);
        endBulk(true);
        ms = begun + 20000;
        for (int i = 0; i < workerCount / 2; ++i)
            end(worker(firstScan + i), task("scan" + number, 0, static_cast<std::uint32_t>(i)), 1, end_kind::done);
    }
};

struct choice_row {
    const char* name;
    double slowdown; ///< Of bulk tasks beside scans.
    bool separates;
    bool hasRoomElsewhere;
    bool isBesideScan; ///< Where the bulk task goes.
};
std::ostream& operator<<(std::ostream& out, const choice_row& row) { return out << row.name; }

const choice_row choiceRows[] = {
    { "kept apart", 1.5, true, true, false },
    { "off: the tightest fit", 1.5, false, true, true },
    { "no interference: the tightest fit", 1, true, true, true },
    { "the only worker with room", 1.5, true, false, true },
};

} // namespace

// Load: bulk tasks beside scans that slow them down. Guards against tasks that are put together although there is room
// elsewhere, against workers that are held empty, and against a new leader that has to learn the pair again.
BOOST_DATA_TEST_CASE(
    tasks_that_interfere_are_kept_apart_where_there_is_room, boost::unit_test::data::make(choiceRows), row)
{
    learning_fixture f;
    for (int i = 0; i < 12; ++i)
        f.playRound(row.slowdown);
    f.submit("scan", "normal", { step(2, need(1)) });
    f.submit("bulk", "bulk", { step(2, need(1)) });
    f.start(task("scan", 0, 0), 1, worker(0));
    job_table next;
    BOOST_REQUIRE(next.restore(f.table.save()).has_value());
    std::map<worker_id, worker_view> workers { { worker_id("w0"), workerView("w0", "r") },
        { worker_id("w1"), workerView("w1", "r") } };
    workers.at(worker_id("w1")).isDraining = !row.hasRoomElsewhere;
    planner_options options;
    options.separatesInterfering = row.separates;
    const auto decisions = planJobs(options, { next, workers, {}, {}, at(50000), at(f.ms), {} });
    for (const auto& command : decisions.starts) {
        for (const auto& start : command.starts) {
            if (start.task.job == submission_id("bulk"))
                BOOST_TEST((start.worker == worker(0)) == row.isBesideScan);
        }
    }
    BOOST_TEST(decisions.starts.size() == 3U);
}
