#include "job_fixture.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <poplardeal/jobs/failure_attribution.h>

using namespace poplardeal;
using namespace poplardeal::test;

namespace {

/// A run that ends on a worker, in order of time.
struct run_end {
    std::string job;
    std::size_t worker;
    bool isDone;
};

struct attribution_row {
    const char* name;
    std::vector<run_end> ends; ///< 300 ms apart.
    std::vector<std::size_t> avoided; ///< Of ten workers, after the last end.
};
std::ostream& operator<<(std::ostream& out, const attribution_row& row) { return out << row.name; }

std::vector<run_end> failuresOnEach(std::size_t jobs, std::size_t workers)
{
    std::vector<run_end> out;
    for (std::size_t w = 0; w < workers; ++w) {
        for (std::size_t j = 0; j < jobs; ++j)
            out.push_back({ "j" + std::to_string(j), w, false });
    }
    return out;
}

const attribution_row attributionRows[] = {
    { "first failure", { { "a", 0, false } }, { 0 } },
    { "success after it", { { "a", 0, false }, { "b", 0, true } }, {} },
    { "job that fails on two workers", { { "a", 0, false }, { "a", 1, false } }, {} },
    { "job that fails on all workers", failuresOnEach(1, 10), {} },
    { "three jobs that fail on all workers", failuresOnEach(3, 10), {} },
    { "worker on which several jobs fail that are done elsewhere",
        { { "a", 0, false }, { "a", 1, true }, { "b", 0, false }, { "b", 2, true } }, { 0 } },
    { "the same beside a job that fails everywhere",
        { { "bad", 1, false }, { "bad", 2, false }, { "bad", 3, false }, { "a", 0, false }, { "a", 1, true },
            { "b", 0, false }, { "b", 2, true }, { "bad", 4, false } },
        { 0 } },
    { "two workers that fail the same jobs, which are done elsewhere",
        { { "a", 0, false }, { "a", 1, false }, { "a", 2, true }, { "b", 1, false }, { "b", 0, false },
            { "b", 3, true } },
        { 0, 1 } },
    { "jobs of one failure each, on as many workers",
        { { "a", 0, false }, { "b", 1, false }, { "c", 2, false }, { "d", 3, false }, { "e", 4, false } },
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

// Review case 9. Guards against workers that are blamed for a job that fails everywhere, and against a failing worker
// that isn't blamed because of one.
BOOST_DATA_TEST_CASE(failures_are_attributed_to_workers_or_jobs, attributionRows, row)
{
    const auto workers = tenWorkers();
    failure_attribution failures;
    auto now = at(50000);
    for (const auto& end : row.ends) {
        now += std::chrono::milliseconds(300);
        if (end.isDone)
            failures.didComplete(submission_id(end.job), workers[end.worker], now);
        else
            failures.didFail(submission_id(end.job), workers[end.worker], now);
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
    for (const auto* job : { "a", "b", "c", "d" })
        failures.didFail(submission_id(job), workers[0], now);
    BOOST_TEST(failures.avoidedWorkers(workers, now).size() == 1U);
    now += std::chrono::seconds(9);
    BOOST_TEST(failures.avoidedWorkers(workers, now).empty());
    now += std::chrono::seconds(20);
    failures.didFail(submission_id("e"), workers[1], now);
    BOOST_TEST(failures.blameOf(workers[0], now) == 0);
    BOOST_TEST(failures.blameOf(workers[1], now) == 1);
}
