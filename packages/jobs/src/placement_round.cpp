#include "placement_round.h"
#include <cmath>

namespace poplardeal::detail {

namespace {

    constexpr double lateValue = 0.3; // Share of its value that a late job earns; close to what users state.
    constexpr double expiredValue = 0.1; // Above 0, as the result is still owed to the client.
    constexpr double expiryFactor = 3; // A job that takes more than this many objectives earns nothing.
    constexpr duration minimumRunTime = std::chrono::milliseconds(100);
    /// Slowness from which a worker counts as slow. Estimates for ordinary workers vary by less than this; slow workers
    /// take 1.2 to 1.4 times as long.
    constexpr double slowWorkerThreshold = 1.09;
    /// In units of `freeShare`, whose largest value is 4: tasks that take 10 % longer are kept apart by one and a half
    /// free accelerators of eight.
    constexpr double interferenceWeight = 4;
    constexpr double avoidedPenalty = 100; ///< In the same units: above all other differences between workers.
    /// A long-running task that fails within `shortRunTime` of its start is started again after `restartPause`. The
    /// platform expects it back within 6 s.
    constexpr duration shortRunTime = std::chrono::seconds(2);
    constexpr duration restartPause = std::chrono::seconds(1);

    duration scaled(duration d, double factor)
    {
        return duration(static_cast<duration::rep>(static_cast<double>(d.count()) * factor));
    }

} // namespace

demand reservedDemand(const step_spec& step)
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
    addWorkers();
    recordActiveUnits();
    for (auto& worker : m_workers)
        std::stable_sort(worker.placedRuns.begin(), worker.placedRuns.end(),
            [](const placed_run& a, const placed_run& b) { return a.endsAt < b.endsAt; });
    applyClaims();
}

void placement_round::addWorkers()
{
    std::set<rack_name> racks;
    for (const auto& [id, view] : m_input.workers)
        racks.insert(view.rack);
    m_racks.assign(racks.begin(), racks.end());
    m_workers.reserve(m_input.workers.size());
    for (const auto& [id, view] : m_input.workers) {
        m_workerNumbers.emplace(id.value(), worker_number(m_workers.size()));
        round_worker worker;
        worker.view = &view;
        worker.rack = rack_number(
            static_cast<std::size_t>(std::lower_bound(m_racks.begin(), m_racks.end(), view.rack) - m_racks.begin()));
        worker.isSlow = view.slowness >= slowWorkerThreshold;
        worker.slowness = m_options.usesExpectedTimes ? view.speed.slowness : 1;
        worker.free = view.capacity;
        m_workers.push_back(std::move(worker));
    }
}

std::optional<worker_number> placement_round::findWorker(const worker_id& id) const
{
    const auto found = m_workerNumbers.find(id.value());
    return found == m_workerNumbers.end() ? std::nullopt : std::optional(found->second);
}

/// Run time of a step's tasks: extrapolated from a running task if possible, otherwise the queue's expected run time.
duration placement_round::estimateRunTime(const submission& job, std::uint32_t occurrence, std::uint32_t step) const
{
    const auto& spec = job.spec.steps[step];
    const auto& units = job.occurrences[occurrence].steps[step].units;
    for (std::uint32_t u = 0; u < units.size(); ++u) {
        for (std::uint32_t m = 0; m < units[u].members.size(); ++m) {
            const auto* seen = findRunView({ job.id, occurrence, step, u }, spec, units[u], m);
            const auto measured = seen != nullptr ? measuredRunTime(*seen) : std::nullopt;
            if (measured)
                return scaled(*measured, 1 / slownessOf(units[u].members[m].worker));
        }
    }
    return expectedRunTime(job, spec);
}

