#include "placement_round.h"
#include <cmath>

namespace poplardeal::detail {

namespace {

    constexpr double coresPerAccelerator = 8; // An accelerator-second is charged as 8 core-seconds by the platform.
    constexpr duration restartCost = std::chrono::milliseconds(1000); // Stop, report, new start and restore.
    constexpr duration checkpointGap = std::chrono::milliseconds(500); // Work between checkpoints, by the platform.
    constexpr double lateValue
        = 0.3; // Share of a job's worth that is left when it is late, about what the users state.
    constexpr double hopelessValue = 0.1; // Still owed to its client, though it earns nothing.
    constexpr double lateFactor = 3; // After this many objectives a job earns nothing.
    constexpr duration minimumRunTime = std::chrono::milliseconds(100);
    /// Learnt run times of a usual worker differ by less than this; a slow one takes 1.2 to 1.4 times as long.
    constexpr double slowFrom = 1.09;
    constexpr double slowBonus = 0.5; // In units of `leftover`, in which a free accelerator of eight counts 0.25.
    constexpr duration endsSoon
        = std::chrono::milliseconds(700); // A stop and the report of its end take about as long.

    double seconds(duration d) { return std::chrono::duration<double>(d).count(); }

    duration scaled(duration d, double factor)
    {
        return duration(static_cast<duration::rep>(static_cast<double>(d.count()) * factor));
    }

} // namespace

double weightOf(const demand& need)
{
    return static_cast<double>(need.cpu.count()) / 1000
        + coresPerAccelerator * static_cast<double>(need.accelerator.count());
}

demand countedNeed(const step_spec& step)
{
    auto out = step.need;
    if (step.bestEffort)
        out.cpu = {};
    return out;
}

placement_round::placement_round(const planner_options& options, const planner_input& input)
    : m_options(options)
    , m_input(input)
    , m_guaranteed(guaranteedJobs(input.table))
{
    for (const auto& [id, view] : input.workers) {
        round_worker worker;
        worker.view = &view;
        worker.free = view.capacity;
        m_workers.emplace(id, std::move(worker));
    }
    occupyWorkers();
    holdClaims();
}

/// Run time of a step's tasks: from the progress of one that runs, otherwise what is expected of the queue.
duration placement_round::runTimeOf(const submission& job, std::uint32_t occurrence, std::uint32_t step) const
{
    const auto& spec = job.spec.steps[step];
    const auto& units = job.occurrences[occurrence].steps[step].units;
    for (std::uint32_t u = 0; u < units.size(); ++u) {
        for (std::uint32_t m = 0; m < units[u].members.size(); ++m) {
            const auto* seen = viewOf({ job.id, occurrence, step, u }, spec, units[u], m);
            const auto measured = seen != nullptr ? measuredRunTime(*seen) : std::nullopt;
            if (measured)
                return *measured;
        }
    }
    return m_input.table.expectedRunTime(job, spec);
}

template <class Action> void placement_round::forEachActive(Action action) const
{
    for (const auto& id : m_input.table.openJobs()) {
        const auto& job = *m_input.table.find(id);
        for (std::uint32_t o = 0; o < job.occurrences.size(); ++o) {
            for (std::uint32_t s = 0; s < job.spec.steps.size(); ++s) {
                const auto& units = job.occurrences[o].steps[s].units;
                for (std::uint32_t u = 0; u < units.size(); ++u) {
                    if (units[u].isActive())
                        action(job, unit_key { id, o, s, u }, job.spec.steps[s], units[u]);
                }
            }
        }
    }
}

void placement_round::occupyWorkers()
{
    forEachActive([this](const auto& job, const auto& key, const auto& step, const auto& active) {
        occupy(job, key, step, active);
    });
}

const run_view* placement_round::viewOf(
    const unit_key& key, const step_spec& step, const unit& active, std::uint32_t member) const
{
    const auto& worker = active.members[member].worker;
    const auto found = m_input.workers.find(worker.worker);
    if (found == m_input.workers.end() || found->second.boot != worker)
        return nullptr;
    const auto seen
        = found->second.running.find({ key.job, key.occurrence, key.step, taskIndexOf(step, key.unit, member) });
    return seen != found->second.running.end() && seen->second.run == active.lastRun ? &seen->second : nullptr;
}

/// Time until all members have finished, from their progress; members of a gang end together.
duration placement_round::remainingTime(const unit_key& key, const step_spec& step, const unit& active) const
{
    const auto expected = m_input.table.expectedRunTime(*m_input.table.find(key.job), step);
    duration longest { 0 };
    for (std::uint32_t m = 0; m < active.members.size(); ++m) {
        const auto* seen = viewOf(key, step, active, m);
        auto left = expected;
        const auto measured = seen != nullptr ? measuredRunTime(*seen) : std::nullopt;
        if (measured)
            left = scaled(*measured, (100 - seen->percent) / 100) - (m_input.now - seen->reportedAt);
        else if (seen != nullptr)
            left -= m_input.now - seen->startedAt;
        longest = std::max(longest, left);
    }
    return longest;
}

/// A member that has finished waits at 100% for the others.
bool placement_round::isStalled(const unit_key& key, const step_spec& step, const unit& active) const
{
    bool allFinished = true;
    bool allSilent = true;
    for (std::uint32_t m = 0; m < active.members.size(); ++m) {
        const auto* seen = viewOf(key, step, active, m);
        if (seen == nullptr)
            return false;
        const bool isSilent = seen->reportedAt - seen->progressedAt > m_options.stallLimit;
        if (seen->percent < 100 && isSilent)
            return true;
        allFinished = allFinished && seen->percent >= 100;
        allSilent = allSilent && isSilent;
    }
    return allFinished && allSilent;
}

/// What is left of a running job's worth.
double placement_round::valueOf(const submission& job, std::uint32_t occurrence, duration left) const
{
    switch (outlookOf(job, occurrence, left)) {
    case outlook::on_time:
        return 1;
    case outlook::late:
        return lateValue;
    case outlook::hopeless:
        return hopelessValue;
    }
    return 1;
}

void placement_round::occupy(const submission& job, const unit_key& key, const step_spec& step, const unit& active)
{
    const auto left = remainingTime(key, step, active);
    for (std::uint32_t m = 0; m < active.members.size(); ++m) {
        const auto& member = active.members[m];
        const auto found = m_workers.find(member.worker.worker);
        if (member.isOver || found == m_workers.end() || found->second.view->boot != member.worker)
            continue;
        occupant entry;
        entry.run = { { key.job, key.occurrence, key.step, taskIndexOf(step, key.unit, m) }, active.lastRun };
        entry.need = countedNeed(step);
        entry.priority = job.priority;
        entry.isGuaranteed = m_guaranteed.contains(job.id);
        entry.isStopping = m_input.stopping.contains(entry.run);
        entry.unit = key;
        const auto* seen = viewOf(key, step, active, m);
        const auto elapsed = seen != nullptr ? m_input.now - seen->startedAt : duration::zero();
        const auto lost = step.checkpointable ? std::min(elapsed, checkpointGap) : elapsed;
        // Work that has been stopped before costs more each time, so that the same unit is not stopped again and again.
        entry.lossIfStopped = weightOf(step.need) * static_cast<double>(active.members.size())
            * seconds(lost + restartCost) * active.lastRun.value() * valueOf(job, key.occurrence, left);
        entry.endsAt = m_input.now + std::max(left, minimumRunTime);
        entry.endsByItself = seen != nullptr && !step.longRunning && entry.endsAt <= m_input.now + endsSoon;
        found->second.free -= entry.need;
        found->second.occupants.push_back(std::move(entry));
    }
}

void placement_round::stop(const run_key& run, const worker_boot& worker, stop_reason reason)
{
    if (m_input.stopping.contains(run))
        return;
    for (const auto& planned : m_decisions.stops) {
        if (planned.run == run)
            return;
    }
    m_decisions.stops.push_back({ run, worker, reason });
}

void placement_round::stopUnit(const submission& job, const unit_key& key, stop_reason reason)
{
    const auto& step = job.spec.steps[key.step];
    const auto& active = job.occurrences[key.occurrence].steps[key.step].units[key.unit];
    for (std::uint32_t m = 0; m < active.members.size(); ++m) {
        if (active.members[m].isOver)
            continue;
        const task_key task { key.job, key.occurrence, key.step, taskIndexOf(step, key.unit, m) };
        stop({ task, active.lastRun }, active.members[m].worker, reason);
    }
}

void placement_round::stopMembersOf(
    const submission& job, const unit_key& key, const step_spec& step, const unit& active)
{
    if (job.isTerminal())
        return stopUnit(job, key, stop_reason::job_ended);
    if (std::any_of(active.members.begin(), active.members.end(), [](const unit_member& each) { return each.isOver; }))
        return stopUnit(job, key, stop_reason::gang_broken);
    if (!step.longRunning && isStalled(key, step, active))
        return stopUnit(job, key, stop_reason::no_progress);
    const auto left = remainingTime(key, step, active);
    for (std::uint32_t m = 0; m < active.members.size(); ++m) {
        const auto found = m_input.workers.find(active.members[m].worker.worker);
        if (found == m_input.workers.end() || viewOf(key, step, active, m) == nullptr || !found->second.isDraining)
            continue;
        if (step.longRunning || m_input.now + left > found->second.leavesAt)
            return stopUnit(job, key, stop_reason::worker_leaves);
    }
}

void placement_round::stopWhatMustEnd()
{
    forEachActive([this](const auto& job, const auto& key, const auto& step, const auto& active) {
        stopMembersOf(job, key, step, active);
    });
}

bool placement_round::isReady(const submission& job, std::uint32_t occurrence, std::uint32_t step) const
{
    if (dueTime(job.spec, occurrence) > m_input.wallClock + m_options.startLead)
        return false;
    const auto& steps = job.occurrences[occurrence].steps;
    const auto& after = job.spec.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&steps](std::uint32_t earlier) { return steps[earlier].isDone(); });
}

