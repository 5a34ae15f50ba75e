#pragma once

#include <limits>
#include <map>
#include <optional>
#include <poplardeal/base/time.h>
#include <poplardeal/jobs/job_table.h>
#include <poplardeal/jobs/run_timing.h>
#include <poplardeal/jobs/work_order.h>
#include <set>
#include <vector>

namespace poplardeal {

/// A run as its worker last reported it.
struct run_view {
    run_number run;
    checkpoint saved;
    double percent { 0 };
    double startPercent { 0 }; ///< When first seen: above 0 after a restore or a change of leader.
    instant startedAt; ///< First seen running, on the leader's clock.
    instant progressedAt; ///< When `percent` last grew.
    instant reportedAt; ///< Last report that listed the run.
    /// The last report before `saved` changed. Empty until then: what was saved when the run was first seen may be old.
    std::optional<instant> savedAt { std::nullopt };
};

/// Percent of progress from which the speed of a run can be estimated.
inline constexpr double minimumMeasuredPercent = 5;

/// Total run time, extrapolated from the progress since the run was first seen; empty below `minimumMeasuredPercent`.
std::optional<duration> measuredRunTime(const run_view&);

/// A worker as the leader knows it from reports.
struct worker_view {
    worker_boot boot;
    std::string address;
    service_name service;
    data_centre_name dataCentre;
    rack_name rack;
    std::vector<worker_label> labels;
    demand capacity;
    double slowness { 1 }; ///< Ratio of run times on this worker to those on an ordinary one.
    speed_estimate speed; ///< The same from gangs too; used with `planner_options::usesExpectedTimes`.
    bool isReachable { false }; ///< Its sidecar has reported recently.
    bool isSilent { false }; ///< Its sidecar has just not been heard; a start might not arrive.
    bool isDraining { false };
    instant drainDeadline; ///< When the worker leaves; valid while draining.
    /// Until then tasks are placed there only if they are owed room and find none elsewhere, because tasks failed, made
    /// no progress or were refused.
    instant avoidUntil;
    std::map<task_key, run_view> running;
};

/// Why a run is stopped.
enum class stop_reason : std::uint8_t {
    job_ended,
    gang_broken,
    preempted,
    worker_leaves,
    no_progress,
};

/// Name of the enumerator.
std::string_view toString(stop_reason);

/// A run that its worker should be told to stop.
struct planned_stop {
    run_key run;
    worker_boot worker;
    stop_reason reason { stop_reason::job_ended };
    double discardedWork { 0 }; ///< Estimate of the work that is lost with the run, in core-seconds.
};

/// Capacity for which runs were stopped. It is kept from other units until its unit starts.
struct capacity_claim {
    std::vector<worker_id> workers; ///< By member.
    instant until; ///< Expiry. The claim is dropped then, as a worker may have been lost.
};

using capacity_claims = std::map<unit_key, capacity_claim>;

/// A wait beside ample room, on the leader's clock.
struct hold_back {
    instant since;
    instant seenAt; ///< Last plan with ample room.
};

/// Units that are kept waiting although there is ample room for them: each of a long-running step, the first of others.
using held_back_units = std::map<unit_key, hold_back>;

/// Result of a plan.
struct job_decisions {
    std::vector<start_tasks> starts; ///< Each command may be applied on its own.
    std::vector<planned_stop> stops;
    capacity_claims claims; ///< Input of the next plan.
    held_back_units heldBack; ///< Input of the next plan.
    std::size_t limitedUnits { 0 }; ///< Units that `run_limits` keep waiting although there is room for them.
};

/// Bounds on runs that may exist at the same time, which keep control and sidecars within their memory. A workspace may
/// use as many of a bound as are left for the others. Work within a guarantee is not held back by them: its
/// accelerators bound it.
struct run_limits {
    std::size_t total { 16384 };
    std::size_t perWorker { 2048 };
    /// Ordered runs that the worker has not listed yet. Orders that wait for longer than their start window are void.
    std::size_t unconfirmedPerWorker { 1024 };
    std::size_t startsPerPlan { 512 }; ///< Tasks; the last unit may exceed it.
    /// `job_table::footprint` from which no further occurrence of a job begins; shared like the others.
    std::size_t jobBytes { std::numeric_limits<std::size_t>::max() };
    std::size_t candidates { 16384 }; ///< Waiting units that one plan looks at, but at least one of each step.
};

struct planner_options {
    double distanceFactor { 3 }; ///< Run time multiplier off the data's rack or across racks, set by the platform.
    duration maxEarlyStart { std::chrono::milliseconds(100) }; ///< An occurrence may start this long before it is due.
    duration stallTimeout { std::chrono::milliseconds(3000) }; ///< A task without progress is stopped after this.
    duration claimTimeout { std::chrono::milliseconds(1500) }; ///< Stop, report and new start take up to 0.8 s.
    /// From a stop to the reported end, if `run_timing::stop` isn't longer. A run that ends sooner by itself is waited
    /// for instead.
    duration stopLatency { std::chrono::milliseconds(400) };
    run_timing timing;
    /// Largest cost of a preemption without a guarantee, in multiples of the work of the unit that it is for.
    double maxPreemptionCost { 3 };
    /// Chooses workers by the expected end of a unit on the very set of them, from `worker_view::speed`.
    bool usesExpectedTimes { false };
    /// Starts no long unit of lower rank while a unit waits for its victims to end: the next unit of that burst would
    /// stop it again.
    bool weighsPreemptions { false };
    order_options order; ///< Of the waiting units.
    bool separatesInterfering { false }; ///< Prefers workers where no task slows another one down.
    run_limits limits;
    std::size_t maxReservations { 16 }; ///< Blocked units that reserve workers; bounds the run time of a plan.
    /// Longest time for which a step is kept waiting by reservations, claims, avoided workers or the hope for faster
    /// ones while there is ample room: capacity for one of its units twice over, and under half of its service in use.
    /// A long-running step counts however full the service is. The platform allows 3 s.
    duration maxHoldBack { std::chrono::milliseconds(2000) };
};

/// Input of a plan, which depends on nothing else but the options.
struct planner_input {
    const job_table& table;
    const std::map<worker_id, worker_view>& workers;
    const std::set<run_key>& stopping; ///< Runs that have been told to stop.
    const capacity_claims& claims; ///< From the last plan.
    instant now; ///< Steady clock of the leader.
    instant wallClock;
    const held_back_units& heldBack; ///< From the last plan.
};

/// A demand in cores, for comparing and counting work; an accelerator counts as 8. A worker has 16 cores for each
/// accelerator.
double weightInCores(const demand&);

/// Chooses the runs to start and to stop. Stateless: only the claims are carried from one plan to the next.
job_decisions planJobs(const planner_options&, const planner_input&);

/// Jobs of priority 0 whose accelerators fit in the guarantee of their workspace, counted in order of acceptance.
std::set<submission_id> guaranteedJobs(const job_table&);

} // namespace poplardeal
