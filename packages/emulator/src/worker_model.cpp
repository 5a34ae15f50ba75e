#include "worker_model.h"
#include <algorithm>

namespace poplardeal::emulator {

namespace {

    constexpr double wholePercent = 100;
    constexpr duration stopTime = std::chrono::milliseconds(100);

    std::int64_t toMilliseconds(duration d) { return std::chrono::duration_cast<std::chrono::milliseconds>(d).count(); }

} // namespace

worker_model::worker_model(worker_boot boot, double clockRate, std::size_t slots, std::size_t listedEnds,
    duration longestLease, instant bornAt)
    : m_boot(std::move(boot))
    , m_clockRate(clockRate)
    , m_slots(slots)
    , m_listedEnds(listedEnds)
    , m_longestLease(longestLease)
    , m_bornAt(bornAt)
{
}

/// Never 0, which stands for an unknown clock.
std::int64_t worker_model::clockMs(instant now) const
{
    return 1 + static_cast<std::int64_t>(static_cast<double>(toMilliseconds(now - m_bornAt)) * m_clockRate);
}

bool worker_model::hasFence(std::uint64_t term)
{
    if (term < m_fence)
        return false;
    m_fence = term;
    return true;
}

void worker_model::extendLease(std::int64_t untilMs, instant now)
{
    m_leaseUntilMs = std::max(m_leaseUntilMs, std::min(untilMs, clockMs(now) + toMilliseconds(m_longestLease)));
}

start_result worker_model::start(const start_order& order, const task_behaviour& behaviour, instant now)
{
    advance(now);
    const auto& run = order.start.run;
    if (!hasFence(order.term))
        return start_result::refused;
    const auto active = m_running.find(run.task);
    if (active != m_running.end() && active->second.run == run.run)
        return start_result::accepted;
    // The time in an order for an earlier boot is on the clock of that one.
    if (order.boot == m_boot)
        extendLease(order.start.untilMs, now);
    const auto closed = m_closed.find(run.task);
    const bool isOld = closed != m_closed.end() && run.run <= closed->second;
    const bool isLate = m_leaseUntilMs <= clockMs(now);
    const bool isFull = m_running.size() >= m_slots || active != m_running.end();
    if (isOld || isLate || isFull)
        return start_result::refused;
    const bool fails = run.run.value() <= behaviour.failures;
    m_running[run.task] = { run.run, now, now + behaviour.runTime, fails ? end_kind::failed : end_kind::done };
    return start_result::accepted;
}

bool worker_model::stop(const stop_order& order, instant now)
{
    advance(now);
    if (!hasFence(order.term))
        return false;
    const auto active = m_running.find(order.run.task);
    if (active == m_running.end() || active->second.run != order.run.run) {
        auto& closed = m_closed[order.run.task];
        closed = std::max(closed, order.run.run);
        return true;
    }
    if (active->second.endsAt > now + stopTime) {
        active->second.endsAt = now + stopTime;
        active->second.endsAs = end_kind::stopped;
    }
    return true;
}

poll_result worker_model::poll(const poll_request& request, instant now)
{
    advance(now);
    poll_result out;
    if (hasFence(request.fence)) {
        if (request.leaseUntilMs > 0)
            extendLease(request.leaseUntilMs, now);
        m_acknowledged = std::max(m_acknowledged, request.acknowledged);
        std::erase_if(m_ended, [this](const task_end& each) { return each.number <= m_acknowledged; });
    }
    out.clockMs = clockMs(now);
    out.startedAtMs = m_boot.startedAtMs;
    for (const auto& [task, run] : m_running) {
        const auto share = std::chrono::duration<double>(now - run.beganAt) / (run.endsAt - run.beganAt);
        out.running.push_back({ task, run.run, {}, wholePercent * share });
    }
    const auto listed = std::min(m_ended.size(), m_listedEnds);
    out.ended.assign(m_ended.begin(), m_ended.begin() + static_cast<std::ptrdiff_t>(listed));
    out.isComplete = listed < m_listedEnds;
    return out;
}

void worker_model::advance(instant now)
{
    std::vector<task_key> due;
    for (const auto& [task, run] : m_running) {
        if (run.endsAt <= now)
            due.push_back(task);
    }
    for (const auto& task : due)
        end(task, m_running.at(task).endsAs);
    if (m_leaseUntilMs > clockMs(now))
        return;
    while (!m_running.empty())
        end(m_running.begin()->first, end_kind::lease_expired);
    std::erase_if(m_done, [this](const auto& item) { return item.second > m_acknowledged; });
}

void worker_model::end(const task_key& of, end_kind kind)
{
    const auto ended = m_running.extract(of); // Outlives `of`, which may be its key.
    const auto& task = ended.key();
    const auto& run = ended.mapped();
    m_ended.push_back({ ++m_lastEnd, task, run.run, kind, {} });
    m_closed[task] = std::max(m_closed[task], run.run);
    if (kind == end_kind::done)
        m_done[task] = m_lastEnd;
    if (kind == end_kind::failed)
        ++m_failures[task];
}

std::uint32_t worker_model::failuresOf(const task_key& task) const
{
    const auto found = m_failures.find(task);
    return found == m_failures.end() ? 0 : found->second;
}

} // namespace poplardeal::emulator
