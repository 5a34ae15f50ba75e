#include "placement_round.h"

namespace poplardeal::detail {

namespace {

    using start_slot = std::pair<instant, worker_id>;

    constexpr double slowWorkerPenalty = 0.3; ///< Extra run time on a slow worker, as a share of the unit's work.

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

    /// When tasks of demand `need` could start on a worker as its runs end, earliest first.
    std::vector<start_slot> startSlotsOn(
        const worker_id& id, const round_worker& worker, const demand& need, instant now)
    {
        auto placedRuns = worker.placedRuns;
        std::sort(placedRuns.begin(), placedRuns.end(),
            [](const placed_run& a, const placed_run& b) { return a.endsAt < b.endsAt; });
        std::vector<start_slot> out;
        auto free = worker.free;
        auto at = now;
        auto next = placedRuns.begin();
        while (true) {
            while (!need.fitsIn(free) && next != placedRuns.end()) {
                free += next->need;
                at = std::max(at, next->endsAt);
                ++next;
            }
            if (!need.fitsIn(free) || out.size() >= maxTasksPerStep)
                return out;
            free -= need;
            out.emplace_back(at, id);
        }
    }

} // namespace

/// The preferred racks of a unit, or a single empty entry that stands for all workers.
std::vector<std::optional<rack_name>> placement_round::placementScopes(const candidate& item) const
{
    std::vector<std::optional<rack_name>> out;
    for (const auto& rack : preferredRacks(item))
        out.emplace_back(rack);
    if (out.empty())
        out.emplace_back(std::nullopt);
    return out;
}

std::vector<start_slot> placement_round::earliestStarts(const candidate& item) const
{
    const auto need = reservedDemand(*item.step);
    const std::size_t members = memberCount(*item.step);
    std::vector<start_slot> best;
    for (const auto& rack : placementScopes(item)) {
        std::vector<start_slot> slots;
        for (const auto& id : eligibleWorkers(item, rack ? &*rack : nullptr)) {
            const auto& worker = m_workers.at(id);
            if (worker.reservedFrom != instant::max())
                continue;
            const auto own = startSlotsOn(id, worker, need, m_input.now);
            slots.insert(slots.end(), own.begin(), own.end());
        }
        if (slots.size() < members)
            continue;
        std::sort(slots.begin(), slots.end());
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
    for (const auto& [at, id] : slots)
        m_workers.at(id).reservedFrom = startsAt;
}

std::optional<victim_set> placement_round::cheapestVictims(
    const candidate& item, const std::vector<worker_id>& eligible) const
{
    const auto need = reservedDemand(*item.step);
    const auto limit = item.step->maxPerWorker;
    auto counts = limit > 0 ? taskCountsPerWorker(item) : std::map<worker_id, std::uint32_t>();
    std::map<worker_id, demand> free;
    std::map<worker_id, std::set<const placed_run*>> chosen;
    for (const auto& id : eligible)
        free[id] = m_workers.at(id).free;
    victim_set out;
    for (std::uint32_t m = 0; m < memberCount(*item.step); ++m) {
        const worker_id* best = nullptr;
        double bestCost = 0;
        std::vector<const placed_run*> bestVictims;
        for (const auto& id : eligible) {
            if (limit > 0 && counts[id] >= limit)
                continue;
            std::vector<const placed_run*> possible;
            for (const auto& each : m_workers.at(id).placedRuns) {
                if (!chosen[id].contains(&each) && (isEnding(each) || isPreemptible(item, each)))
                    possible.push_back(&each);
            }
            const auto victims = selectVictims(need, free[id], std::move(possible));
            if (!victims)
                continue;
            double cost = 0;
            for (const auto* each : *victims)
                cost += additionalCost(*each);
            if (best == nullptr || cost < bestCost) {
                best = &id;
                bestCost = cost;
                bestVictims = *victims;
            }
        }
        if (best == nullptr)
            return std::nullopt;
        for (const auto* victim : bestVictims) {
            free[*best] += victim->need;
            chosen[*best].insert(victim);
        }
        free[*best] -= need;
        ++counts[*best];
        out.cost += bestCost;
        out.members.emplace_back(*best, std::move(bestVictims));
    }
    return out;
}

/// Stops the victims and claims their capacity for the unit until it can start.
void placement_round::stopVictims(const candidate& item, const victim_set& victims)
{
    capacity_claim claim;
    claim.until = m_input.now + m_options.claimTimeout;
    for (const auto& [id, runs] : victims.members) {
        claim.workers.push_back(id);
        for (const auto* run : runs) {
            if (!isEnding(*run))
                stopUnit(*m_input.table.find(run->unit.job), run->unit, stop_reason::preempted);
        }
    }
    // Units placed later in this round see the victims as ending; the claim subtracts their capacity.
    for (const auto& [id, runs] : victims.members) {
        std::set<run_key> ending;
        for (const auto* run : runs)
            ending.insert(run->run);
        for (auto& each : m_workers.at(id).placedRuns)
            each.isStopping = each.isStopping || ending.contains(each.run);
    }
    adjustFreeCapacity(claim, reservedDemand(*item.step), true);
    m_decisions.claims.emplace(item.key, std::move(claim));
}

/// Stops runs of lower rank for an urgent unit. Returns a placement only if a guaranteed unit fits into free capacity
/// off its preferred racks. After a preemption the unit starts in a later round, once its victims have ended.
std::optional<member_placement> placement_round::preemptFor(const candidate& item)
{
    std::optional<victim_set> best;
    const double unitWork = resourceWeight(item.step->need) * memberCount(*item.step) * seconds(item.estimatedRunTime);
    for (const auto filter : { worker_filter::fast, worker_filter::all }) {
        const double penalty = filter == worker_filter::all ? slowWorkerPenalty * unitWork : 0;
        for (const auto& rack : placementScopes(item)) {
            auto found = cheapestVictims(item, eligibleWorkers(item, rack ? &*rack : nullptr, filter));
            if (found)
                found->cost += penalty;
            if (found && (!best || found->cost < best->cost))
                best = std::move(found);
        }
    }
    const auto allEligible = eligibleWorkers(item, nullptr);
    if (!best && item.isGuaranteed) {
        if (auto placement = packMembers(item, allEligible, false))
            return placement;
        best = cheapestVictims(item, allEligible);
    }
    // Without a guarantee, a preemption must not repeat more work than the unit itself takes.
    if (!best || (!item.isGuaranteed && best->cost > unitWork))
        return std::nullopt;
    stopVictims(item, *best);
    return std::nullopt;
}

} // namespace poplardeal::detail
