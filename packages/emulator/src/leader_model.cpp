#include "leader_model.h"
#include <ctime>

namespace poplardeal::emulator {

namespace {

    constexpr duration planDelay = std::chrono::milliseconds(2);

    duration processorTime()
    {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return std::chrono::duration_cast<duration>(
            std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }

} // namespace

leader_model::leader_model(event_queue& events, job_table& table, const planner_options& options, lease_options leases,
    duration commitDelay, std::uint64_t term)
    : m_events(events)
    , m_table(table)
    , m_options(options)
    , m_commitDelay(commitDelay)
    , m_term(term)
    , m_registry(leases)
    , m_standing(std::make_shared<standing>(standing::leads))
{
    m_registry.startLeadership(events.now());
}

void leader_model::depose(bool commits) { *m_standing = commits ? standing::deposed_commits : standing::deposed; }

void leader_model::propose(job_command_body body, std::function<void(apply_outcome)> done)
{
    m_events.after(m_commitDelay,
        [&events = m_events, &table = m_table, state = m_standing, body = std::move(body), done = std::move(done)] {
            if (*state == standing::deposed)
                return;
            const auto outcome = table.apply({ events.now(), body });
            if (*state == standing::leads)
                done(outcome);
        });
}

void leader_model::schedulePlan()
{
    if (std::exchange(m_isPlanScheduled, true))
        return;
    m_events.after(planDelay, [this, state = m_standing] {
        if (*state != standing::leads)
            return;
        m_isPlanScheduled = false;
        plan();
    });
}

void leader_model::plan()
{
    // The table does not show proposed starts until they are applied.
    if (m_startsInFlight > 0)
        return;
    const auto now = m_events.now();
    const auto& views = m_registry.workerViews(m_table, now);
    const auto begin = processorTime();
    auto decisions = planJobs(m_options, { m_table, views, m_registry.stoppingRuns(), m_claims, now, now, m_heldBack });
    const auto took = processorTime() - begin;
    ++m_statistics.plans;
    m_statistics.planTime += took;
    m_statistics.longestPlan = std::max(m_statistics.longestPlan, took);
    m_claims = std::move(decisions.claims);
    m_heldBack = std::move(decisions.heldBack);
    std::set<worker_boot> affected;
    for (const auto& stop : decisions.stops) {
        ++m_statistics.stops;
        if (m_stopped)
            m_stopped(stop);
        m_registry.didOrderStop(stop, m_table, now);
        affected.insert(stop.worker);
    }
    for (const auto& boot : affected)
        sendInstructions(boot);
    for (const auto& command : decisions.starts)
        proposeStarts(command);
}

void leader_model::proposeStarts(const start_tasks& command)
{
    ++m_startsInFlight;
    propose(command, [this, command](apply_outcome outcome) {
        --m_startsInFlight;
        schedulePlan();
        if (outcome != apply_outcome::applied)
            return;
        std::set<worker_boot> affected;
        for (const auto& start : command.starts) {
            ++m_statistics.starts;
            m_registry.didOrderStart(start, m_events.now());
            affected.insert(start.worker);
        }
        for (const auto& boot : affected)
            sendInstructions(boot);
    });
}

void leader_model::handleReport(const worker_status& status)
{
    const auto effects = m_registry.report(status, m_table, m_events.now());
    release(effects.released);
    if (!effects.ends.ends.empty()) {
        propose(effects.ends, [this, ends = effects.ends](apply_outcome) {
            m_registry.didFinishRecordingEnds(ends.worker, ends.ends.back().number, true);
            if (m_endsRecorded)
                m_endsRecorded(ends);
            sendInstructions(ends.worker);
            schedulePlan();
        });
    }
    if (!status.isGone) {
        if (const auto answer = m_registry.answerTo(status.boot, m_table, m_events.now()))
            m_send(m_term, *answer);
    }
    if (effects.changesCapacity || !effects.ends.ends.empty() || !effects.released.empty())
        schedulePlan();
}

void leader_model::release(const std::vector<released_run>& runs)
{
    release_runs command;
    for (const auto& run : runs) {
        if (m_pendingReleases.insert({ run.task, run.run }).second)
            command.runs.push_back(run);
    }
    if (command.runs.empty())
        return;
    propose(command, [this, command](apply_outcome) {
        for (const auto& run : command.runs)
            m_pendingReleases.erase({ run.task, run.run });
        schedulePlan();
    });
}

void leader_model::sendInstructions(const worker_boot& boot)
{
    if (const auto instructions = m_registry.instructionsFor(boot, m_table, m_events.now()))
        m_send(m_term, *instructions);
}

} // namespace poplardeal::emulator