template <class Action> void placement_round::forEachActiveUnit(Action action) const
{
    for (const auto& id : m_input.table.openJobs()) {
        const auto& job = *m_input.table.find(id);
        if (!job.hasActiveUnits())
            continue;
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

void placement_round::recordActiveUnits()
{
    forEachActiveUnit([this](const auto& job, const auto& key, const auto& step, const auto& active) {
        recordUnit(job, key, step, active);
    });
}

const run_view* placement_round::findRunView(
    const unit_key& key, const step_spec& step, const unit& active, std::uint32_t member) const
{
    const auto& worker = active.members[member].worker;
    const auto found = findWorker(worker.worker);
    if (!found || at(*found).view->boot != worker)
        return nullptr;
    const auto& running = at(*found).view->running;
    const auto seen = running.find({ key.job, key.occurrence, key.step, taskIndexOf(step, key.unit, member) });
    return seen != running.end() && seen->second.run == active.lastRun ? &seen->second : nullptr;
}

/// Estimated time until the last member finishes; members of a gang end together.
duration placement_round::remainingTime(
    const submission& job, const unit_key& key, const step_spec& step, const unit& active) const
{
    const auto estimatedRunTime = timesOf(job, key.occurrence).expectedRunTimes[key.step];
    duration longest { 0 };
    for (std::uint32_t m = 0; m < active.members.size(); ++m) {
        const auto* seen = findRunView(key, step, active, m);
        auto left = scaled(estimatedRunTime, slownessOf(active.members[m].worker));
        const auto measured = seen != nullptr ? measuredRunTime(*seen) : std::nullopt;
        if (measured)
            left = scaled(*measured, (100 - seen->percent) / 100) - (m_input.now - seen->reportedAt);
        else if (seen != nullptr)
            left -= m_input.now - seen->startedAt;
        longest = std::max(longest, left);
    }
    return longest;
}

/// Whether a member has stopped making progress. A member at 100% may be waiting for the others, so it counts only once
/// all members are at 100%.
bool placement_round::isStalled(const unit_key& key, const step_spec& step, const unit& active) const
{
    bool allFinished = true;
    bool allIdle = true;
    for (std::uint32_t m = 0; m < active.members.size(); ++m) {
        const auto* seen = findRunView(key, step, active, m);
        if (seen == nullptr)
            return false;
        const bool isIdle = seen->reportedAt - seen->progressedAt > m_options.stallTimeout;
        if (seen->percent < 100 && isIdle)
            return true;
        allFinished = allFinished && seen->percent >= 100;
        allIdle = allIdle && isIdle;
    }
    return allFinished && allIdle;
}

/// The share of its value that a running job still earns if it ends after `left`.
double placement_round::remainingValue(const submission& job, std::uint32_t occurrence, duration left) const
{
    switch (estimateDeadlineStatus(job, occurrence, left)) {
    case deadline_status::on_time:
        return 1;
    case deadline_status::late:
        return lateValue;
    case deadline_status::expired:
        return expiredValue;
    }
    return 1;
}

instant placement_round::expectedEnd(const step_spec& step, duration left, bool isStopping) const
{
    if (step.longRunning)
        return isStopping ? m_input.now + stopWait() : never;
    // Past its estimate a run is expected to take as long again as it is over.
    return m_input.now + std::max(left < duration::zero() ? -left : left, minimumRunTime);
}

void placement_round::recordUnit(const submission& job, const unit_key& key, const step_spec& step, const unit& active)
{
    m_runs.add(job.workspace, active.members.size());
    const auto left = remainingTime(job, key, step, active);
    auto victim = describeVictim(key, step, active);
    victim.valueShare = remainingValue(job, key.occurrence, left);
    const double cost = costOfEnding(m_options.timing, victim, m_input.now);
    for (std::uint32_t m = 0; m < active.members.size(); ++m) {
        const auto& member = active.members[m];
        const auto found = findWorker(member.worker.worker);
        if (member.isOver || !found || at(*found).view->boot != member.worker)
            continue;
        placed_run entry;
        entry.run = { { key.job, key.occurrence, key.step, taskIndexOf(step, key.unit, m) }, active.lastRun };
        entry.need = reservedDemand(step);
        entry.priority = job.priority;
        entry.isGuaranteed = m_guaranteed.contains(job.id);
        entry.isStopping = m_input.stopping.contains(entry.run);
        entry.unit = key;
        entry.unitState = &active;
        const auto* seen = findRunView(key, step, active, m);
        entry.preemptionCost = cost;
        entry.endsAt = expectedEnd(step, left, entry.isStopping);
        entry.endsBeforeStop = seen != nullptr && !step.longRunning && entry.endsAt <= m_input.now + stopWait();
        if (separatesInterfering())
            recordKind(*found, kindOf(job.queue, key.step, step));
        at(*found).free -= entry.need;
        at(*found).runs.add(job.workspace, 1);
        if (seen == nullptr)
            at(*found).unconfirmedRuns.add(job.workspace, 1);
        at(*found).placedRuns.push_back(std::move(entry));
    }
}

void placement_round::stop(const planned_stop& order)
{
    if (!m_input.stopping.contains(order.run) && m_stopped.insert(order.run).second)
        m_decisions.stops.push_back(order);
}

void placement_round::stopUnit(const submission& job, const unit_key& key, stop_reason reason)
{
    const auto& step = job.spec.steps[key.step];
    const auto& active = job.occurrences[key.occurrence].steps[key.step].units[key.unit];
    const double lost = workLostByEnding(m_options.timing, describeVictim(key, step, active), m_input.now)
        / static_cast<double>(active.members.size());
    for (std::uint32_t m = 0; m < active.members.size(); ++m) {
        if (active.members[m].isOver)
            continue;
        const task_key task { key.job, key.occurrence, key.step, taskIndexOf(step, key.unit, m) };
        stop({ { task, active.lastRun }, active.members[m].worker, reason, lost });
    }
}

void placement_round::stopIfRequired(
    const submission& job, const unit_key& key, const step_spec& step, const unit& active)
{
    if (job.isTerminal())
        return stopUnit(job, key, stop_reason::job_ended);
    if (std::any_of(active.members.begin(), active.members.end(), [](const unit_member& each) { return each.isOver; }))
        return stopUnit(job, key, stop_reason::gang_broken);
    if (!step.longRunning && isStalled(key, step, active))
        return stopUnit(job, key, stop_reason::no_progress);
    for (std::uint32_t m = 0; m < active.members.size(); ++m) {
        const auto found = findWorker(active.members[m].worker.worker);
        if (!found || !at(*found).view->isDraining || findRunView(key, step, active, m) == nullptr)
            continue;
        const auto left = remainingTime(job, key, step, active);
        if (step.longRunning || m_input.now + left > at(*found).view->drainDeadline)
            return stopUnit(job, key, stop_reason::worker_leaves);
    }
}

void placement_round::planRequiredStops()
{
    forEachActiveUnit([this](const auto& job, const auto& key, const auto& step, const auto& active) {
        stopIfRequired(job, key, step, active);
    });
}

bool placement_round::isDue(const submission& job, std::uint32_t occurrence) const
{
    return dueTime(job.spec, occurrence) <= m_input.wallClock + m_options.maxEarlyStart;
}

bool placement_round::isReady(const submission& job, std::uint32_t occurrence, std::uint32_t step) const
{
    const auto& steps = job.occurrences[occurrence].steps;
    const auto& after = job.spec.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&steps](std::uint32_t earlier) { return steps[earlier].isDone(); });
}