/// Work from the begin of each step to the end of the job, along the longest chain.
std::vector<duration> placement_round::workLeft(const submission& job, std::uint32_t occurrence) const
{
    const auto& spec = job.spec;
    std::vector<duration> out(spec.steps.size());
    for (std::uint32_t s = static_cast<std::uint32_t>(spec.steps.size()); s-- > 0;) {
        out[s] += runTimeOf(job, occurrence, s);
        for (const auto earlier : spec.steps[s].after)
            out[earlier] = std::max(out[earlier], out[s]);
    }
    return out;
}

static duration objectiveOf(const submission& job, const std::vector<duration>& left)
{
    return scaled(*std::max_element(left.begin(), left.end()), job.stretch) + job.allowance;
}

outlook placement_round::outlookOf(const submission& job, std::uint32_t occurrence, duration left) const
{
    const auto begun = std::max(job.acceptedAt, dueTime(job.spec, occurrence));
    const auto objective = objectiveOf(job, workLeft(job, occurrence));
    if (m_input.wallClock + left <= begun + objective)
        return outlook::on_time;
    return m_input.wallClock + left <= begun + scaled(objective, lateFactor) ? outlook::late : outlook::hopeless;
}

void placement_round::collectJob(const submission& job, std::vector<candidate>& out) const
{
    for (std::uint32_t o = 0; o < job.occurrences.size(); ++o) {
        const auto left = workLeft(job, o);
        const auto objective = objectiveOf(job, left);
        const auto begun = std::max(job.acceptedAt, dueTime(job.spec, o));
        for (std::uint32_t s = 0; s < job.spec.steps.size(); ++s) {
            const auto& state = job.occurrences[o].steps[s];
            if (state.isDone() || !isReady(job, o, s))
                continue;
            for (std::uint32_t u = 0; u < state.units.size(); ++u) {
                if (state.units[u].phase != unit_phase::waiting)
                    continue;
                candidate item;
                item.key = { job.id, o, s, u };
                item.job = &job;
                item.step = &job.spec.steps[s];
                item.state = &state.units[u];
                item.isGuaranteed = m_guaranteed.contains(job.id);
                item.expected = m_input.table.expectedRunTime(job, *item.step);
                item.deadline = begun + objective;
                item.chance = item.step->longRunning ? outlook::on_time : outlookOf(job, o, left[s]);
                item.waited = m_input.wallClock - std::max(begun, item.state->waitingSince);
                out.push_back(item);
            }
        }
    }
}

