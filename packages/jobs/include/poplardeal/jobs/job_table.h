#pragma once

#include <map>
#include <poplardeal/base/failure.h>
#include <poplardeal/jobs/command.h>
#include <poplardeal/jobs/interference_table.h>
#include <poplardeal/jobs/model.h>
#include <poplardeal/jobs/occurrence_list.h>
#include <poplardeal/jobs/plan_index.h>
#include <poplardeal/jobs/run_time_model.h>
#include <poplardeal/jobs/speed_model.h>
#include <poplardeal/jobs/worker_speeds.h>
#include <poplardeal/jobs/workspace_usage.h>
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

/// Stored by number, so the order must not change.
enum class unit_phase : std::uint8_t {
    waiting,
    active,
    done,
};

/// Tasks that start and end together: one task, or all tasks of a gang step.
struct unit {
    unit_phase phase { unit_phase::waiting };
    run_number lastRun;
    std::uint32_t failures { 0 }; ///< Failed runs; not counted for long-running steps.
    bool runFailed { false }; ///< A member of the current run has failed.
    checkpoint saved; ///< Latest checkpoint of the ended runs.
    instant waitingSince; ///< By the wall clock of the leader.
    instant startedAt; ///< Last start, by the wall clock of the leader.
    bool isResumed { false }; ///< The last start resumed from a checkpoint.
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
    service_name service; ///< Service of the queue at submission; stays valid after the queue is removed.
    workspace_name workspace;
    std::uint32_t priority { 0 };
    std::uint32_t attempts { 1 };
    double stretch { 1 };
    duration allowance { 0 };
    bool needsAdvice { false };
    submission_spec spec;
    instant acceptedAt; ///< By the wall clock of the leader.
    std::uint64_t sequence { 0 }; ///< Increases in order of acceptance.
    bool hasStarted { false }; ///< A worker is known to have begun a task.
    submission_phase phase { submission_phase::queued }; ///< `running` also while its first starts are only ordered.
    instant endedAt; ///< Valid only in a terminal phase.
    std::uint32_t activeUnits { 0 }; ///< Derived from `occurrences`.
    std::size_t footprint { 0 }; ///< Of `spec` and `occurrences`; derived.
    occurrence_list<job_occurrence> occurrences; ///< Empty for some jobs that have ended.

    bool isTerminal() const
    {
        return phase == submission_phase::completed || phase == submission_phase::failed
            || phase == submission_phase::cancelled;
    }
    bool hasActiveUnits() const { return activeUnits > 0; }
    friend bool operator==(const submission&, const submission&) = default;
};

/// A unit within a job.
struct unit_key {
    submission_id job;
    std::uint32_t occurrence { 0 };
    std::uint32_t step { 0 };
    std::uint32_t unit { 0 };

    // clang-tidy mistakes a defaulted <=> for a comparison with a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const unit_key&, const unit_key&) = default;
};

/// One run of one task.
struct run_key {
    task_key task;
    run_number run;

    // clang-tidy mistakes a defaulted <=> for a comparison with a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const run_key&, const run_key&) = default;
};

/// The replicated state: the current plan, the data centres out of service, and all jobs with their runs. A run may
/// exist from its recorded start until its end is recorded. Deterministic: the same commands give the same state.
class job_table {
public:
    apply_outcome apply(const job_command&);

    const queue_plan& plan() const { return m_plan; }
    bool hasPlan() const { return m_plan.version.value() > 0; }
    /// The queue of the current plan with this name; null if there is none.
    const queue_spec* findQueue(const queue_name& name) const { return m_planIndex.find(m_plan, name); }
    /// The queue of the current plan with the longest prefix of `path` on `host`; null if there is none.
    const queue_spec* matchQueue(std::string_view host, std::string_view path) const
    {
        return m_planIndex.match(m_plan, host, path);
    }
    /// The workspace of the current plan that the key belongs to; null if there is none.
    const workspace_quota* findWorkspace(const api_key& key) const { return m_planIndex.findWorkspace(m_plan, key); }
    bool isInService(const data_centre_name& name) const { return !m_outOfService.contains(name); }
    const std::set<data_centre_name>& outOfService() const { return m_outOfService; }

    /// Null if no such job is known.
    const submission* find(const submission_id&) const;
    /// Jobs that are not terminal or have runs that may still exist, in order of their ids.
    const std::set<submission_id>& openJobs() const { return m_open; }
    /// Number of the queue's jobs that are not terminal and of which no task is known to have begun: neither here nor
    /// by reports of workers that are not recorded yet.
    std::size_t pendingCount(const queue_name&, const std::set<submission_id>& begun = {}) const;
    /// Estimate of the memory that all jobs take, in bytes, apart from their runs.
    std::size_t footprint() const { return m_footprint; }
    /// The same of one workspace's jobs.
    std::size_t footprint(const workspace_name&) const;
    std::size_t jobCount() const { return m_jobs.size(); }

    /// Expected run time of a task of this step when it starts without a checkpoint and runs near its data.
    duration expectedRunTime(const submission& job, const step_spec& step) const
    {
        return m_runTimes.expected(job.queue, step.estimate);
    }
    const run_time_model& runTimes() const { return m_runTimes; }
    const worker_speeds& speeds() const { return m_speeds; }
    const speed_history& speedHistory() const { return m_speedHistory; }
    /// The same as `expectedRunTime`, but on ordinary workers instead of those that the queue has had so far.
    duration ordinaryRunTime(const submission& job, const step_spec& step) const;
    const workspace_usage& usage() const { return m_usage; }
    const interference_table& interference() const { return m_interference; }

