#include "placement_round.h"

/// What the rank of the waiting units depends on.
namespace poplardeal::detail {

namespace {

    /// Of a late job's value, as users state it for urgent work.
    constexpr double lateValue = 0.2;
    constexpr double expiredValue = 0.1; // Above 0, as the result is still owed to the client.
    constexpr int expiryFactor = 3; // A job that takes more than this many objectives earns nothing.
    constexpr double baseValue = 0.3; ///< Share of a mean job's value that does not grow with its work.
    constexpr double minimumWork = 1e-3; ///< Avoids a division by 0.

    constexpr duration agedTurn = std::chrono::seconds(10); ///< About the longest run that a large job waits for.
    constexpr std::size_t maxAgedJobs = 4; ///< Of a priority, that take turns.

    double seconds(duration d) { return std::chrono::duration<double>(d).count(); }

    /// Core-seconds of the units of an occurrence.
    struct occurrence_work {
        double total { 0 };
        double waiting { 0 };
    };

    occurrence_work workOf(const submission& job, std::uint32_t occurrence, const occurrence_times& times)
    {
        occurrence_work out;
        for (std::uint32_t s = 0; s < job.spec.steps.size(); ++s) {
            const auto& step = job.spec.steps[s];
            const double unitWork = weightInCores(step.need) * seconds(times.expectedRunTimes[s]) * memberCount(step);
            const auto& units = job.occurrences[occurrence].steps[s].units;
            const auto waiting = std::count_if(
                units.begin(), units.end(), [](const unit& each) { return each.phase == unit_phase::waiting; });
            out.total += unitWork * static_cast<double>(units.size());
            out.waiting += unitWork * static_cast<double>(waiting);
        }
        return out;
    }

    /// Yield by the size of a job, in multiples of the mean work of its queue.
    double sizeYield(const order_options& options, double size)
    {
        if (size >= options.largeSize)
            return options.largeYield;
        const double value = baseValue + (1 - baseValue) * size;
        return std::min(value / std::max(size, minimumWork), options.maxSizeYield);
    }

    struct running_mean {
        double sum { 0 };
        std::size_t count { 0 };
    };

} // namespace

/// Sequences of the jobs that go first within their priority, one of each: of those that have waited for longer than
/// any job may, the oldest ones by turns, as a job may fit nowhere. While one of them runs, no other follows.
std::set<std::uint64_t> placement_round::agedJobs() const
{
    std::map<std::uint32_t, std::set<std::uint64_t>> waiting; // By priority.
    std::map<std::uint32_t, std::uint64_t> running;
    for (const auto& id : m_input.table.openJobs()) {
        const auto& job = *m_input.table.find(id);
        if (job.isTerminal())
            continue;
        for (std::uint32_t o = 0; o < job.occurrences.size(); ++o) {
            const auto agedAt = std::max(job.acceptedAt, dueTime(job.spec, o)) + m_options.order.maxWait;
            if (m_input.wallClock < agedAt)
                continue;
            for (std::uint32_t s = 0; s < job.spec.steps.size(); ++s) {
                const auto& units = job.occurrences[o].steps[s].units;
                if (std::any_of(
                        units.begin(), units.end(), [](const unit& u) { return u.phase == unit_phase::waiting; }))
                    waiting[job.priority].insert(job.sequence);
                if (!job.spec.steps[s].longRunning && std::any_of(units.begin(), units.end(), [agedAt](const unit& u) {
                        return u.isActive() && u.startedAt >= agedAt;
                    }))
                    running.emplace(job.priority, job.sequence);
            }
        }
    }
    std::set<std::uint64_t> out;
    for (const auto& [priority, jobs] : waiting) {
        const auto turn = static_cast<std::size_t>(m_input.wallClock.time_since_epoch() / agedTurn);
        const auto chosen
            = std::next(jobs.begin(), static_cast<std::ptrdiff_t>(turn % std::min(jobs.size(), maxAgedJobs)));
        const auto other = running.find(priority);
        out.insert(other == running.end() ? *chosen : other->second);
    }
    return out;
}

std::vector<std::size_t> placement_round::rankCandidates(const std::vector<candidate>& candidates) const
{
    std::vector<waiting_work> out;
    out.reserve(candidates.size());
    std::unordered_map<std::string_view, running_mean> meanWork; // By queue.
    std::vector<occurrence_work> works(candidates.size());
    const bool usesValue = m_options.order.order == work_order::value;
    const auto aged = usesValue ? agedJobs() : std::set<std::uint64_t>();
    occurrence_work work;
    const occurrence_times* times = nullptr;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& item = candidates[i];
        if (i == 0 || candidates[i - 1].job != item.job || candidates[i - 1].key.occurrence != item.key.occurrence) {
            times = &timesOf(*item.job, item.key.occurrence);
            if (usesValue) {
                work = workOf(*item.job, item.key.occurrence, *times);
                auto& mean = meanWork[item.job->queue.value()];
                mean.sum += work.total;
                ++mean.count;
            }
        }
        works[i] = work;
        waiting_work each;
        each.isGuaranteed = item.isGuaranteed;
        each.priority = item.job->priority;
        each.status = item.deadlineStatus;
        each.deadline = item.deadline;
        each.valueEnd = item.deadlineStatus == deadline_status::on_time
            ? item.deadline
            : times->objectiveStart + times->objective * expiryFactor;
        each.isAged = aged.contains(item.job->sequence);
        each.runTime = times->criticalPaths[item.key.step];
        each.workspace = &item.job->workspace;
        each.sequence = item.job->sequence;
        each.occurrence = item.key.occurrence;
        each.step = item.key.step;
        each.unit = item.key.unit;
        out.push_back(each);
    }
    if (!usesValue)
        return rankWork(m_options.order, out, {}, m_input.wallClock);
    for (std::size_t i = 0; i < out.size(); ++i) {
        const auto& mean = meanWork.at(candidates[i].job->queue.value());
        const double size = works[i].total * static_cast<double>(mean.count) / std::max(mean.sum, minimumWork);
        const double share = out[i].status == deadline_status::on_time ? 1
            : out[i].status == deadline_status::late                   ? lateValue
                                                                       : expiredValue;
        const double left = works[i].waiting / std::max(works[i].total, minimumWork);
        out[i].yield = share * sizeYield(m_options.order, size) / std::max(left, minimumWork);
    }
    const auto shares = relativeUse(m_input.table.usage(), m_input.table.plan().workspaces, m_input.wallClock);
    return rankWork(m_options.order, out, shares, m_input.wallClock);
}

} // namespace poplardeal::detail
