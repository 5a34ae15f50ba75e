#include "workspace_metrics.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace poplardeal;
using namespace poplardeal::detail;

namespace {

std::size_t count(const std::string& text, const std::string& part)
{
    std::size_t out = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++out;
    return out;
}

} // namespace

// Guards against one series for each of many workspaces, and against figures of a control that no longer leads.
BOOST_DATA_TEST_CASE(series_of_workspaces_are_bounded, boost::unit_test::data::make({ 0, 10, 32, 33, 400 }), workspaces)
{
    queue_plan plan;
    plan.version = plan_version(1);
    for (int i = 0; i < workspaces; ++i)
        plan.workspaces.push_back({ workspace_name("w" + std::to_string(i)), {}, accelerators(1) });
    job_table table;
    table.apply({ instant(), accept_plan { plan } });
    metrics_registry registry;
    workspace_metrics metrics(registry);
    metrics.update(table, {}, instant());
    const auto limit = static_cast<int>(workspace_metrics::maxWorkspaces);
    const auto series = static_cast<std::size_t>(std::min(workspaces, limit) + (workspaces > limit ? 1 : 0));
    BOOST_TEST(count(registry.exposition(), "poplardeal_workspace_waiting_jobs{") == series);
    metrics.clear();
    BOOST_TEST(count(registry.exposition(), "} -1\n") == 3 * series);
}