std::vector<candidate> placement_round::collect() const
{
    std::vector<candidate> out;
    for (const auto& id : m_input.table.openJobs()) {
        const auto& job = *m_input.table.find(id);
        if (!job.isTerminal())
            collectJob(job, out);
    }
    const auto rank = [](const candidate& c) {
        return c.isGuaranteed || c.chance != outlook::hopeless ? outlook::on_time : c.chance;
    };
    std::sort(out.begin(), out.end(), [&rank](const candidate& a, const candidate& b) {
        return std::tuple(rank(a), !a.isGuaranteed, a.job->priority, a.deadline, a.job->sequence, a.key)
            < std::tuple(rank(b), !b.isGuaranteed, b.job->priority, b.deadline, b.job->sequence, b.key);
    });
    return out;
}

bool placement_round::mayUse(const candidate& item, const round_worker& worker) const
{
    const auto& view = *worker.view;
    const auto* queue = m_input.table.plan().find(item.job->queue);
    const auto& service = queue != nullptr ? queue->service : item.job->service;
    if (view.service != service || !view.isReachable || view.isDraining || view.avoidUntil > m_input.now)
        return false;
    if (!m_input.table.isInService(view.dataCentre))
        return false;
    const auto& label = item.step->requiredLabel;
    return label.value().empty() || std::find(view.labels.begin(), view.labels.end(), label) != view.labels.end();
}

