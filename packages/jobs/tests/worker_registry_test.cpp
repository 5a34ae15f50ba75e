#include "job_fixture.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>

using namespace poplardeal;
using namespace poplardeal::test;

namespace {

constexpr std::int64_t leaseMs = 6000;

struct registry_fixture : table_fixture {
    worker_registry registry;
    instant now { at(100000) };

    registry_fixture()
        : registry([] {
            lease_options options;
            options.length = std::chrono::milliseconds(leaseMs);
            return options;
        }())
    {
        registry.startLeadership(now);
        submit("a", "bulk", { step(1, need(1)) });
    }

    worker_status status(const worker_boot& who, std::int64_t clockMs) const
    {
        worker_status out;
        out.boot = who;
        out.address = who.worker.value() + ":1";
        out.service = service_name("desk");
        out.dataCentre = data_centre_name("east");
        out.capacity = { millicores(128000), mebibytes(262144), accelerators(8) };
        out.clockMs = clockMs;
        out.hasLists = true;
        return out;
    }

    void orderStart(const worker_boot& who)
    {
        const task_start started { task("a"), run_number(1), who, who.worker.value() + ":1" };
        apply(start_tasks { { started } });
        registry.didOrderStart(started, now);
    }
};

} // namespace

// Guards against a new leader that starts runs again whose ends did not fit into the lists of their worker.
BOOST_AUTO_TEST_CASE(runs_that_cut_lists_lack_are_not_ordered_again)
{
    registry_fixture f;
    f.registry.report(f.status(boot("w"), 1000), f.table, f.now);
    f.orderStart(boot("w"));
    f.registry.startLeadership(f.now);
    auto cut = f.status(boot("w"), 2000);
    cut.isComplete = false;
    BOOST_TEST(f.registry.report(cut, f.table, f.now).released.empty());
    const auto before = f.registry.instructionsFor(boot("w"), f.table, f.now);
    BOOST_REQUIRE(before.has_value());
    BOOST_TEST(before->starts.empty());
    BOOST_TEST(before->stops.empty());
    f.registry.report(f.status(boot("w"), 2001), f.table, f.now);
    BOOST_TEST(f.registry.instructionsFor(boot("w"), f.table, f.now)->starts.size() == 1U);
}

// Guards against a run that is given up while its worker's lease may still be running, or never.
BOOST_AUTO_TEST_CASE(a_silent_worker_is_released_when_its_lease_is_certainly_over)
{
    registry_fixture f;
    f.registry.report(f.status(boot("w"), 1000), f.table, f.now);
    f.orderStart(boot("w"));
    const auto orders = f.registry.instructionsFor(boot("w"), f.table, f.now);
    BOOST_REQUIRE(orders.has_value());
    BOOST_TEST(orders->leaseUntilMs == 1000 + leaseMs);
    // The worker's clock may be 2% slow.
    BOOST_TEST(f.registry.expiredRuns(f.table, f.now + std::chrono::milliseconds(leaseMs * 100 / 98)).empty());
    BOOST_TEST(
        f.registry.expiredRuns(f.table, f.now + std::chrono::milliseconds(leaseMs * 100 / 98 + 500)).size() == 1U);
}

struct late_start_row {
    const char* name;
    std::function<void(worker_status&)> show; ///< What the worker shows when it answers again.
    bool isOver; ///< The start cannot be carried out any more.
};
std::ostream& operator<<(std::ostream& out, const late_start_row& row) { return out << row.name; }

const late_start_row lateStartRows[] = {
    { "nothing", [](worker_status&) {}, false },
    { "that it refuses the run",
        [](worker_status& shown) {
            shown.refused = { { { task("a"), run_number(1) }, "stopped before its start" } };
        },
        true },
    { "that it has begun the run",
        [](worker_status& shown) {
            shown.running = { { task("a"), run_number(1), {}, 1 } };
        },
        true },
};

