#include "placement_round.h"

namespace poplardeal::detail {

namespace {

    using slot = std::pair<instant, worker_id>;

    constexpr double slowPremium = 0.3; ///< Share of a unit's work by which it takes longer on a slow worker.

    double seconds(duration d) { return std::chrono::duration<double>(d).count(); }

    bool isLeaving(const occupant& each) { return each.isStopping || each.endsByItself; }

    double costOf(const occupant& each) { return isLeaving(each) ? 0 : each.lossIfStopped; }

    bool isVictim(const candidate& item, const occupant& each)
    {
        return each.priority > item.job->priority || (item.isGuaranteed && !each.isGuaranteed);
    }

    /// The cheapest runs whose end makes `need` fit into `free`; nothing if it doesn't fit even then.
    std::optional<std::vector<const occupant*>> choose(
        const demand& need, demand free, std::vector<const occupant*> possible)
    {
        std::sort(possible.begin(), possible.end(), [](const occupant* a, const occupant* b) {
            return std::tuple(!isLeaving(*a), a->lossIfStopped, a->run)
                < std::tuple(!isLeaving(*b), b->lossIfStopped, b->run);
        });
        std::vector<const occupant*> out;
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

    /// Starts that fit on a worker as its runs end, earliest first.
    std::vector<slot> slotsOf(const worker_id& id, const round_worker& worker, const demand& need, instant now)
    {
        auto occupants = worker.occupants;
        std::sort(occupants.begin(), occupants.end(),
            [](const occupant& a, const occupant& b) { return a.endsAt < b.endsAt; });
        std::vector<slot> out;
        auto free = worker.free;
        auto at = now;
        auto next = occupants.begin();
        while (true) {
            while (!need.fitsIn(free) && next != occupants.end()) {
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

/// Racks on which the unit runs at full speed, or all workers.
std::vector<std::optional<rack_name>> placement_round::scopesOf(const candidate& item) const
{
    std::vector<std::optional<rack_name>> out;
    for (const auto& rack : racksFor(item))
        out.emplace_back(rack);
    if (out.empty())
        out.emplace_back(std::nullopt);
    return out;
}

std::vector<slot> placement_round::earliestSlots(const candidate& item) const
{
    const auto need = countedNeed(*item.step);
    const std::size_t members = memberCount(*item.step);
    std::vector<slot> best;
    for (const auto& rack : scopesOf(item)) {
        std::vector<slot> slots;
        for (const auto& id : usableWorkers(item, rack ? &*rack : nullptr)) {
            const auto& worker = m_workers.at(id);
            if (worker.reservedFrom != instant::max())
                continue;
            const auto own = slotsOf(id, worker, need, m_input.now);
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

void placement_round::reserve(const std::vector<slot>& slots)
{
    if (slots.empty())
        return;
    const auto startsAt = slots.back().first;
    for (const auto& [at, id] : slots)
        m_workers.at(id).reservedFrom = startsAt;
}

std::optional<victim_set> placement_round::cheapestVictims(
    const candidate& item, const std::vector<worker_id>& usable) const
{
    const auto need = countedNeed(*item.step);
    const auto limit = item.step->maxPerWorker;
    auto counts = limit > 0 ? perWorkerCounts(item) : std::map<worker_id, std::uint32_t>();
    std::map<worker_id, demand> free;
    std::map<worker_id, std::set<const occupant*>> taken;
    for (const auto& id : usable)
        free[id] = m_workers.at(id).free;
    victim_set out;
    for (std::uint32_t m = 0; m < memberCount(*item.step); ++m) {
        const worker_id* best = nullptr;
        double bestLoss = 0;
        std::vector<const occupant*> bestVictims;
        for (const auto& id : usable) {
            if (limit > 0 && counts[id] >= limit)
                continue;
            std::vector<const occupant*> possible;
            for (const auto& each : m_workers.at(id).occupants) {
                if (!taken[id].contains(&each) && (isLeaving(each) || isVictim(item, each)))
                    possible.push_back(&each);
            }
            const auto victims = choose(need, free[id], std::move(possible));
            if (!victims)
                continue;
            double loss = 0;
            for (const auto* each : *victims)
                loss += costOf(*each);
            if (best == nullptr || loss < bestLoss) {
                best = &id;
                bestLoss = loss;
                bestVictims = *victims;
            }
        }
        if (best == nullptr)
            return std::nullopt;
        for (const auto* victim : bestVictims) {
            free[*best] += victim->need;
            taken[*best].insert(victim);
        }
        free[*best] -= need;
        ++counts[*best];
        out.loss += bestLoss;
        out.members.emplace_back(*best, std::move(bestVictims));
    }
    return out;
}

/// Stops the victims and keeps their room for the unit until it can start.
void placement_round::evict(const candidate& item, const victim_set& victims)
{
    room_claim claim;
    claim.until = m_input.now + m_options.claimTime;
    for (const auto& [id, runs] : victims.members) {
        claim.workers.push_back(id);
        for (const auto* run : runs) {
            if (!isLeaving(*run))
                stopUnit(*m_input.table.find(run->unit.job), run->unit, stop_reason::preempted);
        }
    }
    // Runs that leave count as leaving for the units that follow; the claim takes their room.
    for (const auto& [id, runs] : victims.members) {
        std::set<run_key> leaving;
        for (const auto* run : runs)
            leaving.insert(run->run);
        for (auto& each : m_workers.at(id).occupants)
            each.isStopping = each.isStopping || leaving.contains(each.run);
    }
    changeClaimed(claim, countedNeed(*item.step), true);
    m_decisions.claims.emplace(item.key, std::move(claim));
}

/// Makes room for an urgent unit by stopping work of lower rank. Returns a placement if there is free room after all,
/// off the unit's rack; otherwise the unit starts in a later round, when the ends are known.
std::optional<member_placement> placement_round::makeRoom(const candidate& item)
{
    std::optional<victim_set> best;
    const double ownWork = weightOf(item.step->need) * memberCount(*item.step) * seconds(item.expected);
    for (const auto choice : { worker_choice::fast, worker_choice::all }) {
        const double premium = choice == worker_choice::all ? slowPremium * ownWork : 0;
        for (const auto& rack : scopesOf(item)) {
            auto found = cheapestVictims(item, usableWorkers(item, rack ? &*rack : nullptr, choice));
            if (found)
                found->loss += premium;
            if (found && (!best || found->loss < best->loss))
                best = std::move(found);
        }
    }
    const auto everywhere = usableWorkers(item, nullptr);
    if (!best && item.isGuaranteed) {
        if (auto placement = fill(item, everywhere, false))
            return placement;
        best = cheapestVictims(item, everywhere);
    }
    // Outside a guarantee, urgent work must be worth what is repeated for it.
    if (!best || (!item.isGuaranteed && best->loss > ownWork))
        return std::nullopt;
    evict(item, *best);
    return std::nullopt;
}

} // namespace poplardeal::detail
