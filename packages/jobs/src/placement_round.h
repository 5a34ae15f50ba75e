#pragma once

#include "run_cost.h"
#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <poplardeal/jobs/planner.h>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace poplardeal::detail {

/// Number of a worker within one scheduling round; the workers are numbered in order of their ids.
using worker_number = strong_id<struct worker_number_tag, std::size_t>;

/// Number of a rack within one scheduling round, in order of the racks' names.
using rack_number = strong_id<struct rack_number_tag, std::size_t>;

/// The end of a run that goes on until it is stopped.
inline constexpr instant never = instant::max();

/// A run that occupies capacity of a worker.
struct placed_run {
    run_key run;
    demand need;
    std::uint32_t priority { 0 };
    bool isGuaranteed { false };
    bool isStopping { false };
    bool endsBeforeStop { false }; ///< Expected to end before a stop could take effect.
    double preemptionCost { 0 }; ///< Work that a stop would repeat, in weighted core-seconds.
    instant endsAt; ///< Estimate, on the leader's steady clock; `never` for a run without an end of its own.
    unit_key unit;
    const poplardeal::unit* unitState { nullptr };
};

/// Runs by workspace, against a limit that they share.
class run_counts {
public:
    void add(const workspace_name&, std::size_t runs);
    /// Whether one more run of the workspace leaves the others at least as many as the workspace has.
    bool admits(const workspace_name&, std::size_t limit) const;

private:
    std::size_t m_total { 0 };
    std::unordered_map<std::string_view, std::size_t> m_byWorkspace; ///< The names belong to the job table.
};

/// A worker during one scheduling round.
struct round_worker {
    const worker_view* view { nullptr };
    rack_number rack;
    bool isSlow { false };
    double slowness { 1 }; ///< With `planner_options::usesExpectedTimes`: run time relative to an ordinary worker.
    demand free; ///< Capacity less all runs that may exist there and all claims.
    std::vector<placed_run> placedRuns; ///< In order of `endsAt`.
    std::vector<task_kind> kinds; ///< Of what runs or is planned there, each once; filled only to separate kinds.
    std::optional<instant> reservedFrom; ///< Reserved for a blocked unit from this time on.
    run_counts runs; ///< That may exist there, and planned starts.
    run_counts unconfirmedRuns; ///< Those that the worker has not listed.
};

/// A waiting unit that may start now.
struct candidate {
    unit_key key;
    const submission* job { nullptr };
    const step_spec* step { nullptr };
    const unit* state { nullptr };
    const service_name* service { nullptr };
    bool isGuaranteed { false };
    duration estimatedRunTime { 0 }; ///< On a worker near the data.
    instant deadline; ///< End of the objective, wall clock.
    deadline_status deadlineStatus { deadline_status::on_time };
    duration waitingTime { 0 };
    bool isOwedRoom { false }; ///< Its step has been kept waiting beside ample room for `planner_options::maxHoldBack`.
    bool usesAvoided { false }; ///< Workers that are avoided are eligible.
};

enum class worker_filter : std::uint8_t {
    all,
    fast, ///< Excludes workers known to be slow; with expected times, those on which the unit would end late.
};

/// Workers by their slowness, both ends included.
struct slowness_range {
    double fastest { 0 };
    double slowest { 0 };
};

/// The worker of each member of a unit, by member number.
using member_placement = std::vector<worker_number>;

/// When a task could start on a worker.
using start_slot = std::pair<instant, worker_number>;

/// Workers that may run the steps of one service that require one label.
struct eligible_workers {
    const service_name* service { nullptr };
    const worker_label* label { nullptr };
    bool includesAvoided { false };
    std::vector<worker_number> all;
    std::vector<std::vector<worker_number>> byRack; ///< By `rack_number`.
};

/// Capacity of workers, and what runs there.
struct capacity_use {
    demand capacity;
    demand used;

    void add(const round_worker&);
    bool isUnderHalf(const demand& need) const;
};

/// The workers of a service that are heard. Those that are avoided may or may not be sound.
struct service_use {
    capacity_use heard;
    capacity_use trusted; ///< Not avoided.

    /// Of what the tasks need most.
    bool isUnderHalf(const demand& need) const { return heard.isUnderHalf(need) || trusted.isUnderHalf(need); }
};

/// Times of one occurrence of a job that all of its units share.
struct occurrence_times {
    std::vector<duration> expectedRunTimes; ///< By step.
    std::vector<duration> criticalPaths; ///< By step, from its start to the end of the job.
    instant objectiveStart; ///< Wall clock.
    duration objective { 0 };
};

