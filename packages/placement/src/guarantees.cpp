#include "scheduler_core.h"

#include "scheduler_limits.h"
#include <algorithm>
#include <bit>

namespace poplardeal::detail {

/// Reservations of the deployment in force. A shape that was reserved before keeps its cells.
void scheduler_core::rebuildReservations()
{
    auto former = std::move(m_reservations);
    m_reservations.clear();
    if (m_policy == placement_policy::first_fit_fifo)
        return;
    for (const auto& [name, record] : m_workspaces) {
        if (!record.defined)
            continue;
        for (const auto& shape : record.definition.guarantees) {
            for (std::int64_t i = 0; i < shape.count; ++i)
                m_reservations.push_back({ name, { shape.blocks, shape.blockAccelerators.count(), shape.within }, {} });
        }
    }
    for (auto& entry : m_reservations) {
        const auto same = std::ranges::find_if(former, [&](const auto& old) {
            return old.owner == entry.owner && old.shape == entry.shape && !old.cells.empty();
        });
        if (same == former.end())
            continue;
        entry.cells = std::move(same->cells);
        same->cells.clear();
    }
    m_reservationsDue = true;
}

void scheduler_core::reviewReservations()
{
    if (!m_reservationsDue)
        return;
    m_reservationsDue = false;
    for (auto& entry : m_reservations) {
        if (!keepsCells(entry))
            entry.cells.clear();
    }
    if (!placeMissing() && m_nextRepack <= m_now) {
        repack(true);
        if (!placeMissing())
            repack(false);
        if (!placeMissing()) {
            m_nextRepack = m_now + repackInterval;
            addTimer(repackInterval, timer_kind::wake, 0);
        }
    }
    updateReservedMasks();
    updateSecured();
    m_capacityGrew = true;
}

/// A worker that only is slow to answer keeps the reservations that are in use there; the others move.
bool scheduler_core::keepsCells(const reservation& entry) const
{
    const auto isKept = [&](const task_spot& cell) {
        const auto& worker = m_cluster.worker(cell.worker);
        if (m_cluster.isUsable(cell.worker, m_now) && !worker.onProbation)
            return true;
        return worker.present && m_cluster.dataCentres()[worker.dataCentre].inService && isInUse(entry);
    };
    return std::ranges::all_of(entry.cells, isKept);
}

bool scheduler_core::isInUse(const reservation& entry) const
{
    return std::ranges::any_of(entry.cells, [&](const task_spot& cell) {
        return std::ranges::any_of(m_cluster.worker(cell.worker).leases, [&](lease_number number) {
            const auto& lease = m_leases.at(number);
            return lease.secured && lease.workspace == entry.owner
                && (lease.spot.accelerators & cell.accelerators) != 0;
        });
    });
}

/// Workers for reservations, with what no reservation has taken. Idle accelerators come first.
std::vector<packing_worker> scheduler_core::packingWorkers() const
{
    std::vector<accelerator_mask> taken(m_cluster.workers().size());
    for (const auto& entry : m_reservations) {
        for (const auto& cell : entry.cells)
            taken[cell.worker] |= cell.accelerators;
    }
    std::vector<packing_worker> workers;
    for (std::uint32_t i = 0; i < taken.size(); ++i) {
        const auto& record = m_cluster.worker(i);
        if (!m_cluster.isUsable(i, m_now) || record.onProbation)
            continue;
        const auto free = fullMask(record.spec.capacity.accelerator.count()) & ~taken[i];
        if (free != 0)
            workers.push_back({ i, record.rack, record.dataCentre, free, std::popcount(free & record.used) });
    }
    return workers;
}

/// Places reservations that have no cells, as far as there is room. True if none is missing.
bool scheduler_core::placeMissing()
{
    std::vector<std::size_t> missing;
    for (std::size_t i = 0; i < m_reservations.size(); ++i) {
        if (m_reservations[i].cells.empty())
            missing.push_back(i);
    }
    if (missing.empty())
        return true;
    std::ranges::stable_sort(missing,
        [this](std::size_t a, std::size_t b) { return isHarder(m_reservations[a].shape, m_reservations[b].shape); });
    shape_packer packer(packingWorkers());
    std::set<shape_instance> failed;
    for (const auto index : missing) {
        auto& entry = m_reservations[index];
        if (failed.contains(entry.shape))
            continue;
        entry.cells = packer.packOne(entry.shape);
        if (entry.cells.empty())
            failed.insert(entry.shape);
    }
    return failed.empty();
}

/// Looks for places for all reservations at the same time, with or without moving those in use. Tasks on a reservation
/// that moves away become borrowers. Nothing changes unless all of them fit.
void scheduler_core::repack(bool keepUsed)
{
    auto former = m_reservations;
    std::vector<std::size_t> moving;
    std::vector<shape_instance> shapes;
    for (std::size_t i = 0; i < m_reservations.size(); ++i) {
        auto& entry = m_reservations[i];
        if (keepUsed && !entry.cells.empty() && isInUse(entry))
            continue;
        entry.cells.clear();
        moving.push_back(i);
        shapes.push_back(entry.shape);
    }
    shape_packer packer(packingWorkers());
    if (packer.packAll(shapes, maxRepackSteps) != packing_outcome::packed) {
        m_reservations = std::move(former);
        return;
    }
    for (std::size_t i = 0; i < moving.size(); ++i)
        m_reservations[moving[i]].cells = packer.spots()[i];
}

void scheduler_core::updateReservedMasks()
{
    for (std::uint32_t i = 0; i < m_cluster.workers().size(); ++i)
        m_cluster.worker(i).reserved = 0;
    for (const auto& entry : m_reservations) {
        for (const auto& cell : entry.cells)
            m_cluster.worker(cell.worker).reserved |= cell.accelerators;
    }
}

scheduler_core::cell_map scheduler_core::ownCells(const workspace_name& owner) const
{
    cell_map cells;
    const auto first = std::ranges::lower_bound(m_reservations, owner, {}, &reservation::owner);
    for (auto entry = first; entry != m_reservations.end() && entry->owner == owner; ++entry) {
        for (const auto& cell : entry->cells)
            cells[cell.worker] |= cell.accelerators;
    }
    return cells;
}

/// Cores and memory that come with the accelerators of a reservation: their proportion of the worker. With this bound,
/// tasks on one reservation cannot take the cores that another one on the same worker needs.
resources scheduler_core::shareOf(std::uint32_t worker, accelerator_mask cells) const
{
    const auto& capacity = m_cluster.worker(worker).spec.capacity;
    const auto part = static_cast<std::int64_t>(std::popcount(cells));
    const auto whole = std::max<std::int64_t>(capacity.accelerator.count(), 1);
    return { cores(capacity.cpu.count() * part / whole), mebibytes(capacity.memory.count() * part / whole),
        accelerators(part) };
}

bool mayUseGuarantee(const job_template& spec)
{
    return spec.priority != job_priority::borrowed && spec.perTask.accelerator.count() > 0;
}

/// Decides anew which tasks lie on reservations of their workspaces. A gang is secured as a whole or not at all; gangs
/// that are secured already have precedence for the share of cores and memory.
void scheduler_core::updateSecured()
{
    std::vector<job_record*> candidates;
    const auto isSecured = [this](const job_record* job) {
        return std::ranges::any_of(
            job->leases, [this](lease_number lease) { return lease != 0 && m_leases.at(lease).secured; });
    };
    for (auto& [number, job] : m_jobs) {
        if (!job.leases.empty() && job.phase != job_phase::stopping && mayUseGuarantee(job.spec))
            candidates.push_back(&job);
    }
    std::stable_partition(candidates.begin(), candidates.end(), isSecured);
    std::map<workspace_name, cell_map> cellsOf;
    std::map<std::pair<workspace_name, std::uint32_t>, resources> used;
    for (const auto* job : candidates) {
        if (!cellsOf.contains(job->workspace))
            cellsOf[job->workspace] = ownCells(job->workspace);
        const auto secured = takeShare(*job, cellsOf[job->workspace], used);
        for (const auto lease : job->leases) {
            if (lease != 0)
                m_leases.at(lease).secured = secured;
        }
    }
}

/// Adds the gang to what its workspace uses of its reservations; false, and nothing added, if it exceeds them.
bool scheduler_core::takeShare(const job_record& job, const cell_map& cells, share_map& used) const
{
    std::size_t taken = 0;
    const auto exceeds = [&](lease_number number) {
        if (number == 0)
            return false;
        const auto& spot = m_leases.at(number).spot;
        const auto cell = cells.find(spot.worker);
        if (cell == cells.end() || (spot.accelerators & ~cell->second) != 0)
            return true;
        auto& sum = used[{ job.workspace, spot.worker }];
        sum += job.spec.perTask;
        ++taken;
        return !sum.fitsIn(shareOf(spot.worker, cell->second));
    };
    if (std::ranges::none_of(job.leases, exceeds))
        return true;
    for (const auto number : job.leases) {
        if (number == 0 || taken == 0)
            continue;
        used[{ job.workspace, m_leases.at(number).spot.worker }] -= job.spec.perTask;
        --taken;
    }
    return false;
}

} // namespace poplardeal::detail
