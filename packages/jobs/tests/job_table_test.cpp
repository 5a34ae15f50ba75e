#include "earlier_snapshots.h"
#include "job_fixture.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <poplardeal/base/compression.h>

using namespace poplardeal;
using namespace poplardeal::test;

// Guards against a plan with an older or equal version replacing the current plan.
BOOST_AUTO_TEST_CASE(only_higher_plan_versions_take_effect)
{
    table_fixture f;
    auto other = plan(1);
    other.document = "other";
    BOOST_TEST((f.apply(accept_plan { other }) == apply_outcome::unchanged));
    BOOST_TEST(f.table.plan().document == "{}");
    BOOST_TEST((f.apply(accept_plan { plan(9) }) == apply_outcome::applied));
    BOOST_TEST((f.apply(accept_plan { plan(3) }) == apply_outcome::unchanged));
    BOOST_TEST(f.table.plan().version.value() == 9);
}

// Guards against a retried submission that creates a second job, also after the first job has ended.
BOOST_AUTO_TEST_CASE(retried_submissions_are_one_job)
{
    table_fixture f;
    BOOST_TEST((f.submit("a", "bulk", { step(1, need(1)) }) == apply_outcome::applied));
    BOOST_TEST((f.submit("a", "bulk", { step(1, need(1)) }) == apply_outcome::unchanged));
    f.start(task("a"), 1, boot("w"));
    f.end(boot("w"), task("a"), 1, end_kind::done);
    BOOST_TEST((f.submit("a", "bulk", { step(1, need(1)) }) == apply_outcome::unchanged));
    BOOST_TEST((f.phaseOf("a") == submission_phase::completed));
}

// Guards against a step that starts before the steps in its `after` list are done.
BOOST_AUTO_TEST_CASE(steps_wait_for_earlier_steps)
{
    table_fixture f;
    auto second = step(1, need(1));
    second.after = { 0 };
    f.submit("a", "bulk", { step(1, need(1)), second });
    BOOST_TEST((f.start(task("a", 1), 1, boot("w")) == apply_outcome::refused));
    f.start(task("a", 0), 1, boot("w"));
    BOOST_TEST((f.start(task("a", 1), 1, boot("w")) == apply_outcome::refused));
    f.end(boot("w"), task("a", 0), 1, end_kind::done);
    BOOST_TEST((f.start(task("a", 1), 1, boot("w")) == apply_outcome::applied));
}

// Guards against two simultaneous runs of one task, and against reuse of a run number.
BOOST_AUTO_TEST_CASE(a_task_has_one_run_at_a_time)
{
    table_fixture f;
    f.submit("a", "bulk", { step(1, need(1)) });
    f.start(task("a"), 1, boot("w"));
    BOOST_TEST((f.start(task("a"), 2, boot("v")) == apply_outcome::refused));
    f.end(boot("w"), task("a"), 1, end_kind::stopped, "c1");
    BOOST_TEST((f.start(task("a"), 1, boot("v")) == apply_outcome::refused));
    BOOST_TEST((f.start(task("a"), 2, boot("v")) == apply_outcome::applied));
    BOOST_TEST(f.table.findUnit(task("a"))->saved.value() == "c1");
}

// Guards against counting ends other than failures as attempts, and against a start after the last attempt.
BOOST_AUTO_TEST_CASE(only_failures_use_up_attempts)
{
    table_fixture f;
    f.submit("a", "normal", { step(1, need(1)) });
    std::uint32_t run = 0;
    for (const auto kind : { end_kind::stopped, end_kind::lease_expired, end_kind::gang_member_ended,
             end_kind::gang_incomplete, end_kind::failed }) {
        f.start(task("a"), ++run, boot("w"));
        f.end(boot("w"), task("a"), run, kind);
        BOOST_TEST((f.phaseOf("a") == submission_phase::running));
    }
    f.start(task("a"), ++run, boot("w"));
    f.end(boot("w"), task("a"), run, end_kind::failed);
    BOOST_TEST((f.phaseOf("a") == submission_phase::failed));
    BOOST_TEST((f.start(task("a"), ++run, boot("w")) == apply_outcome::refused));
}