// A start got no answer, its worker was silent until its lease was over, and the sidecar that knew of the start is
// gone. Guards against a lease with which the worker carries it out late, while the task runs elsewhere.
BOOST_DATA_TEST_CASE(a_worker_has_no_lease_until_it_refuses_a_start_that_was_given_up, lateStartRows, row)
{
    registry_fixture f;
    f.registry.report(f.status(boot("w"), 1000), f.table, f.now);
    f.orderStart(boot("w"));
    const auto before = f.registry.instructionsFor(boot("w"), f.table, f.now)->leaseUntilMs;
    f.now += std::chrono::seconds(8);
    BOOST_REQUIRE(f.registry.expiredRuns(f.table, f.now).size() == 1U);
    f.apply(release_runs { { { task("a"), run_number(1), {} } } });
    f.registry.report(f.status(boot("w"), 9000), f.table, f.now);
    const auto orders = f.registry.instructionsFor(boot("w"), f.table, f.now);
    BOOST_REQUIRE(orders.has_value());
    BOOST_TEST((orders->stops == std::vector { run_key { task("a"), run_number(1) } }));
    BOOST_TEST(orders->leaseUntilMs == before);
    BOOST_TEST(!f.registry.workerViews(f.table, f.now).at(worker_id("w")).isReachable);
    auto shown = f.status(boot("w"), 9100);
    row.show(shown);
    f.registry.report(shown, f.table, f.now);
    BOOST_TEST((f.registry.instructionsFor(boot("w"), f.table, f.now)->leaseUntilMs > before) == row.isOver);
    BOOST_TEST(f.registry.workerViews(f.table, f.now).at(worker_id("w")).isReachable == row.isOver);
    f.now += lease_options().longestOrderDelay + std::chrono::milliseconds(1);
    f.registry.expiredRuns(f.table, f.now);
    f.registry.report(f.status(boot("w"), 22000), f.table, f.now);
    BOOST_TEST(f.registry.workerViews(f.table, f.now).at(worker_id("w")).isReachable);
}

// A worker says that it ends; an earlier report of it, held up on another path, arrives afterwards. Guards against
// starts on a worker that has left.
BOOST_AUTO_TEST_CASE(a_worker_that_has_left_is_not_brought_back_by_a_late_report)
{
    registry_fixture f;
    f.registry.report(f.status(boot("w"), 1000), f.table, f.now);
    auto gone = f.status(boot("w"), 2000);
    gone.isGone = true;
    gone.hasLists = false;
    f.registry.report(gone, f.table, f.now);
    f.registry.report(f.status(boot("w"), 1500), f.table, f.now);
    BOOST_TEST(f.registry.workerViews(f.table, f.now).empty());
    f.registry.report(f.status(boot("w", 2), 10), f.table, f.now);
    BOOST_TEST(f.registry.workerViews(f.table, f.now).size() == 1U);
}

// A worker is said to have ended and answers after that. Guards against a wrong report after which the worker, whose
// runs go on beside their next ones, is ignored for good.
BOOST_AUTO_TEST_CASE(a_worker_that_answers_after_it_was_given_up_is_taken_back)
{
    registry_fixture f;
    f.registry.report(f.status(boot("w"), 1000), f.table, f.now);
    f.orderStart(boot("w"));
    auto gone = f.status(boot("w"), 2000);
    gone.isGone = true;
    gone.hasLists = false;
    BOOST_TEST(f.registry.report(gone, f.table, f.now).released.size() == 1U);
    BOOST_TEST(f.registry.report(f.status(boot("w"), 2000), f.table, f.now).released.empty());
    BOOST_TEST(f.registry.workerViews(f.table, f.now).empty());
    f.registry.report(f.status(boot("w"), 2001), f.table, f.now);
    BOOST_TEST(f.registry.workerViews(f.table, f.now).size() == 1U);
    // The wrong report comes again, held up on its way.
    BOOST_TEST(f.registry.report(gone, f.table, f.now).released.empty());
    BOOST_TEST(f.registry.workerViews(f.table, f.now).size() == 1U);
}

