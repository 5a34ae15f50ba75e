#include "scheduler_core.h"

#include "feasibility.h"
#include "scheduler_limits.h"
#include <algorithm>

namespace poplardeal::detail {

demand_key demandKey(const job_template& spec)
{
    const auto& amount = spec.perTask;
    return { spec.tasks, amount.cpu.count(), amount.memory.count(), amount.accelerator.count(), spec.within,
        spec.priority == job_priority::urgent };
}

void scheduler_core::enqueue(job_record& job)
{
    const job_group_key key { job.workspace, job.spec.name };
    auto& group = m_waiting[key];
    const auto inserted = group.jobs.emplace(job.acceptedAt, job.number).first;
    if (inserted == group.jobs.begin())
        noteHead(key, group);
}

void scheduler_core::dequeue(job_record& job)
{
    const auto found = m_waiting.find({ job.workspace, job.spec.name });
    if (found == m_waiting.end())
        return;
    auto& group = found->second;
    const auto wasHead = group.jobs.begin()->second == job.number;
    group.jobs.erase({ job.acceptedAt, job.number });
    if (group.jobs.empty())
        m_waiting.erase(found);
    else if (wasHead)
        noteHead(found->first, group);
}

void scheduler_core::noteHead(const job_group_key& key, waiting_group& group)
{
    const auto& spec = m_jobs.at(group.jobs.begin()->second).spec;
    group.demand = demandKey(spec);
    group.usesGuarantee = mayUseGuarantee(spec);
    m_newHeads.insert(key);
}

/// False if the head of the group would find no place for certain.
bool scheduler_core::isWorthTrying(const job_group_key& key, const waiting_group& group) const
{
    return !m_failedDemands.contains(group.demand) || (group.usesGuarantee && !m_guaranteeFull.contains(key))
        || m_draining.contains(group.jobs.begin()->second);
}

/// A worker became freer. The gain of a demand is at most what the worker can take now.
void scheduler_core::noteFreed(const lease_record& lease)
{
    m_placementDue = true;
    const auto offer = m_cluster.freeOffer(lease.spot.worker);
    for (auto entry = m_failedDemands.begin(); entry != m_failedDemands.end();) {
        const auto& [tasks, cpu, memory, accelerator, within, urgent] = entry->first;
        const auto count = countTasks(offer, { cores(cpu), mebibytes(memory), accelerators(accelerator) });
        entry->second -= count;
        auto mayFit = count > 0 && (within != scope::anywhere || entry->second <= 0);
        if (within == scope::worker)
            mayFit = count >= tasks;
        // Urgent jobs also take what others hold, which this worker may have more of.
        entry = mayFit || urgent ? m_failedDemands.erase(entry) : std::next(entry);
    }
}

void scheduler_core::noteUnsecured(const workspace_name& owner)
{
    m_placementDue = true;
    std::erase_if(m_guaranteeFull, [&](const job_group_key& key) { return key.first == owner; });
}

bool scheduler_core::fitsQuota(const job_record& job) const
{
    const auto& entry = m_workspaces.at(job.workspace);
    auto wanted = totalDemand(job.spec);
    wanted += entry.held;
    return wanted.fitsIn(entry.definition.quota);
}

duration scheduler_core::estimate(const job_record& job) const
{
    const auto learned = m_runTimeRatios.find({ job.workspace, job.spec.name });
    const auto ratio = learned == m_runTimeRatios.end() ? 1024 : learned->second;
    const auto declared = std::clamp<std::int64_t>(job.spec.runTime.count(), 1'000'000, 10'000'000'000'000);
    return std::max<duration>(duration(declared / 1024 * ratio), 1s);
}

void scheduler_core::learnRunTime(const job_record& job)
{
    const auto declared = std::max<std::int64_t>(job.spec.runTime.count(), 1'000'000);
    const auto actual = (m_now - job.attemptStartedAt).count();
    const auto ratio = std::clamp<std::int64_t>(actual * 16 / declared * 64, 1, std::int64_t { 102'400 });
    auto [entry, isNew] = m_runTimeRatios.emplace(job_group_key { job.workspace, job.spec.name }, ratio);
    if (!isNew)
        entry->second = (entry->second * 3 + ratio) / 4;
}

bool scheduler_core::isAged(const job_record& job) const
{
    const auto waited = m_now - job.acceptedAt;
    return waited >= maxAgedWait || (waited >= minAgedWait && waited >= estimate(job) * agedWaitFactor);
}

/// Response ratio (waiting time relative to run time), divided among borrowers by the share of the quota they hold.
/// Short jobs go first, and every job gets there by waiting.
std::int64_t scheduler_core::scoreOf(const job_record& job) const
{
    if (job.spec.priority == job_priority::urgent)
        return 0;
    const auto waited = std::min((m_now - job.acceptedAt).count(), std::int64_t { 1'000'000'000'000 });
    const auto ratio = 1024 + waited * 1024 / estimate(job).count();
    if (job.spec.priority != job_priority::borrowed)
        return ratio;
    const auto& entry = m_workspaces.at(job.workspace);
    const auto share = [](std::int64_t held, std::int64_t quota) { return quota > 0 ? held * 1024 / quota : 0; };
    const auto& quota = entry.definition.quota;
    const auto dominant = std::max(share(entry.held.cpu.count(), quota.cpu.count()),
        share(entry.held.accelerator.count(), quota.accelerator.count()));
    return ratio * 1024 / (256 + dominant);
}

bool scheduler_core::avoidsWorker(const job_record& job, std::uint32_t worker) const
{
    return m_now < job.avoidFailedUntil && job.failedWorkers.contains(worker);
}

/// Usable, and within the rate at which a data centre that returned is filled.
bool scheduler_core::isOffered(std::uint32_t worker) const
{
    if (!m_cluster.isUsable(worker, m_now))
        return false;
    const auto& dataCentre = m_cluster.dataCentres()[m_cluster.worker(worker).dataCentre];
    return dataCentre.startTokens > 0 || !isRefilling(dataCentre);
}

bool scheduler_core::isRefilling(const data_centre_record& dataCentre) const
{
    return toMicros(dataCentre.returnedAt) != 0 && m_now < dataCentre.returnedAt + refillPeriod;
}

void scheduler_core::addStartTokens()
{
    for (std::uint32_t i = 0; i < m_cluster.dataCentres().size(); ++i) {
        auto& record = m_cluster.dataCentre(i);
        if (!isRefilling(record))
            continue;
        const auto gained = (m_now - record.tokensAt).count() * refillPerSecond / 1'000'000;
        if (gained <= 0)
            continue;
        if (record.startTokens <= 0)
            m_capacityGrew = true;
        record.startTokens = std::min(record.startTokens + gained, refillBurst);
        record.tokensAt = m_now;
    }
}

void scheduler_core::takeStartTokens(const std::vector<task_spot>& spots)
{
    for (const auto& spot : spots) {
        auto& record = m_cluster.dataCentre(m_cluster.worker(spot.worker).dataCentre);
        if (!isRefilling(record))
            continue;
        --record.startTokens;
        if (record.startTokens > 0)
            continue;
        const auto untilNext = duration((1 - record.startTokens) * 1'000'000 / refillPerSecond + 1);
        const auto next = std::min(record.tokensAt + untilNext, record.returnedAt + refillPeriod);
        addTimer(next - m_now, timer_kind::refill, 0);
    }
}

bool scheduler_core::placeOnFree(job_record& job)
{
    const gang_demand demand { job.spec.tasks, job.spec.perTask, job.spec.within };
    std::int64_t room = 0;
    const auto search = [&](bool onReserved) {
        ++m_searches;
        return findGang(
            m_cluster, demand,
            [&](std::uint32_t worker) -> std::optional<worker_offer> {
                const auto& record = m_cluster.worker(worker);
                if (!job.spec.perTask.fitsIn(record.free) || !isOffered(worker) || avoidsWorker(job, worker))
                    return std::nullopt;
                auto offer = m_cluster.freeOffer(worker);
                if (!onReserved)
                    offer.accelerators &= ~record.reserved;
                offer.penalty = record.reserved != 0 ? 1 : 0;
                const auto drained = m_drainedWorkers.empty() ? m_drainedWorkers.end() : m_drainedWorkers.find(worker);
                if (drained != m_drainedWorkers.end() && drained->second != job.number)
                    offer.penalty += 2;
                return offer;
            },
            m_scratch, &room);
    };
    auto spots = search(false);
    if (spots.empty() && !m_reservations.empty() && job.spec.perTask.accelerator.count() > 0)
        spots = search(true);
    if (spots.empty()) {
        // The failure of a job that avoids some workers says nothing about others.
        if (job.failedWorkers.empty())
            m_failedDemands[demandKey(job.spec)] = std::max(job.spec.tasks - room, std::int64_t { 1 });
        return false;
    }
    claimGang(job, spots, false);
    return true;
}

bool scheduler_core::tryPlace(job_record& job)
{
    if (!fitsQuota(job))
        return false;
    const job_group_key key { job.workspace, job.spec.name };
    if (mayUseGuarantee(job.spec) && !m_guaranteeFull.contains(key)) {
        if (claimGuarantee(job))
            return true;
        if (job.failedWorkers.empty())
            m_guaranteeFull.insert(key);
    }
    if (m_draining.contains(job.number) && claimDrained(job))
        return true;
    if (!m_failedDemands.contains(demandKey(job.spec))) {
        if (placeOnFree(job))
            return true;
        if (job.spec.priority == job_priority::urgent && claimByPreemption(job))
            return true;
    }
    if (claimByConsolidation(job))
        return true;
    if (mayDrain(job)) {
        ++m_searches;
        drainFor(job);
    }
    return false;
}

bool scheduler_core::mayDrain(const job_record& job) const
{
    return !m_drainTried && m_draining.size() < maxDrainingJobs && !m_draining.contains(job.number)
        && job.drainAfter <= m_now && isAged(job);
}

void scheduler_core::placeHeads(std::set<pass_entry>& heads)
{
    while (!heads.empty() && m_searches < maxSearchesPerPass) {
        auto& job = m_jobs.at(std::get<3>(*heads.begin()));
        heads.erase(heads.begin());
        const auto key = job_group_key { job.workspace, job.spec.name };
        if (!tryPlace(job))
            continue;
        auto leases = job.leases;
        if (activateClaim(job)) {
            std::vector<task_spot> spots;
            spots.reserve(leases.size());
            for (const auto number : leases)
                spots.push_back(m_leases.at(number).spot);
            takeStartTokens(spots);
        }
        const auto group = m_waiting.find(key);
        if (group != m_waiting.end())
            heads.insert(passEntry(m_jobs.at(group->second.jobs.begin()->second)));
    }
}

scheduler_core::pass_entry scheduler_core::passEntry(const job_record& job) const
{
    return { job.spec.priority, -scoreOf(job), job.acceptedAt, job.number };
}

/// True if other work may be moved or a place drained for the head of the group.
bool scheduler_core::isWorthReviewing(const waiting_group& group) const
{
    const auto& job = m_jobs.at(group.jobs.begin()->second);
    const auto mayConsolidate = m_consolidationDue && job.spec.perTask.accelerator.count() > 1;
    return mayConsolidate || mayDrain(job);
}

/// Heads that are new or, after a change, may find a place, and on a review those that have aged.
std::set<scheduler_core::pass_entry> scheduler_core::headsToTry()
{
    std::set<pass_entry> heads;
    const auto add
        = [&](const waiting_group& group) { heads.insert(passEntry(m_jobs.at(group.jobs.begin()->second))); };
    if (m_reviewDue || m_placementDue) {
        if (m_nextConsolidation <= m_now) {
            m_nextConsolidation = m_now + moveInterval(consolidationInterval);
            m_consolidationDue = true;
            m_reviewDue = true;
        }
        for (const auto& [key, group] : m_waiting) {
            if (isWorthTrying(key, group) || (m_reviewDue && isWorthReviewing(group)))
                add(group);
        }
        return heads;
    }
    for (const auto& key : m_newHeads) {
        if (const auto group = m_waiting.find(key); group != m_waiting.end())
            add(group->second);
    }
    return heads;
}

/// One pass over the waiting queues. A new job costs only its own search.
void scheduler_core::placeWaiting()
{
    if (m_policy == placement_policy::first_fit_fifo)
        return placeInOrder();
    addStartTokens();
    reviewReservations();
    if (m_capacityGrew || m_placementDue)
        reviewClaims();
    if (m_capacityGrew) {
        m_failedDemands.clear();
        m_guaranteeFull.clear();
        m_placementDue = true;
    }
    auto heads = headsToTry();
    m_capacityGrew = false;
    m_placementDue = false;
    m_reviewDue = false;
    m_searches = 0;
    m_drainTried = false;
    m_newHeads.clear();
    placeHeads(heads);
    m_consolidationDue = false;
    compact();
    for (const auto& entry : heads) {
        const auto& job = m_jobs.at(std::get<3>(entry));
        m_newHeads.emplace(job.workspace, job.spec.name);
    }
    if (!m_newHeads.empty() || m_capacityGrew || m_placementDue)
        addTimer(1ms, timer_kind::review, 0);
    if (!m_waiting.empty() && m_nextReview <= m_now) {
        m_nextReview = m_now + reviewInterval;
        addTimer(reviewInterval, timer_kind::review, 0);
    }
}

wait_view scheduler_core::waitView() const
{
    wait_view view;
    for (std::uint32_t i = 0; i < m_cluster.workers().size(); ++i) {
        const auto& worker = m_cluster.worker(i);
        if (!worker.present)
            continue;
        view.present[worker.spec.dataCentre][worker.spec.rack].push_back({ 1, worker.spec.capacity });
        if (m_cluster.isUsable(i, m_now))
            view.usable[worker.spec.dataCentre][worker.spec.rack].push_back({ 1, worker.spec.capacity });
    }
    for (const auto& dataCentre : m_cluster.dataCentres()) {
        if (!dataCentre.inService)
            view.outOfService += (view.outOfService.empty() ? "" : ", ") + dataCentre.name.value();
    }
    return view;
}

std::string scheduler_core::waitReason(const job_record& job, const wait_view& view) const
{
    if (job.claiming)
        return "waits for preempted tasks to stop";
    if (job.notBefore > m_now)
        return job.reason + "; will be tried again";
    if (!fitsQuota(job))
        return "the quota of workspace " + job.workspace.value() + " is in use";
    if (fitsEmpty(view.usable, job.spec))
        return m_draining.contains(job.number) ? "waits for the tasks before it on the chosen workers"
                                               : "waits for free resources";
    if (!fitsEmpty(view.present, job.spec))
        return "waits for workers that have not joined or were lost";
    if (view.outOfService.empty())
        return "waits for workers that do not answer";
    return "waits for data centres out of service: " + view.outOfService;
}

} // namespace poplardeal::detail
