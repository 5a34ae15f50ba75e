#pragma once

#include <cstdint>
#include <map>
#include <poplardeal/base/time.h>
#include <poplardeal/jobs/model.h>
#include <set>
#include <vector>

namespace poplardeal {

/// Attributes failed runs to workers or to jobs, by where else they failed. A job that fails on several workers says
/// little about each of them; a worker on which several jobs fail says much about itself.
class failure_attribution {
public:
    /// A run of the job has failed, or has been stopped without progress.
    void didFail(const submission_id&, const worker_boot&, instant now);
    /// A run of the job has ended `done`.
    void didComplete(const submission_id&, const worker_boot&, instant now);

    bool isEmpty() const { return m_workers.empty(); }

    /// Workers to avoid among those of one service, and until when. Blame counts as far as it exceeds the median of the
    /// service's other workers, and takes at most a third of them away at once.
    std::map<worker_boot, instant> avoidedWorkers(const std::vector<worker_boot>& service, instant now) const;

    /// Failures of the worker since its last success, each weighted with the chance that it was not the job's fault.
    double blameOf(const worker_boot&, instant now) const;

private:
    struct job_record {
        std::map<worker_boot, instant> failedOn; ///< With the last failure there.
        std::set<worker_boot> completedOn; ///< Since the first failure.
        instant lastFailureAt;
    };

    struct worker_record {
        std::map<submission_id, std::uint32_t> failures; ///< Since the last success of any job.
        instant lastFailureAt;
    };

    void eraseOld(instant now);
    double weightOf(const submission_id&, const worker_boot&) const;

    std::map<submission_id, job_record> m_jobs;
    std::map<worker_boot, worker_record> m_workers;
    instant m_erasedAt;
};

} // namespace poplardeal
