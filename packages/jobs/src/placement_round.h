#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <poplardeal/jobs/planner.h>
#include <set>
#include <vector>

namespace poplardeal::detail {

/// A run that occupies a worker.
struct placed_run {
    run_key run;
    demand need;
    std::uint32_t priority { 0 };
    bool isGuaranteed { false };
    bool isStopping { false };
    bool endsBeforeStop { false }; ///< Sooner than a stop would free its room.
    double preemptionCost { 0 }; ///< Accelerator-weighted seconds of work that would be repeated.
    instant endsAt; ///< Estimate on the leader's clock.
    unit_key unit;
};

/// A worker during one round.
struct round_worker {
    const worker_view* view { nullptr };
    demand free; ///< Room less everything that may run there.
    std::vector<placed_run> placedRuns;
    instant reservedFrom { instant::max() }; ///< A blocked unit needs this worker from then on.
};

/// Whether a job can still end within its objective.
enum class deadline_status : std::uint8_t {
    on_time,
    late,
    expired, ///< Can no longer earn anything.
};

/// A unit that may start now.
struct candidate {
    unit_key key;
    const submission* job { nullptr };
    const step_spec* step { nullptr };
    const unit* state { nullptr };
    bool isGuaranteed { false };
    duration estimatedRunTime { 0 }; ///< Run time near the data.
    instant deadline; ///< Wall clock: end of the objective.
    deadline_status deadlineStatus { deadline_status::on_time };
    duration waitingTime { 0 };
};

enum class worker_filter : std::uint8_t {
    all,
    fast, ///< Without those that are known to be slow.
};

/// Where the members of a unit go, by member number.
using member_placement = std::vector<worker_id>;

/// Runs whose end makes room for a unit: per member the worker and the runs there.
struct victim_set {
    double cost { 0 };
    std::vector<std::pair<worker_id, std::vector<const placed_run*>>> members;
};

/// One pass over the waiting units, most valuable first.
class placement_round {
public:
    placement_round(const planner_options&, const planner_input&);

    void planRequiredStops();
    void placeWaitingUnits();
    job_decisions extractDecisions() { return std::move(m_decisions); }

private:
    /// Calls `action(job, key, step, unit)` for every unit that runs.
    template <class Action> void forEachActiveUnit(Action) const;
    void recordActiveUnits();
    void recordUnit(const submission&, const unit_key&, const step_spec&, const unit&);
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
    /// When and where each member of a unit could start if nothing else did; empty if it never fits.
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

/// What a task takes from its worker's free room.
demand reservedDemand(const step_spec&);

/// Weight of a demand for comparing losses: accelerators dominate, as a worker has 16 processors for each.
double resourceWeight(const demand&);

} // namespace poplardeal::detail
