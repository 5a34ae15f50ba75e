#pragma once

#include "cluster.h"
#include "feasibility.h"
#include "gang_search.h"
#include "records.h"
#include "shape_packer.h"
#include "vacate_search.h"
#include <deque>
#include <nlohmann/json_fwd.hpp>
#include <poplardeal/placement/scheduler.h>

namespace poplardeal::detail {

/// Waiting jobs of one template, the one accepted first at the front.
using job_group_key = std::pair<workspace_name, job_name>;

/// Tasks, cores, memory, accelerators, scope, and whether lower priorities may be preempted.
using demand_key = std::tuple<std::int64_t, std::int64_t, std::int64_t, std::int64_t, scope, bool>;

demand_key demandKey(const job_template&);

/// Only jobs of the two upper priorities that need accelerators run on a guarantee.
bool mayUseGuarantee(const job_template&);

/// The queue of a group, with what is known of its first job.
struct waiting_group {
    std::set<std::pair<instant, job_number>> jobs;
    demand_key demand;
    bool usesGuarantee { false };
};

enum class placement_policy {
    guarantees,
    first_fit_fifo,
};

/// State and rules of the scheduler.
class scheduler_core {
public:
    explicit scheduler_core(placement_policy policy = placement_policy::guarantees)
        : m_policy(policy)
    {
    }

    std::vector<placement_command> apply(const placement_event&, instant now);
    std::optional<instant> nextDeadline() const;
    bool mayStart(const task_id&, lease_id) const;
    std::vector<placement_command> outstandingCommands(const worker_id&) const;
    std::vector<task_placement> tasksOn(const worker_id&) const;
    std::optional<job_status> job(job_id) const;
    std::vector<job_status> jobs() const;
    std::vector<guarantee_status> guarantees() const;

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
    void refuseImpossible();
    void setInService(std::uint32_t dataCentre, bool inService);

    // reports.cpp
    void onPrepared(lease_record&);
    void onPrepareRefused(lease_record&, const std::string& detail);
    void onStarted(lease_record&);
    void onEnded(lease_record&, task_report_kind, const std::string& detail);
    void onCheckpointed(lease_record&);
    void countOutcome(std::uint32_t worker, job_number, task_report_kind);

    // lifecycle.cpp
    void releaseGang(job_record&, const std::string& reason, bool backOff);
    void stopGang(job_record&, stop_cause, const std::string& reason, bool withCheckpoint);
    void issueStops(job_record&);
    void endLease(lease_number);
    void finishAttemptIfDone(job_record&);
    void requeue(job_record&, bool backOff);
    void endJob(job_record&, job_phase, const std::string& reason);
    void cancel(job_record&);
    void fireTimers();
    void fire(instant due, timer_kind, std::uint64_t subject);
    void onPrepareLate(job_record&);
    void onStartLate(job_record&);
    void onStopLate(job_record&);
    void onClaimLate(job_record&);
    void avoidWorker(std::uint32_t worker, duration length);
    void addPhaseTimer(job_record&, duration delay, timer_kind);
    void addTimer(duration delay, timer_kind, std::uint64_t subject);

    // claims.cpp
    /// Gives the job these spots: prepares the gang at once or, while tasks that are leaving hold them, claims them.
    void claimGang(job_record&, const std::vector<task_spot>&, bool secured);
    bool activateClaim(job_record&);
    void dropClaim(job_record&);
    void reviewClaims();
    void vacate(const std::vector<job_number>& victims, const std::string& reason);

    // preemption.cpp
    bool isLeaving(const lease_record&) const;
    std::int64_t lostWork(const lease_record&) const;
    std::int64_t remainingWork(const lease_record&) const;
    bool claimGuarantee(job_record&);
    bool claimByPreemption(job_record&);
    bool avoidsWorker(const job_record&, std::uint32_t worker) const;
    void drainFor(job_record&);
    std::vector<task_spot> findDrainable(const job_record&, bool onReserved) const;
    bool claimDrained(job_record&);
    void endDrain(job_record&);
    std::vector<job_number> jobsOf(const std::vector<lease_number>&) const;

    // consolidation.cpp
    bool claimByConsolidation(job_record&);
    void compact();
    duration moveInterval(duration shortest) const;
    bool hasFreeAccelerators(std::int64_t count) const;
    bool isMovable(const lease_record&, std::int64_t size) const;
    bool canRehost(const std::vector<lease_number>&, const std::vector<task_spot>& without, std::int64_t size) const;
    std::vector<vacatable_worker> movableWorkers(std::int64_t size, const job_record* successor) const;
    std::int64_t largestBlock() const;