/// Computed once for each occurrence in a round.
const occurrence_times& placement_round::timesOf(const submission& job, std::uint32_t occurrence) const
{
    auto& known = m_times[&job];
    const auto found = known.find(occurrence);
    if (found != known.end())
        return found->second;
    const auto& steps = job.spec.steps;
    occurrence_times out;
    out.criticalPaths.resize(steps.size());
    for (const auto& step : steps)
        out.expectedRunTimes.push_back(expectedRunTime(job, step));
    for (std::uint32_t s = static_cast<std::uint32_t>(steps.size()); s-- > 0;) {
        out.criticalPaths[s] += estimateRunTime(job, occurrence, s);
        for (const auto earlier : steps[s].after)
            out.criticalPaths[earlier] = std::max(out.criticalPaths[earlier], out.criticalPaths[s]);
    }
    out.objectiveStart = std::max(job.acceptedAt, dueTime(job.spec, occurrence));
    const auto longest = *std::max_element(out.criticalPaths.begin(), out.criticalPaths.end());
    out.objective = scaled(longest, job.stretch) + job.allowance;
    return known.emplace(occurrence, std::move(out)).first->second;
}

deadline_status placement_round::estimateDeadlineStatus(
    const submission& job, std::uint32_t occurrence, duration left) const
{
    const auto& times = timesOf(job, occurrence);
    const auto end = m_input.wallClock + left;
    if (end <= times.objectiveStart + times.objective)
        return deadline_status::on_time;
    return end <= times.objectiveStart + scaled(times.objective, expiryFactor) ? deadline_status::late
                                                                               : deadline_status::expired;
}

