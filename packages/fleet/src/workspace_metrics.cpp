#include "workspace_metrics.h"
#include <algorithm>
#include <vector>

namespace poplardeal::detail {

workspace_metrics::workspace_metrics(metrics_registry& metrics)
    : m_metrics(metrics)
{
}

std::map<workspace_name, workspace_metrics::workspace_figures> workspace_metrics::readFigures(
    const job_table& table, const std::set<submission_id>& begun, instant now)
{
    std::map<workspace_name, workspace_figures> out;
    for (const auto& [name, use] : relativeUse(table.usage(), table.plan().workspaces, now))
        out[name] = { 0, table.usage().coreSeconds(name, now), use };
    for (const auto& id : table.openJobs()) {
        const auto& job = *table.find(id);
        if (!job.hasStarted && !job.isTerminal() && !begun.contains(id))
            ++out[job.workspace].waiting;
    }
    return out;
}

void workspace_metrics::update(const job_table& table, const std::set<submission_id>& begun, instant now)
{
    const auto figures = readFigures(table, begun, now);
    std::vector<std::pair<workspace_name, workspace_figures>> ordered(figures.begin(), figures.end());
    std::stable_sort(ordered.begin(), ordered.end(),
        [](const auto& a, const auto& b) { return a.second.coreSeconds > b.second.coreSeconds; });
    for (auto& [name, gauges] : m_gauges) {
        gauges.waiting.set(0);
        gauges.usage.set(0);
        gauges.relativeUse.set(0);
    }
    workspace_figures others;
    for (std::size_t i = 0; i < ordered.size(); ++i) {
        const auto& [name, each] = ordered[i];
        if (i >= maxWorkspaces) {
            others.waiting += each.waiting;
            others.coreSeconds += each.coreSeconds;
            others.relativeUse = std::max(others.relativeUse, each.relativeUse);
            continue;
        }
        auto& gauges = gaugesOf(name.value());
        gauges.waiting.set(static_cast<double>(each.waiting));
        gauges.usage.set(each.coreSeconds);
        gauges.relativeUse.set(each.relativeUse);
    }
    if (ordered.size() <= maxWorkspaces)
        return;
    auto& gauges = gaugesOf(otherWorkspaces);
    gauges.waiting.set(static_cast<double>(others.waiting));
    gauges.usage.set(others.coreSeconds);
    gauges.relativeUse.set(others.relativeUse);
}

void workspace_metrics::clear()
{
    for (auto& [name, gauges] : m_gauges) {
        gauges.waiting.set(unknown);
        gauges.usage.set(unknown);
        gauges.relativeUse.set(unknown);
    }
}

workspace_metrics::workspace_gauges& workspace_metrics::gaugesOf(const std::string& name)
{
    const auto found = m_gauges.find(name);
    if (found != m_gauges.end())
        return found->second;
    const metric_labels labels { { "workspace", name } };
    auto& waiting = m_metrics.getGauge("poplardeal_workspace_waiting_jobs",
        "Accepted jobs of the workspace of which no task is known to have begun; \"(other)\" sums the smaller "
        "workspaces",
        labels);
    auto& usage = m_metrics.getGauge("poplardeal_workspace_usage_core_seconds",
        "Recent core-seconds of the workspace, an accelerator as 8 cores, with a half-life of 20 s", labels);
    auto& use = m_metrics.getGauge("poplardeal_workspace_relative_use",
        "Usage in relation to the share of the workspace; the highest one for \"(other)\"", labels);
    return m_gauges.emplace(name, workspace_gauges { waiting, usage, use }).first->second;
}

} // namespace poplardeal::detail
