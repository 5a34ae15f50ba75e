#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <poplardeal/jobs/planner.h>
#include <set>
#include <vector>

namespace poplardeal::detail {

/// A run that occupies capacity of a worker.
struct placed_run {
    run_key run;
    demand need;
    std::uint32_t priority { 0 };
    bool isGuaranteed { false };
    bool isStopping { false };
    bool endsBeforeStop { false }; ///< Expected to end before a stop could take effect.
    double preemptionCost { 0 }; ///< Work that a stop would repeat, in weighted core-seconds.
    instant endsAt; ///< Estimate, on the leader's steady clock.
    unit_key unit;
};

/// A worker during one scheduling round.
struct round_worker {
    const worker_view* view { nullptr };
    demand free; ///< Capacity less all runs that may exist there and all claims.
    std::vector<placed_run> placedRuns;
    instant reservedFrom { instant::max() }; ///< Reserved for a blocked unit from this time on.
};

/// Whether an occurrence of a job can still end within its objective.
enum class deadline_status : std::uint8_t {
    on_time,
    late,
    expired, ///< So late that the job earns nothing.
};

/// A waiting unit that may start now.
struct candidate {
    unit_key key;
    const submission* job { nullptr };
    const step_spec* step { nullptr };
    const unit* state { nullptr };
    bool isGuaranteed { false };
    duration estimatedRunTime { 0 }; ///< On a worker near the data.
    instant deadline; ///< End of the objective, wall clock.
    deadline_status deadlineStatus { deadline_status::on_time };
    duration waitingTime { 0 };
};

enum class worker_filter : std::uint8_t {
    all,
    fast, ///< Excludes workers known to be slow.
};

/// The worker of each member of a unit, by member number.
using member_placement = std::vector<worker_id>;

/// Runs whose ends would free enough capacity for a unit: per member its worker and the victims there.
struct victim_set {
    double cost { 0 }; ///< Weighted core-seconds of work that would be repeated.
    std::vector<std::pair<worker_id, std::vector<const placed_run*>>> members;
};

/// One scheduling pass over the waiting units, in order of rank.
class placement_round {
public:
    placement_round(const planner_options&, const planner_input&);

    /// Stops runs that must end whatever else is waiting: of ended jobs, broken gangs, stalled or on draining workers.
    void planRequiredStops();
    /// Starts waiting units, preempts runs for urgent ones and reserves workers for blocked ones.
    void placeWaitingUnits();
    job_decisions extractDecisions() { return std::move(m_decisions); }

private:
    /// Calls `action(job, key, step, unit)` for every unit that runs.
    template <class Action> void forEachActiveUnit(Action) const;
    void recordActiveUnits();
    void recordUnit(const submission&, const unit_key&, const step_spec&, const unit&);
    /// Null if the member's worker has not reported the run.
    const run_view* findRunView(const unit_key&, const step_spec&, const unit&, std::uint32_t member) const;
    duration remainingTime(const unit_key&, const step_spec&, const unit&) const;
    bool isStalled(const unit_key&, const step_spec&, const unit&) const;
    void stopUnit(const submission&, const unit_key&, stop_reason);
    void stopIfRequired(const submission&, const unit_key&, const step_spec&, const unit&);
    void stop(const run_key&, const worker_boot&, stop_reason);

    std::vector<candidate> collectCandidates() const;
    void appendCandidates(const submission&, std::vector<candidate>&) const;
    bool isReady(const submission&, std::uint32_t occurrence, std::uint32_t step) const;
    duration estimateRunTime(const submission&, std::uint32_t occurrence, std::uint32_t step) const;
    std::vector<duration> criticalPathTimes(const submission&, std::uint32_t occurrence) const;

    bool isEligible(const candidate&, const round_worker&) const;
    std::optional<member_placement> findPlacement(const candidate&) const;
    std::optional<member_placement> packMembers(
        const candidate&, const std::vector<worker_id>&, bool respectReservations) const;
    std::vector<worker_id> eligibleWorkers(
        const candidate&, const rack_name* rack, worker_filter = worker_filter::all) const;
    std::vector<rack_name> preferredRacks(const candidate&) const;
    std::vector<std::optional<rack_name>> placementScopes(const candidate&) const;
    std::optional<victim_set> cheapestVictims(const candidate&, const std::vector<worker_id>&) const;
    std::optional<member_placement> preemptFor(const candidate&);
    void stopVictims(const candidate&, const victim_set&);
    /// The earliest start time and worker of each member if no other unit starts; empty if the unit doesn't fit.
    std::vector<std::pair<instant, worker_id>> earliestStarts(const candidate&) const;
    void reserveWorkers(const std::vector<std::pair<instant, worker_id>>&);
    void applyClaims();
    void adjustFreeCapacity(const capacity_claim&, const demand& need, bool isClaimed);
    std::optional<member_placement> placeOnClaimedWorkers(const candidate&);
    void placeUnit(const candidate&);
    deadline_status estimateDeadlineStatus(const submission&, std::uint32_t occurrence, duration left) const;
    double remainingValue(const submission&, std::uint32_t occurrence, duration left) const;
    void commitPlacement(const candidate&, const member_placement&);
    std::map<worker_id, std::uint32_t> taskCountsPerWorker(const candidate&) const;

    const planner_options& m_options;
    const planner_input& m_input;
    std::set<submission_id> m_guaranteed;
    std::map<worker_id, round_worker> m_workers;
    std::size_t m_reservations { 0 };
    job_decisions m_decisions;
};

/// What a task subtracts from its worker's free capacity. Best-effort tasks subtract no cores.
demand reservedDemand(const step_spec&);

/// Weight of a demand in cores, for comparing preemption costs; an accelerator counts as 8. A worker has 16 cores for
/// each accelerator.
double resourceWeight(const demand&);

} // namespace poplardeal::detail