// A machine is frozen for 5 s and then reports the progress that it had before. Guards against its work being taken for
// stalled and stopped.
BOOST_AUTO_TEST_CASE(a_frozen_worker_is_not_taken_for_stalled)
{
    registry_fixture f;
    auto seen = f.status(boot("w"), 1000);
    seen.running = { { task("a"), run_number(1), checkpoint(), 40 } };
    f.registry.report(seen, f.table, f.now);
    const auto stalledFor = [&f] {
        const auto& run = f.registry.workerViews(f.table, f.now).at(worker_id("w")).running.at(task("a"));
        return run.reportedAt - run.progressedAt;
    };
    f.now += std::chrono::seconds(5);
    seen.clockMs += 50;
    f.registry.report(seen, f.table, f.now);
    BOOST_TEST((stalledFor() <= std::chrono::seconds(1)));
    for (int i = 0; i < 4; ++i) {
        f.now += std::chrono::milliseconds(900);
        seen.clockMs += 900;
        f.registry.report(seen, f.table, f.now);
    }
    BOOST_TEST((stalledFor() >= std::chrono::seconds(3)));
}

struct answer_row {
    const char* name;
    std::function<void(registry_fixture&)> change;
    std::int64_t waitedMs; ///< Since the last answer.
    bool isAnswered;
};
std::ostream& operator<<(std::ostream& out, const answer_row& row) { return out << row.name; }

const answer_row answerRows[] = {
    { "progress alone", [](registry_fixture&) {}, 700, false },
    { "renewal is due", [](registry_fixture&) {}, 1100, true },
    { "a start is outstanding", [](registry_fixture& f) { f.orderStart(boot("w")); }, 10, true },
    { "an end has been recorded", [](registry_fixture& f) { f.registry.didFinishRecordingEnds(boot("w"), 3, true); },
        10, true },
};

// Hundreds of workers report. Guards against a leader whose traffic grows with the reports and not with what there is
// to say, and against orders or renewals that wait.
BOOST_DATA_TEST_CASE(reports_are_answered_when_there_is_something_to_say, boost::unit_test::data::make(answerRows), row)
{
    registry_fixture f;
    f.registry.report(f.status(boot("w"), 1000), f.table, f.now);
    BOOST_REQUIRE(f.registry.answerTo(boot("w"), f.table, f.now).has_value());
    row.change(f);
    f.now += std::chrono::milliseconds(row.waitedMs);
    f.registry.report(f.status(boot("w"), 1000 + row.waitedMs), f.table, f.now);
    BOOST_TEST(f.registry.answerTo(boot("w"), f.table, f.now).has_value() == row.isAnswered);
}

// Guards against a plan for each report of progress.
BOOST_AUTO_TEST_CASE(reports_of_progress_change_no_capacity)
{
    registry_fixture f;
    BOOST_TEST(f.registry.report(f.status(boot("w"), 1000), f.table, f.now).changesCapacity);
    f.registry.workerViews(f.table, f.now);
    BOOST_TEST(!f.registry.report(f.status(boot("w"), 1400), f.table, f.now).changesCapacity);
    auto draining = f.status(boot("w"), 1800);
    draining.isDraining = true;
    BOOST_TEST(f.registry.report(draining, f.table, f.now).changesCapacity);
}

// Workers are cut off. Guards against starts that are sent to a worker which was not heard for two probes, and against
// its work being given up for that.
BOOST_AUTO_TEST_CASE(a_worker_that_is_not_heard_is_silent_and_keeps_its_runs)
{
    registry_fixture f;
    f.registry.report(f.status(boot("w"), 1000), f.table, f.now);
    f.orderStart(boot("w"));
    const auto isSilent = [&f] { return f.registry.workerViews(f.table, f.now).at(worker_id("w")).isSilent; };
    BOOST_TEST(!isSilent());
    f.now += std::chrono::milliseconds(600);
    BOOST_TEST(!isSilent());
    f.now += std::chrono::milliseconds(200);
    BOOST_TEST(isSilent());
    BOOST_TEST(f.registry.expiredRuns(f.table, f.now).empty());
    f.registry.recordContact(worker_id("w"), f.now);
    BOOST_TEST(!isSilent());
}

