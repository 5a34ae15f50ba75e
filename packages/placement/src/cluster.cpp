#include "cluster.h"

#include <algorithm>

namespace poplardeal::detail {

std::optional<std::uint32_t> cluster::findWorker(const worker_id& id) const
{
    const auto found = m_workerIndex.find(id);
    if (found == m_workerIndex.end())
        return std::nullopt;
    return found->second;
}

std::optional<std::uint32_t> cluster::findDataCentre(const data_centre_name& name) const
{
    const auto found = std::ranges::find(m_dataCentres, name, &data_centre_record::name);
    if (found == m_dataCentres.end())
        return std::nullopt;
    return static_cast<std::uint32_t>(found - m_dataCentres.begin());
}

std::uint32_t cluster::addDataCentre(const data_centre_name& name)
{
    if (const auto known = findDataCentre(name))
        return *known;
    m_dataCentres.emplace_back().name = name;
    return static_cast<std::uint32_t>(m_dataCentres.size() - 1);
}

std::uint32_t cluster::addRack(std::uint32_t dataCentre, const rack_name& name)
{
    for (const auto rack : m_dataCentres[dataCentre].racks) {
        if (m_racks[rack].name == name)
            return rack;
    }
    m_racks.push_back({ name, dataCentre, {} });
    const auto added = static_cast<std::uint32_t>(m_racks.size() - 1);
    m_dataCentres[dataCentre].racks.push_back(added);
    return added;
}

std::uint32_t cluster::join(const worker_spec& spec)
{
    const auto dataCentre = addDataCentre(spec.dataCentre);
    const auto rack = addRack(dataCentre, spec.rack);
    auto index = static_cast<std::uint32_t>(m_workers.size());
    if (const auto known = findWorker(spec.id)) {
        index = *known;
        std::erase(m_racks[m_workers[index].rack].workers, index);
    } else {
        m_workers.emplace_back();
        m_workerIndex.emplace(spec.id, index);
    }
    auto& worker = m_workers[index];
    worker.spec = spec;
    worker.rack = rack;
    worker.dataCentre = dataCentre;
    worker.present = true;
    worker.suspected = false;
    worker.used = 0;
    worker.claimed = 0;
    worker.claimedAmount = {};
    worker.avoidUntil = {};
    worker.failedJobs.clear();
    worker.onProbation = false;
    worker.free = spec.capacity;
    auto& siblings = m_racks[rack].workers;
    siblings.insert(std::ranges::lower_bound(siblings, index), index);
    return index;
}

void cluster::hold(std::uint32_t worker, lease_number lease, accelerator_mask mask, const resources& amount)
{
    auto& record = m_workers[worker];
    record.used |= mask;
    record.free -= amount;
    record.leases.insert(lease);
}

void cluster::claim(std::uint32_t worker, lease_number lease, accelerator_mask mask, const resources& amount)
{
    auto& record = m_workers[worker];
    record.claimed |= mask;
    record.claimedAmount += amount;
    record.claims.insert(lease);
}

void cluster::unclaim(std::uint32_t worker, lease_number lease, accelerator_mask mask, const resources& amount)
{
    auto& record = m_workers[worker];
    if (record.claims.erase(lease) == 0)
        return;
    record.claimed &= ~mask;
    record.claimedAmount -= amount;
}

worker_offer cluster::freeOffer(std::uint32_t worker) const
{
    const auto& record = m_workers[worker];
    auto offer = worker_offer { fullMask(record.spec.capacity.accelerator.count()) & ~record.used & ~record.claimed,
        record.free };
    offer.free -= record.claimedAmount;
    if (record.onProbation)
        offer.maxTasks = record.leases.empty() && record.claims.empty() ? 1 : 0;
    return offer;
}

void cluster::free(std::uint32_t worker, lease_number lease, accelerator_mask mask, const resources& amount)
{
    auto& record = m_workers[worker];
    if (record.leases.erase(lease) == 0)
        return;
    record.used &= ~mask;
    record.free += amount;
}

bool cluster::isUsable(std::uint32_t worker, instant now) const
{
    const auto& record = m_workers[worker];
    return record.present && !record.suspected && record.avoidUntil <= now
        && m_dataCentres[record.dataCentre].inService;
}

void cluster::rebuildIndex()
{
    m_workerIndex.clear();
    for (std::uint32_t i = 0; i < m_workers.size(); ++i)
        m_workerIndex.emplace(m_workers[i].spec.id, i);
}

} // namespace poplardeal::detail
