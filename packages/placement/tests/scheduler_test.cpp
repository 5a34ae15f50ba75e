#include <boost/test/unit_test.hpp>
#include <poplardeal/placement/scheduler.h>

using namespace poplardeal;

static deployment smallDeployment()
{
    deployment plan;
    plan.name = "small";
    plan.regions = { { region_name("r") } };
    plan.dataCentres
        = { { data_centre_name("a"), region_name("r"), true }, { data_centre_name("b"), region_name("r"), true } };
    const resources perWorker { cores(128), mebibytes(262144), accelerators(8) };
    plan.workerPools = { { data_centre_name("a"), rack_name("a1"), 2, perWorker },
        { data_centre_name("b"), rack_name("b1"), 2, perWorker } };
    workspace film { workspace_name("film"), { cores(512), mebibytes(1048576), accelerators(32) }, {}, {} };
    const resources whole { cores(32), mebibytes(65536), accelerators(8) };
    film.jobs
        = { { job_name("pair"), 2, whole, scope::rack, job_priority::borrowed, std::chrono::seconds(600), 3, "run" } };
    plan.workspaces = { film };
    return plan;
}

static worker_spec workerNamed(const std::string& name, const std::string& dataCentre)
{
    return { worker_id(name), incarnation(1), data_centre_name(dataCentre), rack_name(dataCentre + "1"),
        { cores(128), mebibytes(262144), accelerators(8) } };
}

BOOST_AUTO_TEST_SUITE(scheduler_rules)

BOOST_AUTO_TEST_CASE(gang_starts_only_when_all_tasks_are_prepared)
{
    scheduler s;
    const auto now = instantFromMicros(1000);
    s.apply(deployment_changed { smallDeployment() }, now);
    for (const auto* name : { "a-w1", "a-w2" })
        s.apply(worker_joined { workerNamed(name, "a") }, now);
    const auto prepares = s.apply(job_submitted { job_id(1), workspace_name("film"), job_name("pair") }, now);
    BOOST_REQUIRE(prepares.size() == 2);
    const auto& first = std::get<prepare_task>(prepares[0]);
    const auto& second = std::get<prepare_task>(prepares[1]);
    BOOST_TEST(s.apply(task_reported { first.task, first.lease, task_report_kind::prepared, "" }, now).empty());
    BOOST_TEST(!s.mayStart(first.task, first.lease));
    const auto starts = s.apply(task_reported { second.task, second.lease, task_report_kind::prepared, "" }, now);
    BOOST_TEST(starts.size() == 2);
    BOOST_TEST(s.mayStart(first.task, first.lease));
    auto copy = scheduler::restore(s.save());
    BOOST_REQUIRE(copy.has_value());
    BOOST_TEST(copy.value().digest() == s.digest());
}

BOOST_AUTO_TEST_SUITE_END()