// Guards against a new leader that takes a worker for dead before the leases of its predecessor are over.
BOOST_AUTO_TEST_CASE(a_new_leader_waits_for_earlier_leases)
{
    registry_fixture f;
    f.orderStart(boot("w"));
    f.registry.startLeadership(f.now);
    BOOST_TEST(f.registry.expiredRuns(f.table, f.now + std::chrono::milliseconds(leaseMs)).empty());
    BOOST_TEST(f.registry.expiredRuns(f.table, f.now + std::chrono::milliseconds(leaseMs + 1000)).size() == 1U);
}

// After a power loss of everything the workers come back as new boots, and the new leader has no session of the old
// ones. Guards against their work waiting for the end of leases that nobody holds any more.
BOOST_AUTO_TEST_CASE(a_new_boot_at_an_address_ends_the_earlier_one)
{
    registry_fixture f;
    f.orderStart(boot("w", 1));
    f.registry.startLeadership(f.now);
    auto other = f.status(boot("x", 2), 10);
    other.address = "w:1";
    BOOST_TEST(f.registry.report(other, f.table, f.now).released.size() == 1U);
    // An announcement of an earlier boot that arrives late proves nothing.
    registry_fixture g;
    g.orderStart(boot("w", 5));
    auto stale = g.status(boot("x", 2), 10);
    stale.address = "w:1";
    BOOST_TEST(g.registry.report(stale, g.table, g.now).released.empty());
}

// Soak seed 33001: a worker crashes and comes back under its id before its sidecar knows, and takes a start that was
// meant for the earlier boot. Guards against that run being given up while it runs, and a second one beside it.
BOOST_AUTO_TEST_CASE(a_start_that_may_have_reached_the_next_boot_of_the_id_is_voided_there)
{
    registry_fixture f;
    f.registry.report(f.status(boot("w", 1), 5000), f.table, f.now);
    f.orderStart(boot("w", 1));
    auto next = f.status(boot("w", 2), 200);
    BOOST_TEST(f.registry.report(next, f.table, f.now).released.empty());
    const auto orders = f.registry.instructionsFor(boot("w", 2), f.table, f.now);
    BOOST_TEST(orders->starts.empty());
    BOOST_REQUIRE(orders->stops.size() == 1U);
    BOOST_TEST(f.registry.expiredRuns(f.table, f.now + std::chrono::seconds(1)).empty());
    next.clockMs = 500;
    next.refused = { { { task("a"), run_number(1) }, "stopped before its start" } };
    BOOST_TEST(f.registry.report(next, f.table, f.now).released.size() == 1U);
}

// Guards against waiting for a stop of work that died with its boot.
BOOST_AUTO_TEST_CASE(a_run_that_the_earlier_boot_listed_is_over_at_once)
{
    registry_fixture f;
    f.registry.report(f.status(boot("w", 1), 5000), f.table, f.now);
    f.orderStart(boot("w", 1));
    auto listing = f.status(boot("w", 1), 5300);
    listing.running = { { task("a"), run_number(1), {}, 10 } };
    f.registry.report(listing, f.table, f.now);
    BOOST_TEST(f.registry.report(f.status(boot("w", 2), 200), f.table, f.now).released.size() == 1U);
}

// A start that was given up is carried out late, so that the task runs a second time. Guards against such a run working
// to its end.
BOOST_AUTO_TEST_CASE(a_listed_run_that_is_over_for_the_table_is_stopped)
{
    registry_fixture f;
    f.registry.report(f.status(boot("w"), 1000), f.table, f.now);
    auto listing = f.status(boot("w"), 1300);
    listing.running = { { task("a"), run_number(1), {}, 10 } };
    f.registry.report(listing, f.table, f.now);
    const auto orders = f.registry.answerTo(boot("w"), f.table, f.now);
    BOOST_REQUIRE(orders.has_value());
    BOOST_REQUIRE(orders->stops.size() == 1U);
    BOOST_TEST((orders->stops.front() == run_key { task("a"), run_number(1) }));
}

