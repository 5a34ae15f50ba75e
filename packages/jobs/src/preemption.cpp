#include "placement_round.h"

namespace poplardeal::detail {

namespace {

    constexpr double slowWorkerPenalty = 0.3; ///< Extra run time on a slow worker, as a share of the unit's work.

    constexpr duration longRunTime = std::chrono::seconds(2); // Shorter runs often end before a burst reaches them.

    double seconds(duration d) { return std::chrono::duration<double>(d).count(); }

    bool isEnding(const placed_run& each) { return each.isStopping || each.endsBeforeStop; }

    double additionalCost(const placed_run& each) { return isEnding(each) ? 0 : each.preemptionCost; }

    bool isPreemptible(const candidate& item, const placed_run& each)
    {
        return each.priority > item.job->priority || (item.isGuaranteed && !each.isGuaranteed);
    }

    /// Selects runs by rising cost until `need` fits into what they and `free` give; empty if all of them aren't
    /// enough.
    std::optional<std::vector<const placed_run*>> selectVictims(
        const demand& need, demand free, std::vector<const placed_run*> possible)
    {
        std::sort(possible.begin(), possible.end(), [](const placed_run* a, const placed_run* b) {
            return std::tuple(!isEnding(*a), a->preemptionCost, a->run)
                < std::tuple(!isEnding(*b), b->preemptionCost, b->run);
        });
        std::vector<const placed_run*> out;
        for (const auto* each : possible) {
            if (need.fitsIn(free))
                break;
            free += each->need;
            out.push_back(each);
        }
        if (!need.fitsIn(free))
            return std::nullopt;
        return out;
    }

