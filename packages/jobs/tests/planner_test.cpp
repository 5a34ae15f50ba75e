#include "job_fixture.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>

using namespace poplardeal;
using namespace poplardeal::test;

namespace {

/// A cluster of `racks` racks of three workers each.
struct cluster_fixture : table_fixture {
    std::map<worker_id, worker_view> workers;
    std::set<run_key> stopping;
    capacity_claims claims;
    held_back_units heldBack;
    instant now { at(50000) };
    planner_options options;

    explicit cluster_fixture(int racks = 1)
    {
        for (int r = 0; r < racks; ++r) {
            for (int i = 0; i < 3; ++i) {
                const auto id = "w" + std::to_string(r) + std::to_string(i);
                workers[worker_id(id)] = workerView(id, "r1-" + std::to_string(r));
            }
        }
    }

    job_decisions decide() const
    {
        return planJobs(options, { table, workers, stopping, claims, now, at(ms), heldBack });
    }

    /// Plans and applies all starts, as if the workers had begun the runs at once.
    job_decisions decideAndApply()
    {
        auto decisions = decide();
        claims = decisions.claims;
        heldBack = decisions.heldBack;
        for (const auto& command : decisions.starts) {
            apply(command);
            for (const auto& start : command.starts)
                workers.at(start.worker.worker).running[start.task] = { start.run, {}, 0, 0, now, now, now };
        }
        return decisions;
    }

    /// Moves both clocks by `by` milliseconds; every run reports 1% more progress.
    void advance(std::int64_t by)
    {
        ms += by;
        now += std::chrono::milliseconds(by);
        for (auto& [id, worker] : workers) {
            for (auto& [key, run] : worker.running) {
                run.percent += 1;
                run.progressedAt = now;
                run.reportedAt = now;
            }
        }
    }
};

std::set<worker_id> usedWorkers(const job_decisions& decisions)
{
    std::set<worker_id> out;
    for (const auto& command : decisions.starts) {
        for (const auto& start : command.starts)
            out.insert(start.worker.worker);
    }
    return out;
}

std::size_t startCount(const job_decisions& decisions)
{
    std::size_t out = 0;
    for (const auto& command : decisions.starts)
        out += command.starts.size();
    return out;
}

step_spec gangStep(std::uint32_t count, std::int64_t accelerator)
{
    auto out = step(count, need(accelerator, 15000));
    out.gang = true;
    return out;
}

struct exclusion_row {
    std::string name;
    std::function<void(cluster_fixture&)> change;
    std::size_t starts;
};
std::ostream& operator<<(std::ostream& out, const exclusion_row& row) { return out << row.name; }

const std::vector<exclusion_row> exclusionRows {
    { "all usable", [](cluster_fixture&) {}, 1 },
    { "draining",
        [](cluster_fixture& f) {
            for (auto& [id, w] : f.workers)
                w.isDraining = true;
        },
        0 },
    { "unreachable",
        [](cluster_fixture& f) {
            for (auto& [id, w] : f.workers)
                w.isReachable = false;
        },
        0 },
    { "silent",
        [](cluster_fixture& f) {
            for (auto& [id, w] : f.workers)
                w.isSilent = true;
        },
        0 },
    { "avoided",
        [](cluster_fixture& f) {
            for (auto& [id, w] : f.workers)
                w.avoidUntil = f.now + std::chrono::seconds(1);
        },
        0 },
    { "other service",
        [](cluster_fixture& f) {
            for (auto& [id, w] : f.workers)
                w.service = service_name("x");
        },
        0 },
    { "data centre out of service",
        [](cluster_fixture& f) {
            f.apply(set_data_centre { data_centre_name("east"), false });
        },
        0 },
};

} // namespace

// Guards against starts on workers that are draining, unreachable, silent, avoided, of another service,
// or in a data centre out of service.
BOOST_DATA_TEST_CASE(ineligible_workers_get_no_starts, boost::unit_test::data::make(exclusionRows), row)
{
    cluster_fixture f;
    f.submit("a", "bulk", { step(1, need(1)) });
    row.change(f);
    BOOST_TEST(startCount(f.decide()) == row.starts);
}

