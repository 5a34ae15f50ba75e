#include "job_fixture.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace poplardeal;
using namespace poplardeal::test;

namespace {

/// Workers w0, w1, ... on one rack, of the given slowness.
struct speeds_fixture : table_fixture {
    std::map<worker_id, worker_view> workers;
    instant now { at(50000) };
    planner_options options;

    explicit speeds_fixture(const std::vector<double>& slowness)
    {
        options.usesExpectedTimes = true;
        for (std::size_t i = 0; i < slowness.size(); ++i) {
            auto worker = workerView("w" + std::to_string(i), "r1");
            worker.speed = { slowness[i], 0.9 };
            workers[worker.boot.worker] = worker;
        }
    }

    job_decisions decide() const { return planJobs(options, { table, workers, {}, {}, now, at(ms), {} }); }

    /// Ids of the workers of all starts, in order.
    std::string usedWorkers() const
    {
        std::set<worker_id> used;
        for (const auto& command : decide().starts) {
            for (const auto& start : command.starts)
                used.insert(start.worker.worker);
        }
        std::string out;
        for (const auto& id : used)
            out += (out.empty() ? "" : " ") + id.value();
        return out;
    }

    /// Occupies a worker with a task of 10 s that has `left` to run.
    void occupy(const std::string& worker, const std::string& job, const std::string& queueName, std::int64_t leftMs)
    {
        submit(job, queueName, { step(1, need(8), 10000) });
        start(task(job), 1, boot(worker));
        const double percent = 100 - static_cast<double>(leftMs) / 100;
        workers.at(worker_id(worker)).running[task(job)]
            = { run_number(1), {}, percent, 0, now - std::chrono::milliseconds(10000 - leftMs), now, now };
    }
};

step_spec gangStep(std::uint32_t count, std::int64_t estimateMs = 5000)
{
    auto out = step(count, need(8), estimateMs);
    out.gang = count > 1;
    return out;
}

struct set_row {
    const char* name;
    std::vector<double> slowness;
    const char* queue;
    std::uint32_t members;
    const char* used;
};
std::ostream& operator<<(std::ostream& out, const set_row& row) { return out << row.name; }

const std::vector<set_row> setRows {
    { "an urgent gang takes the fastest set", { 1.7, 0.7, 1.0, 0.7 }, "urgent", 2, "w1 w3" },
    { "an urgent gang is not spread over more speeds than needed", { 1.7, 0.7, 1.0, 0.7, 1.0 }, "urgent", 3,
        "w1 w2 w3" },
    { "an urgent task takes the fastest worker", { 1.0, 1.7, 0.7 }, "urgent", 1, "w2" },
    { "a patient gang leaves fast workers", { 0.7, 1.7, 0.7, 1.7 }, "normal", 2, "w1 w3" },
    { "a patient gang is not mixed", { 0.7, 1.7, 0.7, 1.0 }, "normal", 2, "w0 w2" },
    { "a patient gang is mixed if there is no other set", { 0.7, 1.7, 1.0 }, "normal", 2, "w0 w2" },
    { "a patient gang takes no workers on which it would be late", { 0.7, 2.9, 0.7, 2.9 }, "normal", 2, "w0 w2" },
    { "a patient task leaves fast workers", { 0.7, 1.0, 1.7 }, "bulk", 1, "w2" },
    { "a patient task takes no worker on which it would be late", { 0.7, 1.0, 2.9 }, "bulk", 1, "w1" },
};

struct unknown_row {
    const char* queue;
    std::uint32_t count;
    bool isGang;
};
std::ostream& operator<<(std::ostream& out, const unknown_row& row)
{
    return out << row.queue << ' ' << row.count << (row.isGang ? " gang" : " tasks");
}

const unknown_row unknownRows[]
    = { { "urgent", 1, false }, { "urgent", 3, true }, { "normal", 2, true }, { "bulk", 5, false } };

} // namespace

// Guards against gangs that run at the speed of one slow member while another set is free, and against work that can
// wait on the workers that urgent work needs.
BOOST_DATA_TEST_CASE(units_get_the_set_that_suits_their_objective, setRows, row)
{
    speeds_fixture f(row.slowness);
    f.submit("j", row.queue, { gangStep(row.members) });
    BOOST_TEST(f.usedWorkers() == row.used);
}

// Guards against workers that stay unknown: urgent work would be the first to find out.
BOOST_AUTO_TEST_CASE(patient_tasks_measure_unknown_workers)
{
    speeds_fixture f({ 1, 1, 1 });
    f.workers.at(worker_id("w1")).speed = {};
    f.submit("j", "bulk", { step(1, need(1)) });
    BOOST_TEST(f.usedWorkers() == "w1");
}

struct wait_row {
    std::int64_t leftMs; ///< Of the run on the fast worker.
    const char* used;
};
std::ostream& operator<<(std::ostream& out, const wait_row& row) { return out << row.leftMs << " ms left"; }

const wait_row waitRows[] = { { 1000, "" }, { 9000, "w1" } };

// The objective is three times the run time of 3 s. Guards against an urgent unit that starts at once on a worker on
// which it ends late, and against one that waits for a worker that is free too late.
BOOST_DATA_TEST_CASE(an_urgent_unit_waits_for_a_faster_worker_if_it_then_ends_in_time, waitRows, row)
{
    speeds_fixture f({ 0.7, 4 });
    f.occupy("w0", "busy", "urgent", row.leftMs);
    f.submit("u", "urgent", { gangStep(1, 3000) });
    BOOST_TEST(f.usedWorkers() == row.used);
}

// Guards against plans that change where nothing is known of the speeds.
BOOST_DATA_TEST_CASE(unknown_speeds_are_planned_as_before, unknownRows, row)
{
    speeds_fixture f({ 1, 1, 1, 1 });
    for (auto& [id, worker] : f.workers)
        worker.speed = {};
    f.occupy("w2", "busy", "normal", 5000);
    auto spec = step(row.count, need(4));
    spec.gang = row.isGang;
    f.submit("j", row.queue, { spec });
    const auto expected = f.usedWorkers();
    f.options.usesExpectedTimes = false;
    BOOST_TEST(f.usedWorkers() == expected);
}