/// Whether a long-running task that has just failed soon after its start waits for a moment.
bool placement_round::isRestartPaused(const step_spec& step, const unit& waiting) const
{
    return step.longRunning && waiting.runFailed && waiting.waitingSince - waiting.startedAt < shortRunTime
        && m_input.wallClock >= waiting.waitingSince && m_input.wallClock < waiting.waitingSince + restartPause;
}

template <class Action> void placement_round::forEachReadyStep(const submission& job, Action action) const
{
    for (std::uint32_t o = 0; o < job.occurrences.size(); ++o) {
        if (!isDue(job, o)) {
            // Later ones are due later, unless the interval is negative.
            if (job.spec.intervalMs >= 0)
                break;
            continue;
        }
        for (std::uint32_t s = 0; s < job.spec.steps.size(); ++s) {
            if (!job.occurrences[o].steps[s].isDone() && isReady(job, o, s))
                action(o, s);
        }
    }
}

std::size_t placement_round::candidatesPerStep() const
{
    std::size_t steps = 0;
    std::size_t units = 0;
    for (const auto& id : m_input.table.openJobs()) {
        const auto& job = *m_input.table.find(id);
        if (job.isTerminal())
            continue;
        forEachReadyStep(job, [&](std::uint32_t o, std::uint32_t s) {
            const auto& state = job.occurrences[o].steps[s];
            ++steps;
            units += std::min(state.units.size() - state.doneUnits, m_options.limits.startsPerPlan);
        });
    }
    if (units <= m_options.limits.candidates)
        return m_options.limits.startsPerPlan;
    return std::max<std::size_t>(m_options.limits.candidates / steps, 1);
}

void placement_round::appendCandidates(const submission& job, std::size_t limit, std::vector<candidate>& out) const
{
    const auto* queue = m_input.table.findQueue(job.queue);
    forEachReadyStep(job, [&](std::uint32_t o, std::uint32_t s) {
        const auto& state = job.occurrences[o].steps[s];
        const auto& times = timesOf(job, o);
        const auto status = estimateDeadlineStatus(job, o, times.criticalPaths[s]);
        const auto end = out.size() + limit;
        for (std::uint32_t u = 0; u < state.units.size() && out.size() < end; ++u) {
            if (state.units[u].phase != unit_phase::waiting || isRestartPaused(job.spec.steps[s], state.units[u]))
                continue;
            candidate item;
            item.key = { job.id, o, s, u };
            item.job = &job;
            item.step = &job.spec.steps[s];
            item.state = &state.units[u];
            item.service = queue != nullptr ? &queue->service : &job.service;
            item.isGuaranteed = m_guaranteed.contains(job.id);
            item.estimatedRunTime = times.expectedRunTimes[s];
            item.deadline = times.objectiveStart + times.objective;
            item.deadlineStatus = item.step->longRunning ? deadline_status::on_time : status;
            item.waitingTime = m_input.wallClock - std::max(times.objectiveStart, item.state->waitingSince);
            out.push_back(std::move(item));
        }
    });
}