// Guards against small tasks that are spread over all workers, so that no whole worker is left for a large task.
BOOST_AUTO_TEST_CASE(small_tasks_are_packed)
{
    cluster_fixture f;
    for (const auto* id : { "a", "b", "c", "d" })
        f.submit(id, "bulk", { step(2, need(1)) });
    const auto decisions = f.decideAndApply();
    BOOST_TEST(startCount(decisions) == 8U);
    BOOST_TEST(usedWorkers(decisions).size() == 1U);
}

// Guards against a gang that is placed in part.
BOOST_AUTO_TEST_CASE(gang_placement_is_all_or_nothing)
{
    cluster_fixture f;
    f.submit("big", "normal", { gangStep(4, 8) });
    BOOST_TEST(startCount(f.decide()) == 0U);
    f.submit("fits", "normal", { gangStep(3, 8) });
    const auto decisions = f.decideAndApply();
    BOOST_REQUIRE(decisions.starts.size() == 1U);
    BOOST_TEST(decisions.starts[0].starts.size() == 3U);
}

// Guards against a rack-local gang that is spread over racks although it fits on one.
BOOST_AUTO_TEST_CASE(a_rack_local_gang_stays_on_one_rack)
{
    cluster_fixture f(2);
    f.submit("small", "bulk", { step(1, need(1)) });
    f.decideAndApply();
    auto gang = gangStep(3, 8);
    gang.rackLocal = true;
    f.submit("a", "normal", { gang });
    std::set<rack_name> racks;
    for (const auto& id : usedWorkers(f.decideAndApply()))
        racks.insert(f.workers.at(id).rack);
    BOOST_TEST(racks.size() == 1U);
}

// Every worker is full of bulk tasks when a guaranteed urgent job arrives. Guards against a missing or late preemption
// and against more stops than the job needs.
BOOST_AUTO_TEST_CASE(a_guaranteed_job_preempts_bulk_tasks)
{
    cluster_fixture f;
    f.submit("bulk1", "bulk", { step(24, need(1)) });
    f.decideAndApply();
    f.advance(2000);
    f.submit("now", "urgent", { step(1, need(4)) }, "club");
    const auto first = f.decideAndApply();
    BOOST_TEST(startCount(first) == 0U);
    BOOST_TEST(first.stops.size() == 4U);
    std::uint64_t number = 0;
    for (const auto& stop : first.stops) {
        BOOST_TEST((stop.reason == stop_reason::preempted));
        f.stopping.insert(stop.run);
        BOOST_TEST(f.decide().stops.empty());
    }
    for (const auto& stop : first.stops) {
        f.apply(record_ends { stop.worker, { { ++number, stop.run.task, stop.run.run, end_kind::stopped, {} } } });
        f.workers.at(stop.worker.worker).running.erase(stop.run.task);
    }
    const auto second = f.decideAndApply();
    BOOST_REQUIRE(!second.starts.empty());
    BOOST_TEST(second.starts[0].starts[0].task.job == submission_id("now"));
}

// An urgent gang preempts tasks of a full cluster while more bulk tasks wait. Guards against bulk tasks that start on
// the freed capacity before the last victim has ended, and are preempted in turn.
BOOST_AUTO_TEST_CASE(claimed_capacity_is_kept_for_its_unit)
{
    cluster_fixture f;
    f.submit("bulk1", "bulk", { step(30, need(1)) });
    f.decideAndApply();
    f.advance(2000);
    f.submit("now", "urgent", { gangStep(2, 4) }, "club");
    const auto first = f.decideAndApply();
    BOOST_REQUIRE(first.stops.size() == 8U);
    std::uint64_t number = 0;
    for (const auto& stop : first.stops)
        f.stopping.insert(stop.run);
    for (const auto& stop : first.stops) {
        f.apply(record_ends { stop.worker, { { ++number, stop.run.task, stop.run.run, end_kind::stopped, {} } } });
        f.workers.at(stop.worker.worker).running.erase(stop.run.task);
        const auto next = f.decideAndApply();
        BOOST_TEST(next.stops.empty());
        if (number < first.stops.size())
            BOOST_TEST(startCount(next) == 0U);
        else
            BOOST_TEST(next.starts.at(0).starts.at(0).task.job == submission_id("now"));
    }
}

/// Fills the cluster with bulk tasks that are at 98%, and submits a guaranteed job.
static void submitBesideRunsAboutToEnd(cluster_fixture& f)
{
    f.submit("bulk1", "bulk", { step(24, need(1)) });
    f.decideAndApply();
    f.advance(4900);
    for (auto& [id, worker] : f.workers) {
        for (auto& [key, run] : worker.running)
            run.percent = 98;
    }
    f.submit("now", "urgent", { step(1, need(4)) }, "club");
}

