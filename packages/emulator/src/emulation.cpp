#include "emulation.h"
#include <algorithm>

namespace poplardeal::emulator {

namespace {

    constexpr duration planInterval = std::chrono::milliseconds(200);
    constexpr duration probeInterval = std::chrono::milliseconds(300); ///< Of a sidecar to its leader.
    constexpr duration leaderTick = std::chrono::milliseconds(100);
    constexpr std::int64_t bootIntervalMs = 1000; ///< Between the start times of two boots of one worker.

    duration scaled(duration d, double factor)
    {
        return duration(static_cast<duration::rep>(static_cast<double>(d.count()) * factor));
    }

    double seconds(duration d) { return std::chrono::duration<double>(d).count(); }

    run_key keyOf(const task_key& task, const simulated_run& run) { return { task, run.run }; }

} // namespace

emulation::emulation(const scenario& load, const planner_options& options, std::uint64_t seed)
    : m_load(load)
    , m_random(seed)
    , m_start(instantFromMicros(1'000'000'000))
    , m_events(m_start)
    , m_leader(m_events, m_table, options, {}, load.cluster.commitDelay, 1)
{
    m_leader.onSend([this](std::uint64_t, const worker_instructions& orders) { deliver(orders); });
    m_leader.onEndsRecorded([this](const record_ends& recorded) {
        for (const auto& each : recorded.ends)
            noteFinished(each.task.job);
    });
    acceptPlan();
    addWorkers();
    m_jobs = drawJobs(load, m_start + std::chrono::seconds(1), m_random);
    for (std::size_t i = 0; i < m_jobs.size(); ++i) {
        m_jobIndex[m_jobs[i].id] = i;
        m_events.at(m_jobs[i].arrivesAt, [this, i] { submit(m_jobs[i]); });
    }
    for (const auto& each : load.disturbances)
        scheduleDisturbance(each);
    m_events.every(planInterval, [this] { m_leader.plan(); });
    m_events.every(probeInterval, [this] {
        for (const auto& worker : m_workers) {
            if (worker.isUp && !worker.isSilent(now()))
                m_leader.recordContact(worker.boot.worker);
        }
    });
    m_events.every(leaderTick, [this] { m_leader.releaseExpired(); });
}

void emulation::acceptPlan()
{
    queue_plan plan;
    plan.version = plan_version(1);
    plan.pools = { { service_name("desk"), true, false } };
    for (const auto& kind : m_load.kinds) {
        queue_spec queue;
        queue.name = queue_name(kind.queue);
        queue.host = "example";
        queue.pathPrefix = "/" + kind.queue + "/";
        queue.service = service_name("desk");
        queue.priority = kind.priority;
        queue.attempts = kind.attempts;
        queue.stretch = kind.stretch;
        queue.allowance = kind.allowance;
        queue.timeout = std::chrono::seconds(3);
        plan.queues.push_back(std::move(queue));
    }
    const auto total = static_cast<double>(m_load.cluster.workers)
        * static_cast<double>(m_load.cluster.capacity.accelerator.count());
    for (std::size_t i = 0; i < m_load.workspaces; ++i) {
        const double share = m_load.guaranteedShare * total / static_cast<double>(m_load.workspaces);
        plan.workspaces.push_back({ workspace_name("w" + std::to_string(i)), { api_key("k" + std::to_string(i)) },
            accelerators(static_cast<std::int64_t>(share)) });
    }
    apply(accept_plan { std::move(plan) });
}

void emulation::addWorkers()
{
    for (std::size_t i = 0; i < m_load.cluster.workers; ++i) {
        simulated_worker worker;
        worker.boot = { worker_id("i-" + std::to_string(i)), 1 };
        worker.address = "10.0.0." + std::to_string(i) + ":80";
        worker.rack = rack_name("r" + std::to_string(i / m_load.cluster.workersPerRack));
        worker.capacity = m_load.cluster.capacity;
        worker.slowness = drawUniform(m_random) < m_load.cluster.slowShare ? m_load.cluster.slowness : 1;
        m_workerIndex[worker.boot.worker] = i;
        m_workers.push_back(std::move(worker));
        scheduleReport(i, scaled(m_load.cluster.busyReportInterval, drawUniform(m_random)));
    }
}

std::vector<std::size_t> emulation::drawWorkers(double share)
{
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        if (drawUniform(m_random) < share)
            out.push_back(i);
    }
    return out;
}

void emulation::scheduleDisturbance(const disturbance& each)
{
    if (each.kind == disturbance_kind::burst)
        return; // Part of the arrivals.
    const auto begin = m_start + std::chrono::seconds(1) + each.at;
    for (const auto worker : drawWorkers(each.share)) {
        m_events.at(begin, [this, worker, each] {
            auto& affected = m_workers[worker];
            switch (each.kind) {
            case disturbance_kind::burst:
                return;
            case disturbance_kind::workers_cut_off:
                affected.silentUntil = now() + each.length;
                return;
            case disturbance_kind::workers_leave:
                affected.leavesAt = now() + each.length;
                scheduleReport(worker, duration::zero());
                m_events.at(affected.leavesAt, [this, worker] {
                    loseRuns(worker);
                    auto gone = m_workers[worker].status(now(), m_load.cluster.checkpointInterval);
                    gone.isGone = true;
                    gone.hasLists = false;
                    m_workers[worker].isUp = false;
                    after(m_load.cluster.networkDelay, [this, gone] { m_leader.handleReport(gone); });
                });
                return;
            case disturbance_kind::workers_crash:
                loseRuns(worker);
                affected.isUp = false;
                after(each.length, [this, worker] {
                    auto& returning = m_workers[worker];
                    returning.isUp = true;
                    returning.boot.startedAtMs += bootIntervalMs;
                    returning.ended.clear();
                    returning.refusing.clear();
                    returning.lastEnd = 0;
                    scheduleReport(worker, duration::zero());
                });
                return;
            }
        });
    }
}

emulation_result emulation::run()
{
    const auto end = m_start + std::chrono::seconds(1) + m_load.length + m_load.settleTime;
    m_events.runUntil(end);
    return summarize();
}

apply_outcome emulation::apply(job_command_body body) { return m_table.apply({ now(), std::move(body) }); }

void emulation::submit(const emulated_job& job)
{
    after(m_load.cluster.commitDelay, [this, &job] {
        apply(accept_submission { job.id, queue_name(m_load.kinds[job.kind].queue), job.workspace, job.spec });
        m_leader.schedulePlan();
    });
}

void emulation::noteFinished(const submission_id& id)
{
    const auto* job = m_table.find(id);
    if (job != nullptr && job->phase == submission_phase::completed)
        m_finished.emplace(id, now());
}

void emulation::deliver(const worker_instructions& orders)
{
    const auto index = m_workerIndex.at(orders.boot.worker);
    if (m_workers[index].isSilent(now()))
        return;
    after(m_load.cluster.networkDelay, [this, index, orders] {
        if (m_workers[index].isUp && m_workers[index].boot == orders.boot)
            carryOut(index, orders);
    });
}

void emulation::scheduleReport(std::size_t worker, duration wait)
{
    const auto number = ++m_workers[worker].reportNumber;
    after(wait, [this, worker, number] {
        auto& from = m_workers[worker];
        if (!from.isUp || from.reportNumber != number)
            return;
        const auto& shape = m_load.cluster;
        if (!from.isSilent(now()))
            after(shape.networkDelay,
                [this, status = from.status(now(), shape.checkpointInterval)] { m_leader.handleReport(status); });
        scheduleReport(worker, from.running.empty() ? shape.idleReportInterval : shape.busyReportInterval);
    });
}

void emulation::carryOut(std::size_t worker, const worker_instructions& orders)
{
    auto& self = m_workers[worker];
    std::erase_if(self.ended, [&](const task_end& each) { return each.number <= orders.acknowledged; });
    const std::set<run_key> stops(orders.stops.begin(), orders.stops.end());
    std::erase_if(self.refusing, [&](const run_key& each) { return !stops.contains(each); });
    for (const auto& run : stops)
        stopRun(worker, run);
    for (const auto& start : orders.starts)
        startRun(worker, start);
}

void emulation::startRun(std::size_t worker, const start_instruction& start)
{
    auto& self = m_workers[worker];
    const auto& task = start.run.task;
    const auto hasEnded = std::any_of(self.ended.begin(), self.ended.end(),
        [&](const task_end& each) { return each.task == task && each.run == start.run.run; });
    if (hasEnded || self.refusing.contains(start.run) || self.running.contains(task)
        || toMicros(now()) / 1000 >= start.untilMs)
        return;
    for (const auto& other : m_workers)
        m_result.doubleRuns += other.isUp && other.running.contains(task) ? 1 : 0;
    const auto& job = m_jobs[m_jobIndex.at(task.job)];
    const auto& kind = m_load.kinds[job.kind];
    simulated_run run;
    run.run = start.run.run;
    run.startedAt = now();
    run.resumedFrom = decodeProgress(start.saved);
    run.restoreTime = run.resumedFrom > 0 ? m_load.cluster.restoreTime : duration::zero();
    run.fullTime = scaled(job.runTimes[task.index], self.slowness);
    run.isCheckpointable = job.spec.steps[0].checkpointable;
    run.weight = coreWeight(job.spec.steps[0].need);
    if (drawUniform(m_random) < kind.failureShare) {
        run.endsAs = end_kind::failed;
        run.fullTime = scaled(run.fullTime, std::max(drawUniform(m_random), 0.05));
    }
    self.running[task] = run;
    const auto* submitted = m_table.find(task.job);
    if (submitted->spec.steps[0].gang)
        beginGang(*submitted, start.run);
    else
        beginWork(worker, task);
    scheduleReport(worker, std::chrono::milliseconds(2));
}

void emulation::beginWork(std::size_t worker, const task_key& task)
{
    auto& run = m_workers[worker].running.at(task);
    run.workBeganAt = now();
    const auto ends = now() + run.restoreTime + scaled(run.fullTime, 1 - run.resumedFrom);
    run.endsAt = std::max(run.endsAt == instant::max() ? ends : run.endsAt, ends);
    m_events.at(ends, [this, worker, key = keyOf(task, run), as = run.endsAs] { endRun(worker, key, as); });
}

/// The members of a gang begin when all of them are there, and end together.
void emulation::beginGang(const submission& job, const run_key& any)
{
    const auto& step = job.spec.steps[0];
    std::vector<std::pair<std::size_t, task_key>> members;
    for (std::uint32_t i = 0; i < step.count; ++i) {
        const task_key task { job.id, 0, 0, i };
        for (std::size_t w = 0; w < m_workers.size(); ++w) {
            const auto found = m_workers[w].running.find(task);
            if (found != m_workers[w].running.end() && found->second.run == any.run && !found->second.isStopping)
                members.emplace_back(w, task);
        }
    }
    if (members.size() < step.count)
        return;
    auto last = now();
    for (const auto& [worker, task] : members) {
        auto& run = m_workers[worker].running.at(task);
        run.workBeganAt = now();
        const auto ends = now() + run.restoreTime + scaled(run.fullTime, 1 - run.resumedFrom);
        if (run.endsAs == end_kind::failed)
            m_events.at(
                ends, [this, w = worker, key = run_key { task, any.run }] { endRun(w, key, end_kind::failed); });
        last = std::max(last, ends);
    }
    m_events.at(last, [this, members, run = any.run] {
        const bool isWhole = std::all_of(members.begin(), members.end(), [&](const auto& member) {
            const auto& running = m_workers[member.first].running;
            const auto found = running.find(member.second);
            return found != running.end() && found->second.run == run && !found->second.isStopping;
        });
        for (const auto& [worker, task] : members) {
            if (isWhole)
                endRun(worker, { task, run }, end_kind::done);
        }
    });
}

void emulation::stopRun(std::size_t worker, const run_key& run)
{
    auto& self = m_workers[worker];
    const auto found = self.running.find(run.task);
    const bool isThere = found != self.running.end() && found->second.run == run.run;
    const bool hasEnded = std::any_of(self.ended.begin(), self.ended.end(),
        [&](const task_end& each) { return each.task == run.task && each.run == run.run; });
    if (!isThere) {
        if (!hasEnded && self.refusing.insert(run).second)
            scheduleReport(worker, std::chrono::milliseconds(2));
        return;
    }
    if (std::exchange(found->second.isStopping, true))
        return;
    const auto& shape = m_load.cluster;
    const auto wait = shape.minStopTime + scaled(shape.maxStopTime - shape.minStopTime, drawUniform(m_random));
    after(wait, [this, worker, run] { endRun(worker, run, end_kind::stopped); });
}

void emulation::endRun(std::size_t worker, const run_key& run, end_kind kind)
{
    auto& self = m_workers[worker];
    const auto found = self.running.find(run.task);
    if (!self.isUp || found == self.running.end() || found->second.run != run.run)
        return;
    const auto& ended = found->second;
    checkpoint saved;
    if (kind == end_kind::done) {
        m_result.usefulWork += ended.weight * seconds(ended.fullTime);
    } else {
        const double share = ended.isCheckpointable && kind == end_kind::stopped ? ended.progress(now()) : 0;
        saved = share > 0 ? encodeProgress(share) : checkpoint();
        countWaste(ended, share);
    }
    self.ended.push_back({ ++self.lastEnd, run.task, run.run, kind, saved });
    self.running.erase(found);
    scheduleReport(worker, std::chrono::milliseconds(2));
}

void emulation::countWaste(const simulated_run& run, double savedShare)
{
    const double kept = std::max(0.0, savedShare - run.resumedFrom) * seconds(run.fullTime);
    m_result.wastedWork += run.weight * std::max(0.0, seconds(now() - run.startedAt) - kept);
}

void emulation::loseRuns(std::size_t worker)
{
    for (const auto& [task, run] : m_workers[worker].running)
        countWaste(run, run.resumedFrom);
    m_workers[worker].running.clear();
}

emulation_result emulate(const scenario& load, const planner_options& options, std::uint64_t seed)
{
    return emulation(load, options, seed).run();
}

} // namespace poplardeal::emulator
