#pragma once

#include "cluster.h"
#include "gang_search.h"
#include <algorithm>
#include <bit>
#include <map>
#include <optional>
#include <vector>

namespace poplardeal::detail {

/// A place for one task that may be held by others at present.
struct vacatable_place {
    task_spot spot;
    std::int64_t cost { 0 }; ///< Of what has to leave.
    std::int64_t waste { 0 }; ///< Accelerators that become free beyond the place itself.
};

/// A lease that may be made to leave, and the cost of that.
struct vacatable_lease {
    lease_number number { 0 };
    accelerator_mask accelerators { 0 };
    resources amount;
    std::int64_t cost { 0 };
};

/// One worker as a gang finds it: what it may use there, and the leases that may leave.
struct vacatable_worker {
    std::uint32_t worker { 0 };
    accelerator_mask usable { 0 };
    resources budget; ///< With all vacatable leases gone.
    resources free; ///< Without any of them gone.
    std::vector<vacatable_lease> leases;
};

/// Adds the cheapest places for up to `tasks` tasks on the worker.
void addPlaces(const vacatable_worker&, const gang_demand&, std::vector<vacatable_place>&);

/// Chooses the group in which the gang costs least and returns its places there; empty if there is none.
std::vector<task_spot> chooseCheapest(const cluster&, const gang_demand&, std::vector<vacatable_place>&);

/// Leases that have to leave a worker for the tasks placed there: those on their accelerators, and then the cheapest
/// ones until cores and memory suffice.
std::vector<lease_number> leasesToVacate(const vacatable_worker&, accelerator_mask needed, const resources& amount);

/// Spots for a gang at the least cost, and the leases that have to leave them.
struct vacating_placement {
    std::vector<task_spot> spots;
    std::vector<lease_number> leaving;
};

vacating_placement placeVacating(const cluster&, const gang_demand&, const std::vector<vacatable_worker>&);

/// The worker as a gang finds it. `costOf(lease)` is empty for leases that have to stay.
template <class CostOf>
vacatable_worker vacatable(const cluster& tree, const std::map<lease_number, lease_record>& leases, std::uint32_t index,
    const worker_offer& allowed, const CostOf& costOf)
{
    const auto& record = tree.worker(index);
    vacatable_worker result { index, allowed.accelerators, record.free, record.free, {} };
    result.budget -= record.claimedAmount;
    result.free -= record.claimedAmount;
    const auto consider = [&](lease_number number) {
        const auto& lease = leases.at(number);
        const std::optional<std::int64_t> cost = costOf(lease);
        if (!cost) {
            result.usable &= ~lease.spot.accelerators;
            return;
        }
        result.budget += lease.amount;
        result.leases.push_back({ number, lease.spot.accelerators, lease.amount, *cost });
    };
    std::ranges::for_each(record.leases, consider);
    std::ranges::for_each(record.claims, consider);
    result.budget.cpu = std::min(result.budget.cpu, allowed.free.cpu);
    result.budget.memory = std::min(result.budget.memory, allowed.free.memory);
    result.budget.accelerator = std::min(result.budget.accelerator, allowed.free.accelerator);
    return result;
}

} // namespace poplardeal::detail