// Guards against the preemption of runs that end by themselves as soon as a stop would end them.
BOOST_AUTO_TEST_CASE(runs_about_to_end_are_not_preempted)
{
    cluster_fixture f;
    submitBesideRunsAboutToEnd(f);
    BOOST_TEST(f.decide().stops.empty());
}

// Runs that seem about to end do not end, because their last part takes longer. Guards against a guaranteed job that
// waits for them until its claim expires.
BOOST_AUTO_TEST_CASE(runs_that_do_not_end_as_expected_are_preempted)
{
    cluster_fixture f;
    submitBesideRunsAboutToEnd(f);
    BOOST_TEST(f.decideAndApply().stops.empty());
    f.advance(300);
    BOOST_TEST(f.decideAndApply().stops.empty());
    f.advance(200);
    BOOST_TEST(f.decideAndApply().stops.size() == 4U);
}

// Small jobs keep arriving while a gang waits for whole workers. Guards against a gang that starves because every freed
// accelerator goes to the next small job.
BOOST_AUTO_TEST_CASE(a_blocked_gang_reserves_workers)
{
    cluster_fixture f;
    f.submit("small0", "normal", { step(18, need(1), 4000) });
    f.decideAndApply();
    f.advance(100);
    f.submit("gang", "normal", { gangStep(2, 8) });
    BOOST_TEST(startCount(f.decideAndApply()) == 0U);
    f.submit("small1", "bulk", { step(6, need(1), 20000) });
    BOOST_TEST(startCount(f.decideAndApply()) <= 6U);
    f.submit("small2", "bulk", { step(6, need(1), 20000) });
    const auto later = f.decideAndApply();
    BOOST_TEST(startCount(later) == 0U);
}

// Guards against runs of a cancelled job, or remaining members of a broken gang, that are left running.
BOOST_AUTO_TEST_CASE(runs_of_cancelled_jobs_and_broken_gangs_are_stopped)
{
    cluster_fixture f;
    f.submit("a", "bulk", { step(2, need(1)) });
    f.submit("g", "normal", { gangStep(2, 8) });
    f.decideAndApply();
    f.apply(cancel_submission { submission_id("a") });
    const auto member = f.table.findUnit(task("g", 0, 0))->members[0].worker;
    f.end(member, task("g", 0, 0), 1, end_kind::failed);
    std::map<stop_reason, std::size_t> reasons;
    for (const auto& stop : f.decide().stops)
        ++reasons[stop.reason];
    BOOST_TEST(reasons[stop_reason::job_ended] == 2U);
    BOOST_TEST(reasons[stop_reason::gang_broken] == 1U);
}

// Guards against a stalled task that holds its accelerators for ever on a worker that still reports.
BOOST_AUTO_TEST_CASE(a_task_without_progress_is_stopped)
{
    cluster_fixture f;
    f.submit("a", "bulk", { step(1, need(1), 20000) });
    f.decideAndApply();
    f.advance(2500);
    BOOST_TEST(f.decide().stops.empty());
    f.now += std::chrono::milliseconds(3100);
    // Without reports the task may still be making progress behind a network partition.
    BOOST_TEST(f.decide().stops.empty());
    for (auto& [id, worker] : f.workers) {
        for (auto& [key, run] : worker.running)
            run.reportedAt = f.now;
    }
    const auto decisions = f.decide();
    BOOST_REQUIRE(decisions.stops.size() == 1U);
    BOOST_TEST((decisions.stops[0].reason == stop_reason::no_progress));
}

// Guards against a gang that is stopped as stalled because fast members wait at 100% for a slow one.
BOOST_AUTO_TEST_CASE(finished_members_wait_for_the_others)
{
    cluster_fixture f;
    f.submit("g", "normal", { gangStep(2, 8) });
    f.decideAndApply();
    f.advance(4000);
    const auto fast = f.table.findUnit(task("g", 0, 0))->members[0].worker.worker;
    auto& run = f.workers.at(fast).running.at(task("g", 0, 0));
    run.percent = 100;
    for (int i = 0; i < 10; ++i) {
        const auto progressed = run.progressedAt;
        f.advance(500);
        run.percent = 100;
        run.progressedAt = progressed;
    }
    BOOST_TEST(f.decide().stops.empty());
}