std::vector<worker_id> placement_round::usableWorkers(
    const candidate& item, const rack_name* rack, worker_choice choice) const
{
    std::vector<worker_id> out;
    for (const auto& [id, worker] : m_workers) {
        const bool isChosen = choice == worker_choice::all || worker.view->slowness < slowFrom;
        if (isChosen && (rack == nullptr || worker.view->rack == *rack) && mayUse(item, worker))
            out.push_back(id);
    }
    return out;
}

/// A gang is as slow as its slowest member, and urgent work has little time to spare.
static bool prefersFast(const candidate& item) { return item.step->gang || item.job->priority == 0; }

/// Racks on which the unit runs at full speed, best first; empty if every worker will do.
std::vector<rack_name> placement_round::racksFor(const candidate& item) const
{
    if (!item.step->affinity.value().empty())
        return { item.step->affinity };
    std::set<rack_name> all;
    if (item.step->rackLocal && item.step->gang) {
        for (const auto& [id, worker] : m_workers)
            all.insert(worker.view->rack);
    }
    return { all.begin(), all.end() };
}

std::map<worker_id, std::uint32_t> placement_round::perWorkerCounts(const candidate& item) const
{
    std::map<worker_id, std::uint32_t> out;
    for (const auto& each : item.job->occurrences[item.key.occurrence].steps[item.key.step].units) {
        for (const auto& member : each.members) {
            if (!member.isOver)
                ++out[member.worker.worker];
        }
    }
    for (const auto& planned : m_decisions.starts) {
        for (const auto& start : planned.starts) {
            if (start.task.job == item.key.job && start.task.occurrence == item.key.occurrence
                && start.task.step == item.key.step)
                ++out[start.worker.worker];
        }
    }
    return out;
}

/// Share of a worker that stays free; the tightest fit keeps whole workers for large tasks.
static double leftover(const demand& free, const demand& capacity)
{
    const auto share = [](auto part, auto whole) {
        return whole.count() > 0 ? static_cast<double>(part.count()) / static_cast<double>(whole.count()) : 0.0;
    };
    return 2 * share(free.accelerator, capacity.accelerator) + share(free.cpu, capacity.cpu)
        + share(free.memory, capacity.memory);
}

std::optional<member_placement> placement_round::fill(
    const candidate& item, const std::vector<worker_id>& usable, bool respectReservations) const
{
    const auto need = countedNeed(*item.step);
    std::map<worker_id, demand> free;
    for (const auto& id : usable) {
        const auto& worker = m_workers.at(id);
        if (respectReservations && worker.reservedFrom < m_input.now + item.expected)
            continue;
        free.emplace(id, worker.free);
    }
    auto counts = item.step->maxPerWorker > 0 ? perWorkerCounts(item) : std::map<worker_id, std::uint32_t>();
    member_placement out;
    for (std::uint32_t m = 0; m < membersOf(*item.step); ++m) {
        const worker_id* best = nullptr;
        double bestScore = 0;
        for (const auto& [id, available] : free) {
            if (!need.fitsIn(available) || (item.step->maxPerWorker > 0 && counts[id] >= item.step->maxPerWorker))
                continue;
            auto rest = available;
            rest -= need;
            const auto& view = *m_workers.at(id).view;
            // Slow workers are kept busy with work that has time, so that fast ones are free for the rest.
            const bool suits = view.slowness >= slowFrom && !prefersFast(item);
            const double score = leftover(rest, view.capacity) - (suits ? slowBonus : 0);
            if (best == nullptr || score < bestScore) {
                best = &id;
                bestScore = score;
            }
        }
        if (best == nullptr)
            return std::nullopt;
        free.at(*best) -= need;
        ++counts[*best];
        out.push_back(*best);
    }
    return out;
}

