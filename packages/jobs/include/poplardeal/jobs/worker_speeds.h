#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <poplardeal/base/time.h>
#include <poplardeal/jobs/model.h>

namespace poplardeal {

/// Learns which workers run slower than others, by comparing the run times of equal tasks of one step on different
/// workers. Workers of one kind may differ by a constant factor, and a gang is as slow as its slowest member.
class worker_speeds {
public:
    /// A whole run time, measured or extrapolated from progress; one for each run, of steps that are no gang.
    void observe(const worker_boot&, const task_key&, duration runTime);
    /// Run time on this worker over that on a usual one; 1 if nothing is known.
    double slowness(const worker_boot&) const;
    /// Brings `slowness` up to date with what was observed.
    void update();

    /// Samples kept, newest first to stay: some minutes of work at the size to design for.
    static constexpr std::size_t maxSamples = 4000;

private:
    struct step_key {
        submission_id job;
        std::uint32_t occurrence { 0 };
        std::uint32_t step { 0 };

        // The check takes a defaulted <=> for a comparison with 0.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        friend auto operator<=>(const step_key&, const step_key&) = default;
    };
    struct sample {
        worker_boot worker;
        step_key step;
        double logTime { 0 };
    };

    std::deque<sample> m_samples;
    std::map<worker_boot, double> m_logSlowness;
    bool m_isStale { false };
};

} // namespace poplardeal