// A worker reports again just after its lease was over, before the release of its runs is recorded. Guards against a
// start that is ordered for a run that is being given up.
BOOST_AUTO_TEST_CASE(a_run_that_is_being_given_up_is_not_started)
{
    registry_fixture f;
    f.orderStart(boot("w"));
    const auto later = f.now + std::chrono::seconds(10);
    BOOST_TEST(f.registry.expiredRuns(f.table, later).size() == 1U);
    f.registry.report(f.status(boot("w"), 11000), f.table, later);
    const auto orders = f.registry.instructionsFor(boot("w"), f.table, later);
    BOOST_TEST(orders->starts.empty());
    BOOST_TEST(orders->stops.size() == 1U);
}

// The first report to a new leader was held up, so that the lease that it grants ends before the one that its
// predecessor granted. Guards against work that is given up while its worker still holds it.
BOOST_AUTO_TEST_CASE(leases_of_the_former_leader_outlast_a_report_that_was_held_up)
{
    registry_fixture f;
    f.orderStart(boot("w"));
    f.registry.startLeadership(f.now);
    f.registry.report(f.status(boot("w"), 8800), f.table, f.now);
    f.registry.instructionsFor(boot("w"), f.table, f.now);
    auto listing = f.status(boot("w"), 12800);
    listing.running = { { task("a"), run_number(1), {}, 10 } };
    const auto soon = f.now + std::chrono::milliseconds(750);
    f.registry.report(listing, f.table, soon);
    BOOST_TEST(f.registry.expiredRuns(f.table, f.now + std::chrono::milliseconds(6400)).empty());
    BOOST_TEST(f.registry.expiredRuns(f.table, f.now + std::chrono::milliseconds(6600)).size() == 1U);
}

// Guards against a report that was held up and brings back a boot that is gone.
BOOST_AUTO_TEST_CASE(a_late_report_of_an_earlier_boot_changes_nothing)
{
    registry_fixture f;
    f.registry.report(f.status(boot("w", 2), 200), f.table, f.now);
    f.orderStart(boot("w", 2));
    f.registry.report(f.status(boot("w", 1), 90000), f.table, f.now);
    BOOST_TEST(f.registry.instructionsFor(boot("w", 2), f.table, f.now).has_value());
    BOOST_TEST(!f.registry.instructionsFor(boot("w", 1), f.table, f.now).has_value());
}

// Guards against a worker that refuses a start and is chosen again at once, dozens of times a second.
BOOST_AUTO_TEST_CASE(a_worker_that_refuses_a_start_gets_no_other_for_a_moment)
{
    registry_fixture f;
    f.registry.report(f.status(boot("w"), 1000), f.table, f.now);
    f.orderStart(boot("w"));
    auto refusing = f.status(boot("w"), 1010);
    refusing.refused = { { { task("a"), run_number(1) }, "room" } };
    BOOST_TEST(f.registry.report(refusing, f.table, f.now).released.size() == 1U);
    BOOST_TEST((f.registry.workerViews(f.table, f.now).at(worker_id("w")).avoidUntil > f.now));
}