// Guards against a gang that restarts while a member of its previous run may still exist.
BOOST_AUTO_TEST_CASE(a_gang_restarts_after_all_members_have_ended)
{
    table_fixture f;
    auto gang = step(2, need(8));
    gang.gang = true;
    f.submit("a", "normal", { gang });
    const auto startBoth = [&](std::uint32_t run) {
        return f.apply(start_tasks { { { task("a", 0, 0), run_number(run), boot("w"), "w:1" },
            { task("a", 0, 1), run_number(run), boot("v"), "v:1" } } });
    };
    BOOST_TEST((startBoth(1) == apply_outcome::applied));
    f.end(boot("w"), task("a", 0, 0), 1, end_kind::failed);
    BOOST_TEST((startBoth(2) == apply_outcome::refused));
    f.end(boot("v"), task("a", 0, 1), 1, end_kind::gang_member_ended);
    BOOST_TEST((startBoth(2) == apply_outcome::applied));
    f.end(boot("v"), task("a", 0, 1), 2, end_kind::done);
    BOOST_TEST((f.phaseOf("a") == submission_phase::completed));
    BOOST_TEST(f.table.runsByWorker().empty());
}

// Guards against a delayed report of an earlier run that ends the current run.
BOOST_AUTO_TEST_CASE(ends_of_earlier_runs_change_nothing)
{
    table_fixture f;
    f.submit("a", "bulk", { step(1, need(1)) });
    f.start(task("a"), 1, boot("w"));
    f.apply(release_runs { { { task("a"), run_number(1), checkpoint("c") } } });
    f.start(task("a"), 2, boot("v"));
    f.end(boot("w"), task("a"), 1, end_kind::lease_expired);
    BOOST_TEST(f.table.findUnit(task("a"))->isActive());
}

// Guards against starts after a job was cancelled, and against losing the runs of a terminal job.
BOOST_AUTO_TEST_CASE(a_cancelled_job_starts_nothing)
{
    table_fixture f;
    f.submit("a", "bulk", { step(2, need(1)) });
    f.start(task("a", 0, 0), 1, boot("w"));
    BOOST_TEST((f.apply(cancel_submission { submission_id("a") }) == apply_outcome::applied));
    BOOST_TEST((f.start(task("a", 0, 1), 1, boot("w")) == apply_outcome::refused));
    BOOST_TEST(f.table.openJobs().size() == 1U);
    f.end(boot("w"), task("a", 0, 0), 1, end_kind::stopped);
    BOOST_TEST(f.table.openJobs().empty());
    BOOST_TEST((f.apply(cancel_submission { submission_id("none") }) == apply_outcome::not_found));
}

// Guards against a long-running task whose end completes or fails its job.
BOOST_AUTO_TEST_CASE(long_running_tasks_are_restarted_however_they_end)
{
    table_fixture f;
    auto lasting = step(1, need(1));
    lasting.longRunning = true;
    f.submit("a", "normal", { lasting });
    std::uint32_t run = 0;
    for (const auto kind :
        { end_kind::done, end_kind::failed, end_kind::failed, end_kind::failed, end_kind::stopped }) {
        BOOST_TEST((f.start(task("a"), ++run, boot("w")) == apply_outcome::applied));
        f.end(boot("w"), task("a"), run, kind);
        BOOST_TEST((f.phaseOf("a") == submission_phase::running));
    }
}

// Guards against a snapshot that loses jobs, runs, addresses or data centres out of service.
BOOST_AUTO_TEST_CASE(snapshots_are_complete)
{
    table_fixture f;
    f.submit("a", "bulk", { step(2, need(1)) });
    f.submit("b", "bulk", { step(1, need(1)) });
    f.apply(set_data_centre { data_centre_name("east"), false });
    f.start(task("a", 0, 1), 1, boot("w"));
    f.apply(record_begins { { submission_id("a") } });
    job_table copy;
    BOOST_REQUIRE(copy.restore(f.table.save()).has_value());
    BOOST_TEST(copy.save() == f.table.save());
    BOOST_TEST((copy.runsByWorker() == f.table.runsByWorker()));
    BOOST_TEST(copy.addressOf(boot("w")) == "w:1");
    BOOST_TEST((copy.openJobs() == f.table.openJobs()));
    BOOST_TEST(!copy.isInService(data_centre_name("east")));
    BOOST_TEST(copy.pendingCount(queue_name("bulk")) == 1U);
    BOOST_TEST(copy.restore("damaged").has_error());
}

