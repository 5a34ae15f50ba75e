#include "fault_cluster.h"
#include "job_source.h"
#include <algorithm>
#include <array>

namespace poplardeal::emulator {

namespace {

    using namespace std::chrono_literals;

    constexpr duration commitDelay = 9ms;
    constexpr duration networkDelay = 1ms;
    constexpr duration callDelay = 1ms; ///< One way, between a sidecar and its worker.
    constexpr duration callTimeout = 200ms; ///< As in queue_sidecar.
    constexpr duration tickInterval = 50ms;
    constexpr duration probeInterval = 300ms;
    constexpr duration planInterval = 200ms;
    constexpr duration announcementInterval = 1500ms;
    constexpr duration minimumLateness = 2s; ///< Of orders that are carried out late; stated by the platform.
    constexpr duration maximumLateness = 12s;
    constexpr std::uint32_t attempts = 4;
    constexpr std::uint32_t tasksPerJob = 3;

} // namespace

fault_cluster::fault_cluster(const fault_scenario& scenario, std::uint64_t seed)
    : m_scenario(scenario)
    , m_random(seed)
    , m_start(instantFromMicros(1'000'000'000))
    , m_events(m_start)
{
    elect();
    acceptPlan();
    for (std::size_t i = 0; i < scenario.workers; ++i) {
        emulated_machine machine;
        machine.id = worker_id("i-" + std::to_string(i));
        machine.address = "10.0.0." + std::to_string(i) + ":80";
        machine.clockRate = m_leases.minimumClockRate + draw() * (1 - m_leases.minimumClockRate);
        m_machines.push_back(std::move(machine));
    }
    for (auto& machine : m_machines) {
        startProcess(machine);
        bootWorker(machine);
        m_events.every(announcementInterval, [this, &machine] {
            if (machine.worker)
                announce(machine, networkDelay);
        });
        m_events.every(tickInterval, [this, &machine] {
            if (!machine.agent || m_events.now() < machine.frozenUntil)
                return;
            machine.agent->tick(m_events.now());
            carryOut(machine);
        });
        m_events.every(probeInterval, [this, &machine] {
            const auto now = m_events.now();
            if (machine.agent && m_leader && now >= machine.frozenUntil && now >= machine.cutUntil)
                m_leader->recordContact(
                    machine.agent->worker() != nullptr ? machine.agent->worker()->boot.worker : machine.id);
        });
    }
    m_events.every(planInterval, [this] {
        if (m_leader) {
            m_leader->releaseExpired();
            m_leader->plan();
        }
        checkRecordedEnds();
    });
    scheduleJobs();
    scheduleFaults();
}

double fault_cluster::draw() { return drawUniform(m_random); }

duration fault_cluster::draw(duration from, duration to)
{
    return from + duration(static_cast<duration::rep>(draw() * static_cast<double>((to - from).count())));
}

void fault_cluster::note(const std::string& fault, const emulated_machine* machine)
{
    const auto seconds = std::chrono::duration<double>(m_events.now() - m_start).count();
    m_result.faults.push_back(
        std::to_string(seconds) + " " + fault + (machine != nullptr ? " " + machine->id.value() : ""));
}

void fault_cluster::violate(const std::string& what, const task_key& task)
{
    const auto seconds = std::chrono::duration<double>(m_events.now() - m_start).count();
    m_result.violations.push_back(std::to_string(seconds) + " " + what + ": " + toString(task));
}

void fault_cluster::acceptPlan()
{
    queue_plan plan;
    plan.version = plan_version(1);
    plan.pools = { { service_name("desk"), true, false } };
    for (const std::uint32_t priority : { 0U, 1U }) {
        queue_spec queue;
        queue.name = queue_name("q" + std::to_string(priority));
        queue.host = "example";
        queue.pathPrefix = "/" + queue.name.value() + "/";
        queue.service = service_name("desk");
        queue.priority = priority;
        queue.attempts = attempts;
        queue.stretch = 3;
        queue.timeout = 3s;
        plan.queues.push_back(std::move(queue));
    }
    plan.workspaces.push_back({ workspace_name("w"), { api_key("k") }, accelerators(1) });
    m_table.apply({ m_events.now(), accept_plan { std::move(plan) } });
}

void fault_cluster::scheduleJobs()
{
    for (std::size_t i = 0; i < m_scenario.jobs; ++i) {
        accept_submission job;
        auto digits = std::to_string(i);
        job.id = submission_id(std::string(16 - digits.size(), '0') + digits);
        job.queue = queue_name(draw() < 0.5 ? "q0" : "q1");
        job.workspace = workspace_name("w");
        step_spec step;
        step.count = 1 + static_cast<std::uint32_t>(drawIndex(tasksPerJob));
        step.need = { millicores(1000), mebibytes(1000), accelerators(1) };
        const auto runTime = draw(300ms, 6s);
        step.estimate = runTime;
        job.spec.steps.push_back(step);
        job.spec.payload = "payload";
        for (std::uint32_t t = 0; t < step.count; ++t)
            m_behaviours[{ job.id, 0, 0, t }] = { runTime, draw() < 0.15 ? 1U : 0U };
        m_jobs.push_back(std::move(job));
        m_events.at(m_start + draw(1s, m_scenario.faultTime), [this, i] { submit(i); });
    }
}

/// The client repeats the submission until it is recorded.
void fault_cluster::submit(std::size_t job)
{
    if (!m_leader)
        return m_events.after(200ms, [this, job] { submit(job); });
    m_events.after(commitDelay, [this, job] {
        m_table.apply({ m_events.now(), m_jobs[job] });
        ++m_result.jobs;
        if (m_leader)
            m_leader->schedulePlan();
    });
}

void fault_cluster::scheduleFaults()
{
    for (std::size_t i = 0; i < m_scenario.faults; ++i)
        m_events.at(m_start + draw(1500ms, m_scenario.faultTime), [this] { beginFault(); });
}

void fault_cluster::beginFault()
{
    auto& machine = m_machines[drawIndex(m_machines.size())];
    const auto now = m_events.now();
    const std::array<std::pair<const char*, action>, 9> kinds { {
        { "leader lost", [&] { loseLeader(draw(500ms, 1500ms)); } },
        { "sidecar cut off", [&] { machine.cutUntil = now + draw(500ms, 10s); } },
        { "sidecar stands still", [&] { machine.frozenUntil = now + draw(500ms, 8s); } },
        { "sidecar restarts",
            [&] {
                machine.agent.reset();
                ++machine.process;
                m_events.after(draw(100ms, 2s), [this, &machine] { startProcess(machine); });
            } },
        { "messages held up", [&] { machine.heldUpUntil = now + draw(1s, 6s); } },
        { "orders carried out late",
            [&] {
                machine.lateUntil = now + draw(1s, 6s);
                machine.lateShare = draw();
            } },
        { "worker crashes", [&] { loseWorker(machine, false); } },
        { "worker leaves", [&] { loseWorker(machine, true); } },
        { "worker is silent", [&] { silence(machine); } },
    } };
    const auto& [name, begin] = kinds[drawIndex(m_scenario.hasSilentWorkers ? kinds.size() : kinds.size() - 1)];
    note(name, &machine);
    begin();
}

/// The worker is frozen, or cut off from its sidecar. The word that an earlier boot ends may arrive at any moment of
/// it.
void fault_cluster::silence(emulated_machine& machine)
{
    const auto length = draw(500ms, 8s);
    machine.silentUntil = m_events.now() + length;
    if (machine.worker && m_scenario.hasLateDepartures && draw() < 0.5)
        announce(machine, draw(networkDelay, length), true);
}

void fault_cluster::elect()
{
    m_leader = std::make_unique<leader_model>(m_events, m_table, m_options, m_leases, commitDelay, ++m_term);
    m_leader->onSend([this](std::uint64_t term, const worker_instructions& orders) { deliver(orders, term); });
    ++m_result.leaders;
    for (auto& machine : m_machines)
        inProcess(machine, draw(networkDelay, 300ms), [this, &machine] { report(machine); });
}

/// The lease of a leader is over before the next one is elected.
void fault_cluster::loseLeader(duration outage)
{
    if (!m_leader)
        return;
    m_leader->depose(draw() < 0.5);
    m_deposed.push_back(std::move(m_leader));
    m_events.after(outage, [this] { elect(); });
}

void fault_cluster::deliver(const worker_instructions& orders, std::uint64_t term)
{
    for (auto& machine : m_machines) {
        const bool isBeside = machine.agent && machine.agent->worker() != nullptr
            && machine.agent->worker()->boot.worker == orders.boot.worker;
        if (!isBeside || m_events.now() < machine.cutUntil)
            continue;
        const bool isHeldUp = m_events.now() < machine.heldUpUntil;
        inProcess(machine, isHeldUp ? draw(networkDelay, 4s) : networkDelay, [this, &machine, orders, term] {
            machine.agent->applyInstructions(term, orders, m_events.now());
            carryOut(machine);
        });
    }
}

void fault_cluster::startProcess(emulated_machine& machine)
{
    if (machine.agent)
        return;
    machine.agent.emplace(agent_options {}, m_events.now());
    if (machine.worker)
        announce(machine, draw(networkDelay, announcementInterval));
}

void fault_cluster::inProcess(emulated_machine& machine, duration wait, action run)
{
    m_events.after(wait, [this, &machine, run = std::move(run), process = machine.process] {
        if (machine.process != process || !machine.agent)
            return;
        if (m_events.now() < machine.frozenUntil)
            inProcess(machine, machine.frozenUntil - m_events.now(), run);
        else
            run();
    });
}

void fault_cluster::carryOut(emulated_machine& machine)
{
    for (const auto& order : machine.agent->takeOrders())
        std::visit([&](const auto& each) { send(machine, each); }, order);
    if (machine.agent->takeReportRequest())
        report(machine);
    for (const auto& each : machine.agent->takeProbes(m_term, m_events.now()))
        probe(machine, each);
    if (machine.agent->isPollDue(m_events.now()))
        poll(machine);
}

void fault_cluster::probe(emulated_machine& machine, const probe_request& request)
{
    m_events.after(callDelay, [this, &machine, request, process = machine.process] {
        if (machine.process != process)
            return;
        const bool isAnswered = machine.worker && m_events.now() >= machine.silentUntil
            && machine.worker->boot().worker == request.boot.worker;
        const auto lists = isAnswered ? machine.worker->poll(request.poll, m_events.now()) : poll_result();
        inProcess(machine, isAnswered ? callDelay : callTimeout, [this, &machine, request, isAnswered, lists] {
            if (isAnswered)
                machine.agent->applyProbeResult(request, lists, m_events.now());
            else
                machine.agent->applyProbeFailure(request, m_events.now());
            carryOut(machine);
        });
    });
}

void fault_cluster::report(emulated_machine& machine)
{
    if (!m_leader || m_events.now() < machine.cutUntil)
        return;
    const auto status = machine.agent->report(m_events.now());
    if (!status)
        return;
    sendReport(machine, *status);
    const bool isHeldUp = m_events.now() < machine.heldUpUntil;
    if (isHeldUp && draw() < 0.3)
        sendReport(machine, *status);
}

void fault_cluster::sendReport(const emulated_machine& machine, const worker_status& status)
{
    const bool isHeldUp = m_events.now() < machine.heldUpUntil;
    m_events.after(isHeldUp ? draw(networkDelay, 4s) : networkDelay, [this, status] {
        if (m_leader)
            m_leader->handleReport(status);
    });
}

/// Sends an order to the worker of a machine. Some are answered too late or never, and carried out at once or seconds
/// later.
template <class Reply, class Execute>
void fault_cluster::call(emulated_machine& machine, Reply unanswered, Execute execute)
{
    const auto answer = [this, &machine](duration wait, const Reply& reply) {
        inProcess(machine, wait, [this, &machine, reply] {
            machine.agent->applyReply(reply, m_events.now());
            carryOut(machine);
        });
    };
    const bool isLate = m_events.now() < machine.lateUntil && draw() < machine.lateShare;
    const bool isAnswerLost = m_events.now() < machine.lateUntil && draw() < machine.lateShare;
    const bool isWorkerSilent = m_events.now() < machine.silentUntil;
    auto wait = isLate ? draw(minimumLateness, maximumLateness) : callDelay;
    if (isWorkerSilent) // Waits in the worker's socket.
        wait += machine.silentUntil - m_events.now();
    const bool isUnanswered = isLate || isAnswerLost || isWorkerSilent;
    m_events.after(wait, [&machine, execute, answer, unanswered, process = machine.process, isSilent = isUnanswered] {
        if (!machine.worker || machine.worker->boot().worker != unanswered.boot.worker)
            return;
        const bool isForEarlierBoot = machine.worker->boot() != unanswered.boot;
        const bool isKnownToSidecar = machine.process == process && machine.agent && machine.agent->worker() != nullptr
            && machine.agent->worker()->boot == machine.worker->boot();
        // Until the sidecar has heard of the later boot, nothing can keep such an order from it.
        if (isForEarlierBoot && !isKnownToSidecar)
            return;
        const auto reply = execute();
        if (!isSilent)
            answer(callDelay, reply);
    });
    if (isUnanswered || !machine.worker)
        answer(callTimeout, unanswered);
}

void fault_cluster::send(emulated_machine& machine, const start_order& order)
{
    const start_reply unanswered { order.start.run, order.boot, std::nullopt, {}, true };
    call(machine, unanswered, [this, &machine, order, unanswered] {
        auto reply = unanswered;
        reply.result = begin(machine, order);
        return reply;
    });
}

void fault_cluster::send(emulated_machine& machine, const stop_order& order)
{
    const stop_reply unanswered { order.run, order.boot, std::nullopt };
    call(machine, unanswered, [this, &machine, order, unanswered] {
        auto reply = unanswered;
        reply.isAccepted = machine.worker->stop(order, m_events.now());
        return reply;
    });
}

void fault_cluster::poll(emulated_machine& machine)
{
    poll_call call;
    call.boot = machine.agent->worker()->boot;
    call.request = machine.agent->beginPoll(m_term);
    call.process = machine.process;
    m_events.after(callDelay, [this, &machine, call]() mutable {
        call.answering = machine.worker ? machine.worker->boot() : worker_boot();
        call.latest = m_events.now() + call.request.wait;
        answerPoll(machine, call);
    });
}

void fault_cluster::answerPoll(emulated_machine& machine, const poll_call& call)
{
    const auto now = m_events.now();
    if (machine.process != call.process)
        return;
    const bool isSilent = now < machine.silentUntil;
    if (isSilent || !machine.worker || machine.worker->boot() != call.answering
        || call.answering.worker != call.boot.worker) {
        const bool hasEnded = !isSilent && (!machine.worker || machine.worker->boot() != call.boot);
        return inProcess(machine, hasEnded ? callDelay : callTimeout, [this, &machine, call, hasEnded] {
            machine.agent->applyPollFailure(
                call.boot, hasEnded ? poll_failure::boot_ended : poll_failure::silence, m_events.now());
            carryOut(machine);
        });
    }
    auto lists = machine.worker->poll(call.request, now);
    if (lists.ended.empty() && now < call.latest)
        return m_events.after(
            std::min<duration>(tickInterval, call.latest - now), [this, &machine, call] { answerPoll(machine, call); });
    inProcess(machine, callDelay, [this, &machine, call, lists] {
        machine.agent->applyPollResult(call.boot, lists, m_events.now());
        carryOut(machine);
    });
}

void fault_cluster::bootWorker(emulated_machine& machine)
{
    machine.lastBootMs = std::max(machine.lastBootMs + 1, toMicros(m_events.now()) / 1000);
    machine.announcements = 0;
    machine.silentUntil = {};
    machine.worker.emplace(worker_boot { machine.id, machine.lastBootMs }, machine.clockRate, m_scenario.slotsPerWorker,
        m_scenario.listedEnds, m_leases.length, m_events.now());
    announce(machine, networkDelay);
}

void fault_cluster::loseWorker(emulated_machine& machine, bool isAnnounced)
{
    if (!machine.worker)
        return;
    if (isAnnounced)
        announce(machine, networkDelay, true);
    // An announcement of the boot that is gone may still be on its way, or the word that it ends.
    if (draw() < 0.3)
        announce(machine, draw(1s, 5s));
    if (m_scenario.hasLateDepartures)
        announce(machine, draw(1s, 5s), true);
    for (const auto& [task, behaviour] : m_behaviours)
        m_failures[task] += machine.worker->failuresOf(task);
    machine.worker.reset();
    // Only a worker that crashed comes back under its id.
    if (isAnnounced)
        machine.id = worker_id(machine.id.value() + "'");
    // Also after its sidecar has forgotten a boot that is gone.
    const auto longestAbsence = m_scenario.hasSilentWorkers ? 6s : 3s;
    m_events.after(draw(300ms, longestAbsence), [this, &machine] { bootWorker(machine); });
}

void fault_cluster::announce(emulated_machine& machine, duration wait, bool isGone)
{
    worker_announcement out;
    out.sequence = ++machine.announcements;
    out.status.boot = machine.worker->boot();
    out.status.address = machine.address;
    out.status.service = service_name("desk");
    out.status.dataCentre = data_centre_name("east");
    out.status.rack = rack_name("r");
    out.status.capacity = { millicores(1'000'000), mebibytes(1'000'000),
        accelerators(static_cast<std::int64_t>(m_scenario.slotsPerWorker)) };
    out.status.isGone = isGone;
    inProcess(machine, wait, [this, &machine, out] {
        machine.agent->applyAnnouncement(out, m_events.now());
        carryOut(machine);
    });
}

start_result fault_cluster::begin(emulated_machine& machine, const start_order& order)
{
    const auto& run = order.start.run;
    for (auto& each : m_machines) {
        if (each.worker)
            each.worker->advance(m_events.now());
    }
    const bool wasRunning = machine.worker->runs(run.task);
    const auto out = machine.worker->start(order, m_behaviours.at(run.task), m_events.now());
    if (out == start_result::accepted && !wasRunning)
        checkStart(machine, run);
    return out;
}

void fault_cluster::checkStart(const emulated_machine& machine, const run_key& run)
{
    ++m_result.starts;
    for (std::size_t i = 0; i < m_machines.size(); ++i) {
        const auto& other = m_machines[i];
        if (!other.worker)
            continue;
        if (&other != &machine && other.worker->runs(run.task))
            violate("two runs at a time", run.task);
        const auto done = other.worker->doneTasks().find(run.task);
        if (done != other.worker->doneTasks().end())
            m_suspicions.push_back({ i, other.worker->boot(), done->second, run.task });
    }
}

void fault_cluster::checkRecordedEnds()
{
    for (const auto& each : m_suspicions) {
        const auto& worker = m_machines[each.machine].worker;
        if (worker && worker->boot() == each.boot && worker->doneTasks().contains(each.task)
            && worker->acknowledged() >= each.end)
            violate("started after an end that is recorded", each.task);
    }
    std::erase_if(m_suspicions, [this](const suspicion& each) {
        const auto& worker = m_machines[each.machine].worker;
        return !worker || worker->boot() != each.boot || worker->acknowledged() >= each.end;
    });
}

void fault_cluster::checkOutcome()
{
    for (const auto& job : m_jobs) {
        const auto* known = m_table.find(job.id);
        if (known == nullptr) {
            violate("an accepted job is unknown", { job.id, 0, 0, 0 });
            continue;
        }
        if (known->phase != submission_phase::completed)
            violate("a job that can be done is " + std::string(toString(known->phase)), { job.id, 0, 0, 0 });
        const auto& units = known->occurrences[0].steps[0].units;
        for (std::uint32_t t = 0; t < units.size(); ++t) {
            const task_key task { job.id, 0, 0, t };
            auto seen = m_failures[task];
            for (const auto& machine : m_machines)
                seen += machine.worker ? machine.worker->failuresOf(task) : 0;
            if (units[t].failures > seen)
                violate("a failure is counted that no worker saw", task);
        }
    }
}

fault_result fault_cluster::run()
{
    m_events.runUntil(m_start + m_scenario.faultTime + m_scenario.settleTime);
    checkOutcome();
    return m_result;
}

fault_result playFaults(const fault_scenario& scenario, std::uint64_t seed)
{
    return fault_cluster(scenario, seed).run();
}

} // namespace poplardeal::emulator