std::vector<candidate> placement_round::collectCandidates() const
{
    std::vector<candidate> out;
    const auto limit = candidatesPerStep();
    for (const auto& id : m_input.table.openJobs()) {
        const auto& job = *m_input.table.find(id);
        if (!job.isTerminal())
            appendCandidates(job, limit, out);
    }
    std::vector<candidate> ordered;
    ordered.reserve(out.size());
    for (const auto index : rankCandidates(out))
        ordered.push_back(std::move(out[index]));
    return ordered;
}

bool placement_round::isEligible(const candidate& item, const round_worker& worker) const
{
    const auto& view = *worker.view;
    if (view.service != *item.service || !view.isReachable || view.isSilent || view.isDraining
        || (view.avoidUntil > m_input.now && !item.usesAvoided))
        return false;
    if (!m_input.table.isInService(view.dataCentre))
        return false;
    const auto& label = item.step->requiredLabel;
    return label.value().empty() || std::find(view.labels.begin(), view.labels.end(), label) != view.labels.end();
}

/// Computed once for each service and label in a round.
const eligible_workers& placement_round::eligibleWorkers(const candidate& item) const
{
    const auto& label = item.step->requiredLabel;
    for (const auto& known : m_eligible) {
        if (*known.service == *item.service && *known.label == label && known.includesAvoided == item.usesAvoided)
            return known;
    }
    eligible_workers out { item.service, &label, item.usesAvoided, {}, {} };
    out.byRack.resize(m_racks.size() + 1);
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        if (!isEligible(item, m_workers[i]))
            continue;
        out.all.emplace_back(i);
        out.byRack[m_workers[i].rack.value()].emplace_back(i);
    }
    m_eligible.push_back(std::move(out));
    return m_eligible.back();
}

std::vector<worker_number> placement_round::eligibleWorkers(
    const candidate& item, std::optional<rack_number> rack, worker_filter filter) const
{
    const auto& eligible = eligibleWorkers(item);
    auto out = rack ? eligible.byRack[rack->value()] : eligible.all;
    if (filter == worker_filter::fast)
        std::erase_if(out, [&](worker_number number) {
            return m_options.usesExpectedTimes ? !isFastEnough(item, number) : at(number).isSlow;
        });
    return out;
}

/// Gangs run at the speed of their slowest member, and urgent jobs have tight deadlines.
static bool prefersFastWorkers(const candidate& item) { return item.step->gang || item.job->priority == 0; }

/// Racks on which the unit runs at full speed, in order of preference; empty if any worker is as good. The number after
/// the last one stands for a rack without workers.
std::vector<rack_number> placement_round::preferredRacks(const candidate& item) const
{
    std::vector<rack_number> out;
    if (!item.step->affinity.value().empty()) {
        const auto found = std::lower_bound(m_racks.begin(), m_racks.end(), item.step->affinity);
        const bool isKnown = found != m_racks.end() && *found == item.step->affinity;
        out.emplace_back(isKnown ? static_cast<std::size_t>(found - m_racks.begin()) : m_racks.size());
    } else if (item.step->rackLocal && item.step->gang) {
        for (std::size_t i = 0; i < m_racks.size(); ++i)
            out.emplace_back(i);
    }
    return out;
}

/// Off its rack a unit takes `distanceFactor` times as long, so waiting up to its run time is cheaper. A task that
/// lasts has no run time that could be weighed against the wait.
bool placement_round::mayLeaveRack(const candidate& item)
{
    return item.waitingTime >= item.estimatedRunTime || (item.isOwedRoom && item.step->longRunning);
}

