#pragma once

#include "archive.h"
#include <poplardeal/jobs/job_table.h>

/// The fields of a job in a snapshot. A later field goes to the end of the format, with a new number of the format.
namespace poplardeal {

template <class Archive, detail::maybe_const<demand> T> void archiveFields(Archive& archive, T& item)
{
    archive(item.cpu, item.memory, item.accelerator);
}

template <class Archive, detail::maybe_const<step_spec> T> void archiveFields(Archive& archive, T& item)
{
    archive(item.count, item.need, item.estimate, item.after, item.checkpointable, item.gang, item.rackLocal,
        item.speculative, item.longRunning, item.bestEffort, item.requiredLabel, item.affinity, item.maxPerWorker,
        item.maxUnavailable, item.image, item.latencyTarget);
}

template <class Archive, detail::maybe_const<submission_spec> T> void archiveFields(Archive& archive, T& item)
{
    archive(item.payload, item.steps, item.occurrences, item.firstDueMs, item.intervalMs);
}

template <class Archive, detail::maybe_const<worker_boot> T> void archiveFields(Archive& archive, T& item)
{
    archive(item.worker, item.startedAtMs);
}

template <class Archive, detail::maybe_const<unit_member> T> void archiveFields(Archive& archive, T& item)
{
    archive(item.worker, item.isOver);
}

template <class Archive, detail::maybe_const<unit> T> void archiveFields(Archive& archive, T& item)
{
    archive(item.phase, item.lastRun, item.failures, item.runFailed, item.saved, item.waitingSince, item.startedAt,
        item.isResumed, item.members);
}

template <class Archive, detail::maybe_const<step_state> T> void archiveFields(Archive& archive, T& item)
{
    archive(item.units, item.doneUnits);
}

template <class Archive, detail::maybe_const<job_occurrence> T> void archiveFields(Archive& archive, T& item)
{
    archive(item.steps);
}

inline void archiveFields(detail::archive_writer& archive, const occurrence_list<job_occurrence>& list)
{
    archive(list.items());
}

inline void archiveFields(detail::archive_reader& archive, occurrence_list<job_occurrence>& list)
{
    std::vector<occurrence_list<job_occurrence>::shared_occurrence> items;
    archive(items);
    list = occurrence_list<job_occurrence>(std::move(items));
}

template <class Archive, detail::maybe_const<submission> T> void archiveFields(Archive& archive, T& item)
{
    archive(item.id, item.queue, item.service, item.workspace, item.priority, item.attempts, item.stretch,
        item.allowance, item.needsAdvice, item.spec, item.acceptedAt, item.sequence, item.hasStarted, item.phase,
        item.endedAt, item.occurrences);
}

} // namespace poplardeal
