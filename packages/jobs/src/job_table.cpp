#include <algorithm>
#include <cmath>
#include <limits>
#include <poplardeal/jobs/job_table.h>
#include <utility>

namespace poplardeal {

/// Of an allocation, in bytes.
static constexpr std::size_t allocationOverhead = 16;

std::uint32_t memberCount(const step_spec& step) { return step.gang ? step.count : 1; }
std::uint32_t unitIndexOf(const step_spec& step, std::uint32_t taskIndex) { return step.gang ? 0 : taskIndex; }
std::uint32_t memberIndexOf(const step_spec& step, std::uint32_t taskIndex) { return step.gang ? taskIndex : 0; }
std::uint32_t taskIndexOf(const step_spec& step, std::uint32_t unitIndex, std::uint32_t member)
{
    return step.gang ? member : unitIndex;
}

instant dueTime(const submission_spec& spec, std::uint32_t occurrence)
{
    if (spec.occurrences == 0)
        return {};
    return instantFromMicros((spec.firstDueMs + static_cast<std::int64_t>(occurrence) * spec.intervalMs) * 1000);
}

std::size_t footprintOf(const submission_spec& spec)
{
    std::size_t steps = 0;
    for (const auto& step : spec.steps)
        steps += sizeof(step_spec) + step.after.size() * sizeof(std::uint32_t) + step.requiredLabel.value().size()
            + step.affinity.value().size() + step.image.size() + allocationOverhead;
    using item = occurrence_list<job_occurrence>::shared_occurrence;
    return sizeof(submission) + spec.payload.size() + steps + std::max(spec.occurrences, 1U) * sizeof(item)
        + occurrenceFootprint(spec);
}

std::size_t occurrenceFootprint(const submission_spec& spec)
{
    std::size_t out = sizeof(job_occurrence) + 2 * allocationOverhead;
    for (const auto& step : spec.steps)
        out += sizeof(step_state) + (step.gang ? 1 : step.count) * sizeof(unit) + allocationOverhead;
    return out;
}

bool job_occurrence::isDone() const
{
    return std::all_of(steps.begin(), steps.end(), [](const step_state& step) { return step.isDone(); });
}

static std::uint32_t countActiveUnits(const submission& job)
{
    std::uint32_t out = 0;
    for (const auto& occurrence : job.occurrences) {
        for (const auto& step : occurrence.steps)
            out += static_cast<std::uint32_t>(
                std::count_if(step.units.begin(), step.units.end(), [](const unit& u) { return u.isActive(); }));
    }
    return out;
}

apply_outcome job_table::apply(const job_command& command)
{
    pruneEndedJobs(command.at);
    return std::visit([this, &command](const auto& body) { return applyBody(body, command.at); }, command.body);
}

apply_outcome job_table::applyBody(const accept_plan& command, instant)
{
    if (command.plan.version <= m_plan.version)
        return apply_outcome::unchanged;
    m_plan = command.plan;
    m_planIndex = plan_index(m_plan);
    return apply_outcome::applied;
}

apply_outcome job_table::applyBody(const set_data_centre& command, instant)
{
    const bool changed = command.inService ? m_outOfService.erase(command.dataCentre) > 0
                                           : m_outOfService.insert(command.dataCentre).second;
    return changed ? apply_outcome::applied : apply_outcome::unchanged;
}

static job_occurrence makeOccurrence(const submission_spec& spec, instant at)
{
    job_occurrence out;
    for (const auto& step : spec.steps) {
        step_state state;
        state.units.resize(step.gang ? 1 : step.count);
        for (auto& each : state.units)
            each.waitingSince = at;
        out.steps.push_back(std::move(state));
    }
    return out;
}

apply_outcome job_table::applyBody(const accept_submission& command, instant at)
{
    if (m_jobs.contains(command.id))
        return apply_outcome::unchanged;
    const auto* queue = findQueue(command.queue);
    if (queue == nullptr)
        return apply_outcome::refused;
    submission job;
    job.id = command.id;
    job.queue = command.queue;
    job.service = queue->service;
    job.workspace = command.workspace;
    job.priority = queue->priority;
    job.attempts = queue->attempts;
    job.stretch = queue->stretch;
    job.allowance = queue->allowance;
    job.needsAdvice = queue->needsAdvice;
    job.spec = command.spec;
    job.acceptedAt = at;
    job.sequence = ++m_sequence;
    job.occurrences = { std::max(command.spec.occurrences, 1U), makeOccurrence(command.spec, at) };
    m_open.insert(job.id);
    addFootprint(job, footprintOf(job.spec));
    m_jobs.emplace(job.id, std::move(job));
    return apply_outcome::applied;
}

apply_outcome job_table::applyBody(const cancel_submission& command, instant at)
{
    const auto found = m_jobs.find(command.id);
    if (found == m_jobs.end())
        return apply_outcome::not_found;
    if (found->second.isTerminal())
        return apply_outcome::unchanged;
    endJob(found->second, submission_phase::cancelled, at);
    return apply_outcome::applied;
}

const submission* job_table::find(const submission_id& id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

const unit* job_table::findUnit(const task_key& task) const
{
    const auto* job = find(task.job);
    if (job == nullptr || task.occurrence >= job->occurrences.size() || task.step >= job->spec.steps.size()
        || task.index >= job->spec.steps[task.step].count)
        return nullptr;
    return &job->occurrences[task.occurrence]
                .steps[task.step]
                .units[unitIndexOf(job->spec.steps[task.step], task.index)];
}

unit* job_table::findMutableUnit(const task_key& task)
{
    if (findUnit(task) == nullptr)
        return nullptr;
    auto& job = m_jobs.at(task.job);
    if (job.occurrences.isShared(task.occurrence))
        addFootprint(job, occurrenceFootprint(job.spec));
    return &job.occurrences.own(task.occurrence)
                .steps[task.step]
                .units[unitIndexOf(job.spec.steps[task.step], task.index)];
}

void job_table::shareIfDone(submission& job, std::uint32_t occurrence)
{
    // Of two neighbours, the one that is done last meets the other one.
    for (const auto each : { occurrence, occurrence + 1 }) {
        if (each < job.occurrences.size() && job.occurrences[each].isDone() && job.occurrences.shareWithPrevious(each))
            subtractFootprint(job, occurrenceFootprint(job.spec));
    }
}

bool job_table::mayStart(const task_start& start) const
{
    const auto* job = find(start.task.job);
    const auto* found = findUnit(start.task);
    if (job == nullptr || found == nullptr || job->isTerminal())
        return false;
    if (found->phase != unit_phase::waiting || start.run <= found->lastRun)
        return false;
    const auto& steps = job->occurrences[start.task.occurrence].steps;
    const auto& after = job->spec.steps[start.task.step].after;
    return std::all_of(after.begin(), after.end(), [&steps](std::uint32_t earlier) { return steps[earlier].isDone(); });
}

/// Records all starts or none: the proposer sends start orders only for a command that was applied completely.
apply_outcome job_table::applyBody(const start_tasks& command, instant at)
{
    if (!std::all_of(command.starts.begin(), command.starts.end(), [this](const auto& s) { return mayStart(s); }))
        return apply_outcome::refused;
    for (const auto& start : command.starts) {
        auto& job = m_jobs.at(start.task.job);
        const auto& spec = job.spec.steps[start.task.step];
        auto& started = *findMutableUnit(start.task);
        if (!started.isActive()) {
            started.phase = unit_phase::active;
            ++job.activeUnits;
            started.lastRun = start.run;
            started.runFailed = false;
            started.startedAt = at;
            started.isResumed = !started.saved.value().empty();
            started.members.assign(memberCount(spec), {});
        }
        started.members[memberIndexOf(spec, start.task.index)].worker = start.worker;
        if (m_runs[start.worker].insert({ start.task, start.run }).second) {
            m_usage.didStart(job.workspace, spec.need, at);
            m_interference.didBegin(start.worker, kindOf(job.queue, start.task.step, spec), at);
        }
        setAddress(start.worker, start.address);
        job.phase = submission_phase::running;
    }
    return apply_outcome::applied;
}

apply_outcome job_table::applyBody(const record_ends& command, instant at)
{
    for (const auto& end : command.ends) {
        if (const auto job = m_jobs.find(end.task.job); job != m_jobs.end())
            job->second.hasStarted = true; // Workers list only ends of runs that had begun.
        endMember(end.task, end.run, end.kind, end.saved, at);
    }
    return apply_outcome::applied;
}

apply_outcome job_table::applyBody(const release_runs& command, instant at)
{
    for (const auto& released : command.runs)
        endMember(released.task, released.run, end_kind::lease_expired, released.saved, at);
    return apply_outcome::applied;
}

apply_outcome job_table::applyBody(const record_begins& command, instant)
{
    for (const auto& id : command.jobs) {
        if (const auto found = m_jobs.find(id); found != m_jobs.end())
            found->second.hasStarted = true;
    }
    return apply_outcome::applied;
}

void job_table::endMember(const task_key& task, run_number run, end_kind kind, const checkpoint& saved, instant at)
{
    const auto* known = findUnit(task);
    if (known == nullptr || known->phase == unit_phase::done || !m_open.contains(task.job))
        return;
    auto& job = m_jobs.at(task.job);
    const auto& spec = job.spec.steps[task.step];
    const bool isCompletion = kind == end_kind::done && !spec.longRunning;
    if (!isCompletion && (!known->isActive() || run != known->lastRun))
        return;
    auto* ended = findMutableUnit(task);
    if (isCompletion)
        return endRun(job, task, *ended, true, at);
    if (!saved.value().empty())
        ended->saved = saved;
    ended->runFailed = ended->runFailed || kind == end_kind::failed;
    auto& member = ended->members[memberIndexOf(spec, task.index)];
    member.isOver = true;
    removeRun(member.worker, { task, run }, at);
    const bool over
        = std::all_of(ended->members.begin(), ended->members.end(), [](const unit_member& m) { return m.isOver; });
    if (over)
        endRun(job, task, *ended, false, at);
}

void job_table::recordRunTime(const submission& job, const task_key& task, const unit& done, instant at)
{
    const auto& spec = job.spec.steps[task.step];
    const auto& step = job.occurrences[task.occurrence].steps[task.step];
    const auto runTime = at - done.startedAt;
    if (!done.isActive() || done.isResumed)
        return;
    unit_sample sample { task, job.queue, {}, runTime, expectedRunTime(job, spec), m_runTimes.spread(job.queue) };
    for (const auto& member : done.members)
        sample.members.push_back(member.worker);
    m_speedHistory.observe(sample);
    // One measurement per step, when half of its units are done: the units that finish first are the short ones.
    if (step.doneUnits == (step.units.size() + 1) / 2)
        m_runTimes.observe(job.queue, spec.estimate, runTime);
    if (!spec.gang && step.units.size() > 1)
        m_speeds.observe({ done.members.front().worker, task, runTime });
}

duration job_table::ordinaryRunTime(const submission& job, const step_spec& step) const
{
    const double factor = std::exp(m_speedHistory.ordinaryLogRatio(job.queue));
    return duration(static_cast<duration::rep>(static_cast<double>(expectedRunTime(job, step).count()) * factor));
}

void job_table::recordNeighbours(const submission& job, const task_key& task, const unit& done, instant at)
{
    const auto& spec = job.spec.steps[task.step];
    if (!done.isActive() || done.isResumed || spec.gang || spec.longRunning || spec.count == 1)
        return;
    m_interference.didComplete({ task.job, task.occurrence, task.step }, done.members.front().worker,
        kindOf(job.queue, task.step, spec), done.startedAt, at);
}

void job_table::endRun(submission& job, const task_key& task, unit& ended, bool isDone, instant at)
{
    auto& step = job.occurrences.own(task.occurrence).steps[task.step];
    if (isDone)
        recordNeighbours(job, task, ended, at);
    removeRunsOfUnit(task, job.spec.steps[task.step], ended, at);
    job.activeUnits -= ended.isActive() ? 1 : 0;
    if (isDone) {
        ++step.doneUnits;
        recordRunTime(job, task, ended, at);
        const step_key done { task.job, task.occurrence, task.step };
        if (step.isDone() && m_interference.canCompare(done))
            m_interference.didCompleteStep(
                done, kindOf(job.queue, task.step, job.spec.steps[task.step]), m_speeds.fit({}));
    }
    ended.members.clear();
    if (isDone) {
        // Equal units take no room in a snapshot.
        unit done;
        done.phase = unit_phase::done;
        done.lastRun = ended.lastRun;
        done.failures = ended.failures;
        ended = std::move(done);
        const bool complete = std::all_of(
            job.occurrences.begin(), job.occurrences.end(), [](const job_occurrence& each) { return each.isDone(); });
        if (complete && !job.isTerminal())
            endJob(job, submission_phase::completed, at);
    } else {
        ended.phase = unit_phase::waiting;
        ended.waitingSince = at;
        if (ended.runFailed && !job.spec.steps[task.step].longRunning)
            ++ended.failures;
        if (ended.failures >= job.attempts && !job.isTerminal())
            endJob(job, submission_phase::failed, at);
        if (!job.hasStarted && job.phase == submission_phase::running && !job.hasActiveUnits())
            job.phase = submission_phase::queued;
    }
    if (m_open.contains(job.id))
        shareIfDone(job, task.occurrence);
    closeIfEnded(job);
}

const std::set<run_key>& job_table::runsOn(const worker_boot& boot) const
{
    static const std::set<run_key> none;
    const auto found = m_runs.find(boot);
    return found == m_runs.end() ? none : found->second;
}

void job_table::removeRun(const worker_boot& worker, const run_key& run, instant at)
{
    const auto found = m_runs.find(worker);
    if (found == m_runs.end())
        return;
    if (found->second.erase(run) > 0) {
        const auto& job = m_jobs.at(run.task.job);
        m_usage.didEnd(job.workspace, job.spec.steps[run.task.step].need, at);
        m_interference.didEnd(worker, kindOf(job.queue, run.task.step, job.spec.steps[run.task.step]), at);
    }
    if (!found->second.empty())
        return;
    m_runs.erase(found);
    if (const auto address = m_addresses.extract(worker))
        eraseAddress(address.mapped(), worker);
}

void job_table::eraseAddress(const std::string& address, const worker_boot& boot)
{
    const auto there = m_bootsByAddress.find(address);
    if (there == m_bootsByAddress.end())
        return;
    there->second.erase(boot);
    if (there->second.empty())
        m_bootsByAddress.erase(there);
}

void job_table::setAddress(const worker_boot& boot, const std::string& address)
{
    auto& known = m_addresses[boot];
    if (known != address)
        eraseAddress(std::exchange(known, address), boot);
    m_bootsByAddress[address].insert(boot);
}

std::vector<worker_boot> job_table::bootsWithRuns(const worker_id& id, const std::string& address) const
{
    std::vector<worker_boot> out;
    const worker_boot first { id, std::numeric_limits<std::int64_t>::min() };
    for (auto it = m_runs.lower_bound(first); it != m_runs.end() && it->first.worker == id; ++it)
        out.push_back(it->first);
    const auto there = m_bootsByAddress.find(address);
    if (there == m_bootsByAddress.end())
        return out;
    out.insert(out.end(), there->second.begin(), there->second.end());
    std::sort(out.begin(), out.end());
    out.erase(std::unique(out.begin(), out.end()), out.end());
    return out;
}

std::string job_table::addressOf(const worker_boot& boot) const
{
    const auto found = m_addresses.find(boot);
    return found == m_addresses.end() ? std::string() : found->second;
}

void job_table::removeRunsOfUnit(const task_key& any, const step_spec& step, const unit& ended, instant at)
{
    for (std::uint32_t m = 0; m < ended.members.size(); ++m) {
        auto task = any;
        task.index = taskIndexOf(step, unitIndexOf(step, any.index), m);
        removeRun(ended.members[m].worker, { task, ended.lastRun }, at);
    }
}

void job_table::indexRuns(const submission& job)
{
    for (std::uint32_t o = 0; o < job.occurrences.size(); ++o) {
        for (std::uint32_t s = 0; s < job.spec.steps.size(); ++s) {
            const auto& units = job.occurrences[o].steps[s].units;
            for (std::uint32_t u = 0; u < units.size(); ++u) {
                for (std::uint32_t m = 0; m < units[u].members.size(); ++m) {
                    const task_key task { job.id, o, s, taskIndexOf(job.spec.steps[s], u, m) };
                    if (units[u].members[m].isOver)
                        continue;
                    m_runs[units[u].members[m].worker].insert({ task, units[u].lastRun });
                    m_usage.restoreRun(job.workspace, job.spec.steps[s].need);
                }
            }
        }
    }
}

void job_table::endJob(submission& job, submission_phase phase, instant at)
{
    job.phase = phase;
    job.endedAt = at;
    m_interference.didEndJob(job.id);
    closeIfEnded(job);
}

void job_table::closeIfEnded(submission& job)
{
    if (!job.isTerminal() || job.hasActiveUnits() || m_open.erase(job.id) == 0)
        return;
    const auto bytes = job.footprint;
    subtractFootprint(job, bytes);
    retainOrDrop(job, bytes);
}

void job_table::retainOrDrop(submission& ended, std::size_t bytes)
{
    if (m_endedBytes + bytes <= maxEndedBytes) {
        ended.footprint = bytes;
        m_endedBytes += bytes;
        return;
    }
    ended.spec = {};
    ended.occurrences = {};
}

void job_table::addFootprint(submission& job, std::size_t bytes)
{
    job.footprint += bytes;
    m_footprints[job.workspace] += bytes;
    m_footprint += bytes;
}

void job_table::subtractFootprint(submission& job, std::size_t bytes)
{
    const auto found = m_footprints.find(job.workspace);
    job.footprint -= bytes;
    found->second -= bytes;
    m_footprint -= bytes;
    if (found->second == 0)
        m_footprints.erase(found);
}

std::size_t job_table::footprint(const workspace_name& workspace) const
{
    const auto found = m_footprints.find(workspace);
    return found == m_footprints.end() ? 0 : found->second;
}

void job_table::pruneEndedJobs(instant at)
{
    constexpr duration pruneInterval = std::chrono::seconds(10);
    if (at < m_prunedAt + pruneInterval)
        return;
    m_prunedAt = at;
    std::erase_if(m_jobs, [this, at](const auto& item) {
        const auto& job = item.second;
        if (!job.isTerminal() || job.endedAt + retention >= at || m_open.contains(item.first))
            return false;
        m_endedBytes -= job.footprint;
        return true;
    });
}

std::size_t job_table::pendingCount(const queue_name& queue, const std::set<submission_id>& begun) const
{
    return static_cast<std::size_t>(std::count_if(m_open.begin(), m_open.end(), [&](const submission_id& id) {
        const auto& job = m_jobs.at(id);
        return job.queue == queue && !job.hasStarted && !job.isTerminal() && !begun.contains(id);
    }));
}

void job_table::restoreJob(submission job)
{
    job.activeUnits = countActiveUnits(job);
    const auto& items = job.occurrences.items();
    std::size_t differing = 0;
    for (std::size_t o = 1; o < items.size(); ++o)
        differing += items[o] == items[o - 1] ? 0 : 1;
    const auto bytes = footprintOf(job.spec) + differing * occurrenceFootprint(job.spec);
    if (!job.isTerminal() || job.hasActiveUnits()) {
        m_open.insert(job.id);
        addFootprint(job, bytes);
    } else if (!items.empty()) {
        retainOrDrop(job, bytes);
    }
    indexRuns(job);
    m_jobs.emplace(job.id, std::move(job));
}

} // namespace poplardeal
