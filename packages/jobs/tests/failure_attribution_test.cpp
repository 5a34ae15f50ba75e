#include "job_fixture.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <poplardeal/jobs/failure_attribution.h>

using namespace poplardeal;
using namespace poplardeal::test;

namespace {

/// A run that ends on a worker, in order of time.
struct run_end {
    std::string task; ///< Empty: a run of any task that ends `done`.
    std::size_t worker;
};

struct attribution_row {
    const char* name;
    std::vector<run_end> ends; ///< 100 ms apart.
    std::vector<std::size_t> avoided; ///< Of ten workers, after the last end.
};
std::ostream& operator<<(std::ostream& out, const attribution_row& row) { return out << row.name; }

std::vector<run_end> failuresOnEach(std::size_t tasks, std::size_t workers)
{
    std::vector<run_end> out;
    for (std::size_t w = 0; w < workers; ++w) {
        for (std::size_t t = 0; t < tasks; ++t)
            out.push_back({ "t" + std::to_string(t), w });
    }
    return out;
}

const attribution_row attributionRows[] = {
    { "first failure", { { "a", 0 } }, { 0 } },
    { "success after it", { { "a", 0 }, { "", 0 } }, { 0 } },
    { "task that fails on two workers", { { "a", 0 }, { "a", 1 } }, {} },
    { "task that fails on all workers", failuresOnEach(1, 10), {} },
    { "three tasks that fail on all workers", failuresOnEach(3, 10), {} },
    { "worker on which several tasks fail", { { "a", 0 }, { "b", 0 }, { "c", 0 } }, { 0 } },
    { "the same beside a task that fails everywhere",
        { { "bad", 1 }, { "bad", 2 }, { "bad", 3 }, { "bad", 0 }, { "a", 0 }, { "b", 0 }, { "bad", 4 } }, { 0 } },
    { "two workers that fail the same tasks", { { "a", 0 }, { "a", 1 }, { "b", 1 }, { "b", 0 } }, { 0, 1 } },
    { "tasks of one failure each, on as many workers", { { "a", 0 }, { "b", 1 }, { "c", 2 }, { "d", 3 }, { "e", 4 } },
        { 2, 3, 4 } },
};

std::vector<worker_boot> tenWorkers()
{
    std::vector<worker_boot> out;
    for (int i = 0; i < 10; ++i)
        out.push_back(boot("w" + std::to_string(i)));
    return out;
}

} // namespace

// Review case 9. Guards against workers that are blamed for a task that fails everywhere, and against a failing worker
// that isn't blamed because of one.
BOOST_DATA_TEST_CASE(failures_are_attributed_to_workers_or_tasks, attributionRows, row)
{
    const auto workers = tenWorkers();
    failure_attribution failures;
    auto now = at(50000);
    for (const auto& end : row.ends) {
        now += std::chrono::milliseconds(100);
        if (end.task.empty())
            failures.didComplete(workers[end.worker]);
        else
            failures.didFail({ submission_id(end.task), 0, 0, 0 }, workers[end.worker], now);
    }
    std::set<worker_boot> expected;
    for (const auto worker : row.avoided)
        expected.insert(workers[worker]);
    std::set<worker_boot> avoided;
    for (const auto& [worker, until] : failures.avoidedWorkers(workers, now))
        avoided.insert(worker);
    BOOST_TEST((avoided == expected));
}

// Guards against failures that are remembered for ever, and against a blamed worker that isn't tried again.
BOOST_AUTO_TEST_CASE(blame_ends_without_further_failures)
{
    const auto workers = tenWorkers();
    failure_attribution failures;
    auto now = at(50000);
    for (const auto* task : { "a", "b", "c", "d" })
        failures.didFail({ submission_id(task), 0, 0, 0 }, workers[0], now);
    BOOST_TEST(failures.avoidedWorkers(workers, now).size() == 1U);
    now += std::chrono::seconds(9);
    BOOST_TEST(failures.avoidedWorkers(workers, now).empty());
    failures.didComplete(workers[0]);
    failures.didFail({ submission_id("e"), 0, 0, 0 }, workers[0], now);
    BOOST_TEST(failures.blameOf(workers[0], now) == 1);
    now += std::chrono::seconds(21);
    BOOST_TEST(failures.blameOf(workers[0], now) == 0);
}
