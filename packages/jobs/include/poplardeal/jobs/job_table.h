#pragma once

#include <map>
#include <poplardeal/base/failure.h>
#include <poplardeal/jobs/command.h>
#include <poplardeal/jobs/model.h>
#include <poplardeal/jobs/run_time_model.h>
#include <poplardeal/jobs/worker_speeds.h>
#include <set>
#include <string>
#include <vector>

namespace poplardeal {

/// One task of the current start of a unit.
struct unit_member {
    worker_boot worker;
    bool isOver { false };

    friend bool operator==(const unit_member&, const unit_member&) = default;
};

enum class unit_phase : std::uint8_t {
    waiting,
    active,
    done,
};

/// What is started and ends together: one task, or all tasks of a gang step.
struct unit {
    unit_phase phase { unit_phase::waiting };
    run_number lastRun;
    std::uint32_t failures { 0 };
    bool runFailed { false }; ///< A member of the current run has failed.
    checkpoint saved; ///< Newest checkpoint of ended runs.
    instant waitingSince; ///< Wall clock of the leader.
    instant startedAt; ///< Wall clock of the leader at the last start.
    bool isResumed { false }; ///< The last start carried a checkpoint.
    std::vector<unit_member> members; ///< Of the current run, by task index within the unit; empty unless active.

    bool isActive() const { return phase == unit_phase::active; }
    friend bool operator==(const unit&, const unit&) = default;
};

struct step_state {
    std::vector<unit> units;
    std::uint32_t doneUnits { 0 };

    bool isDone() const { return doneUnits == units.size(); }
    friend bool operator==(const step_state&, const step_state&) = default;
};

struct job_occurrence {
    std::vector<step_state> steps;
    bool isDone() const;
    friend bool operator==(const job_occurrence&, const job_occurrence&) = default;
};

/// An accepted job.
struct submission {
    submission_id id;
    queue_name queue;
    service_name service; ///< Of the queue at submission; used after the queue is gone.
    workspace_name workspace;
    std::uint32_t priority { 0 };
    std::uint32_t attempts { 1 };
    double stretch { 1 };
    duration allowance { 0 };
    bool needsAdvice { false };
    submission_spec spec;
    instant acceptedAt; ///< Wall clock of the leader.
    std::uint64_t sequence { 0 }; ///< Order of acceptance.
    bool hasStarted { false };
    submission_phase phase { submission_phase::queued };
    instant endedAt; ///< Valid for a terminal phase.
    std::vector<job_occurrence> occurrences;

    bool isTerminal() const
    {
        return phase == submission_phase::completed || phase == submission_phase::failed
            || phase == submission_phase::cancelled;
    }
    bool hasActiveUnits() const;
    friend bool operator==(const submission&, const submission&) = default;
};

/// A unit within a job.
struct unit_key {
    submission_id job;
    std::uint32_t occurrence { 0 };
    std::uint32_t step { 0 };
    std::uint32_t unit { 0 };

    // The check takes a defaulted <=> for a comparison with 0.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const unit_key&, const unit_key&) = default;
};

/// One run of one task.
struct run_key {
    task_key task;
    run_number run;

    // The check takes a defaulted <=> for a comparison with 0.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const run_key&, const run_key&) = default;
};

/// The replicated state: the plan in force, data centres out of service, and all jobs with the runs that may exist.
/// Deterministic: the same commands give the same state.
class job_table {
public:
    apply_outcome apply(const job_command&);

    const queue_plan& plan() const { return m_plan; }
    bool hasPlan() const { return m_plan.version.value() > 0; }
    bool isInService(const data_centre_name& name) const { return !m_outOfService.contains(name); }
    const std::set<data_centre_name>& outOfService() const { return m_outOfService; }

    /// Null if no such job is known.
    const submission* find(const submission_id&) const;
    /// Jobs that are not terminal or still have runs that may exist, in order of their ids.
    const std::set<submission_id>& openJobs() const { return m_open; }
    /// Jobs of a queue without occurrences of which no task has started.
    std::size_t pendingCount(const queue_name&) const;
    std::size_t jobCount() const { return m_jobs.size(); }

    /// How long a task of this step is expected to run, near its data and from its begin.
    duration expectedRunTime(const submission& job, const step_spec& step) const
    {
        return m_runTimes.expected(job.queue, step.estimate);
    }
    const run_time_model& runTimes() const { return m_runTimes; }
    const worker_speeds& speeds() const { return m_speeds; }

    /// The unit of a task; null if there is no such task.
    const unit* findUnit(const task_key&) const;
    /// Runs that may exist, by worker boot.
    const std::map<worker_boot, std::set<run_key>>& runsByWorker() const { return m_runs; }
    const std::set<run_key>& runsOn(const worker_boot&) const;
    /// Where a worker boot with runs listens; empty if it has none.
    std::string addressOf(const worker_boot&) const;

    std::string save() const;
    result<void> restore(std::string_view);

    /// Terminal jobs are kept this long, so that late calls for them get a true answer. Clients ask for at most 120 s.
    static constexpr duration retention { std::chrono::seconds(600) };

private:
    apply_outcome applyBody(const accept_plan&, instant at);
    apply_outcome applyBody(const set_data_centre&, instant at);
    apply_outcome applyBody(const accept_submission&, instant at);
    apply_outcome applyBody(const cancel_submission&, instant at);
    apply_outcome applyBody(const start_tasks&, instant at);
    apply_outcome applyBody(const record_ends&, instant at);
    apply_outcome applyBody(const release_runs&, instant at);

    unit* findMutableUnit(const task_key&);
    bool mayStart(const task_start&) const;
    void endMember(const task_key&, run_number, end_kind, const checkpoint&, instant at);
    void recordRunTime(const submission&, const task_key&, const unit&, instant at);
    void endRun(submission&, const task_key&, unit&, bool isDone, instant at);
    void endJob(submission&, submission_phase, instant at);
    void removeFromOpenIfEnded(const submission&);
    void pruneEndedJobs(instant at);
    void removeRun(const worker_boot&, const run_key&);
    void removeRunsOfUnit(const task_key&, const step_spec&, const unit&);
    void indexRuns(const submission&);

    queue_plan m_plan;
    std::set<data_centre_name> m_outOfService;
    run_time_model m_runTimes;
    worker_speeds m_speeds;
    std::map<submission_id, submission> m_jobs;
    std::set<submission_id> m_open;
    std::map<worker_boot, std::set<run_key>> m_runs; ///< Derived from `m_jobs`.
    std::map<worker_boot, std::string> m_addresses; ///< Of the boots in `m_runs`.
    std::uint64_t m_sequence { 0 };
    instant m_prunedAt;
};

/// Index of the unit that holds a task of a step, and of the task within it.
std::uint32_t unitIndexOf(const step_spec&, std::uint32_t taskIndex);
std::uint32_t memberIndexOf(const step_spec&, std::uint32_t taskIndex);
/// Index of a task from its unit and member.
std::uint32_t taskIndexOf(const step_spec&, std::uint32_t unit, std::uint32_t member);
std::uint32_t memberCount(const step_spec&);

/// Due time of an occurrence on the wall clock; the epoch for jobs without due times.
instant dueTime(const submission_spec&, std::uint32_t occurrence);

} // namespace poplardeal
