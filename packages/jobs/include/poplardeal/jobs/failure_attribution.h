#pragma once

#include <cstdint>
#include <map>
#include <poplardeal/base/time.h>
#include <poplardeal/jobs/job_table.h>
#include <set>
#include <vector>

namespace poplardeal {

/// Attributes failed runs to workers or to tasks, by where else they failed. A task (or gang) that fails on several
/// workers says little about each of them; a worker on which several tasks fail says much about itself.
class failure_attribution {
public:
    /// A run has failed, or has been stopped without progress.
    void didFail(const unit_key&, const worker_boot&, instant now);
    /// A run has ended `done`.
    void didComplete(const worker_boot&);

    bool isEmpty() const { return m_workers.empty(); }

    /// Workers to avoid among those of one service, and until when. Blame counts as far as it exceeds the median of the
    /// service's other workers, and takes at most a third of them away at once.
    std::map<worker_boot, instant> avoidedWorkers(const std::vector<worker_boot>& service, instant now) const;

    /// Failures of the worker without a success between them, each weighted with the chance that it was not the task's
    /// fault. A success ends the row, and no pause.
    double blameOf(const worker_boot&, instant now) const;

private:
    struct unit_record {
        std::set<worker_boot> failedOn;
        instant lastFailureAt;
    };

    struct worker_record {
        std::map<unit_key, std::uint32_t> failures; ///< Of the last row of failures.
        bool isRowOver { false }; ///< A run has ended `done` since.
        instant lastFailureAt;
    };

    void eraseOld(instant now);
    double weightOf(const unit_key&, const worker_boot&) const;

    std::map<unit_key, unit_record> m_units;
    std::map<worker_boot, worker_record> m_workers;
    instant m_erasedAt;
};

} // namespace poplardeal
