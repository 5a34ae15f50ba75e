#include <algorithm>
#include <cmath>
#include <poplardeal/jobs/worker_registry.h>

namespace poplardeal {

namespace {

    /// Of progress for a sample of a worker's speed. Reports come every quarter of a second, which is under a tenth of
    /// that part of a run of 10 s.
    constexpr double minimumSamplePercent = 30;
    constexpr duration slownessUpdateInterval
        = std::chrono::milliseconds(500); ///< A fit takes milliseconds at 4,000 samples.

    /// A busy worker is reported at least this often unless its report is held up.
    constexpr duration maxReportGap = std::chrono::milliseconds(1000);

    std::int64_t toMilliseconds(duration d) { return std::chrono::duration_cast<std::chrono::milliseconds>(d).count(); }

} // namespace

worker_registry::worker_registry(lease_options options)
    : m_options(options)
{
}

void worker_registry::startLeadership(instant now)
{
    m_leadershipStartedAt = now;
    m_slownessUpdatedAt = {};
    m_failures = {};
    m_progressSpeeds = {};
    m_views.clear();
    m_sessions.clear();
    m_workersByAddress.clear();
    m_departures.clear();
    m_stopping.clear();
    m_givenUp.clear();
    m_lateStarts.clear();
    m_begun.clear();
}

std::int64_t worker_registry::estimatedClockMs(const session& workerSession, instant now) const
{
    return workerSession.clockMs + toMilliseconds(now - workerSession.clockReceivedAt);
}

/// When the worker's lease is over whatever it has received, on the leader's clock.
instant worker_registry::latestLeaseEnd(const session& workerSession) const
{
    auto until = workerSession.grantedUntilMs;
    for (const auto& [run, startUntil] : workerSession.startUntilMs)
        until = std::max(until, startUntil);
    const auto left
        = static_cast<double>(std::max<std::int64_t>(until - workerSession.clockMs, 0)) / m_options.minimumClockRate;
    return workerSession.clockReceivedAt + std::chrono::milliseconds(static_cast<std::int64_t>(left))
        + m_options.margin;
}

released_run worker_registry::makeRelease(const run_key& run, const worker_boot& boot, const job_table& table) const
{
    released_run out { run.task, run.run, {} };
    const auto view = m_views.find(boot.worker);
    if (view != m_views.end() && view->second.boot == boot) {
        const auto seen = view->second.running.find(run.task);
        if (seen != view->second.running.end() && seen->second.run == run.run)
            out.saved = seen->second.saved;
    }
    const auto* unit = table.findUnit(run.task);
    if (out.saved.value().empty() && unit != nullptr)
        out.saved = unit->saved;
    return out;
}

std::vector<released_run> worker_registry::releaseRunsOf(const worker_boot& boot, const job_table& table) const
{
    std::vector<released_run> out;
    for (const auto& run : table.runsOn(boot))
        out.push_back(makeRelease(run, boot, table));
    return out;
}

/// Only one boot can exist under an id, and only one at an address.
static bool isSuperseded(const worker_boot& boot, const std::string& address, const worker_status& status)
{
    if (boot == status.boot || boot.startedAtMs > status.boot.startedAtMs)
        return false;
    return boot.worker == status.boot.worker || (!address.empty() && address == status.address);
}

void worker_registry::eraseWorker(const worker_id& id)
{
    m_views.erase(id);
    if (const auto erased = m_sessions.extract(id))
        eraseAddress(erased.mapped().address, id);
}

void worker_registry::eraseAddress(const std::string& address, const worker_id& id)
{
    const auto there = m_workersByAddress.find(address);
    if (there == m_workersByAddress.end())
        return;
    there->second.erase(id);
    if (there->second.empty())
        m_workersByAddress.erase(there);
}

void worker_registry::recordDeparture(const worker_status& status, instant now)
{
    std::erase_if(m_departures, [now](const auto& item) { return now - item.second.heardAt > departureRetention; });
    m_departures[status.boot.worker] = { status.boot.startedAtMs, status.clockMs, now };
}

/// Whether the report is of a boot that has ended, from before its end. One that shows a later time on the clock of the
/// boot is not: the boot was given up by mistake.
bool worker_registry::hasDeparted(const worker_status& status) const
{
    const auto found = m_departures.find(status.boot.worker);
    if (found == m_departures.end() || status.boot.startedAtMs != found->second.startedAtMs)
        return found != m_departures.end() && status.boot.startedAtMs < found->second.startedAtMs;
    return !status.hasLists || status.clockMs <= found->second.clockMs;
}

/// Whether the boot has answered after the moment at which it is said to have ended.
bool worker_registry::hasAnsweredSince(const worker_status& gone) const
{
    const auto known = m_sessions.find(gone.boot.worker);
    return known != m_sessions.end() && m_views.at(gone.boot.worker).boot == gone.boot && known->second.hasLists
        && known->second.clockMs > gone.clockMs;
}

/// Forgets the boots that this report proves to be over.
void worker_registry::eraseSuperseded(const worker_status& status)
{
    std::vector<worker_id> ids { status.boot.worker };
    if (const auto there = m_workersByAddress.find(status.address); there != m_workersByAddress.end())
        ids.insert(ids.end(), there->second.begin(), there->second.end());
    for (const auto& id : ids) {
        const auto known = m_sessions.find(id);
        if (known != m_sessions.end() && isSuperseded(m_views.at(id).boot, known->second.address, status))
            eraseWorker(id);
    }
}

void worker_registry::recordContact(const worker_id& id, instant now)
{
    if (const auto known = m_sessions.find(id); known != m_sessions.end())
        known->second.lastContactAt = now;
}

void worker_registry::updateWorker(const worker_status& status, instant now)
{
    auto& view = m_views[status.boot.worker];
    auto& workerSession = m_sessions[status.boot.worker];
    if (view.boot != status.boot) {
        view = {};
        workerSession = {};
        view.boot = status.boot;
    }
    view.address = status.address;
    view.service = status.service;
    view.dataCentre = status.dataCentre;
    view.rack = status.rack;
    view.labels = status.labels;
    view.capacity = status.capacity;
    if (status.isDraining && !view.isDraining)
        view.drainDeadline = now + status.drainLeft;
    view.isDraining = status.isDraining;
    if (workerSession.address != status.address)
        eraseAddress(workerSession.address, status.boot.worker);
    workerSession.address = status.address;
    m_workersByAddress[status.address].insert(status.boot.worker);
    workerSession.lastContactAt = now;
}

void worker_registry::updateRunning(const worker_status& status, worker_view& view, instant now) const
{
    std::map<task_key, run_view> fresh;
    for (const auto& listed : status.running) {
        run_view item { listed.run, listed.saved, listed.percent, listed.percent, now, now, now, {} };
        const auto before = view.running.find(listed.task);
        if (before != view.running.end() && before->second.run == listed.run) {
            item.startedAt = before->second.startedAt;
            item.startPercent = before->second.startPercent;
            item.savedAt = listed.saved == before->second.saved ? before->second.savedAt : before->second.reportedAt;
            if (listed.percent <= before->second.percent && listed.saved == before->second.saved) {
                // Time without reports shows nothing: the worker may have been frozen.
                const auto unobserved = std::max(now - before->second.reportedAt - maxReportGap, duration::zero());
                item.progressedAt = before->second.progressedAt + unobserved;
            }
        }
        fresh[listed.task] = item;
    }
    view.running = std::move(fresh);
}

static unit_key unitOf(const task_key& task, const job_table& table)
{
    const auto* job = table.find(task.job);
    const bool isKnown = job != nullptr && task.step < job->spec.steps.size();
    return { task.job, task.occurrence, task.step,
        isKnown ? unitIndexOf(job->spec.steps[task.step], task.index) : task.index };
}

void worker_registry::attributeEnds(const record_ends& fresh, const job_table& table, instant now)
{
    for (const auto& end : fresh.ends) {
        if (end.kind == end_kind::done)
            m_failures.didComplete(fresh.worker);
        else if (end.kind == end_kind::failed)
            m_failures.didFail(unitOf(end.task, table), fresh.worker, now);
    }
}

static std::vector<worker_boot> supersededBoots(const worker_status& status, const job_table& table)
{
    std::vector<worker_boot> out;
    for (const auto& boot : table.bootsWithRuns(status.boot.worker, status.address)) {
        if (isSuperseded(boot, table.addressOf(boot), status))
            out.push_back(boot);
    }
    return out;
}

bool worker_registry::hasListed(const worker_boot& boot, const run_key& run) const
{
    const auto view = m_views.find(boot.worker);
    if (view == m_views.end() || view->second.boot != boot)
        return false;
    const auto seen = view->second.running.find(run.task);
    return seen != view->second.running.end() && seen->second.run == run.run;
}

/// Runs of a boot that is gone. Those that may have reached the new boot of the same id are not over yet.
std::vector<released_run> worker_registry::releaseSuperseded(const worker_boot& earlier, const worker_status& status,
    const job_table& table, std::set<run_key>& inheritedRuns) const
{
    std::vector<released_run> out;
    for (const auto& run : table.runsOn(earlier)) {
        const bool mayHaveMoved = earlier.worker == status.boot.worker && !status.isGone && !hasListed(earlier, run);
        if (mayHaveMoved)
            inheritedRuns.insert(run);
        else
            out.push_back(makeRelease(run, earlier, table));
    }
    return out;
}

/// Notes the given-up runs of a boot that it has never listed.
void worker_registry::awaitRefusals(const worker_boot& boot, const std::vector<released_run>& released, instant now)
{
    for (const auto& each : released) {
        const run_key run { each.task, each.run };
        if (!hasListed(boot, run))
            m_lateStarts[boot].emplace(run, now + m_options.longestOrderDelay);
    }
}

void worker_registry::eraseLateStart(const worker_boot& boot, const run_key& run)
{
    const auto known = m_lateStarts.find(boot);
    if (known == m_lateStarts.end())
        return;
    known->second.erase(run);
    if (known->second.empty())
        m_lateStarts.erase(known);
}

/// A worker cannot tell for which boot of its id a start was meant.
void worker_registry::inheritRefusals(const worker_boot& later)
{
    for (auto known = m_lateStarts.lower_bound({ later.worker, 0 });
         known != m_lateStarts.end() && known->first < later;) {
        m_lateStarts[later].merge(known->second);
        known = m_lateStarts.erase(known);
    }
}

report_effects worker_registry::report(const worker_status& status, const job_table& table, instant now)
{
    report_effects out;
    out.ends.worker = status.boot;
    const auto current = m_views.find(status.boot.worker);
    if (current != m_views.end() && status.boot.startedAtMs < current->second.boot.startedAtMs)
        return out; // Held up on its way; that boot is gone.
    if (status.isGone ? hasAnsweredSince(status) : hasDeparted(status))
        return out; // Held up on its way, for example on a relayed path.
    const auto add = [&out](const std::vector<released_run>& released) {
        out.released.insert(out.released.end(), released.begin(), released.end());
    };
    std::set<run_key> inheritedRuns;
    for (const auto& boot : supersededBoots(status, table))
        add(releaseSuperseded(boot, status, table, inheritedRuns));
    eraseSuperseded(status);
    if (status.isGone) {
        awaitRefusals(status.boot, releaseRunsOf(status.boot, table), now);
        add(releaseRunsOf(status.boot, table));
        eraseWorker(status.boot.worker);
        recordDeparture(status, now);
        out.changesCapacity = true;
        return out;
    }
    const auto known = m_views.find(status.boot.worker);
    out.changesCapacity = known == m_views.end() || known->second.boot != status.boot || !known->second.isReachable
        || known->second.isSilent || known->second.isDraining != status.isDraining || !status.refused.empty();
    updateWorker(status, now);
    inheritRefusals(status.boot);
    auto& view = m_views.at(status.boot.worker);
    auto& workerSession = m_sessions.at(status.boot.worker);
    workerSession.inheritedRuns.merge(inheritedRuns);
    for (const auto& refused : status.refused) {
        eraseLateStart(status.boot, refused.run);
        const bool isOwn = table.runsOn(status.boot).contains(refused.run);
        if (!isOwn && !workerSession.inheritedRuns.contains(refused.run))
            continue;
        out.released.push_back(makeRelease(refused.run, status.boot, table));
        // Without a pause the next plan chooses the same worker again, and again.
        if (isOwn && !m_stopping.contains(refused.run))
            workerSession.refusedUntil = now + m_options.refusalPause;
    }
    if (!status.hasLists || status.clockMs < workerSession.clockMs)
        return out;
    // A report that was held up on its way says nothing about the worker's being reachable.
    if (!workerSession.hasLists
        || estimatedClockMs(workerSession, now) - status.clockMs < toMilliseconds(m_options.reachableTimeout))
        workerSession.lastTimelyReportAt = now;
    workerSession.clockMs = status.clockMs;
    workerSession.clockReceivedAt = now;
    workerSession.hasLists = true;
    std::set<run_key> listed;
    for (const auto& each : status.running)
        listed.insert({ each.task, each.run });
    for (const auto& end : status.ended) {
        listed.insert({ end.task, end.run });
        if (end.number > workerSession.lastProposedEnd)
            out.ends.ends.push_back(end);
    }
    for (const auto& end : out.ends.ends)
        workerSession.lastProposedEnd = std::max(workerSession.lastProposedEnd, end.number);
    for (const auto& run : listed)
        eraseLateStart(status.boot, run); // It has begun, and is stopped as one that the table does not know.
    attributeEnds(out.ends, table, now);
    for (const auto& run : table.runsOn(status.boot)) {
        const auto until = workerSession.startUntilMs.find(run);
        if (listed.contains(run))
            workerSession.startUntilMs.erase(run);
        else if (until == workerSession.startUntilMs.end() && !m_stopping.contains(run)) {
            // An order of an earlier leader; it is given again and has to be carried out in time. If the lists are cut,
            // the run may be over, and its end comes with a later report.
            if (status.isComplete)
                workerSession.startUntilMs[run] = status.clockMs + toMilliseconds(m_options.startWindow);
        } else if (until != workerSession.startUntilMs.end() && status.clockMs > until->second)
            // The order may still be carried out late. A stop makes the worker refuse it from then on.
            m_stopping.insert(run);
    }
    updateRunning(status, view, now);
    for (const auto& each : status.running) {
        const auto* job = table.find(each.task.job);
        if (job != nullptr && !job->hasStarted && !job->isTerminal())
            m_begun.insert(job->id);
    }
    return out;
}

void worker_registry::eraseRecordedBegins(const job_table& table)
{
    std::erase_if(m_begun, [&table](const submission_id& id) {
        const auto* job = table.find(id);
        return job == nullptr || job->hasStarted || job->isTerminal();
    });
}

bool worker_registry::mayBeAtWork(const worker_boot& boot, instant now) const
{
    const auto known = m_sessions.find(boot.worker);
    const bool hasReported
        = known != m_sessions.end() && m_views.at(boot.worker).boot == boot && known->second.hasLists;
    return now - (hasReported ? known->second.lastTimelyReportAt : m_leadershipStartedAt) < m_options.reachableTimeout;
}

void worker_registry::didFinishRecordingEnds(const worker_boot& boot, std::uint64_t upTo, bool recorded)
{
    const auto found = m_sessions.find(boot.worker);
    if (found == m_sessions.end() || m_views.at(boot.worker).boot != boot)
        return;
    if (recorded)
        found->second.acknowledged = std::max(found->second.acknowledged, upTo);
    else
        found->second.lastProposedEnd = found->second.acknowledged;
}

void worker_registry::didOrderStart(const task_start& start, instant now)
{
    const auto found = m_sessions.find(start.worker.worker);
    if (found == m_sessions.end() || m_views.at(start.worker.worker).boot != start.worker)
        return;
    found->second.startUntilMs[{ start.task, start.run }]
        = estimatedClockMs(found->second, now) + toMilliseconds(m_options.startWindow);
}

void worker_registry::didOrderStop(const planned_stop& stop, const job_table& table, instant now)
{
    m_stopping.insert(stop.run);
    if (stop.reason == stop_reason::no_progress)
        m_failures.didFail(unitOf(stop.run.task, table), stop.worker, now);
}

/// Runs that a worker lists though they are over for the table, such as a start that was given up and carried out late.
std::vector<run_key> worker_registry::strayRuns(const worker_boot& boot, const job_table& table) const
{
    std::vector<run_key> out;
    const auto& known = table.runsOn(boot);
    for (const auto& [task, seen] : m_views.at(boot.worker).running) {
        const run_key run { task, seen.run };
        if (!known.contains(run) && !m_sessions.at(boot.worker).inheritedRuns.contains(run))
            out.push_back(run);
    }
    return out;
}

bool worker_registry::hasOrders(
    const worker_boot& boot, const session& workerSession, const job_table& table, instant now) const
{
    if (!workerSession.inheritedRuns.empty() || mayStartLate(boot)
        || workerSession.acknowledged != workerSession.acknowledgedSent)
        return true;
    if (!strayRuns(boot, table).empty())
        return true;
    const auto clock = estimatedClockMs(workerSession, now);
    const auto& runs = table.runsOn(boot);
    return std::any_of(runs.begin(), runs.end(), [&](const run_key& run) {
        const auto until = workerSession.startUntilMs.find(run);
        return m_stopping.contains(run) || (until != workerSession.startUntilMs.end() && clock < until->second);
    });
}

std::optional<worker_instructions> worker_registry::answerTo(
    const worker_boot& boot, const job_table& table, instant now)
{
    const auto found = m_sessions.find(boot.worker);
    if (found == m_sessions.end())
        return std::nullopt;
    const bool isRenewalDue = now - found->second.instructedAt >= m_options.renewalInterval;
    if (!isRenewalDue && !hasOrders(boot, found->second, table, now))
        return std::nullopt;
    return instructionsFor(boot, table, now);
}

std::optional<worker_instructions> worker_registry::instructionsFor(
    const worker_boot& boot, const job_table& table, instant now)
{
    const auto found = m_sessions.find(boot.worker);
    if (found == m_sessions.end() || m_views.at(boot.worker).boot != boot || !found->second.hasLists)
        return std::nullopt;
    auto& workerSession = found->second;
    worker_instructions out;
    out.boot = boot;
    if (!mayStartLate(boot))
        workerSession.grantedUntilMs
            = std::max(workerSession.grantedUntilMs, workerSession.clockMs + toMilliseconds(m_options.length));
    out.leaseUntilMs = workerSession.grantedUntilMs;
    out.acknowledged = workerSession.acknowledged;
    workerSession.acknowledgedSent = workerSession.acknowledged;
    workerSession.instructedAt = now;
    out.stops = strayRuns(boot, table);
    out.stops.insert(out.stops.end(), workerSession.inheritedRuns.begin(), workerSession.inheritedRuns.end());
    const auto& running = m_views.at(boot.worker).running;
    const auto& runs = table.runsOn(boot);
    if (const auto late = m_lateStarts.find(boot); late != m_lateStarts.end()) {
        for (const auto& [run, until] : late->second) {
            if (!runs.contains(run) && !workerSession.inheritedRuns.contains(run))
                out.stops.push_back(run);
        }
    }
    for (const auto& run : runs) {
        if (m_stopping.contains(run) || m_givenUp.contains(run)) {
            out.stops.push_back(run);
            continue;
        }
        const auto seen = running.find(run.task);
        const auto until = workerSession.startUntilMs.find(run);
        if ((seen != running.end() && seen->second.run == run.run) || until == workerSession.startUntilMs.end()
            || estimatedClockMs(workerSession, now) >= until->second)
            continue;
        const auto* job = table.find(run.task.job);
        const auto* unit = table.findUnit(run.task);
        out.starts.push_back({ run, job->spec.payload, unit->saved, until->second });
    }
    return out;
}

std::vector<released_run> worker_registry::expiredRuns(const job_table& table, instant now)
{
    eraseFinishedRuns(table);
    eraseLateStarts(now);
    std::vector<released_run> out;
    const auto longestLease = std::chrono::duration_cast<duration>(m_options.length / m_options.minimumClockRate);
    const auto inheritedLeaseEnd = m_leadershipStartedAt + longestLease + m_options.margin;
    for (const auto& [boot, runs] : table.runsByWorker()) {
        const auto found = m_sessions.find(boot.worker);
        const bool isCurrent = found != m_sessions.end() && m_views.at(boot.worker).boot == boot;
        // Also a worker that has reported may hold a later grant of the former leader, if its first report was held up.
        const auto end = isCurrent && found->second.hasLists
            ? std::max(latestLeaseEnd(found->second), inheritedLeaseEnd)
            : inheritedLeaseEnd;
        if (now <= end)
            continue;
        auto released = releaseRunsOf(boot, table);
        if (found != m_sessions.end())
            std::erase_if(released, [&](const released_run& each) {
                return found->second.inheritedRuns.contains({ each.task, each.run });
            });
        awaitRefusals(boot, released, now);
        out.insert(out.end(), released.begin(), released.end());
    }
    for (const auto& each : out)
        m_givenUp.insert({ each.task, each.run });
    return out;
}

void worker_registry::eraseLateStarts(instant now)
{
    for (auto& [boot, starts] : m_lateStarts)
        std::erase_if(starts, [now](const auto& start) { return now > start.second; });
    std::erase_if(m_lateStarts, [](const auto& item) { return item.second.empty(); });
}

void worker_registry::eraseFinishedRuns(const job_table& table)
{
    const auto isOver = [&table](const run_key& run) {
        const auto* unit = table.findUnit(run.task);
        return unit == nullptr || !unit->isActive() || unit->lastRun != run.run;
    };
    std::erase_if(m_stopping, isOver);
    std::erase_if(m_givenUp, isOver);
    for (auto& [id, workerSession] : m_sessions) {
        std::erase_if(workerSession.startUntilMs, [&isOver](const auto& item) { return isOver(item.first); });
        std::erase_if(workerSession.inheritedRuns, isOver);
    }
}

/// Speeds of workers from tasks that are done and from those that have come far enough.
void worker_registry::updateSlowness(const job_table& table)
{
    std::vector<speed_sample> running;
    for (const auto& [id, view] : m_views) {
        for (const auto& [task, seen] : view.running) {
            const auto* job = table.find(task.job);
            if (job == nullptr || task.step >= job->spec.steps.size()
                || seen.percent - seen.startPercent < minimumSamplePercent)
                continue;
            const auto& step = job->spec.steps[task.step];
            const auto runTime = measuredRunTime(seen);
            if (runTime && !step.gang && !step.longRunning && step.count > 1)
                running.push_back({ view.boot, task, *runTime });
        }
    }
    const auto slowness = table.speeds().fit(running);
    for (auto& [id, view] : m_views) {
        const auto found = slowness.find(view.boot);
        view.slowness = found == slowness.end() ? 1 : found->second;
    }
}

void worker_registry::updateSpeeds(const job_table& table)
{
    const auto& history = table.speedHistory();
    m_progressSpeeds.update(table, m_views);
    double weightedLogs = 0;
    double weights = 0;
    for (auto& [id, view] : m_views) {
        view.speed = combine(history.model().find(view.boot), m_progressSpeeds.model().find(view.boot));
        weightedLogs += view.speed.certainty * std::log(view.speed.slowness);
        weights += view.speed.certainty;
    }
    // Samples tell only relative speeds: the mean of all workers counts as ordinary.
    const double factor = weights > 0 ? std::exp(-weightedLogs / weights) : 1;
    for (auto& [id, view] : m_views)
        view.speed.slowness = 1 + (view.speed.slowness * factor - 1) * (view.speed.certainty > 0 ? 1 : 0);
}

void worker_registry::updateAvoided(instant now)
{
    for (auto& [id, view] : m_views)
        view.avoidUntil = m_sessions.at(id).refusedUntil;
    if (m_failures.isEmpty())
        return;
    std::map<service_name, std::vector<worker_boot>> services;
    for (const auto& [id, view] : m_views)
        services[view.service].push_back(view.boot);
    for (const auto& [service, workers] : services) {
        for (const auto& [boot, until] : m_failures.avoidedWorkers(workers, now)) {
            auto& view = m_views.at(boot.worker);
            view.avoidUntil = std::max(view.avoidUntil, until);
        }
    }
}

const std::map<worker_id, worker_view>& worker_registry::workerViews(const job_table& table, instant now)
{
    if (now - m_slownessUpdatedAt >= slownessUpdateInterval) {
        m_slownessUpdatedAt = now;
        updateSlowness(table);
        updateSpeeds(table);
    }
    updateAvoided(now);
    for (auto& [id, view] : m_views) {
        const auto& workerSession = m_sessions.at(id);
        view.isReachable = workerSession.hasLists && now - workerSession.lastTimelyReportAt < m_options.reachableTimeout
            && !mayStartLate(view.boot);
        view.isSilent = now - workerSession.lastContactAt >= m_options.silenceTimeout;
    }
    return m_views;
}

} // namespace poplardeal
