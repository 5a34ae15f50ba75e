#pragma once

#include <map>
#include <optional>
#include <poplardeal/base/time.h>
#include <poplardeal/jobs/job_table.h>
#include <set>
#include <vector>

namespace poplardeal {

/// A run as its worker last reported it.
struct run_view {
    run_number run;
    checkpoint saved;
    double percent { 0 };
    double startPercent { 0 }; ///< When first seen: above 0 after a restore, or if an earlier leader saw it begin.
    instant startedAt; ///< First seen running, on the leader's clock.
    instant progressedAt; ///< When `percent` last grew.
    instant reportedAt; ///< Last report that listed it.
};

/// Progress below this many percent says too little about the speed of a run.
inline constexpr double reliablePercent = 5;

/// How long a run takes in all, from the progress since it was first seen; nothing if that says too little yet.
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
    double slowness { 1 }; ///< Run times here over those on a usual worker.
    bool isReachable { false }; ///< Its sidecar has reported lately.
    bool isDraining { false };
    instant leavesAt; ///< Valid while draining.
    instant avoidUntil; ///< Nothing is placed there before, because its tasks failed or stood still.
    std::map<task_key, run_view> running;
};

enum class stop_reason : std::uint8_t {
    job_ended,
    gang_broken,
    preempted,
    worker_leaves,
    no_progress,
};

std::string_view toString(stop_reason);

struct planned_stop {
    run_key run;
    worker_boot worker;
    stop_reason reason { stop_reason::job_ended };
};

/// Room that is being made for a waiting unit. It is kept from other units until the unit starts.
struct room_claim {
    std::vector<worker_id> workers; ///< By member.
    instant until; ///< Then the claim is given up; the worker may have been lost.
};

using room_claims = std::map<unit_key, room_claim>;

/// What should happen now.
struct job_decisions {
    std::vector<start_tasks> starts; ///< Each command may be applied on its own.
    std::vector<planned_stop> stops;
    room_claims claims; ///< To be passed to the next plan.
};

struct planner_options {
    double distanceFactor { 3 }; ///< Run time multiplier off the data's rack or spread over racks; platform figure.
    duration startLead { std::chrono::milliseconds(100) }; ///< How long before its due time an occurrence may start.
    duration stallLimit { std::chrono::milliseconds(3000) }; ///< Without progress for this long a task is restarted.
    duration claimTime { std::chrono::milliseconds(1500) }; ///< A stop, its report and a new start take up to 0.8 s.
    std::size_t maxReservations { 16 }; ///< Blocked units for which workers are kept free; bounds the work of a plan.
};

/// All that a plan depends on.
struct planner_input {
    const job_table& table;
    const std::map<worker_id, worker_view>& workers;
    const std::set<run_key>& stopping; ///< Runs that have been told to stop.
    const room_claims& claims; ///< Of the last plan.
    instant now; ///< Steady clock of the leader.
    instant wallClock;
};

/// Chooses starts and stops. Has no state of its own; what it remembers are the claims.
job_decisions planJobs(const planner_options&, const planner_input&);

/// Accelerators of jobs of priority 0 that fit in the workspace's guarantee, in order of acceptance.
std::set<submission_id> guaranteedJobs(const job_table&);

} // namespace poplardeal