std::map<worker_number, std::uint32_t> placement_round::taskCountsPerWorker(const candidate& item) const
{
    std::map<worker_number, std::uint32_t> out;
    const auto count = [&](const worker_id& id) {
        if (const auto found = findWorker(id))
            ++out[*found];
    };
    for (const auto& each : item.job->occurrences[item.key.occurrence].steps[item.key.step].units) {
        for (const auto& member : each.members) {
            if (!member.isOver)
                count(member.worker.worker);
        }
    }
    for (const auto& planned : m_decisions.starts) {
        for (const auto& start : planned.starts) {
            if (start.task.job == item.key.job && start.task.occurrence == item.key.occurrence
                && start.task.step == item.key.step)
                count(start.worker.worker);
        }
    }
    return out;
}

/// Best-fit score: the weighted share of a worker that stays free. The lowest score wins, which keeps whole workers
/// free for large tasks.
static double freeShare(const demand& free, const demand& total)
{
    const auto share = [](auto part, auto whole) {
        return whole.count() > 0 ? static_cast<double>(part.count()) / static_cast<double>(whole.count()) : 0.0;
    };
    return 2 * share(free.accelerator, total.accelerator) + share(free.cpu, total.cpu)
        + share(free.memory, total.memory);
}

bool placement_round::separatesInterfering() const
{
    return m_options.separatesInterfering && m_input.table.interference().hasEstimates();
}

void placement_round::recordKind(worker_number number, const task_kind& kind)
{
    auto& kinds = at(number).kinds;
    if (std::find(kinds.begin(), kinds.end(), kind) == kinds.end())
        kinds.push_back(kind);
}

double placement_round::interference(const task_kind& kind, const round_worker& worker) const
{
    const auto& known = m_input.table.interference();
    double out = 0;
    for (const auto& other : worker.kinds)
        out += known.slowdown(kind, other) + known.slowdown(other, kind) - 2;
    return out;
}

std::optional<member_placement> placement_round::packMembers(
    const candidate& item, const std::vector<worker_number>& usable, bool respectReservations) const
{
    struct option {
        worker_number worker;
        demand free;
    };
    const auto need = reservedDemand(*item.step);
    std::vector<option> options;
    options.reserve(usable.size());
    for (const auto number : usable) {
        const auto& worker = at(number);
        if (respectReservations && isReserved(item, worker))
            continue;
        if (need.fitsIn(worker.free) && mayTakeRun(item, worker))
            options.push_back({ number, worker.free });
    }
    const auto limit = item.step->maxPerWorker;
    auto counts = limit > 0 ? taskCountsPerWorker(item) : std::map<worker_number, std::uint32_t>();
    // Units that tolerate a slow worker go there first, which keeps fast workers free for the others.
    const bool prefersSlow = !prefersFastWorkers(item);
    const bool separates = separatesInterfering();
    const auto kind = separates ? kindOf(item.job->queue, item.key.step, *item.step) : task_kind();
    member_placement out;
    for (std::uint32_t m = 0; m < memberCount(*item.step); ++m) {
        option* best = nullptr;
        double bestScore = 0;
        for (auto& each : options) {
            if (!need.fitsIn(each.free) || (limit > 0 && counts[each.worker] >= limit))
                continue;
            auto rest = each.free;
            rest -= need;
            const auto& worker = at(each.worker);
            const double score = freeShare(rest, worker.view->capacity) - (prefersSlow ? patientBonus(worker) : 0)
                + (separates ? interferenceWeight * interference(kind, worker) : 0)
                + (worker.view->avoidUntil > m_input.now ? avoidedPenalty : 0);
            if (best == nullptr || score < bestScore) {
                best = &each;
                bestScore = score;
            }
        }
        if (best == nullptr)
            return std::nullopt;
        best->free -= need;
        if (limit > 0)
            ++counts[best->worker];
        out.push_back(best->worker);
    }
    return out;
}

