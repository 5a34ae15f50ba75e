#pragma once

#include "cluster.h"
#include "gang_search.h"
#include "records.h"
#include <deque>
#include <nlohmann/json_fwd.hpp>
#include <poplardeal/placement/scheduler.h>

namespace poplardeal::detail {

/// Waiting jobs of one template, the one accepted first at the front.
using job_group_key = std::pair<workspace_name, job_name>;
using waiting_queue = std::set<std::pair<instant, job_number>>;

/// State and rules of the scheduler.
class scheduler_core {
public:
    std::vector<placement_command> apply(const placement_event&, instant now);
    std::optional<instant> nextDeadline() const;
    bool mayStart(const task_id&, lease_id) const;
    std::vector<placement_command> outstandingCommands(const worker_id&) const;
    std::optional<job_status> job(job_id) const;
    std::vector<job_status> jobs() const;

    nlohmann::json toJson() const;
    /// Throws `nlohmann::json::exception` or `std::out_of_range` on a damaged state.
    void fromJson(const nlohmann::json&);

private:
    template <class Archive> void describe(Archive&);

    // events.cpp
    void on(const deployment_changed&);
    void on(const worker_joined&);
    void on(const worker_lost&);
    void on(const worker_suspected&);
    void on(const worker_recovered&);
    void on(const data_centre_ordered&);
    void on(const job_submitted&);
    void on(const job_cancelled&);
    void on(const task_reported&);
    void on(const usage_reported&);
    void on(const time_passed&);
    void loseWorker(std::uint32_t worker);
    void setInService(std::uint32_t dataCentre, bool inService);

    // reports.cpp
    void onPrepared(lease_record&);
    void onPrepareRefused(lease_record&, const std::string& detail);
    void onStarted(lease_record&);
    void onEnded(lease_record&, task_report_kind, const std::string& detail);
    void onCheckpointed(lease_record&);

    // lifecycle.cpp
    void startGang(job_record&, const std::vector<task_spot>&);
    void releaseGang(job_record&, const std::string& reason, bool backOff);
    void stopGang(job_record&, stop_cause, const std::string& reason, bool withCheckpoint);
    void issueStops(job_record&);
    void endLease(lease_number);
    void finishAttemptIfDone(job_record&);
    void requeue(job_record&, bool backOff);
    void endJob(job_record&, job_phase, const std::string& reason);
    void cancel(job_record&);
    void fireTimers();
    void fire(timer_kind, std::uint64_t subject);
    void onPrepareLate(job_record&);
    void onStartLate(job_record&);
    void onStopLate(job_record&);
    void avoidWorker(std::uint32_t worker, duration length);
    void addPhaseTimer(job_record&, duration delay, timer_kind);
    void addTimer(duration delay, timer_kind, std::uint64_t subject);

    // queue.cpp
    void enqueue(job_record&);
    void dequeue(job_record&);
    void placeWaiting();
    bool tryPlace(job_record&);
    bool fitsQuota(const job_record&) const;
    std::string waitReason(const job_record&) const;

    // feasibility.cpp
    /// Empty if the job could run on the empty cluster, otherwise why it never can.
    std::string neverRuns(const workspace_record&, const job_template&) const;

    // status.cpp
    job_status statusOf(const job_record&) const;
    run_verdict verdictOf(const job_record&) const;
    placement_command commandFor(const lease_record&, const job_record&) const;

    job_record* findJob(job_number);
    lease_record* findLease(const task_id&, lease_id);

    instant m_now;
    std::vector<placement_command> m_out;
    std::vector<worker_pool> m_pools;
    cluster m_cluster;
    std::map<workspace_name, workspace_record> m_workspaces;
    std::map<job_number, job_record> m_jobs;
    std::map<lease_number, lease_record> m_leases;
    std::map<job_group_key, waiting_queue> m_waiting;
    std::deque<job_number> m_ended; ///< Kept jobs that ended, the oldest first.
    std::set<timer> m_timers;
    lease_number m_nextLease { 1 };
    job_number m_lastEvicted { 0 };
    bool m_placementDue { false };
    std::vector<gang_candidate> m_scratch;
};

} // namespace poplardeal::detail
