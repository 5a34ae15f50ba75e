#include <poplardeal/control/gang_permits.h>

namespace poplardeal {

bool gang_permits::decide(const task_id& task, bool mayStart, instant now)
{
    std::erase_if(m_windows, [&](const auto& entry) { return now - entry.second > 10 * window; });
    const auto gang = std::make_pair(task.job, task.attempt);
    const auto found = m_windows.find(gang);
    if (found != m_windows.end())
        return now - found->second <= window;
    if (!mayStart)
        return false;
    m_windows.emplace(gang, now);
    return true;
}

} // namespace poplardeal