namespace {

struct due_row {
    std::int64_t firstDueMs; ///< From now on.
    std::int64_t intervalMs;
};
std::ostream& operator<<(std::ostream& out, const due_row& row)
{
    return out << row.firstDueMs << " ms, then each " << row.intervalMs << " ms";
}

const due_row dueRows[] = { { 1000, 1000 }, { 2000, -1000 } };

} // namespace

// Guards against occurrences that start before they are due, or not when they are.
BOOST_DATA_TEST_CASE(occurrences_wait_for_their_due_times, dueRows, row)
{
    cluster_fixture f;
    submission_spec spec;
    spec.payload = "p";
    spec.steps = { step(1, need(1)) };
    spec.occurrences = 2;
    spec.firstDueMs = f.ms + row.firstDueMs;
    spec.intervalMs = row.intervalMs;
    f.apply(accept_submission { submission_id("t"), queue_name("bulk"), workspace_name("league"), spec });
    BOOST_TEST(startCount(f.decideAndApply()) == 0U);
    f.advance(950);
    BOOST_TEST(startCount(f.decideAndApply()) == 1U);
    f.advance(1000);
    BOOST_TEST(startCount(f.decideAndApply()) == 1U);
}

// Urgent jobs take 9 s, as ten of them have shown; a gang with a declared estimate of 0.8 s arrives while the cluster
// is full. Guards against a deadline computed from the declared estimate: the job would count as expired and preempt
// nothing, although it can still be on time.
BOOST_FIXTURE_TEST_CASE(an_underestimated_urgent_job_does_not_expire_early, cluster_fixture)
{
    for (int i = 0; i < 10; ++i) {
        const auto id = "h" + std::to_string(i);
        submit(id, "urgent", { step(1, need(1), i % 2 == 0 ? 800 : 30000) });
        start(task(id), 1, boot("w00"));
        ms += 9000;
        end(boot("w00"), task(id), 1, end_kind::done);
    }
    submit("bulk", "bulk", { step(3, need(8), 60000) });
    BOOST_REQUIRE(startCount(decideAndApply()) == 3);
    advance(1000);
    submit("late", "urgent", { gangStep(2, 8) });
    auto spec = table.find(submission_id("late"))->spec;
    spec.steps[0].estimate = std::chrono::milliseconds(800);
    apply(accept_submission { submission_id("under"), queue_name("urgent"), workspace_name("league"), spec });
    apply(cancel_submission { submission_id("late") });
    for (auto& [id, worker] : workers)
        worker.isReachable = false;
    ms += 8000; // Over three times the objective that follows from the declared estimate.
    for (auto& [id, worker] : workers)
        worker.isReachable = true;
    const auto decisions = decide();
    BOOST_TEST(decisions.stops.size() == 2U);
}

// After a change of leader or a restore from a checkpoint, a run's progress is above 0 when it is first seen. Guards
// against a remaining time that is computed as if all progress had been made since then: a run would be preempted just
// before its end, or be expected to end too soon.
BOOST_FIXTURE_TEST_CASE(progress_counts_from_when_a_run_was_first_seen, cluster_fixture)
{
    submit("a", "bulk", { step(3, need(8), 100000) });
    BOOST_REQUIRE(startCount(decideAndApply()) == 3);
    now += std::chrono::seconds(10);
    for (auto& [id, worker] : workers) {
        for (auto& [key, run] : worker.running) {
            run.startPercent = 50;
            run.percent = id == worker_id("w01") ? 60 : 95;
            run.reportedAt = run.progressedAt = now;
        }
    }
    submit("b", "bulk", { step(1, need(8), 1000) });
    submit("u", "urgent", { step(1, need(8), 1000) }, "club");
    const auto decisions = decide();
    BOOST_REQUIRE(decisions.stops.size() == 1U);
    BOOST_TEST(decisions.claims.size() == 1U);
}