/// Runs whose ends would free enough capacity for a unit: per member its worker and the victims there.
struct victim_set {
    double cost { 0 }; ///< Weighted core-seconds of work that would be repeated.
    std::vector<std::pair<worker_number, std::vector<const placed_run*>>> members;
};

/// What a member of a gang counts in the choice of victims: the cost of the whole gang or an equal part of it.
enum class gang_cost : std::uint8_t {
    whole,
    shared,
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
    void addWorkers();
    void recordActiveUnits();
    void recordUnit(const submission&, const unit_key&, const step_spec&, const unit&);
    round_worker& at(worker_number number) { return m_workers[number.value()]; }
    const round_worker& at(worker_number number) const { return m_workers[number.value()]; }
    std::optional<worker_number> findWorker(const worker_id&) const;
    /// The unit as a possible victim.
    stopped_run describeVictim(const unit_key&, const step_spec&, const unit&) const;
    /// Null if the member's worker has not reported the run.
    const run_view* findRunView(const unit_key&, const step_spec&, const unit&, std::uint32_t member) const;
    duration remainingTime(const submission&, const unit_key&, const step_spec&, const unit&) const;
    bool isStalled(const unit_key&, const step_spec&, const unit&) const;
    void stopUnit(const submission&, const unit_key&, stop_reason);
    void stopIfRequired(const submission&, const unit_key&, const step_spec&, const unit&);
    void stop(const planned_stop&);
    /// From a stop to the reported end.
    duration stopWait() const { return std::max(m_options.stopLatency, m_options.timing.stop); }

    std::vector<candidate> collectCandidates() const;
    /// The first waiting units of each step, at most `limit`; as many as could start are enough.
    void appendCandidates(const submission&, std::size_t limit, std::vector<candidate>&) const;
    /// Calls `action(occurrence, step)` for every step of the job that may start now and is not done.
    template <class Action> void forEachReadyStep(const submission&, Action) const;
    std::size_t candidatesPerStep() const;
    std::vector<std::size_t> rankCandidates(const std::vector<candidate>&) const;
    std::set<std::uint64_t> agedJobs() const;
    bool isDue(const submission&, std::uint32_t occurrence) const;
    /// Whether the steps before are done.
    bool isReady(const submission&, std::uint32_t occurrence, std::uint32_t step) const;
    bool isRestartPaused(const step_spec&, const unit&) const;
    duration estimateRunTime(const submission&, std::uint32_t occurrence, std::uint32_t step) const;
    const occurrence_times& timesOf(const submission&, std::uint32_t occurrence) const;

    static bool mayLeaveRack(const candidate&);
    bool isEligible(const candidate&, const round_worker&) const;
    const eligible_workers& eligibleWorkers(const candidate&) const;
    std::vector<worker_number> eligibleWorkers(const candidate&, std::optional<rack_number>, worker_filter) const;
    std::optional<member_placement> findPlacement(const candidate&) const;
    std::optional<member_placement> packMembers(
        const candidate&, const std::vector<worker_number>&, bool respectReservations) const;

    // With `planner_options::usesExpectedTimes`.
    double slownessOf(const worker_boot&) const;
    double slownessOfSet(const member_placement&) const;
    double slownessLimit(const candidate&) const;
    bool isFastEnough(const candidate&, worker_number) const;
    double patientBonus(const round_worker&) const;
    duration expectedRunTime(const submission&, const step_spec&) const;
    std::vector<worker_number> workersWithin(const candidate&, std::optional<rack_number>, const slowness_range&) const;
    std::optional<member_placement> findExpectedPlacement(const candidate&) const;
    /// Whether an urgent unit would end late on these workers and gets faster ones in time.
    bool waitsForFasterWorkers(const candidate&, const member_placement&, bool mayPreempt);

