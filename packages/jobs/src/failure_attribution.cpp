#include <algorithm>
#include <array>
#include <poplardeal/jobs/failure_attribution.h>

namespace poplardeal {

namespace {

    /// Failures in which nothing has failed for this long are forgotten; longer than the longest pause.
    constexpr duration retention = std::chrono::seconds(20);
    constexpr duration eraseInterval = std::chrono::seconds(1);

    struct pause_level {
        double blame { 0 };
        duration pause { 0 };
    };

    /// A worker that fails everything at once would use up the attempts of every waiting job. The bounds are below 1, 2
    /// and 3, as a failure weighs less than 1 once its job has failed elsewhere too.
    constexpr std::array<pause_level, 3> pauseLevels { {
        { 2.6, std::chrono::seconds(8) },
        { 1.7, std::chrono::seconds(5) },
        { 0.8, std::chrono::milliseconds(1500) },
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

void failure_attribution::didFail(const submission_id& job, const worker_boot& worker, instant now)
{
    eraseOld(now);
    auto& jobRecord = m_jobs[job];
    jobRecord.failedOn[worker] = now;
    jobRecord.completedOn.erase(worker);
    jobRecord.lastFailureAt = now;
    auto& workerRecord = m_workers[worker];
    ++workerRecord.failures[job];
    workerRecord.lastFailureAt = now;
}

void failure_attribution::didComplete(const submission_id& job, const worker_boot& worker, instant now)
{
    eraseOld(now);
    m_workers.erase(worker);
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end())
        return;
    found->second.failedOn.erase(worker);
    found->second.completedOn.insert(worker);
}

void failure_attribution::eraseOld(instant now)
{
    if (now - m_erasedAt < eraseInterval)
        return;
    m_erasedAt = now;
    const auto isOld = [now](const auto& item) { return now - item.second.lastFailureAt > retention; };
    std::erase_if(m_jobs, isOld);
    std::erase_if(m_workers, isOld);
}

/// The chance that a failure of the job there was the worker's fault, judged by the job's runs on other workers.
double failure_attribution::weightOf(const submission_id& job, const worker_boot& worker) const
{
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end())
        return 1;
    const auto& record = found->second;
    const auto failed = record.failedOn.size() - record.failedOn.count(worker);
    const auto completed = record.completedOn.size() - record.completedOn.count(worker);
    const double prior = 1; // Success of a job of which nothing is known.
    return (prior + static_cast<double>(completed)) / (prior + static_cast<double>(completed + failed));
}

double failure_attribution::blameOf(const worker_boot& worker, instant now) const
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || now - found->second.lastFailureAt > retention)
        return 0;
    double out = 0;
    for (const auto& [job, failures] : found->second.failures)
        out += failures * weightOf(job, worker);
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
