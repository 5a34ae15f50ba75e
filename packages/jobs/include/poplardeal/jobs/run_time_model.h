#pragma once

#include <cstdint>
#include <map>
#include <poplardeal/base/time.h>
#include <poplardeal/jobs/model.h>

namespace poplardeal {

/// Run times of a queue's tasks as they were measured, and how far the declared ones were off. All in logarithms,
/// because both spread by factors.
struct run_time_record {
    std::uint32_t count { 0 };
    double meanLog { 0 }; ///< Of measured milliseconds.
    double spreadLog { 0 }; ///< Sum of squared distances from the mean.
    double meanBias { 0 }; ///< Of measured over declared.
    double spreadBias { 0 };

    friend bool operator==(const run_time_record&, const run_time_record&) = default;
};

/// Predicts how long a task runs from its declaration and from what its queue has run before: each counts by how well
/// it has predicted so far. Deterministic.
class run_time_model {
public:
    /// Implausible pairs are ignored.
    void observe(const queue_name&, duration declared, duration measured);
    /// `declared` if nothing has been measured; never 0.
    duration expected(const queue_name&, duration declared) const;

    const std::map<queue_name, run_time_record>& records() const { return m_records; }
    void restore(std::map<queue_name, run_time_record> records) { m_records = std::move(records); }

    /// Shorter runs are below what workers report, longer ones come from a clock that jumped.
    static constexpr duration minRunTime { std::chrono::milliseconds(100) };
    static constexpr duration maxRunTime { std::chrono::hours(24 * 30) };

private:
    std::map<queue_name, run_time_record> m_records;
};

} // namespace poplardeal
