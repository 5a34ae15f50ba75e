#include "vacate_search.h"

namespace poplardeal::detail {

std::vector<lease_number> leasesToVacate(
    const vacatable_worker& worker, accelerator_mask needed, const resources& amount)
{
    auto free = worker.free;
    std::vector<lease_number> leaving;
    std::vector<vacatable_lease> rest;
    for (const auto& lease : worker.leases) {
        if ((lease.accelerators & needed) == 0) {
            rest.push_back(lease);
            continue;
        }
        leaving.push_back(lease.number);
        free += lease.amount;
    }
    std::ranges::stable_sort(rest, {}, &vacatable_lease::cost);
    // Accelerators are chosen by position; here only cores and memory count.
    const resources wanted { amount.cpu, amount.memory, accelerators(0) };
    free.accelerator = accelerators(0);
    for (const auto& lease : rest) {
        if (wanted.fitsIn(free))
            break;
        leaving.push_back(lease.number);
        free.cpu += lease.amount.cpu;
        free.memory += lease.amount.memory;
    }
    return leaving;
}

/// Cost of one more place at `mask`, given the leases that leave anyway.
static vacatable_place placeAt(const vacatable_worker& worker, accelerator_mask mask, const std::vector<bool>& leaves)
{
    vacatable_place place { { worker.worker, mask }, 0, 0 };
    accelerator_mask opened = mask;
    for (std::size_t i = 0; i < worker.leases.size(); ++i) {
        const auto& lease = worker.leases[i];
        if (leaves[i] || (lease.accelerators & mask) == 0)
            continue;
        place.cost += lease.cost;
        opened |= lease.accelerators;
    }
    place.waste = std::popcount(opened) - std::popcount(mask);
    return place;
}

static void addPlacesWithoutAccelerators(
    const vacatable_worker& worker, const gang_demand& demand, std::int64_t count, std::vector<vacatable_place>& places)
{
    std::int64_t known = 0;
    auto amount = resources {};
    for (std::int64_t i = 0; i < count; ++i) {
        amount += demand.perTask;
        std::int64_t cost = 0;
        for (const auto number : leasesToVacate(worker, 0, amount))
            cost += std::ranges::find(worker.leases, number, &vacatable_lease::number)->cost;
        places.push_back({ { worker.worker, 0 }, cost - known, 0 });
        known = cost;
    }
}

void addPlaces(const vacatable_worker& worker, const gang_demand& demand, std::vector<vacatable_place>& places)
{
    const auto count = std::min(demand.tasks, countTasks({ worker.usable, worker.budget }, demand.perTask));
    if (count <= 0 || (demand.within == scope::worker && count < demand.tasks))
        return;
    const auto size = demand.perTask.accelerator.count();
    if (size == 0)
        return addPlacesWithoutAccelerators(worker, demand, count, places);
    auto left = worker.usable;
    std::vector<bool> leaves(worker.leases.size());
    for (std::int64_t i = 0; i < count; ++i) {
        std::optional<vacatable_place> best;
        for (std::int64_t start = 0; start + size <= maxAccelerators; start += blockSize(size)) {
            const auto mask = blockMask(start, size);
            if ((left & mask) != mask)
                continue;
            const auto place = placeAt(worker, mask, leaves);
            if (!best || std::tie(place.cost, place.waste) < std::tie(best->cost, best->waste))
                best = place;
        }
        if (!best)
            return;
        left &= ~best->spot.accelerators;
        for (std::size_t k = 0; k < worker.leases.size(); ++k)
            leaves[k] = leaves[k] || (worker.leases[k].accelerators & best->spot.accelerators) != 0;
        places.push_back(*best);
    }
}

std::vector<task_spot> chooseCheapest(
    const cluster& tree, const gang_demand& demand, std::vector<vacatable_place>& places)
{
    struct group {
        std::int64_t count { 0 };
        std::int64_t cost { 0 };
    };
    const auto order = [](const vacatable_place& p) { return std::tie(p.cost, p.waste, p.spot.worker); };
    std::ranges::stable_sort(places, [&](const auto& a, const auto& b) { return order(a) < order(b); });
    std::map<std::uint32_t, group> groups;
    std::optional<std::uint32_t> best;
    for (const auto& place : places) {
        const auto key = groupOf(tree, place.spot.worker, demand.within);
        auto& entry = groups[key];
        if (entry.count == demand.tasks)
            continue;
        ++entry.count;
        entry.cost += place.cost;
        if (entry.count == demand.tasks && (!best || entry.cost < groups[*best].cost))
            best = key;
    }
    std::vector<task_spot> spots;
    if (!best)
        return spots;
    for (const auto& place : places) {
        if (std::ssize(spots) < demand.tasks && groupOf(tree, place.spot.worker, demand.within) == *best)
            spots.push_back(place.spot);
    }
    return spots;
}

vacating_placement placeVacating(
    const cluster& tree, const gang_demand& demand, const std::vector<vacatable_worker>& workers)
{
    std::vector<vacatable_place> places;
    for (const auto& worker : workers)
        addPlaces(worker, demand, places);
    vacating_placement result { chooseCheapest(tree, demand, places), {} };
    for (const auto& worker : workers) {
        accelerator_mask needed = 0;
        resources amount;
        for (const auto& spot : result.spots) {
            if (spot.worker != worker.worker)
                continue;
            needed |= spot.accelerators;
            amount += demand.perTask;
        }
        if (amount == resources {})
            continue;
        const auto leaving = leasesToVacate(worker, needed, amount);
        result.leaving.insert(result.leaving.end(), leaving.begin(), leaving.end());
    }
    return result;
}

} // namespace poplardeal::detail