    /// The unit of a task; null if there is no such task.
    const unit* findUnit(const task_key&) const;
    /// Runs that may exist, by worker boot.
    const std::map<worker_boot, std::set<run_key>>& runsByWorker() const { return m_runs; }
    const std::set<run_key>& runsOn(const worker_boot&) const;
    /// Address of a worker boot that has runs; empty if it has none.
    std::string addressOf(const worker_boot&) const;
    /// Boots with runs that have this id or this address, in order.
    std::vector<worker_boot> bootsWithRuns(const worker_id&, const std::string& address) const;

    /// The state as a snapshot: a record in CBOR, followed by the jobs in a compact form, compressed.
    std::string save() const;
    /// Replaces the state by a snapshot. Fails with `corrupt` and changes nothing if the bytes are not a valid one.
    result<void> restore(std::string_view);

    /// Terminal jobs are kept for this long, so that late requests about them are answered correctly. Clients ask for
    /// at most 120 s.
    static constexpr duration retention { std::chrono::seconds(600) };
    /// Of the steps and tasks of ended jobs. Of further ones only the state is kept.
    static constexpr std::size_t maxEndedBytes = std::size_t { 8 } * 1024 * 1024;

private:
    apply_outcome applyBody(const accept_plan&, instant at);
    apply_outcome applyBody(const set_data_centre&, instant at);
    apply_outcome applyBody(const accept_submission&, instant at);
    apply_outcome applyBody(const cancel_submission&, instant at);
    apply_outcome applyBody(const start_tasks&, instant at);
    apply_outcome applyBody(const record_ends&, instant at);
    apply_outcome applyBody(const release_runs&, instant at);
    apply_outcome applyBody(const record_begins&, instant at);

    /// Null if there is no such task. The occurrence no longer shares its memory with others.
    unit* findMutableUnit(const task_key&);
    /// Lets the occurrence share its memory if it is done.
    void shareIfDone(submission&, std::uint32_t occurrence);
    bool mayStart(const task_start&) const;
    void endMember(const task_key&, run_number, end_kind, const checkpoint&, instant at);
    /// Passes the run time of a unit that is done to the run time statistics, unless it resumed from a checkpoint.
    void recordRunTime(const submission&, const task_key&, const unit&, instant at);
    void recordNeighbours(const submission&, const task_key&, const unit& done, instant at);
    /// Ends the current run of a unit; the unit is then done or waits for its next start.
    void endRun(submission&, const task_key&, unit&, bool isDone, instant at);
    void endJob(submission&, submission_phase, instant at);
    /// Closes a job once it is terminal and has no active units: only its state is kept.
    void closeIfEnded(submission&);
    void addFootprint(submission&, std::size_t);
    void subtractFootprint(submission&, std::size_t);
    /// Keeps the steps and tasks of an ended job if they fit into `maxEndedBytes`.
    void retainOrDrop(submission& ended, std::size_t bytes);
    void restoreJob(submission);
    void pruneEndedJobs(instant at);
    void setAddress(const worker_boot&, const std::string& address);
    void eraseAddress(const std::string&, const worker_boot&);
    void removeRun(const worker_boot&, const run_key&, instant at);
    void removeRunsOfUnit(const task_key&, const step_spec&, const unit&, instant at);
    void indexRuns(const submission&);

    queue_plan m_plan;
    plan_index m_planIndex; ///< Of `m_plan`.
    std::set<data_centre_name> m_outOfService;
    run_time_model m_runTimes;
    worker_speeds m_speeds;
    speed_history m_speedHistory;
    workspace_usage m_usage; ///< The current runs in it are those of `m_runs`.
    interference_table m_interference;
    std::map<submission_id, submission> m_jobs;
    std::set<submission_id> m_open;
    std::map<workspace_name, std::size_t> m_footprints; ///< Derived from `m_jobs`.
    std::size_t m_footprint { 0 }; ///< Sum of `m_footprints`.
    std::size_t m_endedBytes { 0 }; ///< Of the steps and tasks of ended jobs.
    std::map<worker_boot, std::set<run_key>> m_runs; ///< Runs that may exist; derived from `m_jobs`.
    std::map<worker_boot, std::string> m_addresses; ///< Addresses of the worker boots in `m_runs`.
    std::map<std::string, std::set<worker_boot>> m_bootsByAddress; ///< Inverse of `m_addresses`.
    std::uint64_t m_sequence { 0 };
    instant m_prunedAt;
};

/// Index of the unit that a task of a step belongs to.
std::uint32_t unitIndexOf(const step_spec&, std::uint32_t taskIndex);
/// Index of a task within its unit.
std::uint32_t memberIndexOf(const step_spec&, std::uint32_t taskIndex);
/// Index of the task in the step, from the index of its unit and its index within the unit.
std::uint32_t taskIndexOf(const step_spec&, std::uint32_t unit, std::uint32_t member);
/// Number of tasks in each unit of a step.
std::uint32_t memberCount(const step_spec&);

/// Estimate of the memory that a job takes when it is accepted, in bytes.
std::size_t footprintOf(const submission_spec&);
/// Estimate of the memory that an occurrence takes in addition while it differs from others, in bytes.
std::size_t occurrenceFootprint(const submission_spec&);

/// Due time of an occurrence by the wall clock; the epoch for jobs without occurrences.
instant dueTime(const submission_spec&, std::uint32_t occurrence);

} // namespace poplardeal
