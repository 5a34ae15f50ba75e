#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <poplardeal/placement/baseline.h>
#include <poplardeal/placement/scheduler.h>

using namespace poplardeal;
using namespace std::chrono_literals;

namespace {

const resources workerCapacity { cores(128), mebibytes(262144), accelerators(8) };

job_template jobOf(const char* name, std::int64_t tasks, std::int64_t cpu, std::int64_t accelerator, scope within,
    job_priority priority, std::int64_t maxRestarts = 1)
{
    return { job_name(name), tasks, { cores(cpu), mebibytes(1024), accelerators(accelerator) }, within, priority, 600s,
        maxRestarts, "run" };
}

/// Two data centres with one rack of two workers each; "film" is guaranteed two whole workers in a rack.
deployment planOf()
{
    deployment plan;
    plan.dataCentres
        = { { data_centre_name("a"), region_name("r"), true }, { data_centre_name("b"), region_name("r"), true } };
    plan.workerPools = { { data_centre_name("a"), rack_name("a1"), 2, workerCapacity },
        { data_centre_name("b"), rack_name("b1"), 2, workerCapacity } };
    const resources quota { cores(512), mebibytes(1048576), accelerators(32) };
    const std::vector<job_template> jobs { jobOf("pair", 2, 32, 8, scope::rack, job_priority::guaranteed),
        jobOf("whole", 1, 32, 8, scope::worker, job_priority::borrowed),
        jobOf("small", 1, 4, 1, scope::anywhere, job_priority::borrowed),
        jobOf("hurry", 1, 8, 8, scope::worker, job_priority::urgent),
        jobOf("triple", 3, 32, 8, scope::rack, job_priority::borrowed),
        jobOf("huge", 5, 32, 8, scope::anywhere, job_priority::borrowed) };
    plan.workspaces = { { workspace_name("film"), quota, { { 2, accelerators(8), scope::rack, 1 } }, jobs },
        { workspace_name("guest"), quota, {}, jobs } };
    return plan;
}

/// A scheduler with four workers, and short words for what happens to it.
struct rules_fixture {
    rules_fixture()
    {
        apply(deployment_changed { planOf() });
        for (const auto* name : { "a-1", "a-2", "b-1", "b-2" })
            apply(worker_joined { specOf(name) });
    }

    static worker_spec specOf(const std::string& name)
    {
        const auto centre = name.substr(0, 1);
        return { worker_id(name), incarnation(1), data_centre_name(centre), rack_name(centre + "1"), workerCapacity };
    }

    void apply(const placement_event& event)
    {
        for (auto& command : s.apply(event, now))
            commands.push_back(std::move(command));
    }

    job_id submit(const char* owner, const char* name)
    {
        const job_id id(++last);
        apply(job_submitted { id, workspace_name(owner), job_name(name) });
        return id;
    }

    void report(const task_placement& task, task_report_kind kind)
    {
        apply(task_reported { task.task, task.lease, kind, "" });
    }

    void reportAll(job_id id, task_report_kind kind)
    {
        for (const auto& task : tasksOf(id))
            report(task, kind);
    }

    job_id run(const char* owner, const char* name)
    {
        const auto id = submit(owner, name);
        reportAll(id, task_report_kind::prepared);
        reportAll(id, task_report_kind::started);
        return id;
    }

    void wait(duration length)
    {
        now += length;
        apply(time_passed {});
    }

    template <class Command> std::size_t count()
    {
        const auto is = [](const placement_command& c) { return std::holds_alternative<Command>(c); };
        return static_cast<std::size_t>(std::count_if(commands.begin(), commands.end(), is));
    }

    std::vector<task_placement> tasksOf(job_id id) const
    {
        const auto status = s.job(id);
        return status->tasks;
    }

    job_phase phase(job_id id) const { return s.job(id)->phase; }

    scheduler s;
    std::vector<placement_command> commands;
    instant now { 1s };
    std::uint64_t last { 0 };
};

} // namespace