// Guards against a control that cannot read its data folder after an upgrade.
BOOST_AUTO_TEST_CASE(a_snapshot_of_the_version_before_is_read)
{
    job_table table;
    BOOST_REQUIRE(table.restore(fromHex(snapshotWithoutArchive)).has_value());
    const auto& job = *table.find(submission_id("a"));
    BOOST_TEST((table.find(submission_id("b"))->phase == submission_phase::cancelled));
    BOOST_TEST(table.openJobs().size() == 1U);
    BOOST_TEST(table.runsOn(boot("w")).size() == 1U);
    BOOST_TEST(job.spec.steps[1].gang);
    BOOST_TEST(job.activeUnits == 1U);
    const auto& failed = job.occurrences[0].steps[0].units[0];
    BOOST_TEST(failed.failures == 1U);
    BOOST_TEST(failed.saved.value() == "s");
    job_table copy;
    BOOST_REQUIRE(copy.restore(table.save()).has_value());
    BOOST_TEST((*copy.find(submission_id("a")) == job));
    BOOST_TEST(copy.footprint() == table.footprint());
}

namespace {

struct snapshot_row {
    std::string name;
    std::uint32_t steps;
    std::uint32_t count;
    std::uint32_t occurrences;
    bool hasFailures; ///< Each task has failed once, at a time of its own, so that no two are equal.
};
std::ostream& operator<<(std::ostream& out, const snapshot_row& row) { return out << row.name; }

const snapshot_row snapshotRows[] = {
    { "65,536 tasks that wait", 16, 4096, 0, false },
    { "16,384 tasks that have failed", 4, 4096, 0, true },
    { "hourly for a year", 1, 1, 8760, false },
};

} // namespace

// A job of legal size. Guards against a snapshot that takes several times the memory of the jobs while it is made,
// which took controls over their memory again at each restart (review, cases 11 and 12).
BOOST_DATA_TEST_CASE(snapshots_are_smaller_than_the_jobs, snapshotRows, row)
{
    table_fixture f;
    submission_spec spec;
    spec.steps.assign(row.steps, step(row.count, need(0, 1)));
    spec.occurrences = row.occurrences;
    f.apply(accept_submission { submission_id("a"), queue_name("bulk"), workspace_name("league"), spec });
    for (std::uint32_t s = 0; s < row.steps && row.hasFailures; ++s) {
        for (std::uint32_t i = 0; i < row.count; ++i) {
            ++f.ms;
            f.start(task("a", s, i), 1, boot("w"));
            f.end(boot("w"), task("a", s, i), 1, end_kind::failed);
        }
    }
    const auto saved = f.table.save();
    BOOST_TEST(decompress(saved, f.table.footprint()).has_value());
    job_table copy;
    BOOST_REQUIRE(copy.restore(saved).has_value());
    BOOST_TEST((*copy.find(submission_id("a")) == *f.table.find(submission_id("a"))));
}