/// Whether the worker is reserved for a time at which the unit would still run there.
bool placement_round::isReserved(const candidate& item, const round_worker& worker) const
{
    if (!worker.reservedFrom)
        return false;
    return item.step->longRunning
        || *worker.reservedFrom < m_input.now + scaled(item.estimatedRunTime, worker.slowness);
}

std::optional<member_placement> placement_round::findPlacement(const candidate& item) const
{
    const auto scopes = placementScopes(item);
    const auto fillOn = [&](std::optional<rack_number> rack, worker_filter filter) {
        return packMembers(item, eligibleWorkers(item, rack, filter), respectsReservations(item));
    };
    const bool usesSets = m_options.usesExpectedTimes && prefersFastWorkers(item);
    if (usesSets) {
        if (auto found = findExpectedPlacement(item))
            return found;
    }
    for (const auto filter : { worker_filter::fast, worker_filter::all }) {
        if (usesSets || (filter == worker_filter::fast && !m_options.usesExpectedTimes && !prefersFastWorkers(item)))
            continue;
        for (const auto& rack : scopes) {
            if (auto found = fillOn(rack, filter))
                return found;
        }
    }
    const bool isAnywhere = scopes.size() == 1 && !scopes.front();
    if (isAnywhere || item.isGuaranteed || !mayLeaveRack(item))
        return std::nullopt;
    return fillOn(std::nullopt, worker_filter::all);
}

void placement_round::commitPlacement(const candidate& item, const member_placement& placement)
{
    start_tasks command;
    const auto need = reservedDemand(*item.step);
    for (std::uint32_t m = 0; m < placement.size(); ++m) {
        auto& worker = at(placement[m]);
        worker.free -= need;
        worker.runs.add(item.job->workspace, 1);
        worker.unconfirmedRuns.add(item.job->workspace, 1);
        if (separatesInterfering())
            recordKind(placement[m], kindOf(item.job->queue, item.key.step, *item.step));
        command.starts.push_back(
            { { item.key.job, item.key.occurrence, item.key.step, taskIndexOf(*item.step, item.key.unit, m) },
                run_number(item.state->lastRun.value() + 1), worker.view->boot, worker.view->address });
    }
    if (item.job->occurrences.isShared(item.key.occurrence)
        && m_begun.emplace(item.job->sequence, item.key.occurrence).second)
        m_begunBytes += occurrenceFootprint(item.job->spec);
    m_runs.add(item.job->workspace, placement.size());
    m_plannedStarts += placement.size();
    m_decisions.starts.push_back(std::move(command));
}

void placement_round::adjustFreeCapacity(const capacity_claim& claim, const demand& need, bool isClaimed)
{
    for (const auto& id : claim.workers) {
        const auto found = findWorker(id);
        if (!found)
            continue;
        if (isClaimed)
            at(*found).free -= need;
        else
            at(*found).free += need;
    }
}

/// Subtracts the claims that are still valid from the free capacity of their workers.
void placement_round::applyClaims()
{
    for (const auto& [key, claim] : m_input.claims) {
        const auto* job = m_input.table.find(key.job);
        if (job == nullptr || job->isTerminal() || claim.until <= m_input.now)
            continue;
        if (job->occurrences[key.occurrence].steps[key.step].units[key.unit].phase != unit_phase::waiting)
            continue;
        adjustFreeCapacity(claim, reservedDemand(job->spec.steps[key.step]), true);
        m_decisions.claims.emplace(key, claim);
    }
}