namespace poplardeal {
std::ostream& operator<<(std::ostream& out, job_phase phase) { return out << toString(phase); }
std::ostream& operator<<(std::ostream& out, run_verdict verdict) { return out << toString(verdict); }
} // namespace poplardeal

BOOST_FIXTURE_TEST_SUITE(scheduler_rules, rules_fixture)

// Guards against a gang of which some tasks start before all are prepared.
BOOST_AUTO_TEST_CASE(gang_starts_only_when_all_tasks_are_prepared)
{
    const auto id = submit("film", "pair");
    const auto tasks = tasksOf(id);
    BOOST_REQUIRE(tasks.size() == 2);
    report(tasks[0], task_report_kind::prepared);
    BOOST_TEST(count<start_task>() == 0);
    BOOST_TEST(!s.mayStart(tasks[0].task, tasks[0].lease));
    report(tasks[1], task_report_kind::prepared);
    BOOST_TEST(count<start_task>() == 2);
    BOOST_TEST(s.mayStart(tasks[0].task, tasks[0].lease));
}

// Guards against a gang that keeps half of its resources when one worker refuses or is late.
BOOST_DATA_TEST_CASE_F(
    rules_fixture, failed_prepare_releases_the_gang, boost::unit_test::data::make({ false, true }), isLate)
{
    const auto id = submit("film", "pair");
    const auto tasks = tasksOf(id);
    report(tasks[0], task_report_kind::prepared);
    if (isLate)
        wait(3s);
    else
        report(tasks[1], task_report_kind::prepare_refused);
    BOOST_TEST(phase(id) == job_phase::waiting);
    BOOST_TEST(count<release_task>() == (isLate ? 2U : 1U));
    BOOST_TEST(count<start_task>() == 0);
    BOOST_TEST(s.job(id)->verdict == run_verdict::not_run);
}

struct refusal_row {
    const char* owner;
    const char* job;
    const char* reason;
};
std::ostream& operator<<(std::ostream& out, const refusal_row& row) { return out << row.job; }

const refusal_row refusalRows[] = { { "film", "triple", "no rack" }, { "film", "huge", "quota" },
    { "film", "other", "no job other" }, { "nobody", "pair", "does not exist" } };

// Guards against jobs that wait forever although they can never run.
BOOST_DATA_TEST_CASE_F(rules_fixture, impossible_jobs_are_refused_at_once, refusalRows, row)
{
    const auto id = submit(row.owner, row.job);
    BOOST_TEST(phase(id) == job_phase::refused);
    BOOST_TEST(s.job(id)->verdict == run_verdict::not_run);
    BOOST_TEST(s.job(id)->reason.find(row.reason) != std::string::npos);
}

// Guards against a guarantee that is lost to borrowers, and against borrowers that are stopped without a checkpoint.
BOOST_AUTO_TEST_CASE(guarantee_is_taken_back_from_borrowers)
{
    for (int i = 0; i < 4; ++i)
        run("guest", "whole");
    const auto id = submit("film", "pair");
    BOOST_TEST(phase(id) == job_phase::waiting);
    BOOST_TEST(count<checkpoint_task>() == 2);
    BOOST_TEST(count<stop_task>() == 0);
    for (std::uint64_t other = 1; other <= 4; ++other) {
        if (phase(job_id(other)) != job_phase::stopping)
            continue;
        reportAll(job_id(other), task_report_kind::checkpointed);
        reportAll(job_id(other), task_report_kind::stopped);
    }
    BOOST_TEST(count<stop_task>() == 2);
    BOOST_TEST(phase(id) == job_phase::preparing);
    BOOST_TEST(s.job(id)->guaranteed);
}

