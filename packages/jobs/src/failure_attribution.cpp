#include <algorithm>
#include <array>
#include <poplardeal/jobs/failure_attribution.h>
#include <utility>

namespace poplardeal {

namespace {

    /// Failures in which nothing has failed for this long are forgotten; longer than the longest pause.
    constexpr duration retention = std::chrono::seconds(20);
    constexpr duration eraseInterval = std::chrono::seconds(1);

    struct pause_level {
        double blame { 0 };
        duration pause { 0 };
    };

    /// A worker that fails everything at once would use up the attempts of every waiting job.
    constexpr std::array<pause_level, 3> pauseLevels { {
        { 3, std::chrono::seconds(8) },
        { 2, std::chrono::seconds(5) },
        { 1, std::chrono::milliseconds(1500) },
    } };

    constexpr std::size_t avoidedPart = 3; ///< At most one worker of a service in so many is avoided.

    duration pauseFor(double blame)
    {
        for (const auto& level : pauseLevels) {
            if (blame >= level.blame)
                return level.pause;
        }
        return duration::zero();
    }

    /// Lower median of all but one of the sorted values.
    double medianWithout(const std::vector<double>& sorted, double value)
    {
        if (sorted.size() < 2)
            return 0;
        const auto own
            = static_cast<std::size_t>(std::lower_bound(sorted.begin(), sorted.end(), value) - sorted.begin());
        const auto middle = (sorted.size() - 2) / 2;
        return sorted[middle < own ? middle : middle + 1];
    }

} // namespace

void failure_attribution::didFail(const unit_key& unit, const worker_boot& worker, instant now)
{
    eraseOld(now);
    auto& unitRecord = m_units[unit];
    unitRecord.failedOn.insert(worker);
    unitRecord.lastFailureAt = now;
    auto& workerRecord = m_workers[worker];
    if (std::exchange(workerRecord.isRowOver, false))
        workerRecord.failures.clear();
    ++workerRecord.failures[unit];
    workerRecord.lastFailureAt = now;
}

void failure_attribution::didComplete(const worker_boot& worker)
{
    if (const auto found = m_workers.find(worker); found != m_workers.end())
        found->second.isRowOver = true;
}

void failure_attribution::eraseOld(instant now)
{
    if (now - m_erasedAt < eraseInterval)
        return;
    m_erasedAt = now;
    const auto isOld = [now](const auto& item) { return now - item.second.lastFailureAt > retention; };
    std::erase_if(m_units, isOld);
    std::erase_if(m_workers, isOld);
}

/// The chance that a failure there was the worker's fault: half if the task has failed on one other worker, and so on.
double failure_attribution::weightOf(const unit_key& unit, const worker_boot& worker) const
{
    const auto found = m_units.find(unit);
    if (found == m_units.end())
        return 1;
    const auto& failedOn = found->second.failedOn;
    return 1 / static_cast<double>(1 + failedOn.size() - failedOn.count(worker));
}

double failure_attribution::blameOf(const worker_boot& worker, instant now) const
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || now - found->second.lastFailureAt > retention)
        return 0;
    double out = 0;
    for (const auto& [unit, failures] : found->second.failures)
        out += failures * weightOf(unit, worker);
    return out;
}

std::map<worker_boot, instant> failure_attribution::avoidedWorkers(
    const std::vector<worker_boot>& service, instant now) const
{
    std::vector<std::pair<double, worker_boot>> blamed;
    for (const auto& worker : service) {
        if (const double blame = blameOf(worker, now); blame > 0)
            blamed.emplace_back(blame, worker);
    }
    std::vector<double> sorted(service.size() - blamed.size());
    for (const auto& [blame, worker] : blamed)
        sorted.push_back(blame);
    std::sort(sorted.begin(), sorted.end());
    std::sort(blamed.rbegin(), blamed.rend());
    std::map<worker_boot, instant> out;
    const auto most = std::max<std::size_t>(1, service.size() / avoidedPart);
    for (const auto& [blame, worker] : blamed) {
        const auto until = m_workers.at(worker).lastFailureAt + pauseFor(blame - medianWithout(sorted, blame));
        if (until <= now)
            continue;
        out.emplace(worker, until);
        if (out.size() == most)
            break;
    }
    return out;
}

} // namespace poplardeal