    std::vector<rack_number> preferredRacks(const candidate&) const;
    std::vector<std::optional<rack_number>> placementScopes(const candidate&) const;
    std::optional<victim_set> cheapestVictims(const candidate&, const std::vector<worker_number>&) const;
    std::optional<victim_set> chooseVictims(
        const candidate&, const std::vector<worker_number>&, gang_cost memberCost) const;
    std::optional<member_placement> preemptFor(const candidate&, worker_filter widest);
    void stopVictims(const candidate&, const victim_set&);
    /// Stops the runs on a unit's claimed workers that were expected to end by themselves and have not.
    void stopOverdueRuns(const candidate&);
    /// Units placed later in this round see all members of these units as ending.
    void markStopping(const std::set<const unit*>&);
    /// The earliest start time and worker of each member if no other unit starts; empty if the unit doesn't fit.
    std::vector<start_slot> earliestStarts(const candidate&, worker_filter) const;
    void reserveWorkers(const std::vector<start_slot>&);
    void applyClaims();
    bool isBoundedByGuarantee(const candidate&) const;
    bool mayTakeRun(const candidate&, const round_worker&) const;
    bool mayBegin(const submission&, std::uint32_t occurrence) const;
    /// Whether there is room for the unit, and only `run_limits` keep it waiting.
    bool isLimited(const candidate&) const;
    void adjustFreeCapacity(const capacity_claim&, const demand& need, bool isClaimed);
    std::optional<member_placement> placeOnClaimedWorkers(const candidate&);
    bool wouldSoonBeStopped(const candidate&) const;
    instant expectedEnd(const step_spec&, duration left, bool isStopping) const;
    static bool respectsReservations(const candidate& item) { return !item.isGuaranteed && !item.isOwedRoom; }
    bool isReserved(const candidate&, const round_worker&) const;

    const service_use& useOf(const service_name&);
    /// Whether there is capacity for the unit twice over while under half of its service is in use.
    bool hasAmpleRoom(const candidate&);
    static unit_key holdBackKey(const candidate&);
    bool isOwedRoom(const candidate&);
    void recordHoldBack(const candidate&);
    void keepRecentHoldBacks();
    /// Keeps the claim of a unit that can't start yet.
    void waitForClaim(const candidate&);
    /// Keeps the unit waiting for one of `run_limits`; false.
    bool waitForLimit(const candidate&);
    /// Whether the unit starts.
    bool placeUnit(const candidate&);
    std::optional<member_placement> findOwedPlacement(const candidate&) const;
    deadline_status estimateDeadlineStatus(const submission&, std::uint32_t occurrence, duration left) const;
    double remainingValue(const submission&, std::uint32_t occurrence, duration left) const;
    void commitPlacement(const candidate&, const member_placement&);
    std::map<worker_number, std::uint32_t> taskCountsPerWorker(const candidate&) const;
    /// Whether tasks are to be kept apart and a pair of kinds is known to interfere.
    bool separatesInterfering() const;
    void recordKind(worker_number, const task_kind&);
    /// How much longer tasks take if this unit joins what runs on the worker, as a share of their run times.
    double interference(const task_kind&, const round_worker&) const;

    const planner_options& m_options;
    const planner_input& m_input;
    std::set<submission_id> m_guaranteed;
    std::vector<round_worker> m_workers;
    std::unordered_map<std::string_view, worker_number> m_workerNumbers; ///< By id; the texts belong to the input.
    std::vector<rack_name> m_racks;
    mutable std::deque<eligible_workers>
        m_eligible; ///< Of the services and labels asked for so far; references stay valid.
    mutable std::unordered_map<const submission*, std::map<std::uint32_t, occurrence_times>> m_times;
    std::set<run_key> m_stopped; ///< Runs that this round stops.
    std::size_t m_reservations { 0 };
    run_counts m_runs;
    std::size_t m_plannedStarts { 0 }; ///< Tasks.
    std::set<std::pair<std::uint64_t, std::uint32_t>> m_begun; ///< Occurrences that this plan begins, by `sequence`.
    std::size_t m_begunBytes { 0 }; ///< Memory that they take.
    const step_spec* m_limitedStep { nullptr }; ///< A unit of it has just met one of `run_limits`.
    std::uint32_t m_limitedOccurrence { 0 };
    const step_spec* m_blockedStep { nullptr }; ///< A unit of it has just found no place.
    std::uint32_t m_blockedOccurrence { 0 };
    std::set<service_name> m_claimingServices; ///< Of units that wait for their victims to end.
    bool m_blockedIsOwedRoom { false };
    bool m_blockedMayLeaveRack { false }; ///< That unit had waited long enough to run off its rack.
    std::map<service_name, service_use> m_use;
    std::set<unit_key> m_placed; ///< By `holdBackKey`.
    const step_spec* m_crampedStep { nullptr }; ///< The last one found without ample room.
    std::uint32_t m_crampedOccurrence { 0 };
    job_decisions m_decisions;
};

/// Tasks of demand `need` that fit into free capacity, at most `limit`.
std::size_t slotsIn(const demand& need, const demand& free, std::size_t limit);

/// What a task subtracts from its worker's free capacity. Best-effort tasks subtract no cores.
demand reservedDemand(const step_spec&);

} // namespace poplardeal::detail
