#include "idle_cluster.h"
#include "job_source.h"
#include <algorithm>
#include <array>
#include <cstdio>

namespace poplardeal::emulator {

namespace {

    using namespace std::chrono_literals;

    constexpr duration commitDelay = 9ms;
    constexpr duration networkDelay = 1ms;
    constexpr duration planInterval = 200ms;
    constexpr duration reportInterval = 250ms;
    constexpr duration stopTime = 100ms;
    constexpr duration checkInterval = 100ms;
    constexpr duration longestWait = 3s; ///< Platform figure.
    constexpr duration longestRestart = 6s; ///< Of a long-running task after its last run; platform figure.
    constexpr demand workerCapacity { millicores(128000), mebibytes(262144), accelerators(8) };

} // namespace

idle_cluster::idle_cluster(const idle_scenario& scenario, const planner_options& options)
    : m_scenario(scenario)
    , m_start(instantFromMicros(1'000'000'000))
    , m_events(m_start)
    , m_leader(m_events, m_table, options, {}, commitDelay, 1)
{
    m_leader.onSend([this](std::uint64_t, const worker_instructions& orders) {
        m_events.after(networkDelay, [this, orders] { deliver(orders); });
    });
    acceptPlan();
    addWorkers();
    m_jobs.resize(scenario.jobs.size());
    m_result.startsByJob.resize(scenario.jobs.size());
    for (std::size_t i = 0; i < scenario.jobs.size(); ++i) {
        std::array<char, 17> id {};
        std::snprintf(id.data(), id.size(), "%016zx", i);
        m_jobs[i] = submission_id(id.data());
        m_events.at(m_start + scenario.jobs[i].at, [this, i] { submit(i); });
    }
    for (const auto& loss : scenario.losses)
        m_events.at(m_start + loss.at, [this, worker = loss.worker] { lose(worker); });
    m_events.every(planInterval, [this] {
        m_leader.releaseExpired();
        m_leader.plan();
    });
    m_events.every(checkInterval, [this] { check(); });
}

void idle_cluster::acceptPlan()
{
    queue_plan plan;
    plan.version = plan_version(1);
    plan.pools = { { service_name("desk"), true, false } };
    for (const std::uint32_t priority : { 0U, 1U, 2U }) {
        queue_spec queue;
        queue.name = queue_name("q" + std::to_string(priority));
        queue.host = "example";
        queue.pathPrefix = "/" + queue.name.value() + "/";
        queue.service = service_name("desk");
        queue.priority = priority;
        queue.attempts = 3;
        queue.stretch = 3;
        queue.timeout = 3s;
        plan.queues.push_back(std::move(queue));
    }
    plan.workspaces.push_back({ workspace_name("w"), { api_key("k") }, accelerators(0) });
    m_table.apply({ m_events.now(), accept_plan { std::move(plan) } });
}

void idle_cluster::addWorkers()
{
    for (std::size_t i = 0; i < m_scenario.workers; ++i) {
        simulated_worker worker;
        worker.boot = { worker_id("i-" + std::to_string(i)), 1 };
        worker.address = "10.0.0." + std::to_string(i) + ":80";
        worker.rack = rack_name("r" + std::to_string(i / m_scenario.workersPerRack));
        worker.capacity = workerCapacity;
        m_workers.push_back(std::move(worker));
        report(i);
        m_events.every(reportInterval, [this, i] { report(i); });
    }
}

void idle_cluster::submit(std::size_t job)
{
    const auto& source = m_scenario.jobs[job];
    submission_spec spec;
    spec.payload = "payload";
    spec.steps = { source.step };
    m_table.apply({ m_events.now(),
        accept_submission {
            m_jobs[job], queue_name("q" + std::to_string(source.priority)), workspace_name("w"), spec } });
    m_leader.schedulePlan();
}

void idle_cluster::report(std::size_t worker)
{
    auto& from = m_workers[worker];
    if (!from.isUp)
        return;
    m_events.after(networkDelay, [this, id = from.boot.worker, status = from.status(m_events.now(), 1s)] {
        m_leader.recordContact(id);
        m_leader.handleReport(status);
    });
}

void idle_cluster::lose(std::size_t worker)
{
    m_workers[worker].isUp = false;
    m_workers[worker].running.clear();
}

void idle_cluster::deliver(const worker_instructions& orders)
{
    const auto found = std::find_if(
        m_workers.begin(), m_workers.end(), [&](const simulated_worker& each) { return each.boot == orders.boot; });
    if (found == m_workers.end() || !found->isUp)
        return;
    const auto index = static_cast<std::size_t>(found - m_workers.begin());
    std::erase_if(found->ended, [&](const task_end& each) { return each.number <= orders.acknowledged; });
    const std::set<run_key> stops(orders.stops.begin(), orders.stops.end());
    std::erase_if(found->refusing, [&](const run_key& each) { return !stops.contains(each); });
    for (const auto& run : stops)
        stop(index, run);
    for (const auto& each : orders.starts)
        begin(index, each);
}

void idle_cluster::begin(std::size_t worker, const start_instruction& order)
{
    auto& self = m_workers[worker];
    const auto& task = order.run.task;
    const bool hasEnded = std::any_of(self.ended.begin(), self.ended.end(),
        [&](const task_end& each) { return each.task == task && each.run == order.run.run; });
    if (hasEnded || self.running.contains(task) || self.refusing.contains(order.run))
        return;
    const auto job = static_cast<std::size_t>(std::stoul(task.job.value(), nullptr, 16));
    const auto& source = m_scenario.jobs[job];
    const auto& bad = m_scenario.badWorkers;
    const bool fails = source.fails || std::find(bad.begin(), bad.end(), worker) != bad.end();
    simulated_run run;
    run.run = order.run.run;
    run.startedAt = m_events.now();
    run.workBeganAt = m_events.now();
    run.fullTime = source.runTime;
    self.running[task] = run;
    ++m_result.starts;
    ++m_result.startsByJob[job];
    if (fails || !source.step.longRunning)
        m_events.after(source.runTime,
            [this, worker, key = order.run, fails] { end(worker, key, fails ? end_kind::failed : end_kind::done); });
    report(worker);
}

void idle_cluster::end(std::size_t worker, const run_key& run, end_kind kind)
{
    auto& self = m_workers[worker];
    const auto found = self.running.find(run.task);
    if (!self.isUp || found == self.running.end() || found->second.run != run.run)
        return;
    self.running.erase(found);
    self.ended.push_back({ ++self.lastEnd, run.task, run.run, kind, {} });
    report(worker);
}

void idle_cluster::stop(std::size_t worker, const run_key& run)
{
    auto& self = m_workers[worker];
    const auto found = self.running.find(run.task);
    if (found != self.running.end() && found->second.run == run.run) {
        if (!std::exchange(found->second.isStopping, true))
            m_events.after(stopTime, [this, worker, run] { end(worker, run, end_kind::stopped); });
        return;
    }
    const bool hasEnded = std::any_of(self.ended.begin(), self.ended.end(),
        [&](const task_end& each) { return each.task == run.task && each.run == run.run; });
    if (!hasEnded && self.refusing.insert(run).second)
        report(worker);
}

demand idle_cluster::freeOn(const simulated_worker& worker) const
{
    auto out = worker.capacity;
    for (const auto& [task, run] : worker.running)
        out -= m_table.find(task.job)->spec.steps[task.step].need;
    return out;
}

bool idle_cluster::isSound(const simulated_worker& worker) const
{
    const auto& bad = m_scenario.badWorkers;
    const auto number = static_cast<std::size_t>(&worker - m_workers.data());
    return worker.isUp && std::find(bad.begin(), bad.end(), number) == bad.end();
}

bool idle_cluster::hasRoom(const demand& need, std::size_t tasks) const
{
    std::size_t slots = 0;
    for (const auto& worker : m_workers) {
        auto free = freeOn(worker);
        for (; isSound(worker) && need.fitsIn(free) && slots < tasks; ++slots)
            free -= need;
    }
    return slots >= tasks;
}

bool idle_cluster::isUnderHalfUsed() const
{
    std::int64_t total = 0;
    std::int64_t free = 0;
    for (const auto& worker : m_workers) {
        if (!worker.isUp)
            continue;
        total += worker.capacity.accelerator.count();
        free += freeOn(worker).accelerator.count();
    }
    return 2 * free > total;
}

void idle_cluster::checkWait(const task_key& first, bool isKeptWaiting)
{
    auto& begun = m_waiting[first];
    if (!isKeptWaiting) {
        begun.reset();
        return;
    }
    if (!begun)
        begun = m_events.now();
    if (m_events.now() - *begun < longestWait)
        return;
    begun = m_events.now();
    const auto seconds = std::chrono::duration<double>(m_events.now() - m_start).count();
    m_result.violations.push_back(std::to_string(seconds) + " waits beside ample room: " + toString(first));
}

void idle_cluster::checkUnit(const submission& job, const task_key& first, const unit& waiting)
{
    const auto& step = job.spec.steps[first.step];
    const bool isDue
        = !step.longRunning || waiting.lastRun.value() == 0 || m_events.now() - waiting.waitingSince >= longestRestart;
    checkWait(first,
        waiting.phase == unit_phase::waiting && isDue && !job.isTerminal()
            && hasRoom(step.need, 2 * std::size_t { memberCount(step) })
            && (step.longRunning || (isUnderHalfUsed() && !job.hasActiveUnits())));
}

void idle_cluster::check()
{
    for (const auto& id : m_jobs) {
        const auto* job = m_table.find(id);
        if (job == nullptr)
            continue;
        const auto& units = job->occurrences[0].steps[0].units;
        for (std::uint32_t u = 0; u < units.size(); ++u)
            checkUnit(*job, { id, 0, 0, u }, units[u]);
    }
}

idle_result idle_cluster::run()
{
    m_events.runUntil(m_start + m_scenario.length);
    return m_result;
}

idle_result playIdle(const idle_scenario& scenario, const planner_options& options)
{
    return idle_cluster(scenario, options).run();
}

idle_scenario drawIdleScenario(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto below = [&random](std::size_t size) {
        return static_cast<std::size_t>(drawUniform(random) * static_cast<double>(size));
    };
    const auto milliseconds = [&](std::size_t from, std::size_t to) -> duration {
        return std::chrono::milliseconds(from + below(to - from));
    };
    idle_scenario out;
    out.workers = 2 + below(9);
    const auto jobs = 1 + below(12);
    for (std::size_t i = 0; i < jobs; ++i) {
        idle_job job;
        job.at = milliseconds(500, 20000);
        job.priority = 1 + static_cast<std::uint32_t>(below(2));
        job.step.need = { millicores(1000), mebibytes(1000), accelerators(static_cast<std::int64_t>(1 + below(8))) };
        job.step.count = 1 + static_cast<std::uint32_t>(below(out.workers));
        job.step.gang = below(3) == 0;
        job.step.longRunning = below(4) == 0;
        job.runTime = milliseconds(200, below(4) == 0 ? 60000 : 6000);
        // Declared times are missing, right, or wrong by a factor of up to 4.
        const auto declared = below(4);
        job.step.estimate = declared == 0 ? duration::zero() : declared == 1 ? job.runTime / 4 : job.runTime;
        job.fails = below(5) == 0;
        out.jobs.push_back(std::move(job));
    }
    for (std::size_t i = 0; i < below(3); ++i)
        out.losses.push_back({ milliseconds(2000, 25000), below(out.workers) });
    if (below(4) == 0)
        out.badWorkers.push_back(below(out.workers));
    return out;
}

} // namespace poplardeal::emulator