// A worker may carry out an order seconds late, while its lease is renewed. Guards against a lost start whose run is
// given up before a stop has made the worker refuse it, and against the start being ordered again after that.
BOOST_AUTO_TEST_CASE(an_unconfirmed_start_is_repeated_and_then_voided_by_a_stop)
{
    registry_fixture f;
    f.registry.report(f.status(boot("w"), 1000), f.table, f.now);
    f.orderStart(boot("w"));
    BOOST_TEST(f.registry.instructionsFor(boot("w"), f.table, f.now)->starts.size() == 1U);
    f.registry.report(f.status(boot("w"), 2400), f.table, f.now + std::chrono::milliseconds(1400));
    BOOST_TEST(f.registry.instructionsFor(boot("w"), f.table, f.now + std::chrono::milliseconds(1400))->stops.empty());
    for (const std::int64_t later : { 1600, 1700, 1900 }) {
        const auto then = f.now + std::chrono::milliseconds(later);
        BOOST_TEST(f.registry.report(f.status(boot("w"), 1000 + later), f.table, then).released.empty());
        const auto orders = f.registry.instructionsFor(boot("w"), f.table, then);
        BOOST_TEST(orders->starts.empty());
        BOOST_TEST(orders->stops.size() == 1U);
    }
    auto confirmed = f.status(boot("w"), 3100);
    confirmed.refused = { { { task("a"), run_number(1) }, "stopped" } };
    const auto then = f.now + std::chrono::milliseconds(2100);
    BOOST_TEST(f.registry.report(confirmed, f.table, then).released.size() == 1U);
    // The release is not recorded yet; the run must not be ordered again meanwhile.
    f.registry.report(f.status(boot("w"), 3200), f.table, then);
    BOOST_TEST(f.registry.instructionsFor(boot("w"), f.table, then)->starts.empty());
}

// After a cut the reports that were held up arrive first. Guards against starts on a worker that is still cut off.
BOOST_AUTO_TEST_CASE(a_report_that_was_held_up_does_not_make_a_worker_reachable)
{
    registry_fixture f;
    f.registry.report(f.status(boot("w"), 1000), f.table, f.now);
    BOOST_TEST(f.registry.workerViews(f.table, f.now).at(worker_id("w")).isReachable);
    const auto later = f.now + std::chrono::seconds(6);
    f.registry.report(f.status(boot("w"), 1900), f.table, later);
    BOOST_TEST(!f.registry.workerViews(f.table, later).at(worker_id("w")).isReachable);
    f.registry.report(f.status(boot("w"), 7000), f.table, later);
    f.registry.report(f.status(boot("w"), 7300), f.table, later + std::chrono::milliseconds(300));
    BOOST_TEST(f.registry.workerViews(f.table, later + std::chrono::milliseconds(300)).at(worker_id("w")).isReachable);
}

// Guards against an end that is acknowledged to the worker before it is recorded.
BOOST_AUTO_TEST_CASE(ends_are_acknowledged_after_they_are_recorded)
{
    registry_fixture f;
    f.registry.report(f.status(boot("w"), 1000), f.table, f.now);
    f.orderStart(boot("w"));
    auto ended = f.status(boot("w"), 1500);
    ended.ended = { { 3, task("a"), run_number(1), end_kind::done, {} } };
    BOOST_TEST(f.registry.report(ended, f.table, f.now).ends.ends.size() == 1U);
    BOOST_TEST(f.registry.instructionsFor(boot("w"), f.table, f.now)->acknowledged == 0U);
    BOOST_TEST(f.registry.report(ended, f.table, f.now).ends.ends.empty());
    f.registry.didFinishRecordingEnds(boot("w"), 3, false);
    BOOST_TEST(f.registry.report(ended, f.table, f.now).ends.ends.size() == 1U);
    f.registry.didFinishRecordingEnds(boot("w"), 3, true);
    BOOST_TEST(f.registry.instructionsFor(boot("w"), f.table, f.now)->acknowledged == 3U);
}

// Load: one worker fails whatever it starts. Guards against it drawing all waiting tasks and using up their attempts.
BOOST_AUTO_TEST_CASE(a_worker_that_fails_everything_is_avoided_for_longer_each_time)
{
    registry_fixture f;
    std::uint64_t number = 0;
    duration last {};
    for (int round = 0; round < 3; ++round) {
        auto failing = f.status(boot("w"), 1000 + round);
        failing.ended = { { ++number, task("a"), run_number(1), end_kind::failed, {} } };
        f.registry.report(failing, f.table, f.now);
        const auto pause = f.registry.workerViews(f.table, f.now).at(worker_id("w")).avoidUntil - f.now;
        BOOST_TEST(pause.count() > last.count());
        last = pause;
    }
}

