#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <poplardeal/base/time.h>
#include <poplardeal/jobs/model.h>
#include <tuple>
#include <vector>

namespace poplardeal {

/// How fast a worker is.
struct speed_estimate {
    double slowness { 1 }; ///< Run time relative to an ordinary worker.
    double certainty { 0 }; ///< 0: nothing is known; grows towards 1 with each sample.
};

/// Normal distribution of the logarithm of a worker's slowness.
struct speed_record {
    std::int64_t startedAtMs { 0 }; ///< The boot that was last seen.
    double mean { 0 };
    double variance { 0 };
    double surprise { 0 }; ///< Deviation of the last sample from its prediction, in standard deviations.
    std::uint64_t updated { 0 }; ///< Number of the last sample.

    friend bool operator==(const speed_record&, const speed_record&) = default;
};

/// Estimates the speed of each worker from the run times of units relative to their run time on ordinary workers. A
/// unit takes as long as its slowest member: for each member the sample is the chance that it was the slowest one, and
/// otherwise only an upper bound. Each sample costs time in proportion to the members of its unit. Deterministic.
class speed_model {
public:
    /// Adds the sample of one run. `logRatio` is the logarithm of its run time relative to ordinary workers, `variance`
    /// that of the noise in it.
    void observe(const std::vector<worker_boot>& members, double logRatio, double variance);

    /// A worker without samples, or whose boot is later than the last one seen, has a higher variance.
    speed_record find(const worker_boot&) const;
    /// Expected logarithm of the slowness of a unit on these workers, which is that of the slowest of them.
    double logSlowness(const std::vector<worker_boot>& members) const;

    const std::map<worker_id, speed_record>& records() const { return m_records; }
    void restore(std::map<worker_id, speed_record>);

    /// Variance of the speeds of workers of which nothing is known: they may differ by a factor of 2.5.
    static constexpr double priorVariance = 0.12;
    /// The workers that were sampled last are kept; the design size is 1,400.
    static constexpr std::size_t maxWorkers = 1500;

private:
    void evictOldest();

    std::map<worker_id, speed_record> m_records;
    std::uint64_t m_samples { 0 };
};

/// Mean of logarithms of run times.
struct log_mean {
    std::uint32_t count { 0 };
    double mean { 0 };

    /// A `maxCount` gives newer values more weight.
    void add(double value, std::uint32_t maxCount = 1000)
    {
        count = std::min(count + 1, maxCount);
        mean += (value - mean) / count;
    }
    friend bool operator==(const log_mean&, const log_mean&) = default;
};

/// A unit that has ended.
struct unit_sample {
    task_key task; ///< Any task of it.
    queue_name queue;
    std::vector<worker_boot> members;
    duration runTime { 0 };
    duration expected { 0 }; ///< Predicted from the runs of its queue, on whatever workers these had.
    double spread { 0 }; ///< Standard deviation of the logarithm of that prediction.
};

/// The replicated part of what is known about speeds: the model with the run times of steps that are under way.
class speed_history {
public:
    void observe(const unit_sample&);

    const speed_model& model() const { return m_model; }
    /// Mean of the logarithm of run times on ordinary workers relative to the predictions of the queue, which were
    /// measured on whatever workers its units had.
    double ordinaryLogRatio(const queue_name&) const;

    using step_key = std::tuple<submission_id, std::uint32_t, std::uint32_t>;
    struct step_record {
        step_key step;
        log_mean time; ///< Of units on ordinary workers, in seconds.
    };
    const std::deque<step_record>& steps() const { return m_steps; }
    const std::map<queue_name, log_mean>& queues() const { return m_queues; }
    void restore(
        std::map<worker_id, speed_record>, std::deque<step_record> steps, std::map<queue_name, log_mean> queues);

    /// Variance between the tasks of one step, of the logarithm of their run times.
    static constexpr double taskVariance = 0.09;
    static constexpr std::size_t maxSteps = 128; ///< The newest steps are kept.
    static constexpr std::size_t maxQueues = 256;

private:
    log_mean& timeOf(const task_key&);

    speed_model m_model;
    std::deque<step_record> m_steps;
    std::map<queue_name, log_mean> m_queues;
};

/// Precision-weighted mean of a prediction and of the mean of measured values.
struct log_baseline {
    double mean { 0 };
    double variance { 0 };

    log_baseline(double predicted, double predictedVariance, const log_mean& measured, double measuredVariance);
};

/// Estimate from two independent models of one worker.
speed_estimate combine(const speed_record&, const speed_record&);

} // namespace poplardeal
