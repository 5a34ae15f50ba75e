#pragma once

#include <map>
#include <poplardeal/base/metrics.h>
#include <poplardeal/jobs/job_table.h>

namespace poplardeal::detail {

/// Metrics of the workspaces, at the leader: waiting jobs, usage and usage in relation to the share. The largest
/// workspaces by usage have series of their own; the others are summed under one name.
class workspace_metrics {
public:
    explicit workspace_metrics(metrics_registry&);

    /// `begun`: jobs that the table does not know to have begun yet. `now`: wall clock, as in the job table.
    void update(const job_table&, const std::set<submission_id>& begun, instant now);
    /// This control does not lead: all series become `unknown`.
    void clear();

    static constexpr std::size_t maxWorkspaces = 32; ///< With series of their own at a time.
    static constexpr const char* otherWorkspaces = "(other)";
    static constexpr double unknown = -1;

private:
    struct workspace_figures {
        std::size_t waiting { 0 }; ///< Jobs of which no task is known to have begun.
        double coreSeconds { 0 };
        double relativeUse { 0 };
    };
    struct workspace_gauges {
        gauge& waiting;
        gauge& usage;
        gauge& relativeUse;
    };

    static std::map<workspace_name, workspace_figures> readFigures(
        const job_table&, const std::set<submission_id>& begun, instant now);
    workspace_gauges& gaugesOf(const std::string& name);

    metrics_registry& m_metrics;
    std::map<std::string, workspace_gauges> m_gauges;
};

} // namespace poplardeal::detail