std::optional<member_placement> placement_round::findFree(const candidate& item) const
{
    const auto racks = racksFor(item);
    const auto fillOn = [&](const rack_name* rack, worker_choice choice) {
        return fill(item, usableWorkers(item, rack, choice), !item.isGuaranteed);
    };
    for (const auto choice : { worker_choice::fast, worker_choice::all }) {
        if (choice == worker_choice::fast && !prefersFast(item))
            continue;
        for (const auto& rack : racks) {
            if (auto found = fillOn(&rack, choice))
                return found;
        }
        if (auto found = racks.empty() ? fillOn(nullptr, choice) : std::nullopt)
            return found;
    }
    // Off the rack the work takes `distanceFactor` times as long, so waiting as long as the work itself is cheaper.
    if (racks.empty() || item.isGuaranteed || item.waited < item.expected)
        return std::nullopt;
    return fillOn(nullptr, worker_choice::all);
}

void placement_round::commit(const candidate& item, const member_placement& placement)
{
    start_tasks command;
    const auto need = countedNeed(*item.step);
    for (std::uint32_t m = 0; m < placement.size(); ++m) {
        auto& worker = m_workers.at(placement[m]);
        worker.free -= need;
        command.starts.push_back(
            { { item.key.job, item.key.occurrence, item.key.step, taskIndexOf(*item.step, item.key.unit, m) },
                run_number(item.state->lastRun.value() + 1), worker.view->boot, worker.view->address });
    }
    m_decisions.starts.push_back(std::move(command));
}

void placement_round::changeClaimed(const room_claim& claim, const demand& need, bool isHeld)
{
    for (const auto& id : claim.workers) {
        const auto found = m_workers.find(id);
        if (found == m_workers.end())
            continue;
        if (isHeld)
            found->second.free -= need;
        else
            found->second.free += need;
    }
}

/// Takes the capacity of claims that still hold from what is free.
void placement_round::holdClaims()
{
    for (const auto& [key, claim] : m_input.claims) {
        const auto* job = m_input.table.find(key.job);
        if (job == nullptr || job->isTerminal() || claim.until <= m_input.now)
            continue;
        if (job->occurrences[key.occurrence].steps[key.step].units[key.unit].phase != unit_phase::waiting)
            continue;
        changeClaimed(claim, countedNeed(job->spec.steps[key.step]), true);
        m_decisions.claims.emplace(key, claim);
    }
}

/// Starts a unit on the capacity that was made for it, once that is free.
std::optional<member_placement> placement_round::useClaim(const candidate& item)
{
    const auto& claim = m_decisions.claims.at(item.key);
    const auto need = countedNeed(*item.step);
    changeClaimed(claim, need, false);
    const std::set<worker_id> distinct(claim.workers.begin(), claim.workers.end());
    const auto isUsable = [&](const worker_id& id) { return m_workers.contains(id) && mayUse(item, m_workers.at(id)); };
    if (!std::all_of(distinct.begin(), distinct.end(), isUsable)) {
        m_decisions.claims.erase(item.key);
        return std::nullopt;
    }
    auto placement = fill(item, { distinct.begin(), distinct.end() }, false);
    if (placement)
        m_decisions.claims.erase(item.key);
    else
        changeClaimed(claim, need, true);
    return placement;
}

void placement_round::place(const candidate& item)
{
    if (m_decisions.claims.contains(item.key)) {
        if (const auto claimed = useClaim(item))
            return commit(item, *claimed);
    }
    auto placement = findFree(item);
    if (const auto claim = m_decisions.claims.find(item.key); claim != m_decisions.claims.end()) {
        if (!placement)
            return;
        // Other capacity has become free first.
        changeClaimed(claim->second, countedNeed(*item.step), false);
        m_decisions.claims.erase(claim);
    }
    const bool mayPreempt = item.isGuaranteed || (item.job->priority == 0 && item.chance != outlook::hopeless);
    if (!placement && mayPreempt)
        placement = makeRoom(item);
    if (placement)
        commit(item, *placement);
    else if (!m_decisions.claims.contains(item.key) && m_reservations++ < m_options.maxReservations)
        reserve(earliestSlots(item));
}

void placement_round::placeWaiting()
{
    for (const auto& item : collect())
        place(item);
}

} // namespace poplardeal::detail
