#include <cmath>
#include <poplardeal/jobs/worker_speeds.h>

namespace poplardeal {

namespace {

    /// Weight, in samples, of the prior assumption that a worker is of average speed. The logarithms of run times
    /// vary by about 0.15 between equal tasks and by about 0.15 between workers.
    constexpr double priorWeight = 1;
    constexpr int fitRounds = 3; ///< Step means and worker means are fitted alternately; more rounds change little.
    constexpr std::size_t minStepSamples = 3; ///< Steps with fewer samples are not used.

    struct running_mean {
        double sum { 0 };
        std::size_t count { 0 };

        void add(double value)
        {
            sum += value;
            ++count;
        }
    };

    /// A sample with step and worker replaced by numbers, so that fitting does not compare strings.
    struct indexed_sample {
        std::size_t worker { 0 };
        std::size_t step { 0 };
        double logTime { 0 };
    };

    struct sample_index {
        std::map<worker_boot, std::size_t> workers;
        std::map<std::tuple<submission_id, std::uint32_t, std::uint32_t>, std::size_t> steps;
        std::vector<indexed_sample> samples;

        void add(const speed_sample& each)
        {
            const auto& task = each.task;
            const auto worker = workers.emplace(each.worker, workers.size()).first->second;
            const auto step
                = steps.emplace(std::tuple(task.job, task.occurrence, task.step), steps.size()).first->second;
            samples.push_back({ worker, step, std::log(std::chrono::duration<double>(each.runTime).count()) });
        }
    };

} // namespace

void worker_speeds::observe(speed_sample sample)
{
    if (sample.runTime <= duration::zero())
        return;
    m_samples.push_back(std::move(sample));
    if (m_samples.size() > maxSamples)
        m_samples.pop_front();
}

std::map<worker_boot, double> worker_speeds::fit(const std::vector<speed_sample>& running) const
{
    sample_index index;
    for (const auto& each : m_samples)
        index.add(each);
    for (const auto& each : running)
        index.add(each);
    std::vector<double> logSlowness(index.workers.size());
    for (int i = 0; i < fitRounds; ++i) {
        std::vector<running_mean> steps(index.steps.size());
        for (const auto& each : index.samples)
            steps[each.step].add(each.logTime - logSlowness[each.worker]);
        std::vector<running_mean> workers(index.workers.size());
        for (const auto& each : index.samples) {
            const auto& step = steps[each.step];
            if (step.count >= minStepSamples)
                workers[each.worker].add(each.logTime - step.sum / static_cast<double>(step.count));
        }
        for (std::size_t w = 0; w < workers.size(); ++w)
            logSlowness[w] = workers[w].sum / (static_cast<double>(workers[w].count) + priorWeight);
    }
    std::map<worker_boot, double> out;
    for (const auto& [worker, number] : index.workers)
        out.emplace(worker, std::exp(logSlowness[number]));
    return out;
}

} // namespace poplardeal