    /// When tasks of demand `need` could start on a worker as its runs end, earliest first; at most `limit` of them.
    void appendStartSlots(std::vector<start_slot>& out, worker_number number, const round_worker& worker,
        const demand& need, instant now, std::size_t limit)
    {
        auto free = worker.free;
        auto at = now;
        auto next = worker.placedRuns.begin();
        for (std::size_t i = 0; i < limit; ++i) {
            while (!need.fitsIn(free) && next != worker.placedRuns.end() && next->endsAt != never) {
                free += next->need;
                at = std::max(at, next->endsAt);
                ++next;
            }
            if (!need.fitsIn(free))
                return;
            free -= need;
            out.emplace_back(at, number);
        }
    }

} // namespace

/// The preferred racks of a unit, or a single empty entry that stands for all workers.
std::vector<std::optional<rack_number>> placement_round::placementScopes(const candidate& item) const
{
    std::vector<std::optional<rack_number>> out;
    for (const auto& rack : preferredRacks(item))
        out.emplace_back(rack);
    if (out.empty())
        out.emplace_back(std::nullopt);
    return out;
}

stopped_run placement_round::describeVictim(const unit_key& key, const step_spec& step, const unit& active) const
{
    stopped_run out;
    out.weight = weightInCores(step.need) * static_cast<double>(active.members.size());
    out.isCheckpointable = step.checkpointable;
    out.startedAt = m_input.now - std::max(m_input.wallClock - active.startedAt, duration::zero());
    out.savedAt = instant::max();
    out.starts = active.lastRun.value();
    for (std::uint32_t m = 0; m < active.members.size(); ++m) {
        const auto* seen = findRunView(key, step, active, m);
        if (seen != nullptr)
            out.startedAt = std::min(out.startedAt, seen->startedAt);
        if (seen == nullptr || !seen->savedAt)
            out.savedAt.reset();
        else if (out.savedAt)
            out.savedAt = std::min(*out.savedAt, *seen->savedAt);
    }
    return out;
}

/// While a unit waits for its victims, the next one of its burst takes what is free, and would stop what has just
/// begun.
bool placement_round::wouldSoonBeStopped(const candidate& item) const
{
    return m_options.weighsPreemptions && item.job->priority > 0 && !item.isGuaranteed && !item.isOwedRoom
        && item.estimatedRunTime > longRunTime && m_claimingServices.contains(*item.service);
}

void placement_round::waitForClaim(const candidate& item)
{
    m_claimingServices.insert(*item.service);
    stopOverdueRuns(item);
}

std::vector<start_slot> placement_round::earliestStarts(const candidate& item, worker_filter filter) const
{
    const auto need = reservedDemand(*item.step);
    const std::size_t members = memberCount(*item.step);
    std::vector<start_slot> best;
    for (const auto& rack : placementScopes(item)) {
        std::vector<start_slot> slots;
        for (const auto number : eligibleWorkers(item, rack, filter)) {
            if (!at(number).reservedFrom)
                appendStartSlots(slots, number, at(number), need, m_input.now, members);
        }
        if (slots.size() < members)
            continue;
        std::partial_sort(slots.begin(), slots.begin() + static_cast<std::ptrdiff_t>(members), slots.end());
        slots.resize(members);
        if (best.empty() || slots.back().first < best.back().first)
            best = std::move(slots);
    }
    return best;
}

void placement_round::reserveWorkers(const std::vector<start_slot>& slots)
{
    if (slots.empty())
        return;
    const auto startsAt = slots.back().first;
    for (const auto& [startAt, number] : slots)
        at(number).reservedFrom = startsAt;
}

/// Chooses worker by worker, which misses that all workers of one gang together may be the cheapest. So it is done
/// twice, the second time as if each member of a gang cost an equal part of it.
std::optional<victim_set> placement_round::cheapestVictims(
    const candidate& item, const std::vector<worker_number>& eligible) const
{
    auto whole = chooseVictims(item, eligible, gang_cost::whole);
    auto shared = chooseVictims(item, eligible, gang_cost::shared);
    return whole && (!shared || whole->cost <= shared->cost) ? whole : shared;
}

std::optional<victim_set> placement_round::chooseVictims(
    const candidate& item, const std::vector<worker_number>& eligible, gang_cost memberCost) const
{
    struct option {
        worker_number worker;
        demand free;
        std::set<const placed_run*> chosen;
        std::optional<std::vector<const placed_run*>> victims; ///< For the next member on this worker.
        double cost { 0 };
    };
    const auto need = reservedDemand(*item.step);
    const auto limit = item.step->maxPerWorker;
    auto counts = limit > 0 ? taskCountsPerWorker(item) : std::map<worker_number, std::uint32_t>();
    // Stopping one member ends all members of a gang, so that their cost counts once.
    std::set<const unit*> chosenUnits;
    const auto evaluate = [&](option& each) {
        std::vector<const placed_run*> possible;
        for (const auto& run : at(each.worker).placedRuns) {
            if (!each.chosen.contains(&run) && (isEnding(run) || isPreemptible(item, run)))
                possible.push_back(&run);
        }
        each.victims = selectVictims(need, each.free, std::move(possible));
        each.cost = 0;
        if (!each.victims)
            return;
        for (const auto* run : *each.victims) {
            const double parts
                = memberCost == gang_cost::shared ? static_cast<double>(run->unitState->members.size()) : 1;
            each.cost += chosenUnits.contains(run->unitState) ? 0 : additionalCost(*run) / parts;
        }
    };
    std::vector<option> options;
    options.reserve(eligible.size());
    for (const auto number : eligible) {
        options.push_back({ number, at(number).free, {}, {}, 0 });
        evaluate(options.back());
    }
    victim_set out;
    for (std::uint32_t m = 0; m < memberCount(*item.step); ++m) {
        option* best = nullptr;
        for (auto& each : options) {
            if (!each.victims || (limit > 0 && counts[each.worker] >= limit))
                continue;
            if (best == nullptr || each.cost < best->cost)
                best = &each;
        }
        if (best == nullptr)
            return std::nullopt;
        bool hasNewGang = false;
        for (const auto* victim : *best->victims) {
            best->free += victim->need;
            best->chosen.insert(victim);
            const bool isNew = chosenUnits.insert(victim->unitState).second;
            out.cost += isNew ? additionalCost(*victim) : 0;
            hasNewGang = hasNewGang || (isNew && victim->unitState->members.size() > 1);
        }
        best->free -= need;
        if (limit > 0)
            ++counts[best->worker];
        out.members.emplace_back(best->worker, *best->victims);
        for (auto& each : options) {
            if (hasNewGang || &each == best)
                evaluate(each);
        }
    }
    return out;
}

/// Stops the victims and claims their capacity for the unit until it can start.
void placement_round::stopVictims(const candidate& item, const victim_set& victims)
{
    capacity_claim claim;
    claim.until = m_input.now + m_options.claimTimeout;
    std::set<const unit*> stopped;
    for (const auto& [number, runs] : victims.members) {
        claim.workers.push_back(at(number).view->boot.worker);
        for (const auto* run : runs) {
            if (isEnding(*run) || !stopped.insert(run->unitState).second)
                continue;
            stopUnit(*m_input.table.find(run->unit.job), run->unit, stop_reason::preempted);
        }
    }
    markStopping(stopped);
    adjustFreeCapacity(claim, reservedDemand(*item.step), true);
    m_decisions.claims.emplace(item.key, std::move(claim));
}

void placement_round::markStopping(const std::set<const unit*>& stopped)
{
    for (auto& worker : m_workers) {
        for (auto& each : worker.placedRuns)
            each.isStopping = each.isStopping || stopped.contains(each.unitState);
    }
}

void placement_round::stopOverdueRuns(const candidate& item)
{
    const auto& claim = m_decisions.claims.at(item.key);
    const auto claimedAt = claim.until - m_options.claimTimeout;
    if (m_input.now < claimedAt + stopWait())
        return;
    std::set<const unit*> stopped;
    for (const auto& id : std::set<worker_id>(claim.workers.begin(), claim.workers.end())) {
        const auto found = findWorker(id);
        if (!found)
            continue;
        auto free = at(*found).free; // Less all claims, so it is negative where a claim waits for runs to end.
        std::vector<const placed_run*> possible;
        for (const auto& each : at(*found).placedRuns) {
            if (each.isStopping)
                free += each.need;
            else if (isPreemptible(item, each))
                possible.push_back(&each);
        }
        const auto victims = selectVictims({}, free, std::move(possible));
        if (!victims)
            continue;
        for (const auto* victim : *victims) {
            if (stopped.insert(victim->unitState).second)
                stopUnit(*m_input.table.find(victim->unit.job), victim->unit, stop_reason::preempted);
        }
    }
    markStopping(stopped);
}

/// Stops runs of lower rank for an urgent unit. Returns a placement only if a guaranteed unit fits into free capacity
/// off its preferred racks. After a preemption the unit starts in a later round, once its victims have ended.
std::optional<member_placement> placement_round::preemptFor(const candidate& item, worker_filter widest)
{
    std::optional<victim_set> best;
    const double unitWork = weightInCores(item.step->need) * memberCount(*item.step) * seconds(item.estimatedRunTime);
    for (const auto filter : { worker_filter::fast, worker_filter::all }) {
        if (filter == worker_filter::all && widest == worker_filter::fast)
            break;
        const double penalty = filter == worker_filter::all ? slowWorkerPenalty * unitWork : 0;
        for (const auto& rack : placementScopes(item)) {
            auto found = cheapestVictims(item, eligibleWorkers(item, rack, filter));
            if (found)
                found->cost += penalty;
            if (found && (!best || found->cost < best->cost))
                best = std::move(found);
        }
    }
    const auto& allEligible = eligibleWorkers(item).all;
    if (!best && item.isGuaranteed && widest == worker_filter::all) {
        if (auto placement = packMembers(item, allEligible, false))
            return placement;
        best = cheapestVictims(item, allEligible);
    }
    // Without a guarantee, the work that a preemption repeats must be in proportion to that of the unit.
    if (!best || (!item.isGuaranteed && best->cost > unitWork * m_options.maxPreemptionCost))
        return std::nullopt;
    stopVictims(item, *best);
    return std::nullopt;
}

} // namespace poplardeal::detail
