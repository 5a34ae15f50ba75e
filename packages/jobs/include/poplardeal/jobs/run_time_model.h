#pragma once

#include <cstdint>
#include <map>
#include <poplardeal/base/time.h>
#include <poplardeal/jobs/model.h>

namespace poplardeal {

/// Statistics of the measured run times of a queue's tasks and of the error of their declared run times. All values are
/// natural logarithms, because both vary by factors.
struct run_time_record {
    std::uint32_t count { 0 };
    double meanLog { 0 }; ///< Mean of log(measured milliseconds).
    double spreadLog { 0 }; ///< Sum of squared deviations from `meanLog`.
    double meanBias { 0 }; ///< Mean of log(measured / declared).
    double spreadBias { 0 }; ///< Sum of squared deviations from `meanBias`.

    friend bool operator==(const run_time_record&, const run_time_record&) = default;
};

/// Predicts the run time of a task from its declared run time and from the run times measured in its queue. Each source
/// is weighted by its accuracy so far. Deterministic.
class run_time_model {
public:
    /// Ignores a declared time of 0 or less and measured times outside `minRunTime` to `maxRunTime`.
    void observe(const queue_name&, duration declared, duration measured);
    /// Predicted run time; `declared`, but at least `minRunTime`, if nothing has been measured for the queue.
    duration expected(const queue_name&, duration declared) const;

    /// Standard deviation of the logarithm of the true run time about the prediction.
    double spread(const queue_name&) const;

    const std::map<queue_name, run_time_record>& records() const { return m_records; }
    void restore(std::map<queue_name, run_time_record> records) { m_records = std::move(records); }

    /// Shorter runs are below the resolution of workers' reports; longer ones are caused by clock jumps.
    static constexpr duration minRunTime { std::chrono::milliseconds(100) };
    static constexpr duration maxRunTime { std::chrono::hours(24 * 30) };

private:
    std::map<queue_name, run_time_record> m_records;
};

} // namespace poplardeal
