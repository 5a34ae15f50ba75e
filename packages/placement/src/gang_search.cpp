#include "gang_search.h"

#include <bit>
#include <limits>

namespace poplardeal::detail {

std::int64_t countTasks(const worker_offer& offer, const resources& perTask)
{
    if (!perTask.fitsIn(offer.free))
        return 0;
    auto count = offer.maxTasks;
    if (perTask.accelerator.count() > 0)
        count = std::min(count, countBlocks(offer.accelerators, perTask.accelerator.count()));
    if (count > 0 && perTask.cpu.count() > 0)
        count = std::min(count, offer.free.cpu.count() / perTask.cpu.count());
    if (count > 0 && perTask.memory.count() > 0)
        count = std::min(count, offer.free.memory.count() / perTask.memory.count());
    return count;
}

std::int64_t placementCost(const worker_offer& offer, const resources& perTask, std::int64_t workerAccelerators)
{
    // Bits, low to high: free cores (20), free accelerators (8), split block (8), penalty.
    auto cost = std::min<std::int64_t>(offer.free.cpu.count(), (1 << 20) - 1);
    if (perTask.accelerator.count() > 0) {
        std::int64_t split = 0;
        findBlock(offer.accelerators, perTask.accelerator.count(), &split);
        cost += static_cast<std::int64_t>(std::popcount(offer.accelerators)) << 20;
        cost += split << 28;
    } else {
        // Tasks without accelerators take cores that accelerators need; workers without accelerators go first.
        cost += workerAccelerators << 28;
    }
    return cost + (offer.penalty << 36);
}

std::uint32_t groupOf(const cluster& tree, std::uint32_t worker, scope within)
{
    switch (within) {
    case scope::worker:
        return worker;
    case scope::rack:
        return tree.worker(worker).rack;
    case scope::data_centre:
        return tree.worker(worker).dataCentre;
    case scope::anywhere:
        break;
    }
    return 0;
}

static std::size_t groupCount(const cluster& tree, scope within)
{
    switch (within) {
    case scope::worker:
        return tree.workers().size();
    case scope::rack:
        return tree.racks().size();
    case scope::data_centre:
        return tree.dataCentres().size();
    case scope::anywhere:
        break;
    }
    return 1;
}

/// Takes the cheapest candidates until all tasks have a place.
static std::vector<task_spot> fill(const gang_demand& demand, std::vector<gang_candidate>& candidates)
{
    const auto later
        = [](const auto& a, const auto& b) { return std::tie(a.cost, a.worker) > std::tie(b.cost, b.worker); };
    std::ranges::make_heap(candidates, later);
    std::vector<task_spot> spots;
    while (std::ssize(spots) < demand.tasks && !candidates.empty()) {
        std::ranges::pop_heap(candidates, later);
        auto candidate = candidates.back();
        candidates.pop_back();
        for (; candidate.count > 0 && std::ssize(spots) < demand.tasks; --candidate.count) {
            accelerator_mask mask = 0;
            if (demand.perTask.accelerator.count() > 0) {
                const auto start = findBlock(candidate.offer.accelerators, demand.perTask.accelerator.count());
                mask = blockMask(start, demand.perTask.accelerator.count());
                candidate.offer.accelerators &= ~mask;
            }
            spots.push_back({ candidate.worker, mask });
        }
    }
    if (std::ssize(spots) < demand.tasks)
        spots.clear();
    return spots;
}

/// The group with room for the gang that has the least penalty and, of these, the least room left over.
static std::optional<std::uint32_t> tightestGroup(
    const cluster& tree, const gang_demand& demand, scope within, const std::vector<gang_candidate>& candidates)
{
    struct group {
        std::int64_t room { 0 };
        std::int64_t penalty { 0 };
    };
    std::vector<group> groups(groupCount(tree, within));
    for (const auto& candidate : candidates) {
        auto& entry = groups[groupOf(tree, candidate.worker, within)];
        entry.room += std::min(candidate.count, demand.tasks);
        entry.penalty = std::max(entry.penalty, candidate.offer.penalty);
    }
    std::optional<std::uint32_t> best;
    for (std::uint32_t i = 0; i < groups.size(); ++i) {
        if (groups[i].room < demand.tasks)
            continue;
        if (!best || std::tie(groups[i].penalty, groups[i].room) < std::tie(groups[*best].penalty, groups[*best].room))
            best = i;
    }
    return best;
}

static std::vector<task_spot> placeWithin(
    const cluster& tree, const gang_demand& demand, scope within, const std::vector<gang_candidate>& candidates)
{
    const auto group = tightestGroup(tree, demand, within, candidates);
    if (!group)
        return {};
    std::vector<gang_candidate> members;
    for (const auto& candidate : candidates) {
        if (groupOf(tree, candidate.worker, within) == *group)
            members.push_back(candidate);
    }
    return fill(demand, members);
}

std::vector<task_spot> placeGang(
    const cluster& tree, const gang_demand& demand, std::vector<gang_candidate>& candidates)
{
    if (demand.tasks == 1 || demand.within == scope::worker) {
        const auto best = std::ranges::min_element(candidates,
            [](const auto& a, const auto& b) { return std::tie(a.cost, a.worker) < std::tie(b.cost, b.worker); });
        std::vector<gang_candidate> chosen { *best };
        return fill(demand, chosen);
    }
    if (demand.within != scope::anywhere)
        return placeWithin(tree, demand, demand.within, candidates);
    // A gang that may lie anywhere still runs best close together.
    for (const auto within : { scope::rack, scope::data_centre }) {
        auto spots = placeWithin(tree, demand, within, candidates);
        if (!spots.empty())
            return spots;
    }
    return fill(demand, candidates);
}

} // namespace poplardeal::detail