// Guards against jobs that take memory for as long as their state may be asked for, and against room that is never
// given back to their workspace.
BOOST_AUTO_TEST_CASE(jobs_count_until_they_end)
{
    table_fixture f;
    const auto footprintIn = [&f](const char* name) { return f.table.footprint(workspace_name(name)); };
    f.submit("a", "bulk", { step(2, need(1)) });
    f.submit("b", "bulk", { step(100, need(1)) });
    f.submit("c", "bulk", { step(1, need(1)) }, "club");
    const auto small = footprintIn("club");
    BOOST_TEST(small > 0U);
    BOOST_TEST(footprintIn("league") > 100 * sizeof(unit));
    BOOST_TEST(f.table.footprint() == small + footprintIn("league"));
    f.start(task("b"), 1, boot("w"));
    f.apply(cancel_submission { submission_id("b") });
    BOOST_TEST(footprintIn("league") > 100 * sizeof(unit));
    f.end(boot("w"), task("b"), 1, end_kind::stopped);
    BOOST_TEST(footprintIn("league") == footprintOf(f.table.find(submission_id("a"))->spec));
    for (const std::uint32_t i : { 0U, 1U }) {
        f.start(task("a", 0, i), 1, boot("w"));
        f.end(boot("w"), task("a", 0, i), 1, end_kind::done);
    }
    BOOST_TEST((f.phaseOf("a") == submission_phase::completed));
    BOOST_TEST(f.table.footprint() == small);
    BOOST_TEST((f.submit("a", "bulk", { step(2, need(1)) }) == apply_outcome::unchanged));
    // A report that was held up.
    f.end(boot("w"), task("a"), 1, end_kind::done);
    BOOST_TEST((f.phaseOf("a") == submission_phase::completed));
    job_table copy;
    BOOST_REQUIRE(copy.restore(f.table.save()).has_value());
    BOOST_TEST(copy.footprint(workspace_name("club")) == small);
    BOOST_TEST(copy.footprint() == small);
}

// Guards against ended jobs whose tasks fill the memory until their state is forgotten.
BOOST_AUTO_TEST_CASE(large_ended_jobs_keep_their_state_only)
{
    table_fixture f;
    const std::vector<step_spec> wide(16, step(4096, need(1)));
    for (const char* id : { "a", "b", "c" }) {
        f.submit(id, "bulk", wide);
        f.apply(cancel_submission { submission_id(id) });
        BOOST_TEST((f.phaseOf(id) == submission_phase::cancelled));
    }
    BOOST_TEST(f.table.find(submission_id("a"))->occurrences.size() == 1U);
    BOOST_TEST(f.table.find(submission_id("b"))->occurrences.empty());
    job_table copy;
    BOOST_REQUIRE(copy.restore(f.table.save()).has_value());
    BOOST_TEST((*copy.find(submission_id("a")) == *f.table.find(submission_id("a"))));
    BOOST_TEST(copy.find(submission_id("c"))->occurrences.empty());
    f.ms += 700'000;
    f.submit("d", "bulk", wide);
    f.apply(cancel_submission { submission_id("d") });
    BOOST_TEST(f.table.find(submission_id("a")) == nullptr);
    BOOST_TEST(f.table.find(submission_id("d"))->occurrences.size() == 1U);
}

// Guards against losing measured run times when the leader changes, and against measuring runs that resumed from a
// checkpoint, which are shorter than complete runs.
BOOST_FIXTURE_TEST_CASE(run_times_are_recorded_and_restored_from_a_snapshot, table_fixture)
{
    const auto w = boot("w1");
    submit("a", "normal", { step(2, need(1), 500) });
    start(task("a"), 1, w);
    start(task("a", 0, 1), 1, w);
    ms += 4000;
    end(w, task("a"), 1, end_kind::done);
    end(w, task("a", 0, 1), 1, end_kind::done);
    BOOST_TEST(table.runTimes().records().at(queue_name("normal")).count == 1U);
    submit("b", "normal", { step(1, need(1), 500) });
    start(task("b"), 1, w);
    end(w, task("b"), 1, end_kind::stopped, "saved");
    start(task("b"), 2, w);
    ms += 1000;
    end(w, task("b"), 2, end_kind::done);
    BOOST_TEST(table.runTimes().records().at(queue_name("normal")).count == 1U);
    job_table copy;
    BOOST_REQUIRE(copy.restore(table.save()).has_value());
    BOOST_TEST((copy.runTimes().records() == table.runTimes().records()));
    const auto& job = *table.find(submission_id("a"));
    BOOST_TEST((table.expectedRunTime(job, step(2, need(1), 500)) > std::chrono::milliseconds(700)));
}

