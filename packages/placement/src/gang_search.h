#pragma once

#include "cluster.h"
#include <algorithm>
#include <optional>
#include <vector>

namespace poplardeal::detail {

/// What a gang needs: `tasks` tasks of `perTask` each, all within one worker, rack or data centre, or anywhere.
struct gang_demand {
    std::int64_t tasks { 1 };
    resources perTask;
    scope within { scope::anywhere };
};

inline gang_demand demandOf(const job_template& spec) { return { spec.tasks, spec.perTask, spec.within }; }

/// A worker that can take `count` tasks; the worker with the lowest cost is filled first.
struct gang_candidate {
    std::uint32_t worker { 0 };
    std::int64_t count { 0 };
    std::int64_t cost { 0 };
    worker_offer offer;
};

/// How many tasks of the demand one worker can take.
std::int64_t countTasks(const worker_offer&, const resources& perTask);

/// Ranks a worker for tasks of this size: penalty first, then the buddy block that is split, then the tightest fit.
std::int64_t placementCost(const worker_offer&, const resources& perTask, std::int64_t workerAccelerators);

/// Chooses the group (worker, rack or data centre, or all) and places the gang, or returns an empty list.
/// Candidates are in order of their worker index.
std::vector<task_spot> placeGang(const cluster&, const gang_demand&, std::vector<gang_candidate>&);

/// Places the gang on what `offer(worker index)` gives as `std::optional<worker_offer>`.
template <class Offer>
std::vector<task_spot> findGang(
    const cluster& tree, const gang_demand& demand, Offer&& offer, std::vector<gang_candidate>& scratch)
{
    scratch.clear();
    std::int64_t total = 0;
    for (std::uint32_t i = 0; i < tree.workers().size(); ++i) {
        const std::optional<worker_offer> given = offer(i);
        if (!given)
            continue;
        const auto count = countTasks(*given, demand.perTask);
        if (count <= 0 || (demand.within == scope::worker && count < demand.tasks))
            continue;
        const auto capacity = tree.worker(i).spec.capacity.accelerator.count();
        scratch.push_back({ i, count, placementCost(*given, demand.perTask, capacity), *given });
        total += std::min(count, demand.tasks);
    }
    if (total < demand.tasks)
        return {};
    return placeGang(tree, demand, scratch);
}

/// Key of the group that a worker belongs to under a scope: its rack, its data centre, or one group of all.
std::uint32_t groupOf(const cluster&, std::uint32_t worker, scope within);

} // namespace poplardeal::detail
