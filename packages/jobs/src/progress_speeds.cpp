#include <algorithm>
#include <cmath>
#include <poplardeal/jobs/progress_speeds.h>

namespace poplardeal {

namespace {

    constexpr double lockstepDifference = 0.02; ///< Members of a gang within 2 % of each other progress together.
    constexpr double wholePercent = 100;
    /// Of the logarithm of a task's run time relative to that of its unit, which ends with its longest task.
    constexpr double taskMeanVariance = 0.1;

    /// Time in which the progress of a run was made. A finished member of a gang waits for the others, so its time is
    /// up to the last growth of its progress.
    duration progressTime(const run_view& seen)
    {
        return (seen.percent >= wholePercent ? seen.progressedAt : seen.reportedAt) - seen.startedAt;
    }

    double logSeconds(duration d) { return std::log(std::chrono::duration<double>(d).count()); }

} // namespace

void progress_speeds::update(const job_table& table, const std::map<worker_id, worker_view>& views)
{
    struct step_members {
        const submission* job { nullptr };
        const step_spec* step { nullptr };
        std::vector<running_member> members;
        bool hasNew { false };
    };
    std::map<std::tuple<std::uint64_t, std::uint32_t, std::uint32_t>, step_members> steps;
    for (const auto& [id, view] : views) {
        const double slowness = combine(table.speedHistory().model().find(view.boot), m_model.find(view.boot)).slowness;
        for (const auto& [task, seen] : view.running) {
            const double gained = seen.percent - seen.startPercent;
            const auto took = progressTime(seen);
            const bool isFarEnough = gained >= minimumPercent && took >= minimumTime;
            const auto* job = isFarEnough ? table.find(task.job) : nullptr;
            if (job == nullptr || task.step >= job->spec.steps.size() || job->spec.steps[task.step].longRunning)
                continue;
            auto& step = steps[{ job->sequence, task.occurrence, task.step }];
            step.job = job;
            step.step = &job->spec.steps[task.step];
            const run_index run { job->sequence, task.occurrence, task.step, task.index, seen.run.value() };
            const bool isNew = !std::binary_search(m_sampled.begin(), m_sampled.end(), run);
            const double error = std::chrono::duration<double>(timeError) / took;
            step.members.push_back({ &view.boot, run, logSeconds(took) + std::log(wholePercent / gained), error * error,
                std::log(slowness), isNew });
            step.hasNew = step.hasNew || isNew;
        }
    }
    std::vector<run_index> sampled;
    for (const auto& [key, step] : steps) {
        // All members of a gang are compared with each other, so they are taken in together.
        const bool isWhole = !step.step->gang || step.members.size() == step.step->count;
        if (step.hasNew && isWhole)
            observeStep(*step.job, *step.step, table, step.members);
        for (const auto& member : step.members) {
            if (isWhole || !member.isNew)
                sampled.push_back(member.run);
        }
    }
    std::sort(sampled.begin(), sampled.end());
    m_sampled = std::move(sampled);
}

void progress_speeds::observeStep(
    const submission& job, const step_spec& step, const job_table& table, const std::vector<running_member>& members)
{
    const double spread = table.runTimes().spread(job.queue);
    const double predicted = logSeconds(table.ordinaryRunTime(job, step));
    const auto [least, most] = std::minmax_element(members.begin(), members.end(),
        [](const running_member& a, const running_member& b) { return a.logTime < b.logTime; });
    if (step.gang && members.size() > 1 && most->logTime - least->logTime < lockstepDifference) {
        std::vector<worker_boot> boots;
        boots.reserve(members.size());
        for (const auto& member : members)
            boots.push_back(*member.worker);
        return m_model.observe(boots, most->logTime - predicted, spread * spread + speed_history::taskVariance);
    }
    log_mean measured;
    for (const auto& member : members)
        measured.add(member.logTime - member.logSlowness);
    const double memberVariance = speed_history::taskVariance + speed_model::priorVariance;
    const log_baseline baseline(predicted, spread * spread + taskMeanVariance, measured, memberVariance);
    for (const auto& member : members) {
        if (member.isNew)
            m_model.observe({ *member.worker }, member.logTime - baseline.mean,
                baseline.variance + member.variance + speed_history::taskVariance);
    }
}

} // namespace poplardeal
