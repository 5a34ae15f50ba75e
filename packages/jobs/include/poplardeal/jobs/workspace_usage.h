#pragma once

#include <cstdint>
#include <map>
#include <poplardeal/base/time.h>
#include <poplardeal/jobs/model.h>

namespace poplardeal {

/// Capacity-time that a workspace has used.
struct usage_record {
    double coreSeconds { 0 }; ///< At `at`; decays by `workspace_usage::halfLife`.
    instant at;
    millicores running; ///< Weighted demand of the current runs.
};

/// Recent use of the cluster by workspace: core-seconds of its runs, where an accelerator counts as 8 cores, each
/// weighted by how recent it is. Deterministic; times are those of log entries.
class workspace_usage {
public:
    void didStart(const workspace_name&, const demand&, instant at);
    void didEnd(const workspace_name&, const demand&, instant at);
    /// Weighted core-seconds; 0 for an unknown workspace. A `now` before the last change counts as that time.
    double coreSeconds(const workspace_name&, instant now) const;

    const std::map<workspace_name, usage_record>& records() const { return m_records; }
    /// Core-seconds and their times, without the current runs.
    void restore(std::map<workspace_name, usage_record>);
    /// Adds a run of a snapshot to the current runs, without a change of time.
    void restoreRun(const workspace_name&, const demand&);

    /// Some bursts and run times long, so that a burst is still counted when its work waits.
    static constexpr duration halfLife { std::chrono::seconds(20) };

private:
    usage_record& advance(const workspace_name&, instant at);
    /// Removes the records that no longer count.
    void prune(instant at);

    std::map<workspace_name, usage_record> m_records;
};

/// Use of each workspace in relation to its share; 1: as much as its share, 0: none. Workspaces that are left out have
/// used nothing.
using workspace_shares = std::map<workspace_name, double>;

/// The share of a workspace is in proportion to its guaranteed accelerators, and that of one without any is as if it
/// had one.
workspace_shares relativeUse(const workspace_usage&, const std::vector<workspace_quota>&, instant now);

} // namespace poplardeal