// Guards against a new leader that has to learn again which workers are slow, in the middle of a burst.
BOOST_AUTO_TEST_CASE(a_new_leader_knows_the_slow_workers)
{
    registry_fixture f;
    f.submit("many", "bulk", { step(40, need(1)) });
    for (std::uint32_t i = 0; i < 40; ++i)
        f.start(task("many", 0, i), 1, boot("w" + std::to_string(i % 8)));
    for (const std::uint32_t slow : { 0U, 1U }) {
        f.ms += slow == 0 ? 5000 : 1500;
        for (std::uint32_t i = 0; i < 40; ++i) {
            if ((i % 8 == 3) == (slow == 1))
                f.end(boot("w" + std::to_string(i % 8)), task("many", 0, i), 1, end_kind::done);
        }
    }
    f.registry.startLeadership(f.now);
    for (const auto* id : { "w2", "w3" })
        f.registry.report(f.status(boot(id), 1000), f.table, f.now);
    const auto& workerViews = f.registry.workerViews(f.table, f.now);
    BOOST_TEST(workerViews.at(worker_id("w3")).slowness > 1.15);
    BOOST_TEST(workerViews.at(worker_id("w2")).slowness < 1.05);
}

// A checkpointable task reports every 250 ms and saves now and then; a new leader has seen no change yet. Guards
// against a checkpoint that is taken for newer than it is, as its run would be stopped in place of one that loses less.
BOOST_AUTO_TEST_CASE(checkpoints_are_as_old_as_the_report_before_them)
{
    registry_fixture f;
    f.registry.report(f.status(boot("w"), 1000), f.table, f.now);
    f.orderStart(boot("w"));
    std::vector<std::optional<instant>> seen;
    std::int64_t clock = 1000;
    for (const auto* saved : { "a", "a", "b", "b", "c" }) {
        f.now += std::chrono::milliseconds(250);
        auto status = f.status(boot("w"), clock += 250);
        status.running = { { task("a"), run_number(1), checkpoint(saved), 10 } };
        f.registry.report(status, f.table, f.now);
        seen.push_back(f.registry.workerViews(f.table, f.now).at(worker_id("w")).running.at(task("a")).savedAt);
    }
    const std::vector<std::optional<instant>> expected { std::nullopt, std::nullopt, at(100500), at(100500),
        at(101000) };
    BOOST_TEST((seen == expected));
}

// Guards against a beginning that is recorded nowhere, or again and again.
BOOST_FIXTURE_TEST_CASE(a_listed_run_shows_that_its_job_has_begun, registry_fixture)
{
    const auto w = boot("w");
    registry.report(status(w, 1000), table, now);
    orderStart(w);
    registry.report(status(w, 1100), table, now);
    BOOST_TEST(registry.begunJobs().empty());
    auto listing = status(w, 1200);
    listing.running = { { task("a"), run_number(1), {}, 0 }, { task("none"), run_number(1), {}, 0 } };
    registry.report(listing, table, now);
    BOOST_TEST((registry.begunJobs() == std::set { submission_id("a") }));
    registry.startLeadership(now);
    BOOST_TEST(registry.begunJobs().empty());
    BOOST_TEST(registry.mayBeAtWork(w, now)); // It has had no time to report.
    listing.clockMs = 1300;
    registry.report(listing, table, now);
    BOOST_TEST(registry.begunJobs().size() == 1U);
    apply(record_begins { { submission_id("a") } });
    registry.eraseRecordedBegins(table);
    BOOST_TEST(registry.begunJobs().empty());
    BOOST_TEST(registry.mayBeAtWork(w, now + std::chrono::seconds(1)));
    BOOST_TEST(!registry.mayBeAtWork(w, now + std::chrono::seconds(4)));
    BOOST_TEST(!registry.mayBeAtWork(boot("other"), now + std::chrono::seconds(4)));
}
