#include "emulation.h"
#include <algorithm>
#include <numeric>

namespace poplardeal::emulator {

namespace {

    constexpr duration worstSpan = std::chrono::seconds(2);
    constexpr std::size_t worstSpans = 2;
    constexpr int lateFactor = 3; ///< A job that takes more objectives than this earns nothing.

} // namespace

kind_result& kind_result::operator+=(const kind_result& other)
{
    jobs += other.jobs;
    onTime += other.onTime;
    late += other.late;
    owed += other.owed;
    earned += other.earned;
    return *this;
}

double emulation_result::worth() const
{
    kind_result all;
    for (const auto& [queue, kind] : byQueue)
        all += kind;
    return all.worth();
}

double emulation_result::worstWorkspaces() const
{
    std::vector<double> worths;
    for (const auto& [name, each] : byWorkspace)
        worths.push_back(each.worth());
    if (worths.empty())
        return 1;
    std::sort(worths.begin(), worths.end());
    worths.resize((worths.size() + 9) / 10);
    return std::accumulate(worths.begin(), worths.end(), 0.0) / static_cast<double>(worths.size());
}

double emulation_result::worstQueue() const
{
    double out = 1;
    for (const auto& [queue, kind] : byQueue)
        out = std::min(out, kind.worth());
    return out;
}

double largestServed(const std::map<std::string, kind_result>& all, const std::map<std::string, kind_result>& largest)
{
    double out = 1;
    for (const auto& [queue, kind] : largest) {
        const double usual = all.at(queue).onTimeShare();
        if (usual > 0)
            out = std::min(out, kind.onTimeShare() / usual);
    }
    return out;
}

kind_result emulation::resultOf(const emulated_job& job) const
{
    kind_result out;
    out.jobs = 1;
    out.owed = job.value;
    const auto finished = m_finished.find(job.id);
    if (finished == m_finished.end())
        return out;
    const auto took = finished->second - job.arrivesAt;
    const bool isOnTime = took <= job.objective;
    const bool isLate = !isOnTime && took <= job.objective * lateFactor;
    out.onTime = isOnTime ? 1 : 0;
    out.late = isLate ? 1 : 0;
    out.earned = isOnTime ? job.value : isLate ? job.lateValue : 0;
    return out;
}

/// By kind: the least work of the largest tenth of its jobs, in core-seconds.
static std::vector<double> largestTenths(const scenario& load, const std::vector<emulated_job>& jobs)
{
    std::vector<double> out;
    for (std::size_t kind = 0; kind < load.kinds.size(); ++kind) {
        std::vector<double> works;
        for (const auto& job : jobs) {
            if (job.kind == kind)
                works.push_back(job.work);
        }
        std::sort(works.begin(), works.end());
        out.push_back(works.empty() ? 0 : works[works.size() * 9 / 10]);
    }
    return out;
}

emulation_result emulation::summarize() const
{
    auto out = m_result;
    out.lateReclaims += m_reclaimBy.size();
    const auto& leader = m_leader.statistics();
    out.starts = leader.starts;
    out.stops = leader.stops;
    out.plans = leader.plans;
    out.planTime = leader.planTime;
    out.longestPlan = leader.longestPlan;
    for (const auto& kind : m_load.kinds)
        out.byQueue[kind.queue] = {};
    std::map<std::int64_t, std::pair<double, double>> spans; // Owed and earned, by time of arrival.
    const auto limits = largestTenths(m_load, m_jobs);
    for (const auto& job : m_jobs) {
        const auto& queue = m_load.kinds[job.kind].queue;
        const auto single = resultOf(job);
        const double earned = single.earned;
        out.byQueue[queue] += single;
        out.byWorkspace[job.workspace] += single;
        if (job.work >= limits[job.kind])
            out.largestByQueue[queue] += single;
        auto& span = spans[(job.arrivesAt - m_start) / worstSpan];
        span.first += job.value;
        span.second += earned;
    }
    std::vector<double> worths;
    worths.reserve(spans.size());
    for (const auto& [number, span] : spans)
        worths.push_back(span.second / span.first);
    std::sort(worths.begin(), worths.end());
    const auto count = std::min(worths.size(), worstSpans);
    double sum = 0;
    for (std::size_t i = 0; i < count; ++i)
        sum += worths[i];
    out.worstSeconds = count == 0 ? 1 : sum / static_cast<double>(count);
    return out;
}

} // namespace poplardeal::emulator