// Guards against a worker that answers no stop and so keeps a guarantee from being taken back within 5.4 s.
BOOST_AUTO_TEST_CASE(silent_worker_is_avoided_when_a_guarantee_is_taken_back)
{
    for (int i = 0; i < 4; ++i)
        run("guest", "whole");
    const auto id = submit("film", "pair");
    const auto begin = now;
    std::vector<worker_id> silent;
    for (std::uint64_t other = 1; other <= 4 && silent.empty(); ++other) {
        if (phase(job_id(other)) == job_phase::stopping)
            silent.push_back(tasksOf(job_id(other))[0].worker);
    }
    while (phase(id) != job_phase::running && now < begin + 5400ms) {
        wait(100ms);
        for (std::uint64_t other = 1; other <= last; ++other) {
            for (const auto& task : tasksOf(job_id(other))) {
                if (task.worker == silent[0])
                    continue;
                const auto stops = phase(job_id(other)) == job_phase::stopping;
                report(task, stops ? task_report_kind::checkpointed : task_report_kind::prepared);
                if (stops)
                    report(task, task_report_kind::stopped);
            }
        }
    }
    BOOST_TEST(phase(id) == job_phase::running);
}

// Guards against urgent work that waits behind borrowed work.
BOOST_AUTO_TEST_CASE(urgent_job_stops_borrowed_work)
{
    for (int i = 0; i < 2; ++i) {
        run("guest", "whole");
        run("film", "whole");
    }
    submit("guest", "hurry");
    BOOST_TEST(count<checkpoint_task>() == 1);
}

// Guards against starts in a data centre that is out, and tasks that stay there.
BOOST_AUTO_TEST_CASE(data_centre_out_moves_its_tasks)
{
    const auto id = submit("film", "pair");
    reportAll(id, task_report_kind::prepared);
    const auto tasks = tasksOf(id);
    const data_centre_name centre(tasks[0].worker.value().substr(0, 1));
    apply(data_centre_ordered { centre, false });
    BOOST_TEST(!s.mayStart(tasks[0].task, tasks[0].lease));
    reportAll(id, task_report_kind::released);
    BOOST_TEST(phase(id) == job_phase::preparing);
    for (const auto& task : tasksOf(id))
        BOOST_TEST(task.worker.value().substr(0, 1) != centre.value());
    BOOST_TEST(s.job(id)->verdict == run_verdict::not_run);
}

// Guards against a lost worker that counts as a failure of the job, and against half a gang that runs on.
BOOST_AUTO_TEST_CASE(lost_worker_stops_and_restarts_the_gang)
{
    const auto id = run("film", "pair");
    for (int i = 0; i < 3; ++i) {
        const auto tasks = tasksOf(id);
        apply(worker_lost { tasks[0].worker, specOf("a-1").instance });
        BOOST_TEST(phase(id) == job_phase::stopping);
        report(tasks[1], task_report_kind::stopped);
        if (phase(id) == job_phase::waiting)
            break;
        reportAll(id, task_report_kind::prepared);
        reportAll(id, task_report_kind::started);
    }
    BOOST_TEST(phase(id) == job_phase::waiting);
    BOOST_TEST(s.job(id)->reason.find("workers that have not joined") != std::string::npos);
    BOOST_TEST(s.job(id)->verdict == run_verdict::ran);
}

// Guards against a job that restarts without end.
BOOST_AUTO_TEST_CASE(failures_are_bounded_by_max_restarts)
{
    const auto id = run("guest", "small");
    reportAll(id, task_report_kind::failed);
    BOOST_TEST(phase(id) == job_phase::waiting);
    wait(64s);
    reportAll(id, task_report_kind::prepared);
    reportAll(id, task_report_kind::failed);
    BOOST_TEST(phase(id) == job_phase::failed);
    BOOST_TEST(s.job(id)->reason.find("2 times on 2 workers") != std::string::npos);
}

// Guards against a worker that fails everything and swallows the queue.
BOOST_AUTO_TEST_CASE(worker_on_probation_gets_one_task_at_a_time)
{
    for (const auto* name : { "a-2", "b-1", "b-2" })
        apply(worker_lost { worker_id(name), incarnation(1) });
    for (int i = 0; i < 3; ++i)
        reportAll(run("guest", "small"), task_report_kind::failed);
    const auto first = run("guest", "small");
    BOOST_TEST(phase(first) == job_phase::running);
    const auto second = submit("guest", "small");
    BOOST_TEST(phase(second) == job_phase::waiting);
    reportAll(first, task_report_kind::finished);
    BOOST_TEST(phase(second) == job_phase::preparing);
}

