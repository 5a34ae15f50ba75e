#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <poplardeal/base/time.h>
#include <poplardeal/jobs/model.h>
#include <vector>

namespace poplardeal {

/// Run time of one complete run of a task, measured or extrapolated from its progress.
struct speed_sample {
    worker_boot worker;
    task_key task;
    duration runTime { 0 };

    friend bool operator==(const speed_sample&, const speed_sample&) = default;
};

/// Estimates which workers are slower than others by comparing run times of equal tasks of one step on different
/// workers. Workers of one kind may differ by a constant factor, and a gang is as slow as its slowest member.
class worker_speeds {
public:
    /// Adds the sample of one ended run. Only for steps that are not gangs; a run time of 0 or less is ignored.
    void observe(speed_sample);
    /// Run time on each worker relative to an average worker (1.3: takes 30 % longer), from the observed samples and
    /// from `running`, extrapolated samples of current runs. Workers without samples are left out.
    std::map<worker_boot, double> fit(const std::vector<speed_sample>& running) const;

    const std::deque<speed_sample>& samples() const { return m_samples; }
    void restore(std::deque<speed_sample> samples) { m_samples = std::move(samples); }

    /// Only the newest samples are kept; three for each worker at the design size.
    static constexpr std::size_t maxSamples = 4000;

private:
    std::deque<speed_sample> m_samples;
};

} // namespace poplardeal
