#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <poplardeal/base/time.h>
#include <poplardeal/jobs/model.h>
#include <vector>

namespace poplardeal {

/// A whole run time of one task, measured or extrapolated from progress.
struct speed_sample {
    worker_boot worker;
    task_key task;
    duration runTime { 0 };

    friend bool operator==(const speed_sample&, const speed_sample&) = default;
};

/// Learns which workers run slower than others, by comparing the run times of equal tasks of one step on different
/// workers. Workers of one kind may differ by a constant factor, and a gang is as slow as its slowest member.
class worker_speeds {
public:
    /// One for each run, of steps that are no gang.
    void observe(speed_sample);
    /// Run time on each worker over that on a usual one, from what was observed and from `running`: samples of runs
    /// that go on. Workers of which nothing is known are left out.
    std::map<worker_boot, double> fit(const std::vector<speed_sample>& running) const;

    const std::deque<speed_sample>& samples() const { return m_samples; }
    void restore(std::deque<speed_sample> samples) { m_samples = std::move(samples); }

    /// The newest are kept; three for each worker at the size to design for.
    static constexpr std::size_t maxSamples = 4000;

private:
    std::deque<speed_sample> m_samples;
};

} // namespace poplardeal
