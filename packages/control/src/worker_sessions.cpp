#include <poplardeal/control/worker_sessions.h>

namespace poplardeal {

worker_sessions::worker_sessions(session_times times)
    : m_times(times)
{
}

void worker_sessions::takeOver(const std::vector<std::pair<worker_id, incarnation>>& known, instant now)
{
    m_sessions.clear();
    for (const auto& [worker, instance] : known)
        open(worker, instance, now);
}

void worker_sessions::open(const worker_id& worker, incarnation instance, instant now)
{
    const auto found = m_sessions.find(worker);
    if (found == m_sessions.end() || found->second.instance != instance) {
        m_sessions[worker] = { instance, now, reported_state::online };
        return;
    }
    found->second.renewedAt = now;
}

bool worker_sessions::renew(const worker_id& worker, incarnation instance, instant now)
{
    const auto found = m_sessions.find(worker);
    if (found == m_sessions.end() || found->second.instance != instance
        || found->second.reported == reported_state::lost)
        return false;
    found->second.renewedAt = now;
    return true;
}

std::vector<placement_event> worker_sessions::collectDue(instant now)
{
    std::vector<placement_event> due;
    for (auto& [worker, open] : m_sessions) {
        const auto silence = now - open.renewedAt;
        if (silence >= m_times.lease + m_times.margin) {
            if (open.reported != reported_state::lost)
                due.emplace_back(worker_lost { worker, open.instance });
            open.reported = reported_state::lost;
        } else if (silence >= m_times.suspectAfter) {
            if (open.reported == reported_state::online) {
                due.emplace_back(worker_suspected { worker, open.instance });
                open.reported = reported_state::suspected;
            }
        } else if (open.reported == reported_state::suspected) {
            due.emplace_back(worker_recovered { worker, open.instance });
            open.reported = reported_state::online;
        }
    }
    return due;
}

void worker_sessions::forgetReported(const worker_id& worker)
{
    if (const auto found = m_sessions.find(worker); found != m_sessions.end())
        found->second.reported = reported_state::online;
}

} // namespace poplardeal
