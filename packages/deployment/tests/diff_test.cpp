#include "generators.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <poplardeal/deployment/diff.h>

using namespace poplardeal;

namespace {

deployment smallDeployment()
{
    deployment plan;
    plan.name = "small";
    plan.regions = { { region_name("coast") } };
    plan.dataCentres = { { data_centre_name("kariakoo"), region_name("coast"), true },
        { data_centre_name("ubungo"), region_name("coast"), true } };
    plan.workspaces.resize(1);
    plan.workspaces[0].name = workspace_name("checks");
    plan.workspaces[0].quota.accelerator = accelerators(32);
    plan.workspaces[0].jobs.resize(1);
    plan.workspaces[0].jobs[0].name = job_name("photo-check");
    return plan;
}

struct change_row {
    std::function<void(deployment&)> edit;
    std::vector<std::string> lines;
};
std::ostream& operator<<(std::ostream& out, const change_row& row) { return out << row.lines.front(); }

const change_row changeRows[] = {
    { [](deployment& d) { d.workspaces[0].jobs[0].tasks = 4; },
        { "changed workspace \"checks\" job \"photo-check\": tasks 1 -> 4" } },
    { [](deployment& d) { d.dataCentres[0].inService = false; },
        { "changed data centre \"kariakoo\": in_service true -> false" } },
    { [](deployment& d) { d.dataCentres.pop_back(); },
        { "removed data centre \"ubungo\" (region coast, in_service true)" } },
    { [](deployment& d) {
         d.workspaces[0].guarantees.push_back({ 2, accelerators(8), scope::rack, 1 });
     },
        { "added workspace \"checks\" guarantee 2 x 8 within rack (count 1)" } },
    { [](deployment& d) { std::swap(d.dataCentres[0], d.dataCentres[1]); },
        { "changed deployment: order of entries data centre \"kariakoo\" -> data centre \"ubungo\"" } },
    { [](deployment& d) { d.workspaces[0].name = workspace_name("photos"); },
        { "removed workspace \"checks\" (cores 0, memory_mib 0, accelerators 32)",
            "removed workspace \"checks\" job \"photo-check\" (tasks 1, cores 0, memory_mib 0, accelerators 0, "
            "within anywhere, priority borrowed, run_time_us 0, max_restarts 3, command \"\")",
            "added workspace \"photos\" (cores 0, memory_mib 0, accelerators 32)",
            "added workspace \"photos\" job \"photo-check\" (tasks 1, cores 0, memory_mib 0, accelerators 0, "
            "within anywhere, priority borrowed, run_time_us 0, max_restarts 3, command \"\")" } },
};

} // namespace

BOOST_AUTO_TEST_SUITE(diff)

// Guards against a change that an operator is not shown, or is shown at the wrong entry.
BOOST_DATA_TEST_CASE(changes_have_readable_text, changeRows, row)
{
    const auto before = smallDeployment();
    auto after = before;
    row.edit(after);
    std::vector<std::string> lines;
    for (const auto& change : difference(before, after))
        lines.push_back(toString(change));
    BOOST_TEST(lines == row.lines, boost::test_tools::per_element());
}

// Guards against deployments that differ without a difference being shown, and against false differences.
BOOST_AUTO_TEST_CASE(no_difference_exactly_between_equals)
{
    const bool holds = rc::check([](const deployment& a, const deployment& b) {
        RC_ASSERT(difference(a, a).empty());
        RC_ASSERT(difference(a, b).empty() == (a == b));
    });
    BOOST_TEST(holds);
}

using edit = std::function<void(deployment&)>;

const edit singleEdits[] = {
    [](deployment& d) { d.name += "x"; },
    [](deployment& d) { d.regions[0].name = region_name("x"); },
    [](deployment& d) { d.dataCentres[0].region = region_name("x"); },
    [](deployment& d) { d.workerPools[0].workers += 1; },
    [](deployment& d) { d.workerPools[0].perWorker.memory += mebibytes(1); },
    [](deployment& d) { std::swap(d.workerPools[0], d.workerPools[1]); },
    [](deployment& d) { d.breaks[0].start += std::chrono::minutes(1); },
    [](deployment& d) { d.breaks[0].length += std::chrono::minutes(1); },
    [](deployment& d) { d.workspaces[0].quota.cpu += cores(1); },
    [](deployment& d) { d.workspaces[0].guarantees[0].count += 1; },
    [](deployment& d) { d.workspaces[0].guarantees[0].within = scope::worker; },
    [](deployment& d) { d.workspaces[0].guarantees.push_back(d.workspaces[0].guarantees[0]); },
    [](deployment& d) { d.workspaces[0].jobs[0].perTask.accelerator += accelerators(1); },
    [](deployment& d) { d.workspaces[0].jobs[0].within = scope::worker; },
    [](deployment& d) { d.workspaces[0].jobs[0].priority = job_priority::urgent; },
    [](deployment& d) { d.workspaces[0].jobs[0].runTime += std::chrono::milliseconds(1); },
    [](deployment& d) { d.workspaces[0].jobs[0].maxRestarts += 1; },
    [](deployment& d) { d.workspaces[0].jobs[0].command += " "; },
    [](deployment& d) { d.services[0].workspace = workspace_name("x"); },
    [](deployment& d) { d.services[0].slots += 1; },
    [](deployment& d) { d.services[0].connections += 1; },
};

deployment completeDeployment()
{
    auto plan = smallDeployment();
    const data_centre_name kariakoo("kariakoo");
    plan.workerPools = { { kariakoo, rack_name("r1"), 3, {} }, { kariakoo, rack_name("r2"), 3, {} } };
    plan.breaks.resize(1);
    plan.workspaces[0].guarantees = { { 2, accelerators(8), scope::rack, 1 } };
    plan.services = { { service_name("desk"), workspace_name("checks"), 8, 64 } };
    return plan;
}

// Guards against a field that the comparison leaves out.
BOOST_AUTO_TEST_CASE(each_single_edit_is_seen)
{
    for (std::size_t i = 0; i < std::size(singleEdits); ++i) {
        auto edited = completeDeployment();
        singleEdits[i](edited);
        BOOST_TEST_CONTEXT("edit " << i)
        BOOST_TEST(!difference(completeDeployment(), edited).empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()
