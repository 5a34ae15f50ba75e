#include "simulation.h"

#include <chrono>

namespace poplardeal::bench {

static constexpr duration urgentLimit = 5400ms;
static constexpr duration lateStartLimit = 3s;

simulation::simulation(scheduler& subject, const scenario& input)
    : m_subject(subject)
    , m_input(input)
    , m_now(instantFromMicros(1))
{
    for (const auto& spec : input.workers) {
        m_workerIndex[spec.id] = m_workers.size();
        m_workers.push_back({ spec });
    }
    for (std::size_t i = 0; i < input.submissions.size(); ++i)
        schedule(input.submissions[i].at, action::submit, i);
    for (const auto& cancelled : input.cancellations)
        schedule(cancelled.at, action::cancel, cancelled.id.value());
    for (std::size_t i = 0; i < input.changes.size(); ++i) {
        schedule(input.changes[i].out, action::centre_out, i);
        schedule(input.changes[i].in, action::centre_in, i);
    }
    for (const auto& outage : input.outages) {
        schedule(outage.at, action::worker_silent, outage.worker);
        schedule(outage.at + 20s, action::worker_gone, outage.worker);
        schedule(outage.back, action::worker_back, outage.worker);
    }
    schedule(m_now + 60s, action::sample, 0);
}

measurements simulation::run()
{
    apply(deployment_changed { m_input.plan });
    for (const auto& worker : m_workers)
        apply(worker_joined { worker.spec });
    while (!m_queue.empty()) {
        const auto due = m_queue.top();
        const auto deadline = m_subject.nextDeadline();
        if (std::min(due.at, deadline.value_or(due.at)) > m_input.end)
            break;
        if (deadline && *deadline < due.at) {
            m_now = std::max(m_now, *deadline);
            apply(time_passed {});
            continue;
        }
        m_queue.pop();
        m_now = std::max(m_now, due.at);
        perform(due);
    }
    return summarize();
}

void simulation::apply(const placement_event& event)
{
    const auto begin = std::chrono::steady_clock::now();
    const auto commands = m_subject.apply(event, m_now);
    const auto taken = std::chrono::steady_clock::now() - begin;
    m_decisions.push_back(std::chrono::duration<double, std::micro>(taken).count());
    execute(commands);
}

void simulation::execute(const std::vector<placement_command>& commands)
{
    std::map<job_id, std::int64_t> starts;
    for (const auto& command : commands) {
        if (const auto* prepare = std::get_if<prepare_task>(&command)) {
            const auto lease = prepare->lease.value();
            auto& task = m_tasks[lease];
            task.order = *prepare;
            task.worker = m_workerIndex.at(prepare->worker);
            for (const auto index : prepare->acceleratorIndexes)
                m_workers[task.worker].accelerators |= 1ULL << index;
            auto& job = m_jobs.at(prepare->task.job.value());
            if (job.attempt != prepare->task.attempt) {
                job.attempt = prepare->task.attempt;
                const auto byProgress = [](const auto& a, const auto& b) { return a.second < b.second; };
                if (std::ssize(job.taskProgress) == job.spec->tasks)
                    job.saved = std::ranges::min_element(job.taskProgress, byProgress)->second;
                job.taskProgress.clear();
            }
            task.saved = job.saved;
            task.progress = job.saved;
            schedule(m_now + 50ms, action::prepared, lease);
            continue;
        }
        std::visit(
            [&](const auto& order) {
                using kind = std::decay_t<decltype(order)>;
                if constexpr (std::is_same_v<kind, start_task>) {
                    ++starts[order.task.job];
                    schedule(m_now + 30ms, action::start, order.lease.value());
                } else if constexpr (std::is_same_v<kind, checkpoint_task>) {
                    schedule(m_now + 300ms, action::checkpoint, order.lease.value());
                } else if constexpr (std::is_same_v<kind, stop_task>) {
                    schedule(m_now + 200ms, action::stop, order.lease.value());
                } else if constexpr (std::is_same_v<kind, release_task>) {
                    schedule(m_now + 50ms, action::release, order.lease.value());
                }
            },
            command);
    }
    for (const auto& [job, count] : starts)
        m_result.partialGangs += count != m_jobs.at(job.value()).spec->tasks ? 1 : 0;
}

bool simulation::isFaulty(std::size_t worker) const
{
    return std::ranges::any_of(m_input.faults,
        [&](const auto& fault) { return fault.worker == worker && fault.from <= m_now && m_now < fault.to; });
}

/// True if the guarantee of the workspace is idle enough for the job and nothing is missing from the cluster.
bool simulation::expectsGuarantee(const submission& input) const
{
    const auto owner = std::ranges::find(m_input.plan.workspaces, input.workspace, &workspace::name);
    const auto spec = std::ranges::find(owner->jobs, input.job, &job_template::name);
    if (spec->priority != job_priority::guaranteed || !m_outSince.empty())
        return false;
    const auto isDisturbed = [&](const worker_state& w) { return w.silent || w.gone; };
    if (std::ranges::any_of(m_workers, isDisturbed))
        return false;
    for (const auto& fault : m_input.faults) {
        if (fault.from <= m_now && m_now < fault.to + 10min)
            return false;
    }
    std::int64_t used = spec->tasks * spec->perTask.accelerator.count();
    for (const auto& [id, job] : m_jobs) {
        if (job.input->workspace == input.workspace && !job.endedAt && job.spec->priority != job_priority::borrowed)
            used += job.spec->tasks * job.spec->perTask.accelerator.count();
    }
    std::int64_t guaranteed = 0;
    for (const auto& shape : owner->guarantees)
        guaranteed += shape.count * shape.blocks * shape.blockAccelerators.count();
    return used <= guaranteed;
}

void simulation::perform(const entry& due)
{
    switch (due.kind) {
    case action::submit: {
        const auto& input = m_input.submissions[due.subject];
        const auto expects = expectsGuarantee(input);
        auto& job = m_jobs[input.id.value()];
        job.input = &input;
        const auto owner = std::ranges::find(m_input.plan.workspaces, input.workspace, &workspace::name);
        job.spec = &*std::ranges::find(owner->jobs, input.job, &job_template::name);
        job.expectsGuarantee = expects;
        return apply(job_submitted { input.id, input.workspace, input.job });
    }
    case action::cancel: {
        auto& job = m_jobs.at(due.subject);
        if (!job.endedAt) {
            job.cancelled = true;
            job.endedAt = m_now;
        }
        return apply(job_cancelled { job_id(due.subject) });
    }
    case action::centre_out:
        m_outSince[m_input.changes[due.subject].name] = m_now;
        return apply(data_centre_ordered { m_input.changes[due.subject].name, false });
    case action::centre_in:
        m_outSince.erase(m_input.changes[due.subject].name);
        return apply(data_centre_ordered { m_input.changes[due.subject].name, true });
    case action::worker_silent:
        m_workers[due.subject].silent = true;
        return;
    case action::worker_gone: {
        auto& worker = m_workers[due.subject];
        worker.gone = true;
        std::vector<std::uint64_t> leases;
        for (const auto& [lease, task] : m_tasks) {
            if (task.worker == due.subject)
                leases.push_back(lease);
        }
        std::ranges::for_each(leases, [this](auto lease) { drop(lease); });
        return apply(worker_lost { worker.spec.id, worker.spec.instance });
    }
    case action::worker_back: {
        auto& worker = m_workers[due.subject];
        worker.silent = false;
        worker.gone = false;
        worker.spec.instance = incarnation(worker.spec.instance.value() + 1);
        return apply(worker_joined { worker.spec });
    }
    case action::sample:
        sample();
        schedule(m_now + (m_workers.size() > 100 ? 300s : 60s), action::sample, 0);
        return;
    default:
        return performTask(due.kind, due.subject);
    }
}

void simulation::report(const held_task& task, task_report_kind kind)
{
    apply(task_reported { task.order.task, task.order.lease, kind, "" });
}

void simulation::drop(std::uint64_t lease)
{
    const auto found = m_tasks.find(lease);
    auto& task = found->second;
    for (const auto index : task.order.acceleratorIndexes)
        m_workers[task.worker].accelerators &= ~(1ULL << index);
    if (task.running) {
        --m_running;
        auto& job = m_jobs.at(task.order.task.job.value());
        --job.runningTasks;
        if (!m_outSince.empty() && !job.endedAt) {
            const auto lost = task.saved + (m_now - task.startedAt) - task.progress;
            m_changeLost
                += static_cast<double>(lost.count()) / 1e6 * static_cast<double>(task.order.amount.accelerator.count());
        }
    }
    m_tasks.erase(found);
}

void simulation::endTask(std::uint64_t lease, task_report_kind kind)
{
    const auto order = m_tasks.at(lease).order;
    if (kind == task_report_kind::finished)
        saveProgress(m_tasks.at(lease));
    drop(lease);
    apply(task_reported { order.task, order.lease, kind, "" });
    auto& job = m_jobs.at(order.task.job.value());
    if (job.endedAt || kind == task_report_kind::released)
        return;
    if (const auto status = m_subject.job(order.task.job); status && status->endedAt)
        job.endedAt = m_now;
}

void simulation::saveProgress(held_task& task)
{
    task.progress = task.saved + (m_now - task.startedAt);
    auto& job = m_jobs.at(task.order.task.job.value());
    if (job.attempt == task.order.task.attempt)
        job.taskProgress[task.order.task.index] = task.progress;
}

void simulation::startTask(std::uint64_t lease, held_task& task)
{
    if (!m_subject.mayStart(task.order.task, task.order.lease))
        return endTask(lease, task_report_kind::released);
    const auto out = m_outSince.find(m_workers[task.worker].spec.dataCentre);
    if (out != m_outSince.end() && m_now > out->second + lateStartLimit)
        m_result.lateStarts += 1;
    auto& job = m_jobs.at(task.order.task.job.value());
    if (!job.hasStarted) {
        job.hasStarted = true;
        if (job.expectsGuarantee && m_outSince.empty() && m_now - job.input->at > urgentLimit)
            m_result.breaches += 1;
    }
    ++job.runningTasks;
    m_result.runningTasks = std::max(m_result.runningTasks, static_cast<double>(++m_running));
    task.running = true;
    task.startedAt = m_now;
    if (isFaulty(task.worker))
        schedule(m_now + 5s, action::fail, lease);
    else
        schedule(m_now + std::max(job.input->runTime - task.saved, duration(1s)), action::finish, lease);
    schedule(m_now + 1h, action::autosave, lease);
    report(task, task_report_kind::started);
}

void simulation::performTask(action kind, std::uint64_t lease)
{
    const auto found = m_tasks.find(lease);
    if (found == m_tasks.end() || m_workers[found->second.worker].silent)
        return;
    auto& task = found->second;
    switch (kind) {
    case action::prepared:
        return report(task, task_report_kind::prepared);
    case action::start:
        return startTask(lease, task);
    case action::finish:
        return endTask(lease, task_report_kind::finished);
    case action::fail:
        return endTask(lease, task_report_kind::failed);
    case action::autosave:
        schedule(m_now + 1h, action::autosave, lease);
        [[fallthrough]];
    case action::checkpoint:
        if (!task.running)
            return;
        saveProgress(task);
        return report(task, task_report_kind::checkpointed);
    case action::stop:
        return endTask(lease, task.running ? task_report_kind::stopped : task_report_kind::released);
    case action::release:
        return endTask(lease, task_report_kind::released);
    default:
        return;
    }
}

void simulation::sample()
{
    const auto step = m_workers.size() > 100 ? 300.0 : 60.0;
    std::int64_t largest = 0;
    for (const auto& owner : m_input.plan.workspaces) {
        for (const auto& shape : owner.guarantees)
            largest = std::max(largest, shape.blockAccelerators.count());
    }
    std::int64_t demand = 0;
    for (const auto& [id, job] : m_jobs) {
        if (job.endedAt)
            continue;
        demand += job.spec->tasks * job.spec->perTask.accelerator.count();
        if (job.runningTasks > 0)
            continue;
        largest = std::max(largest, job.spec->perTask.accelerator.count());
    }
    std::int64_t free = 0;
    std::int64_t usable = 0;
    std::int64_t capacity = 0;
    for (const auto& worker : m_workers) {
        if (worker.gone || worker.silent || !isInService(worker.spec.dataCentre))
            continue;
        const auto count = worker.spec.capacity.accelerator.count();
        const auto mask = ((1ULL << count) - 1) & ~worker.accelerators;
        capacity += count;
        free += std::popcount(mask);
        for (std::int64_t start = 0; largest > 0 && start + largest <= count; start += largest) {
            const auto block = ((1ULL << largest) - 1) << start;
            usable += (mask & block) == block ? largest : 0;
        }
    }
    if (m_now < m_input.submissions.back().at) {
        if (getenv("FRAG"))
            fprintf(stderr, "frag largest %ld free %ld usable %ld cap %ld demand %ld\n", largest, free, usable,
                capacity, demand);
        // With nothing free, nothing is unusable.
        if (free > 0)
            m_fragmentationSum += step * (1 - static_cast<double>(usable) / static_cast<double>(free));
        m_fragmentationTime += step;
    }
    if (!m_outSince.empty()) {
        std::int64_t used = 0;
        for (const auto& [lease, task] : m_tasks)
            used += task.running ? task.order.amount.accelerator.count() : 0;
        m_changeUsed += step * static_cast<double>(used);
        m_changeCapacity += step * static_cast<double>(std::min(capacity, demand));
    }
    const auto isPeak = m_now >= m_input.submissions.back().at && m_result.stateBytes == 0;
    if (isPeak)
        m_result.stateBytes = static_cast<double>(m_subject.save().size());
}

measurements simulation::summarize()
{
    std::vector<double> completions;
    for (const auto& [id, job] : m_jobs) {
        if (job.cancelled)
            continue;
        m_result.unfinished += job.endedAt ? 0 : 1;
        const auto age = job.endedAt.value_or(m_input.end) - job.input->at;
        completions.push_back(static_cast<double>(age.count()) / 1e6);
    }
    const auto percentile = [](std::vector<double>& values, double share) {
        const auto index = static_cast<std::size_t>(static_cast<double>(values.size() - 1) * share);
        std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(index));
        return values[index];
    };
    for (const auto value : completions)
        m_result.meanCompletion += value / static_cast<double>(completions.size());
    m_result.p99Completion = percentile(completions, 0.99);
    m_result.fragmentation = m_fragmentationTime > 0 ? m_fragmentationSum / m_fragmentationTime : 0;
    m_result.changeWork = m_changeCapacity > 0 ? (m_changeUsed - m_changeLost) / m_changeCapacity : 0;
    m_result.decisionP50 = percentile(m_decisions, 0.5);
    m_result.decisionP99 = percentile(m_decisions, 0.99);
    m_result.decisionMax = *std::ranges::max_element(m_decisions);
    return m_result;
}

} // namespace poplardeal::bench
