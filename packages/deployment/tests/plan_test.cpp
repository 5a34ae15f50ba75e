#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <poplardeal/deployment/plan.h>
#include <poplardeal/deployment/toml.h>
#include <sstream>

using namespace poplardeal;
using namespace poplardeal::plan_literals;
using namespace std::chrono_literals;

// Guards against mistakes that the types of the library are meant to keep from compiling.
static_assert(!std::is_invocable_v<decltype(&plan::addDataCentre), plan&, workspace_handle, plan_name, plan::location>);
static_assert(!std::is_constructible_v<required<cores>, gibibytes>);
static_assert(!std::is_constructible_v<required<cores>, int>);
static_assert(!std::is_constructible_v<required<std::int64_t>, double>);
static_assert(!std::is_constructible_v<required<std::chrono::seconds>, std::chrono::milliseconds>);
static_assert(!std::is_default_constructible_v<plan_name>);
static_assert(!std::is_default_constructible_v<region_handle>);
static_assert(!std::is_default_constructible_v<required<cores>>);

namespace {

workers_spec rackOfThree(plan_name rack)
{
    return { .rack = rack, .count = 3, .cpu = 128_cores, .memory = 256_gib, .accelerator = 8_accelerators };
}

const quota_spec smallQuota { .cpu = 64_cores, .memory = 64_gib, .accelerator = 16_accelerators };

job_spec smallJob(plan_name name)
{
    return { .name = name, .cpu = 1_cores, .memory = 1_gib, .runTime = 1min, .command = "run" };
}

struct mistake_row {
    std::function<void(plan&)> build;
    std::string message;
};
std::ostream& operator<<(std::ostream& out, const mistake_row& row) { return out << row.message; }

const mistake_row mistakeRows[] = {
    { [](plan& p) {
         p.addRegion("a");
         p.addRegion("a");
     },
        "region \"a\": this name is used twice" },
    { [](plan& p) { p.addRegion(madeName("a b")); }, "region \"a b\": a name holds only letters" },
    { [](plan& p) { p.addRegion(madeName(std::string(64, 'a'))); }, "a name has at most 63 characters" },
    { [](plan& p) {
         plan other("other");
         p.addDataCentre(other.addRegion("a"), "b");
     },
        "data centre \"b\": the handle belongs to another plan" },
    { [](plan& p) {
         const auto region = p.addRegion("a");
         p.addWorkers(p.addDataCentre(region, "b"), rackOfThree("r1"));
         p.addWorkers(p.addDataCentre(region, "c"), rackOfThree("r1"));
     },
        "workers of rack \"r1\": the rack is already in another data centre" },
    { [](plan& p) {
         auto spec = rackOfThree("r1");
         spec.count = 0;
         p.addWorkers(p.addDataCentre(p.addRegion("a"), "b"), spec);
     },
        "workers of rack \"r1\": count: 0 is not between 1 and 10000" },
    { [](plan& p) { p.addBreak(at(5, 30), 0min); }, "break at 05:30: length in minutes: 0 is not between" },
    { [](plan& p) {
         const auto owner = p.addWorkspace("w", smallQuota);
         p.guarantee(owner, { .blocks = 3, .of = 8_accelerators, .within = block_scope::rack });
     },
        "guarantee of workspace \"w\": the guarantees hold 24 accelerators, the quota only 16" },
    { [](plan& p) {
         const auto owner = p.addWorkspace("w", smallQuota);
         p.addJob(owner, smallJob("j"));
         p.addJob(owner, smallJob("j"));
     },
        "job \"j\": this name is used twice" },
    { [](plan& p) {
         auto job = smallJob("j");
         job.command = std::string(limits::commandBytes + 1, 'x');
         p.addJob(p.addWorkspace("w", smallQuota), job);
     },
        "command: is longer than 4096 bytes" },
};

} // namespace

BOOST_AUTO_TEST_SUITE(supervisors_plan)

// Guards against a plan that prints something else than was built.
BOOST_AUTO_TEST_CASE(printed_plan_is_the_built_deployment)
{
    plan built("coast");
    const auto kariakoo = built.addDataCentre(built.addRegion("tz"), "kariakoo");
    built.addWorkers(kariakoo, rackOfThree("kariakoo-r1"));
    built.takeOutOfService(kariakoo);
    built.addBreak(at(23, 45), 30min);
    const auto checks = built.addWorkspace("checks", smallQuota);
    built.guarantee(checks, { .blocks = 2, .of = 8_accelerators, .within = block_scope::rack });
    built.addJob(checks, smallJob("photo-check"));
    built.addService(checks, { .name = "desk" });
    std::ostringstream out;
    std::ostringstream errors;
    BOOST_REQUIRE(built.print(out, errors) == 0);
    const auto read = parseDeployment(out.str(), "printed");
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((read.value() == built.current()));
    BOOST_TEST(!read.value().dataCentres[0].inService);
    BOOST_TEST((read.value().breaks[0] == change_window { 1425min, 30min }));
    BOOST_TEST((read.value().workspaces[0].guarantees[0] == guaranteed_shape { 2, accelerators(8), scope::rack, 1 }));
    BOOST_TEST(errors.str().empty());
}

// Guards against a mistake that passes unseen, or that is reported without its line.
BOOST_DATA_TEST_CASE(mistakes_are_named, mistakeRows, row)
{
    plan built("coast");
    row.build(built);
    std::ostringstream out;
    std::ostringstream errors;
    BOOST_TEST(built.print(out, errors) == 2);
    BOOST_TEST(out.str().empty());
    BOOST_TEST_INFO(errors.str());
    BOOST_TEST(errors.str().find(row.message) != std::string::npos);
}

// Guards against a line number of the library in place of the supervisor's.
BOOST_AUTO_TEST_CASE(mistakes_name_the_line_of_the_caller)
{
    plan built("coast");
    built.addBreak(at(5, 30), 0min);
    const auto line = std::to_string(__LINE__ - 1);
    BOOST_REQUIRE(built.mistakes().size() == 1);
    BOOST_TEST(built.mistakes()[0].rfind("plan_test.cpp:" + line + ": ", 0) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
