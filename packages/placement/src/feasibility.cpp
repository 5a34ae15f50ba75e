#include "feasibility.h"

#include "gang_search.h"
#include "scheduler_core.h"
#include <algorithm>

namespace poplardeal::detail {

empty_cluster expectedCluster(const std::vector<worker_pool>& pools)
{
    empty_cluster all;
    for (const auto& pool : pools)
        all[pool.dataCentre][pool.rack].push_back({ pool.workers, pool.perWorker });
    return all;
}

std::int64_t tasksPerWorker(const resources& perWorker, const resources& perTask)
{
    return countTasks({ fullMask(perWorker.accelerator.count()), perWorker, 0 }, perTask);
}

/// Adds the room of a group; the sum stays at or below `tasks` and cannot overflow.
static std::int64_t roomFor(const std::vector<empty_workers>& workers, const job_template& spec)
{
    std::int64_t room = 0;
    for (const auto& entry : workers) {
        const auto each = std::min(tasksPerWorker(entry.perWorker, spec.perTask), spec.tasks);
        room = std::min(spec.tasks, room + each * std::min(entry.count, spec.tasks));
    }
    return room;
}

static bool fitsOneWorker(const std::vector<empty_workers>& workers, const job_template& spec)
{
    return std::ranges::any_of(workers, [&](const auto& entry) {
        return entry.count > 0 && tasksPerWorker(entry.perWorker, spec.perTask) >= spec.tasks;
    });
}

bool fitsEmpty(const empty_cluster& all, const job_template& spec)
{
    std::int64_t everywhere = 0;
    for (const auto& [dataCentre, racks] : all) {
        std::int64_t inDataCentre = 0;
        for (const auto& [rack, workers] : racks) {
            const auto room = roomFor(workers, spec);
            if (spec.within == scope::worker && fitsOneWorker(workers, spec))
                return true;
            if (spec.within == scope::rack && room >= spec.tasks)
                return true;
            inDataCentre += room;
        }
        if (spec.within == scope::data_centre && inDataCentre >= spec.tasks)
            return true;
        everywhere += inDataCentre;
    }
    return spec.within == scope::anywhere && everywhere >= spec.tasks;
}

resources totalDemand(const job_template& spec)
{
    return { spec.perTask.cpu * spec.tasks, spec.perTask.memory * spec.tasks, spec.perTask.accelerator * spec.tasks };
}

std::string_view scopeText(scope within)
{
    switch (within) {
    case scope::worker:
        return "worker";
    case scope::rack:
        return "rack";
    case scope::data_centre:
        return "data centre";
    case scope::anywhere:
        break;
    }
    return "cluster";
}

std::string resourceText(const resources& amount)
{
    return std::to_string(amount.cpu.count()) + " cores, " + std::to_string(amount.memory.count()) + " MiB, "
        + std::to_string(amount.accelerator.count()) + " accelerators";
}

/// Workers that joined, in service or not. They may exceed the pools of the deployment.
static empty_cluster joinedCluster(const cluster& tree)
{
    empty_cluster all;
    for (const auto& worker : tree.workers()) {
        if (worker.present)
            all[worker.spec.dataCentre][worker.spec.rack].push_back({ 1, worker.spec.capacity });
    }
    return all;
}

std::string scheduler_core::neverRuns(const workspace_record& entry, const job_template& spec) const
{
    if (spec.tasks < 1)
        return "job " + spec.name.value() + " has no tasks";
    const auto demand = totalDemand(spec);
    if (!demand.fitsIn(entry.definition.quota))
        return "needs " + resourceText(demand) + ", more than the quota of workspace " + entry.definition.name.value()
            + " (" + resourceText(entry.definition.quota) + ")";
    if (fitsEmpty(m_expected, spec) || fitsEmpty(joinedCluster(m_cluster), spec))
        return "";
    return "no " + std::string(scopeText(spec.within)) + " can hold " + std::to_string(spec.tasks) + " tasks of "
        + resourceText(spec.perTask) + " even when empty";
}

} // namespace poplardeal::detail
