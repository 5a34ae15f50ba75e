#include "job_fixture.h"
#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <random>

using namespace poplardeal;
using namespace poplardeal::test;

namespace {

const workspace_name quiet("quiet");
const workspace_name bursting("bursting");
const workspace_shares shares { { quiet, 0.5 }, { bursting, 6 } };

/// A unit of a job of mean size, with 1 s of run time and of slack.
waiting_work unitOf(std::uint64_t sequence)
{
    waiting_work out;
    out.priority = 1;
    out.deadline = at(2000);
    out.valueEnd = out.deadline;
    out.runTime = std::chrono::seconds(1);
    out.workspace = &quiet;
    out.sequence = sequence;
    return out;
}

void makeLate(waiting_work& work, deadline_status status)
{
    work.status = status;
    work.deadline = at(500);
}

/// Two equal units, of which the second one was accepted first and is changed.
struct pair_row {
    std::string name; ///< The load and what it needs.
    std::function<void(waiting_work& other, waiting_work& changed)> change;
    bool goesFirst; ///< The changed one.
};
std::ostream& operator<<(std::ostream& out, const pair_row& row) { return out << row.name; }

const std::vector<pair_row> pairRows {
    { "equal work: in order of acceptance", [](auto&, auto&) {}, true },
    { "burst of one workspace: paid for by that workspace", [](auto&, auto& w) { w.workspace = &bursting; }, false },
    { "shortage within guarantees: the guarantee holds for a workspace with much use",
        [](auto&, auto& w) {
            w.workspace = &bursting;
            w.isGuaranteed = true;
        },
        true },
    { "urgent burst of one workspace: priority holds whatever the use and the work",
        [](auto&, auto& w) {
            w.workspace = &bursting;
            w.priority = 0;
            w.yield = 0.01;
        },
        true },
    { "bulk burst: work of lower priority waits, however much it delivers",
        [](auto&, auto& w) {
            w.priority = 2;
            w.yield = 4;
        },
        false },
    { "urgent burst: late work does not make the next one late",
        [](auto&, auto& w) { makeLate(w, deadline_status::late); }, false },
    { "long burst: expired work goes behind lower priorities",
        [](auto& other, auto& w) {
            makeLate(w, deadline_status::expired);
            other.priority = 2;
        },
        false },
    { "endless burst: what has waited longest goes first within its priority",
        [](auto&, auto& w) {
            makeLate(w, deadline_status::expired);
            w.isAged = true;
            w.workspace = &bursting;
        },
        true },
    { "endless burst: what has waited longest does not go before higher priorities",
        [](auto& other, auto& w) {
            other.priority = 0;
            w.isAged = true;
        },
        false },
    { "shortage: what delivers less for its capacity goes later", [](auto&, auto& w) { w.yield = 0.5; }, false },
    { "shortage: what can wait goes later",
        [](auto&, auto& w) {
            w.deadline = at(20000);
            w.valueEnd = w.deadline;
        },
        false },
};

} // namespace

// Guards against an order that breaks a guarantee or a priority, that lets others pay for the burst of one workspace,
// or that spends a shortage on work that delivers less.
BOOST_DATA_TEST_CASE(units_are_ranked_for_the_load, boost::unit_test::data::make(pairRows), row)
{
    std::vector<waiting_work> work { unitOf(2), unitOf(1) };
    row.change(work[0], work[1]);
    order_options options;
    options.order = work_order::value;
    BOOST_TEST((rankWork(options, work, shares, at(0)).front() == 1) == row.goesFirst);
}

// Guards against an order that depends on the order in which the units are listed.
BOOST_AUTO_TEST_CASE(ranks_depend_on_the_work_alone)
{
    std::mt19937_64 random(7);
    std::vector<waiting_work> work;
    for (std::uint64_t i = 1; i <= 50; ++i) {
        work.push_back(unitOf(i));
        work.back().workspace = i % 3 == 0 ? &bursting : &quiet;
        work.back().yield = 1 + static_cast<double>(i % 7);
    }
    order_options options;
    options.order = work_order::value;
    const auto ranked = [&] {
        std::vector<std::uint64_t> out;
        for (const auto index : rankWork(options, work, shares, at(0)))
            out.push_back(work[index].sequence);
        return out;
    };
    const auto first = ranked();
    std::shuffle(work.begin(), work.end(), random);
    BOOST_TEST(ranked() == first, boost::test_tools::per_element());
}

namespace {

/// One worker of 8 accelerators, and a workspace that always has more small jobs waiting than fit.
struct endless_load : table_fixture {
    std::map<worker_id, worker_view> workers { { worker_id("w"), workerView("w", "r1") } };
    capacity_claims claims;
    planner_options options;
    int submitted { 0 };

    endless_load() { options.order.order = work_order::value; }

    job_decisions decide() const { return planJobs(options, { table, workers, {}, claims, at(ms), at(ms), {} }); }

    /// Plays 0.5 s; runs end after 1 s.
    void play()
    {
        for (int i = 0; i < 6; ++i)
            submit("small-" + std::to_string(submitted++), "bulk", { step(1, need(1, 1000), 1000) });
        const auto decisions = decide();
        claims = decisions.claims;
        auto& running = workers.begin()->second.running;
        for (const auto& command : decisions.starts) {
            apply(command);
            for (const auto& start : command.starts)
                running[start.task] = { start.run, {}, 0, 0, at(ms), at(ms), at(ms) };
        }
        ms += 500;
        const auto runs = table.runsOn(boot("w"));
        for (const auto& run : runs) {
            if (ms - toMicros(table.findUnit(run.task)->startedAt) / 1000 < 1000)
                continue;
            running.erase(run.task);
            end(boot("w"), run.task, run.run.value(), end_kind::done);
        }
    }
};

} // namespace

// Guards against a job that waits for ever while more valuable work keeps coming.
BOOST_AUTO_TEST_CASE(no_job_waits_for_ever)
{
    endless_load load;
    load.play();
    auto whole = step(1, need(8, 100000), 20000);
    load.submit("large", "bulk", { whole });
    constexpr int turnsPerSecond = 2;
    constexpr int longestWait = 115; // Seconds: `maxWait`, the turns of four jobs, and what runs then.
    for (int i = 0; i < longestWait * turnsPerSecond && load.phaseOf("large") == submission_phase::queued; ++i)
        load.play();
    BOOST_TEST((load.phaseOf("large") != submission_phase::queued));
}

// Guards against a new leader that orders the work of a burst differently from the last one.
BOOST_AUTO_TEST_CASE(a_new_leader_orders_the_same)
{
    endless_load load;
    for (int i = 0; i < 6; ++i)
        load.play();
    for (int i = 0; i < 12; ++i) {
        load.submit(
            "other-" + std::to_string(i), "bulk", { step(1, need(1, 1000), 1000) }, i % 2 == 0 ? "club" : "league");
        load.ms += 10;
    }
    const auto starts = [&load] {
        std::vector<std::string> out;
        for (const auto& command : load.decide().starts)
            out.push_back(command.starts.front().task.job.value());
        return out;
    };
    const auto before = starts();
    const auto snapshot = load.table.save();
    load.table = {};
    BOOST_REQUIRE(load.table.restore(snapshot).has_value());
    BOOST_TEST(!before.empty());
    BOOST_TEST(starts() == before, boost::test_tools::per_element());
}
