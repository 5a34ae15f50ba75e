#include <cmath>
#include <poplardeal/jobs/worker_speeds.h>

namespace poplardeal {

namespace {

    /// Weight of the assumption that a worker is as fast as others, in samples. Equal tasks differ by about 0.15 and
    /// workers by about 0.15 in the logarithm.
    constexpr double priorSamples = 1;
    constexpr int rounds = 3; ///< Step means and worker means are fitted in turn; more changes little.
    constexpr std::size_t minStepSamples = 3;

    struct running_mean {
        double sum { 0 };
        std::size_t count { 0 };

        void add(double value)
        {
            sum += value;
            ++count;
        }
    };

} // namespace

void worker_speeds::observe(const worker_boot& worker, const task_key& task, duration runTime)
{
    if (runTime <= duration::zero())
        return;
    m_samples.push_back(
        { worker, { task.job, task.occurrence, task.step }, std::log(std::chrono::duration<double>(runTime).count()) });
    if (m_samples.size() > maxSamples)
        m_samples.pop_front();
    m_isStale = true;
}

void worker_speeds::update()
{
    if (!std::exchange(m_isStale, false))
        return;
    for (int i = 0; i < rounds; ++i) {
        std::map<step_key, running_mean> steps;
        for (const auto& each : m_samples)
            steps[each.step].add(each.logTime - (m_logSlowness.contains(each.worker) ? m_logSlowness[each.worker] : 0));
        std::map<worker_boot, running_mean> workers;
        for (const auto& each : m_samples) {
            const auto& step = steps.at(each.step);
            if (step.count >= minStepSamples)
                workers[each.worker].add(each.logTime - step.sum / static_cast<double>(step.count));
        }
        m_logSlowness.clear();
        for (const auto& [worker, mean] : workers)
            m_logSlowness[worker] = mean.sum / (static_cast<double>(mean.count) + priorSamples);
    }
}

double worker_speeds::slowness(const worker_boot& worker) const
{
    const auto found = m_logSlowness.find(worker);
    return found == m_logSlowness.end() ? 1 : std::exp(found->second);
}

} // namespace poplardeal