// A third of the workers is slow. Guards against a gang that runs at the speed of one slow member while fast workers
// are free or run single tasks.
BOOST_FIXTURE_TEST_CASE(gangs_go_to_fast_workers_and_single_tasks_to_slow_ones, cluster_fixture)
{
    workers.at(worker_id("w01")).slowness = 1.25;
    submit("g", "normal", { gangStep(2, 8) });
    BOOST_TEST((usedWorkers(decideAndApply()) == std::set<worker_id> { worker_id("w00"), worker_id("w02") }));
    submit("s", "bulk", { step(1, need(1)) });
    BOOST_TEST((usedWorkers(decideAndApply()) == std::set<worker_id> { worker_id("w01") }));
}

// Guards against an urgent unit that waits or preempts runs although a slow worker is free.
BOOST_FIXTURE_TEST_CASE(an_urgent_unit_uses_a_free_slow_worker, cluster_fixture)
{
    workers.at(worker_id("w01")).slowness = 1.25;
    submit("b", "bulk", { step(2, need(8)) });
    for (const std::uint32_t i : { 0U, 1U })
        start(task("b", 0, i), 1, boot(i == 0 ? "w00" : "w02"));
    submit("u", "urgent", { gangStep(1, 8) });
    const auto decisions = decideAndApply();
    BOOST_TEST((usedWorkers(decisions) == std::set<worker_id> { worker_id("w01") }));
    BOOST_TEST(decisions.stops.empty());
}

// A burst of urgent gangs leaves a backlog. Guards against late units that go first and make those late that could
// still be on time.
BOOST_FIXTURE_TEST_CASE(units_on_time_go_before_late_ones, cluster_fixture)
{
    submit("old", "urgent", { gangStep(3, 8) });
    advance(16000); // Its objective is 15 s.
    submit("new", "urgent", { gangStep(3, 8) });
    const auto decisions = decideAndApply();
    BOOST_REQUIRE(decisions.starts.size() == 1U);
    BOOST_TEST(decisions.starts[0].starts[0].task.job == submission_id("new"));
}

struct preemption_row {
    const char* name;
    std::int64_t waited; ///< By the urgent unit, in milliseconds.
    std::int64_t ran; ///< By the bulk tasks, in milliseconds.
    std::size_t stops;
};
std::ostream& operator<<(std::ostream& out, const preemption_row& row) { return out << row.name; }

const preemption_row preemptionRows[] = {
    { "on time, young victims", 0, 1000, 24 },
    { "on time, victims that have run for long", 0, 30000, 0 },
    { "late", 16000, 1000, 0 },
};

// Urgent gangs of whole workers in a burst, on a cluster full of bulk tasks. Guards against work that is thrown away
// for a unit that gains little by it.
BOOST_DATA_TEST_CASE_F(cluster_fixture, urgent_units_preempt_while_they_are_on_time, preemptionRows, row)
{
    submit("bulk", "bulk", { step(24, need(1), 60000) });
    submit("urgent", "urgent", { gangStep(3, 8) });
    for (std::uint32_t i = 0; i < 24; ++i)
        start(task("bulk", 0, i), 1, boot("w0" + std::to_string(i / 8)));
    for (std::uint32_t i = 0; i < 24; ++i)
        workers.at(worker_id("w0" + std::to_string(i / 8))).running[task("bulk", 0, i)]
            = { run_number(1), {}, 1, 0, now, now, now };
    ms += row.waited;
    now += std::chrono::milliseconds(row.ran);
    BOOST_TEST(decide().stops.size() == row.stops);
}

// Two workers hold one gang, a third one holds bulk tasks. Guards against the cost of a gang that is counted for each
// of its members, so that two gangs are broken where one is enough.
BOOST_FIXTURE_TEST_CASE(the_cost_of_a_gang_counts_once, cluster_fixture)
{
    submit("gang", "bulk", { gangStep(2, 8) });
    submit("single", "bulk", { step(1, need(8), 60000) });
    apply(start_tasks { { { task("gang", 0, 0), run_number(1), boot("w00"), "w00:1" },
        { task("gang", 0, 1), run_number(1), boot("w01"), "w01:1" } } });
    start(task("single"), 1, boot("w02"));
    for (const auto* id : { "w00", "w01", "w02" }) {
        const auto running = id == std::string("w02") ? task("single") : task("gang", 0, id == std::string("w01"));
        workers.at(worker_id(id)).running[running] = { run_number(1), {}, 1, 0, now, now, now };
    }
    workers.at(worker_id("w02")).running.at(task("single")).startedAt -= std::chrono::seconds(4);
    now += std::chrono::milliseconds(4000);
    submit("urgent", "urgent", { gangStep(2, 8) }, "club");
    const auto decisions = decide();
    std::set<submission_id> stopped;
    for (const auto& stop : decisions.stops)
        stopped.insert(stop.run.task.job);
    BOOST_TEST((stopped == std::set<submission_id> { submission_id("gang") }));
}

