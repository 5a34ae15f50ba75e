#pragma once

#include <cstdint>
#include <map>
#include <poplardeal/base/time.h>
#include <poplardeal/jobs/model.h>
#include <utility>
#include <vector>

namespace poplardeal {

/// What tasks have in common that behave alike: the image of their step, or else their queue and step number.
using task_kind = strong_id<struct task_kind_tag, std::string>;

task_kind kindOf(const queue_name&, std::uint32_t stepIndex, const step_spec&);

/// One step of one occurrence of a job.
struct step_key {
    submission_id job;
    std::uint32_t occurrence { 0 };
    std::uint32_t step { 0 };

    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const step_key&, const step_key&) = default;
};

/// Runs of one kind on one worker. A kind is given by its index in `interference_records::kinds`.
struct kind_presence {
    std::uint32_t kind { 0 };
    std::uint32_t running { 0 };
    instant since; ///< When the first of those that run began.
    instant lastEnd; ///< When the kind was last there; the epoch if it has not been.

    friend bool operator==(const kind_presence&, const kind_presence&) = default;
};

/// The run time of one task, and which kinds ran beside it for the whole time or never.
struct neighbour_sample {
    worker_boot worker;
    duration runTime { 0 };
    std::uint32_t beside { 0 }; ///< Bit mask by kind index.
    std::uint32_t apart { 0 };

    friend bool operator==(const neighbour_sample&, const neighbour_sample&) = default;
};

/// Weighted statistics of a pair's slowdown (natural logarithm), one sample a step.
struct pair_record {
    double weight { 0 };
    double mean { 0 };
    double spread { 0 }; ///< Weighted sum of squared deviations.
    bool isKnown { false };

    friend bool operator==(const pair_record&, const pair_record&) = default;
};

struct interference_records {
    std::vector<task_kind> kinds;
    std::map<worker_boot, std::vector<kind_presence>> presence;
    std::map<step_key, std::vector<neighbour_sample>> steps; ///< That are not done yet.
    std::map<std::pair<std::uint32_t, std::uint32_t>, pair_record> pairs; ///< By affected kind and cause.

    friend bool operator==(const interference_records&, const interference_records&) = default;
};

/// A pair of kinds of which one slows the other down.
struct interference_estimate {
    task_kind affected;
    task_kind cause;
    double slowdown { 1 }; ///< Run time beside the cause relative to that without it.
    double certainty { 0 }; ///< Probability that it is over the smallest slowdown that counts.
};

/// Learns which kinds of tasks take longer beside which others on the same worker, by comparing equal tasks of one
/// step. Deterministic: the same calls give the same state.
class interference_table {
public:
    void didBegin(const worker_boot&, const task_kind&, instant at);
    void didEnd(const worker_boot&, const task_kind&, instant at);
    /// A single task of a step was done. Call before `didEnd`.
    void didComplete(const step_key&, const worker_boot&, const task_kind&, instant startedAt, instant at);
    /// All tasks of the step are done: its samples are evaluated and dropped. `slowness` has the run time on each
    /// worker relative to an ordinary one; samples of workers that it lacks are left out.
    void didCompleteStep(const step_key&, const task_kind&, const std::map<worker_boot, double>& slowness);
    /// The job has ended: the samples of its steps are dropped.
    void didEndJob(const submission_id&);

    /// 1 unless the slowdown is known.
    double slowdown(const task_kind& affected, const task_kind& cause) const;
    /// Whether the samples of a step can say anything, so that its completion needs the speeds of workers.
    bool canCompare(const step_key&) const;
    /// The known pairs.
    std::vector<interference_estimate> estimates() const;
    bool hasEstimates() const;

    const interference_records& records() const { return m_records; }
    void restore(interference_records records) { m_records = std::move(records); }

    static constexpr std::size_t maxKinds = 32;
    static constexpr std::size_t maxSteps = 64;
    static constexpr std::size_t maxSamplesPerStep = 64;

private:
    /// `maxKinds` if there is no room for a further kind.
    std::uint32_t indexOf(const task_kind&);
    std::uint32_t findIndex(const task_kind&) const;
    interference_records m_records;
};

} // namespace poplardeal