/// Places a unit on its claimed workers once they have enough free capacity. Drops the claim then, or if one of them is
/// no longer eligible.
std::optional<member_placement> placement_round::placeOnClaimedWorkers(const candidate& item)
{
    const auto& claim = m_decisions.claims.at(item.key);
    const auto need = reservedDemand(*item.step);
    adjustFreeCapacity(claim, need, false);
    std::set<worker_number> distinct;
    for (const auto& id : claim.workers) {
        const auto found = findWorker(id);
        if (!found || !isEligible(item, at(*found))) {
            m_decisions.claims.erase(item.key);
            return std::nullopt;
        }
        distinct.insert(*found);
    }
    auto placement = packMembers(item, { distinct.begin(), distinct.end() }, false);
    if (placement)
        m_decisions.claims.erase(item.key);
    else
        adjustFreeCapacity(claim, need, true);
    return placement;
}

/// A unit that is owed room may also use workers that are avoided.
std::optional<member_placement> placement_round::findOwedPlacement(const candidate& item) const
{
    auto wider = item;
    wider.usesAvoided = true;
    return findPlacement(wider);
}

bool placement_round::placeUnit(const candidate& item)
{
    if (wouldSoonBeStopped(item))
        return false;
    // Equal units of a step meet the same limit.
    if ((m_limitedStep == item.step && m_limitedOccurrence == item.key.occurrence)
        || !mayBegin(*item.job, item.key.occurrence)
        || (!isBoundedByGuarantee(item) && !m_runs.admits(item.job->workspace, m_options.limits.total)))
        return waitForLimit(item);
    if (m_decisions.claims.contains(item.key)) {
        if (const auto claimed = placeOnClaimedWorkers(item)) {
            commitPlacement(item, *claimed);
            return true;
        }
    }
    // Other units of a step are placed like the one before: if that one found no place, they find none either.
    const bool isPatientEnough = mayLeaveRack(item);
    const bool isHopeless = m_blockedStep == item.step && m_blockedOccurrence == item.key.occurrence
        && (m_blockedMayLeaveRack || !isPatientEnough) && (m_blockedIsOwedRoom || !item.isOwedRoom)
        && !m_decisions.claims.contains(item.key);
    auto placement = isHopeless ? std::nullopt : findPlacement(item);
    if (!placement && !isHopeless && item.isOwedRoom)
        placement = findOwedPlacement(item);
    if (const auto claim = m_decisions.claims.find(item.key); claim != m_decisions.claims.end()) {
        if (!placement) {
            waitForClaim(item);
            return false;
        }
        // Capacity elsewhere became free first, so the claim is no longer needed.
        adjustFreeCapacity(claim->second, reservedDemand(*item.step), false);
        m_decisions.claims.erase(claim);
    }
    // No run has to end for such a unit, and no worker is kept for it.
    if (!placement && !isHopeless && isLimited(item))
        return waitForLimit(item);
    // A late unit gains little by an earlier start, and the work that it would stop is lost.
    const bool mayPreempt
        = item.isGuaranteed || (item.job->priority == 0 && item.deadlineStatus == deadline_status::on_time);
    if (placement && waitsForFasterWorkers(item, *placement, mayPreempt))
        return false;
    if (!placement && mayPreempt && !isHopeless)
        placement = preemptFor(item, worker_filter::all);
    if (placement) {
        commitPlacement(item, *placement);
        return true;
    }
    if (m_decisions.claims.contains(item.key)) {
        waitForClaim(item);
        return false;
    }
    m_blockedStep = item.step;
    m_blockedOccurrence = item.key.occurrence;
    m_blockedMayLeaveRack = isPatientEnough;
    m_blockedIsOwedRoom = item.isOwedRoom;
    if (m_reservations++ < m_options.maxReservations)
        reserveWorkers(earliestStarts(item, worker_filter::all));
    return false;
}

void placement_round::placeWaitingUnits()
{
    for (auto& item : collectCandidates()) {
        // The next plan follows as soon as these are recorded.
        if (m_plannedStarts >= m_options.limits.startsPerPlan)
            break;
        item.isOwedRoom = isOwedRoom(item);
        if (placeUnit(item))
            m_placed.insert(holdBackKey(item));
        else
            recordHoldBack(item);
    }
    keepRecentHoldBacks();
}

} // namespace poplardeal::detail