namespace {

struct lost_rack_row {
    std::string name;
    std::function<void(worker_view&)> change; ///< Of the rack's workers.
};
std::ostream& operator<<(std::ostream& out, const lost_rack_row& row) { return out << row.name; }

const std::vector<lost_rack_row> lostRackRows {
    { "evacuated", [](worker_view& worker) { worker.dataCentre = data_centre_name("evacuated"); } },
    { "draining", [](worker_view& worker) { worker.isDraining = true; } },
    { "unreachable", [](worker_view& worker) { worker.isReachable = false; } },
};

} // namespace

// Guards against a task that lasts and waits for its whole estimate for a rack that cannot take it (review, case 13).
BOOST_DATA_TEST_CASE(a_lasting_task_does_not_wait_for_a_lost_rack, lostRackRows, row)
{
    cluster_fixture f(2);
    f.apply(set_data_centre { data_centre_name("evacuated"), false });
    for (auto& [id, worker] : f.workers) {
        if (worker.rack == rack_name("r1-0"))
            row.change(worker);
    }
    auto spec = step(1, need(1));
    spec.estimate = std::chrono::hours(1);
    spec.longRunning = true;
    spec.affinity = rack_name("r1-0");
    f.submit("a", "normal", { spec });
    BOOST_TEST(startCount(f.decideAndApply()) == 0U);
    f.advance(2100);
    BOOST_TEST(startCount(f.decideAndApply()) == 1U);
}

// The data's rack is full; the first unit of a step has just begun to wait, the second one has waited for long. Guards
// against a unit that may run elsewhere and waits because the one before it may not.
BOOST_AUTO_TEST_CASE(a_unit_that_may_leave_its_rack_is_tried_after_one_that_may_not)
{
    cluster_fixture f(2);
    f.submit("full", "normal", { step(3, need(8), 60000) });
    for (const std::uint32_t i : { 0U, 1U, 2U })
        f.start(task("full", 0, i), 1, boot("w0" + std::to_string(i)));
    auto spec = step(2, need(1), 1000);
    spec.affinity = rack_name("r1-0");
    f.submit("a", "bulk", { spec });
    f.start(task("a", 0, 0), 1, boot("w10"));
    f.advance(2000);
    f.end(boot("w10"), task("a", 0, 0), 1, end_kind::stopped);
    const auto decisions = f.decide();
    BOOST_REQUIRE(decisions.starts.size() == 1U);
    BOOST_TEST((decisions.starts[0].starts[0].task == task("a", 0, 1)));
}

struct burst_row {
    const char* name;
    bool weighs;
    const char* service; ///< Of the bulk task.
    std::int64_t estimateMs; ///< Of the bulk task.
    std::size_t starts;
};
std::ostream& operator<<(std::ostream& out, const burst_row& row) { return out << row.name; }

const burst_row burstRows[] = {
    { "long bulk task", true, "desk", 60000, 0 },
    { "short bulk task", true, "desk", 1000, 1 },
    { "bulk task of another pool", true, "annex", 60000, 1 },
    { "not weighed", false, "desk", 60000, 1 },
};

// An urgent gang of a burst waits for its victims on three workers while a fourth one has room. Guards against bulk
// tasks that start there and are stopped for the next gang, and against other pools that stand still for it.
BOOST_DATA_TEST_CASE_F(cluster_fixture, long_runs_wait_while_a_burst_claims_room, burstRows, row)
{
    auto changed = plan(2);
    changed.queues.push_back(queue("other", 2));
    changed.queues.back().service = service_name(row.service);
    changed.pools.push_back({ service_name("annex"), true, false });
    apply(accept_plan { changed });
    submit("full", "bulk", { step(3, need(8), 60000) });
    decideAndApply();
    advance(1000);
    workers[worker_id("w10")] = workerView("w10", "r1-1");
    workers[worker_id("w10")].service = service_name(row.service);
    workers[worker_id("w10")].capacity.accelerator = accelerators(4);
    submit("now", "urgent", { gangStep(1, 8) }, "club");
    submit("bulk", "other", { step(1, need(1), row.estimateMs) });
    options.weighsPreemptions = row.weighs;
    const auto decisions = decide();
    BOOST_TEST(decisions.claims.size() == 1U);
    BOOST_TEST(startCount(decisions) == row.starts);
}