// Guards against a stop before a throttle and a checkpoint, and against steps that follow too fast.
BOOST_AUTO_TEST_CASE(overuse_is_throttled_then_checkpointed_then_stopped)
{
    const auto id = run("guest", "small");
    const auto task = tasksOf(id)[0];
    const usage_reported over { task.task, task.lease, { cores(50), mebibytes(1), accelerators(1) } };
    apply(over);
    apply(over);
    BOOST_TEST(count<throttle_task>() == 1);
    BOOST_TEST(count<checkpoint_task>() == 0);
    now += 10s;
    apply(over);
    BOOST_TEST(count<checkpoint_task>() == 1);
    now += 10s;
    apply(over);
    BOOST_TEST(count<stop_task>() == 1);
    report(task, task_report_kind::stopped);
    BOOST_TEST(phase(id) == job_phase::failed);
}

struct cancel_row {
    const char* name;
    bool isStartIssued;
    bool isStarted;
    task_report_kind answer;
    run_verdict verdict;
};
std::ostream& operator<<(std::ostream& out, const cancel_row& row) { return out << row.name; }

const cancel_row cancelRows[] = {
    { "before the start", false, false, task_report_kind::released, run_verdict::not_run },
    { "start issued, never ran", true, false, task_report_kind::released, run_verdict::not_run },
    { "start issued, unknown", true, false, task_report_kind::stopped, run_verdict::may_have_run },
    { "running", true, true, task_report_kind::stopped, run_verdict::ran },
};

// Guards against "not run" for work that may have run.
BOOST_DATA_TEST_CASE_F(rules_fixture, cancelled_job_has_a_true_verdict, cancelRows, row)
{
    const auto id = submit("guest", "small");
    const auto task = tasksOf(id)[0];
    if (row.isStartIssued)
        report(task, task_report_kind::prepared);
    if (row.isStarted)
        report(task, task_report_kind::started);
    apply(job_cancelled { id });
    report(task, row.answer);
    BOOST_TEST(phase(id) == job_phase::cancelled);
    BOOST_TEST(s.job(id)->verdict == row.verdict);
}

// Guards against waves of orders that cost more than linear work or leave resources held.
BOOST_AUTO_TEST_CASE(wave_of_cancellations_leaves_nothing)
{
    for (int i = 0; i < 10'000; ++i)
        submit("guest", "small");
    for (std::uint64_t id = 1; id <= 10'000; ++id)
        apply(job_cancelled { job_id(id) });
    for (const auto& command : std::exchange(commands, {})) {
        if (const auto* release = std::get_if<release_task>(&command))
            apply(task_reported { release->task, release->lease, task_report_kind::released, "" });
    }
    const auto id = submit("guest", "whole");
    BOOST_TEST(phase(id) == job_phase::preparing);
    BOOST_TEST(s.jobs().size() <= 4097);
}

// Guards against damaged snapshots that are taken for a state.
BOOST_AUTO_TEST_CASE(damaged_state_is_refused)
{
    run("film", "pair");
    auto bytes = s.save();
    bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 1);
    const auto restored = scheduler::restore(bytes);
    BOOST_REQUIRE(!restored.has_value());
    BOOST_TEST((restored.error().code == failure_code::corrupt));
}

// Guards against a baseline that overtakes: it would no longer be the policy that the benchmark names.
BOOST_AUTO_TEST_CASE(baseline_keeps_the_order_of_submission)
{
    s = makeFirstFitFifo();
    apply(deployment_changed { planOf() });
    for (const auto* name : { "a-1", "b-1" })
        apply(worker_joined { specOf(name) });
    const auto first = submit("film", "pair");
    const auto second = submit("guest", "small");
    BOOST_TEST(phase(first) == job_phase::waiting);
    BOOST_TEST(phase(second) == job_phase::waiting);
    apply(worker_joined { specOf("a-2") });
    BOOST_TEST(phase(first) == job_phase::preparing);
    BOOST_TEST(phase(second) == job_phase::preparing);
}

BOOST_AUTO_TEST_SUITE_END()