    // guarantees.cpp
    using cell_map = std::map<std::uint32_t, accelerator_mask>;
    void rebuildReservations();
    void reviewReservations();
    bool keepsCells(const reservation&) const;
    bool isInUse(const reservation&) const;
    bool placeMissing();
    void repack(bool keepUsed);
    std::vector<packing_worker> packingWorkers() const;
    void updateReservedMasks();
    void updateSecured();
    using share_map = std::map<std::pair<workspace_name, std::uint32_t>, resources>;
    bool takeShare(const job_record&, const cell_map&, share_map&) const;
    cell_map ownCells(const workspace_name&) const;
    resources shareOf(std::uint32_t worker, accelerator_mask cells) const;

    // queue.cpp
    /// Priority, negative score, time of acceptance, number: the order of one pass.
    using pass_entry = std::tuple<job_priority, std::int64_t, instant, job_number>;
    void enqueue(job_record&);
    void dequeue(job_record&);
    void noteHead(const job_group_key&, waiting_group&);
    bool isWorthTrying(const job_group_key&, const waiting_group&) const;
    void noteFreed(const lease_record&);
    void noteUnsecured(const workspace_name&);
    std::set<pass_entry> headsToTry();
    void placeWaiting();
    bool tryPlace(job_record&);
    bool placeOnFree(job_record&);
    bool fitsQuota(const job_record&) const;
    bool isAged(const job_record&) const;
    bool mayDrain(const job_record&) const;
    bool isWorthReviewing(const waiting_group&) const;
    std::int64_t scoreOf(const job_record&) const;
    duration estimate(const job_record&) const;
    void learnRunTime(const job_record&);
    bool isRefilling(const data_centre_record&) const;
    void addStartTokens();
    void takeStartTokens(const std::vector<task_spot>&);
    pass_entry passEntry(const job_record&) const;
    void placeHeads(std::set<pass_entry>&);
    bool isOffered(std::uint32_t worker) const;
    wait_view waitView() const;
    std::string waitReason(const job_record&, const wait_view&) const;

    // first_fit.cpp
    std::vector<task_spot> fillInOrder(const job_record&, const std::vector<std::uint32_t>& workers) const;
    std::vector<task_spot> firstFit(const job_record&) const;
    void placeInOrder();

    // feasibility.cpp
    /// Empty if the job could run on the empty cluster, otherwise why it never can.
    std::string neverRuns(const workspace_record&, const job_template&) const;

    // status.cpp
    job_status statusOf(const job_record&, const wait_view&) const;
    run_verdict verdictOf(const job_record&) const;
    placement_command commandFor(const lease_record&, const job_record&) const;

    job_record* findJob(job_number);
    lease_record* findLease(const task_id&, lease_id);

    placement_policy m_policy;
    instant m_now;
    std::vector<placement_command> m_out;
    std::vector<worker_pool> m_pools;
    empty_cluster m_expected; ///< Of `m_pools`; not saved.
    cluster m_cluster;
    std::map<workspace_name, workspace_record> m_workspaces;
    std::map<job_number, job_record> m_jobs;
    std::map<lease_number, lease_record> m_leases;
    std::map<job_group_key, waiting_group> m_waiting;
    std::deque<job_number> m_ended; ///< Kept jobs that ended, the oldest first.
    std::set<timer> m_timers;
    lease_number m_nextLease { 1 };
    job_number m_lastEvicted { 0 };
    /// What the next pass has to look at: groups that may find a place after some resources became free, all groups
    /// because they aged, all demands because capacity changed in another way, or only groups with a new head.
    bool m_placementDue { false };
    bool m_reviewDue { false };
    bool m_capacityGrew { false };
    bool m_reservationsDue { false };
    std::set<job_group_key> m_newHeads;
    /// Demands that found no place, with the number of tasks that are short at least. They are searched for again only
    /// when workers that could make up for these became freer.
    std::map<demand_key, std::int64_t> m_failedDemands;
    /// Groups whose guarantee is in use by their own workspace.
    std::set<job_group_key> m_guaranteeFull;
    std::int64_t m_searches { 0 };
    bool m_drainTried { false };
    bool m_consolidationDue { false };
    instant m_nextReview;
    instant m_nextRepack;
    instant m_nextConsolidation;
    instant m_nextCompaction;

    std::vector<reservation> m_reservations;
    std::set<std::tuple<job_priority, instant, job_number>> m_claiming;
    std::set<job_number> m_draining; ///< Jobs with a shadow.
    std::map<std::uint32_t, job_number> m_drainedWorkers;
    /// Actual run time of ended jobs relative to the declared one, in 1024ths.
    std::map<job_group_key, std::int64_t> m_runTimeRatios;
    std::vector<gang_candidate> m_scratch;
};

} // namespace poplardeal::detail