namespace {

struct begin_row {
    std::string name;
    std::function<void(table_fixture&)> change; ///< After the start of the first of two tasks has been ordered.
    std::size_t pending;
    submission_phase phase;
};
std::ostream& operator<<(std::ostream& out, const begin_row& row) { return out << row.name; }

void release(table_fixture& f) { f.apply(release_runs { { { task("a"), run_number(1), {} } } }); }
void recordBegin(table_fixture& f) { f.apply(record_begins { { submission_id("a"), submission_id("none") } }); }

const std::vector<begin_row> beginRows {
    { "ordered", [](table_fixture&) {}, 1, submission_phase::running },
    { "refused, or lost before it began", release, 1, submission_phase::queued },
    { "begun", recordBegin, 0, submission_phase::running },
    { "lost after it had begun",
        [](table_fixture& f) {
            recordBegin(f);
            release(f);
        },
        0, submission_phase::running },
    { "ended before it was seen to run",
        [](table_fixture& f) { f.end(boot("w"), task("a"), 1, end_kind::stopped, "s"); }, 0,
        submission_phase::running },
    { "cancelled", [](table_fixture& f) { f.apply(cancel_submission { submission_id("a") }); }, 0,
        submission_phase::cancelled },
};

} // namespace

// Guards against jobs that are left out of `pending`, or shown as running for good, though no worker has begun them
// (review, case 14).
BOOST_DATA_TEST_CASE_F(table_fixture, a_job_is_pending_until_a_task_has_begun, beginRows, row)
{
    submit("a", "bulk", { step(2, need(1)) });
    start(task("a"), 1, boot("w"));
    row.change(*this);
    BOOST_TEST(table.pendingCount(queue_name("bulk")) == row.pending);
    BOOST_TEST((phaseOf("a") == row.phase));
    job_table copy;
    BOOST_REQUIRE(copy.restore(table.save()).has_value());
    BOOST_TEST(copy.pendingCount(queue_name("bulk")) == row.pending);
    BOOST_TEST(copy.pendingCount(queue_name("bulk"), { submission_id("a") }) == 0U);
}

// Guards against a job that takes memory for all its occurrences from its acceptance to its end (review, case 12).
BOOST_AUTO_TEST_CASE(equal_occurrences_share_their_memory)
{
    constexpr std::uint32_t occurrences = 8760;
    table_fixture f;
    submission_spec spec;
    spec.steps = { step(1, need(1)) };
    spec.occurrences = occurrences;
    f.apply(accept_submission { submission_id("a"), queue_name("bulk"), workspace_name("league"), spec });
    const auto accepted = f.table.footprint();
    BOOST_TEST(accepted < occurrences * sizeof(job_occurrence));
    const auto play = [&f](std::uint32_t occurrence) {
        const task_key each { submission_id("a"), occurrence, 0, 0 };
        f.start(each, 1, boot("w"));
        BOOST_TEST(f.table.findUnit(each)->isActive());
        f.end(boot("w"), each, 1, end_kind::done);
    };
    f.end(boot("w"), { submission_id("a"), 9, 0, 0 }, 1, end_kind::stopped); // Of no run.
    for (const std::uint32_t occurrence : { 0U, 1U, 3U, 2U, 4U })
        play(occurrence);
    // Those that are done and those that wait.
    BOOST_TEST(f.table.footprint() == accepted + occurrenceFootprint(spec));
    BOOST_TEST(!f.table.findUnit({ submission_id("a"), 5, 0, 0 })->isActive());
    job_table copy;
    BOOST_REQUIRE(copy.restore(f.table.save()).has_value());
    BOOST_TEST(copy.footprint() == f.table.footprint());
    BOOST_TEST((*copy.find(submission_id("a")) == *f.table.find(submission_id("a"))));
    copy.apply({ at(f.ms), cancel_submission { submission_id("a") } });
    copy.apply(
        { at(f.ms), record_ends { boot("w"), { { 1, { submission_id("a"), 7, 0, 0 }, run_number(1), {}, {} } } } });
    BOOST_TEST(copy.footprint() == 0U); // Also after an end that was held up.
    for (std::uint32_t o = 5; o < occurrences; ++o)
        play(o);
    BOOST_TEST((f.phaseOf("a") == submission_phase::completed));
    BOOST_TEST(f.table.footprint() == 0U);
}