namespace {

step_spec longRunningStep(std::uint32_t count, std::int64_t accelerator, std::int64_t estimateMs)
{
    auto out = step(count, need(accelerator), estimateMs);
    out.longRunning = true;
    return out;
}

struct endless_row {
    const char* name;
    std::int64_t estimateMs; ///< Declared for the long-running task.
    std::int64_t age; ///< Milliseconds for which it has run.
    std::int64_t otherEstimateMs; ///< Of the task that looks for room.
};
std::ostream& operator<<(std::ostream& out, const endless_row& row) { return out << row.name; }

const endless_row endlessRows[] = {
    { "no declared time", 0, 4000, 1000 },
    { "declared time not yet reached", 60000, 4000, 100000 },
    { "declared time long over", 1000, 30000, 1000 },
};

struct wait_row {
    const char* name;
    step_spec step;
    std::int64_t busyAccelerators; ///< On each worker with a run; the gang needs whole workers.
    std::uint32_t busyWorkers;
    bool startsInTime;
};
std::ostream& operator<<(std::ostream& out, const wait_row& row) { return out << row.name; }

const wait_row waitRows[] = {
    { "long-running task", longRunningStep(1, 1, 3600000), 8, 1, true },
    { "long-running task in a service that is over half full", longRunningStep(1, 1, 3600000), 8, 4, true },
    { "task longer than the gap", step(1, need(1), 200000), 8, 1, true },
    { "task longer than the gap in a service that is over half full", step(1, need(1), 200000), 8, 4, false },
};

} // namespace

// Review case 8: a gang that needs the accelerators of a long-running task reserved all workers from an end that never
// came. Guards against reservations that rest on the end of a run without one.
BOOST_DATA_TEST_CASE(a_run_without_end_is_no_ground_for_a_reservation, endlessRows, row)
{
    cluster_fixture f;
    f.submit("service", "bulk", { longRunningStep(1, 1, row.estimateMs) });
    f.decideAndApply();
    f.advance(row.age);
    f.submit("gang", "normal", { gangStep(3, 8) });
    f.submit("other", "bulk", { step(1, need(1), row.otherEstimateMs) });
    const auto decisions = f.decide();
    BOOST_REQUIRE(decisions.starts.size() == 1U);
    BOOST_TEST(decisions.starts[0].starts[0].task.job.value() == "other");
}

// The relative of review case 8 (`reserved`): six idle workers are kept for a gang that waits 100 s for the seventh.
// Guards against reserved room that lies idle for longer than the platform lets a task wait beside ample room.
BOOST_DATA_TEST_CASE(reserved_room_is_lent_before_the_platforms_bound, waitRows, row)
{
    cluster_fixture f(2);
    f.submit("busy", "normal", { step(row.busyWorkers, need(row.busyAccelerators), 100000) });
    f.decideAndApply();
    f.submit("gang", "normal", { gangStep(6, 8) });
    f.submit("other", "bulk", { row.step });
    BOOST_TEST(startCount(f.decideAndApply()) == 0U);
    bool started = false;
    for (int waited = 200; waited <= 2400 && !started; waited += 200) {
        f.advance(200);
        started = startCount(f.decideAndApply()) > 0;
    }
    BOOST_TEST(started == row.startsInTime);
}

namespace {

struct run_limit_row {
    std::string name;
    std::function<void(run_limits&)> change;
    std::size_t starts;
};
std::ostream& operator<<(std::ostream& out, const run_limit_row& row) { return out << row.name; }

// Three workers. A workspace uses as much of a limit as it leaves to the others.
const std::vector<run_limit_row> runLimitRows {
    { "by default", [](run_limits&) {}, 512 },
    { "in all", [](run_limits& limits) { limits.total = 100; }, 50 },
    { "on a worker", [](run_limits& limits) { limits.perWorker = 20; }, 30 },
    { "unconfirmed on a worker", [](run_limits& limits) { limits.unconfirmedPerWorker = 40; }, 60 },
    { "in a plan", [](run_limits& limits) { limits.startsPerPlan = 70; }, 70 },
    { "of candidates", [](run_limits& limits) { limits.candidates = 32; }, 32 },
};

struct limited_fixture : cluster_fixture {
    /// One job whose tasks all fit into the workers at once.
    void submitWideJob(std::uint32_t steps = 16, std::uint32_t count = 4096)
    {
        submit("00000000000000aa", "normal", std::vector<step_spec>(steps, step(count, { millicores(1), {}, {} })));
    }
};

} // namespace

