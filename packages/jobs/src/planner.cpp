#include "placement_round.h"
#include <array>
#include <poplardeal/jobs/planner.h>

namespace poplardeal {

std::string_view toString(stop_reason reason)
{
    constexpr std::array<std::string_view, 5> names { "job_ended", "gang_broken", "preempted", "worker_leaves",
        "no_progress" };
    return names[static_cast<std::size_t>(reason)];
}

std::optional<duration> measuredRunTime(const run_view& seen)
{
    const double gained = seen.percent - seen.startPercent;
    if (gained < minimumMeasuredPercent)
        return std::nullopt;
    const auto elapsed = static_cast<double>((seen.reportedAt - seen.startedAt).count());
    return duration(static_cast<duration::rep>(elapsed * 100 / gained));
}

/// Accelerators of the step that needs most, with all of its tasks running.
static accelerators maxStepAccelerators(const submission_spec& spec)
{
    accelerators widest;
    for (const auto& step : spec.steps)
        widest = std::max(widest, step.need.accelerator * step.count);
    return widest;
}

std::set<submission_id> guaranteedJobs(const job_table& table)
{
    std::vector<const submission*> urgent;
    for (const auto& id : table.openJobs()) {
        const auto* job = table.find(id);
        if (job->priority == 0 && !job->isTerminal())
            urgent.push_back(job);
    }
    std::sort(urgent.begin(), urgent.end(), [](const auto* a, const auto* b) { return a->sequence < b->sequence; });
    std::map<workspace_name, accelerators> left;
    for (const auto& workspace : table.plan().workspaces)
        left[workspace.name] = workspace.guaranteed;
    std::set<submission_id> out;
    for (const auto* job : urgent) {
        const auto need = maxStepAccelerators(job->spec);
        auto& remaining = left[job->workspace];
        if (need > remaining)
            continue;
        remaining -= need;
        out.insert(job->id);
    }
    return out;
}

double weightInCores(const demand& need)
{
    constexpr double coresPerAccelerator = 8; // The platform charges an accelerator-second as 8 core-seconds.
    return static_cast<double>(need.cpu.count()) / 1000
        + coresPerAccelerator * static_cast<double>(need.accelerator.count());
}

job_decisions planJobs(const planner_options& options, const planner_input& input)
{
    detail::placement_round round(options, input);
    round.planRequiredStops();
    round.placeWaitingUnits();
    return round.extractDecisions();
}

} // namespace poplardeal
