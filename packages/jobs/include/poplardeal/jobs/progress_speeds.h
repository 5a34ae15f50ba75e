#pragma once

#include <map>
#include <poplardeal/jobs/job_table.h>
#include <poplardeal/jobs/planner.h>
#include <poplardeal/jobs/speed_model.h>
#include <vector>

namespace poplardeal {

/// Speeds of workers from the progress of runs that go on. Each run is one sample, taken once it has come far enough.
/// Not replicated: a new leader begins anew.
class progress_speeds {
public:
    void update(const job_table&, const std::map<worker_id, worker_view>&);
    const speed_model& model() const { return m_model; }

    /// Of progress for a sample, with at least this time for it.
    static constexpr double minimumPercent = 10;
    static constexpr duration minimumTime { std::chrono::milliseconds(600) };
    /// Standard deviation of the measured time: reports come every quarter of a second.
    static constexpr duration timeError { std::chrono::milliseconds(100) };

private:
    /// A run by numbers, which compares faster than one by the id of its job.
    struct run_index {
        std::uint64_t job { 0 };
        std::uint32_t occurrence { 0 };
        std::uint32_t step { 0 };
        std::uint32_t task { 0 };
        std::uint32_t run { 0 };

        // NOLINTNEXTLINE(modernize-use-nullptr)
        friend auto operator<=>(const run_index&, const run_index&) = default;
    };

    struct running_member {
        const worker_boot* worker { nullptr };
        run_index run;
        double logTime { 0 }; ///< Extrapolated, in seconds.
        double variance { 0 }; ///< Of `logTime`, by the time between reports.
        double logSlowness { 0 };
        bool isNew { false };
    };

    void observeStep(const submission&, const step_spec&, const job_table&, const std::vector<running_member>&);

    speed_model m_model;
    std::vector<run_index> m_sampled; ///< Runs that have been taken in and go on, sorted.
};

} // namespace poplardeal
