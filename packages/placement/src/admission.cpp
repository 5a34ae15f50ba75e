#include "feasibility.h"
#include "shape_packer.h"

#include <algorithm>
#include <poplardeal/placement/admission.h>
#include <set>

namespace poplardeal {
namespace detail {

    /// Bound on the blocks that the exact search places; it takes about a second at the design capacity.
    static constexpr std::int64_t maxPackingSteps = 100'000;

    /// All guaranteed shapes of a deployment, each as often as it counts.
    struct guarantee_list {
        std::vector<shape_instance> shapes;
        std::vector<std::pair<const workspace*, const guaranteed_shape*>> origins;
    };

    static std::string shapeText(const guaranteed_shape& shape)
    {
        return std::to_string(shape.blocks) + " x " + std::to_string(shape.blockAccelerators.count()) + " within "
            + std::string(scopeText(shape.within));
    }

    static guarantee_list guaranteesOf(const deployment& plan)
    {
        guarantee_list list;
        for (const auto& owner : plan.workspaces) {
            for (const auto& shape : owner.guarantees) {
                for (std::int64_t i = 0; i < shape.count; ++i) {
                    list.shapes.push_back({ shape.blocks, shape.blockAccelerators.count(), shape.within });
                    list.origins.emplace_back(&owner, &shape);
                }
            }
        }
        return list;
    }

    /// Empty workers of all pools in service, but for one data centre if given.
    static std::vector<packing_worker> workersInService(const deployment& plan, const data_centre_name* lost)
    {
        std::set<data_centre_name> inService;
        for (const auto& dataCentre : plan.dataCentres) {
            if (dataCentre.inService && (lost == nullptr || dataCentre.name != *lost))
                inService.insert(dataCentre.name);
        }
        std::map<data_centre_name, std::uint32_t> dataCentres;
        std::map<std::pair<data_centre_name, rack_name>, std::uint32_t> racks;
        std::vector<packing_worker> workers;
        for (const auto& pool : plan.workerPools) {
            if (!inService.contains(pool.dataCentre))
                continue;
            const auto dataCentre
                = dataCentres.emplace(pool.dataCentre, static_cast<std::uint32_t>(dataCentres.size())).first->second;
            const auto rack
                = racks.emplace(std::pair(pool.dataCentre, pool.rack), static_cast<std::uint32_t>(racks.size()))
                      .first->second;
            const auto all = fullMask(pool.perWorker.accelerator.count());
            for (std::int64_t i = 0; i < pool.workers; ++i)
                workers.push_back({ static_cast<std::uint32_t>(workers.size()), rack, dataCentre, all, 0 });
        }
        return workers;
    }

    static failure infeasible(const std::string& message) { return { failure_code::infeasible, message }; }

    /// Indexes of guarantees that find no place when the others are packed first.
    static std::vector<std::size_t> unplaced(const std::vector<packing_worker>& workers, const guarantee_list& list)
    {
        std::vector<std::size_t> order(list.shapes.size());
        for (std::size_t i = 0; i < order.size(); ++i)
            order[i] = i;
        std::ranges::stable_sort(
            order, [&](std::size_t a, std::size_t b) { return isHarder(list.shapes[a], list.shapes[b]); });
        shape_packer packer(workers);
        std::vector<std::size_t> missing;
        for (const auto index : order) {
            if (packer.packOne(list.shapes[index]).empty())
                missing.push_back(index);
        }
        return missing;
    }

    static std::vector<exposure> exposuresOf(const deployment& plan, const guarantee_list& list)
    {
        std::vector<exposure> exposures;
        for (const auto& dataCentre : plan.dataCentres) {
            if (!dataCentre.inService)
                continue;
            const auto workers = workersInService(plan, &dataCentre.name);
            shape_packer packer(workers);
            if (packer.packAll(list.shapes, maxPackingSteps) == packing_outcome::packed)
                continue;
            auto missing = unplaced(workers, list);
            if (missing.empty())
                missing.push_back(packer.blockedAt());
            std::set<std::pair<workspace_name, std::string>> named;
            for (const auto index : missing) {
                const auto& [owner, shape] = list.origins[index];
                if (named.emplace(owner->name, shapeText(*shape)).second)
                    exposures.push_back({ dataCentre.name, owner->name, shapeText(*shape) });
            }
        }
        return exposures;
    }

    static result<void> checkShape(const workspace& owner, const guaranteed_shape& shape)
    {
        const auto size = shape.blockAccelerators.count();
        if (shape.blocks < 1 || shape.count < 0 || size < 1 || size > maxAccelerators)
            return infeasible("workspace " + owner.name.value() + ": guarantee " + shapeText(shape)
                + " is not a set of blocks of 1 to 64 accelerators");
        return success();
    }

    static result<void> checkTemplate(const workspace& owner, const job_template& spec, const empty_cluster& all)
    {
        const auto place = "workspace " + owner.name.value() + ", job " + spec.name.value() + ": ";
        if (spec.tasks < 1)
            return infeasible(place + "has no tasks");
        if (!totalDemand(spec).fitsIn(owner.quota))
            return infeasible(place + "needs " + resourceText(totalDemand(spec)) + ", more than the quota of "
                + resourceText(owner.quota));
        auto single = spec;
        single.tasks = 1;
        if (!fitsEmpty(all, single))
            return infeasible(place + "no worker can hold a task of " + resourceText(spec.perTask));
        if (!fitsEmpty(all, spec))
            return infeasible(place + "no " + std::string(scopeText(spec.within)) + " can hold "
                + std::to_string(spec.tasks) + " tasks of " + resourceText(spec.perTask));
        return success();
    }

} // namespace detail

result<admission_report> admit(const deployment& plan)
{
    const auto all = detail::expectedCluster(plan.workerPools);
    for (const auto& owner : plan.workspaces) {
        for (const auto& spec : owner.jobs) {
            if (const auto checked = detail::checkTemplate(owner, spec, all); !checked)
                return checked.error();
        }
        for (const auto& shape : owner.guarantees) {
            if (const auto checked = detail::checkShape(owner, shape); !checked)
                return checked.error();
        }
    }
    const auto list = detail::guaranteesOf(plan);
    detail::shape_packer packer(detail::workersInService(plan, nullptr));
    const auto outcome = packer.packAll(list.shapes, detail::maxPackingSteps);
    if (outcome != detail::packing_outcome::packed) {
        const auto& [owner, shape] = list.origins[packer.blockedAt()];
        const auto* why = outcome == detail::packing_outcome::impossible
            ? " does not fit together with the other guarantees into the workers in service"
            : " was not proven to fit together with the other guarantees within the bounded search";
        return detail::infeasible(
            "workspace " + owner->name.value() + ": guarantee " + detail::shapeText(*shape) + why);
    }
    return admission_report { detail::exposuresOf(plan, list) };
}

} // namespace poplardeal