// Guards against starting all tasks that there is room for at once: their starts, runs and reports take the memory of
// controls and sidecars (review, case 11).
BOOST_DATA_TEST_CASE_F(limited_fixture, starts_stay_within_the_limits_on_runs, runLimitRows, row)
{
    row.change(options.limits);
    submitWideJob();
    const auto decisions = decide();
    BOOST_TEST(startCount(decisions) == row.starts);
    BOOST_TEST(decisions.stops.empty());
}

// Guards against a workspace that waits until the runs of another one have ended, which took all that the limits allow,
// and against a guarantee that has to wait for them.
BOOST_FIXTURE_TEST_CASE(limits_on_runs_are_shared, limited_fixture)
{
    options.limits.total = 100;
    options.limits.perWorker = 40;
    submitWideJob();
    decideAndApply();
    BOOST_TEST(startCount(decide()) == 0U);
    BOOST_TEST(decide().limitedUnits > 0U);
    submit("00000000000000bb", "bulk", { step(5, { millicores(1), {}, {} }) }, "club");
    BOOST_TEST(startCount(decide()) == 5U);
    options.limits.total = 0;
    options.limits.perWorker = 0;
    options.limits.unconfirmedPerWorker = 0;
    submit("00000000000000cc", "urgent", { step(4, need(1)) }, "club");
    BOOST_TEST(startCount(decide()) == 4U);
}

// Guards against work that is stopped for an urgent task which there is room for.
BOOST_FIXTURE_TEST_CASE(a_unit_that_waits_for_a_limit_stops_nothing, limited_fixture)
{
    submit("00000000000000aa", "bulk", { step(3, need(0, 100000)) });
    decideAndApply();
    options.limits.total = 6;
    submit("00000000000000bb", "urgent", { step(1, { millicores(1), {}, {} }) });
    const auto decisions = decide();
    BOOST_TEST(startCount(decisions) == 0U);
    BOOST_TEST(decisions.stops.empty());
    BOOST_TEST(decisions.claims.empty());
}

// Guards against a job that is accepted and never ends, as its tasks exceed a limit.
BOOST_FIXTURE_TEST_CASE(a_wide_job_runs_to_its_end_in_waves, limited_fixture)
{
    options.limits.unconfirmedPerWorker = 64;
    submitWideJob(2, 500);
    for (int wave = 0; wave < 20 && phaseOf("00000000000000aa") != submission_phase::completed; ++wave) {
        for (const auto& command : decide().starts) {
            apply(command);
            end(command.starts[0].worker, command.starts[0].task, 1, end_kind::done);
        }
    }
    BOOST_TEST((phaseOf("00000000000000aa") == submission_phase::completed));
}

// Guards against occurrences that are all due at once and take more memory than their job was admitted with.
BOOST_FIXTURE_TEST_CASE(occurrences_begin_within_the_memory_for_jobs, limited_fixture)
{
    submission_spec spec;
    spec.steps = { step(1, { millicores(1), {}, {} }) };
    spec.occurrences = 100;
    apply(accept_submission { submission_id("00000000000000aa"), queue_name("bulk"), workspace_name("league"), spec });
    BOOST_TEST(startCount(decide()) == 100U);
    const auto accepted = table.footprint();
    options.limits.jobBytes = 2 * (accepted + 5 * occurrenceFootprint(spec));
    std::size_t most = 0;
    for (int plan = 0; plan < 200 && phaseOf("00000000000000aa") != submission_phase::completed; ++plan) {
        const auto decisions = decide();
        for (const auto& command : decisions.starts)
            apply(command);
        most = std::max(most, table.footprint());
        for (const auto& command : decisions.starts)
            end(command.starts[0].worker, command.starts[0].task, 1, end_kind::done);
    }
    BOOST_TEST((phaseOf("00000000000000aa") == submission_phase::completed));
    BOOST_TEST(most == accepted + 5 * occurrenceFootprint(spec));
}
