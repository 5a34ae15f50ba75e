#include <algorithm>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <poplardeal/jobs/interference_table.h>

namespace poplardeal {

namespace {

    constexpr double smallestSlowdown = 0.0488; ///< Logarithm of 1.05; less is not worth another placement.
    constexpr double leastKnownSlowdown = 0.0953; ///< Logarithm of 1.1.
    constexpr double knownCertainty = 0.9995;
    constexpr double forgottenCertainty = 0.95;
    constexpr double leastWeight = 5; ///< Of six samples with the fading below.
    constexpr double fading = 0.93; ///< Factor on the weight of earlier samples.
    constexpr double leastDeviation = 0.03; ///< Steps that agree by chance give no smaller one.
    constexpr std::size_t leastGroup = 2; ///< Runs with the cause, and without it, that make a step a sample.
    /// Share of a run for which a neighbour may be missing, or be there, and still count as whole or never.
    constexpr double presenceTolerance = 0.2;

    duration scaled(duration d, double factor)
    {
        return duration(static_cast<duration::rep>(static_cast<double>(d.count()) * factor));
    }

    double median(std::vector<double> values)
    {
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), middle, values.end());
        return *middle;
    }

    /// One-sided t-test of the mean against `smallestSlowdown`.
    double certaintyOf(const pair_record& pair)
    {
        if (pair.weight <= 1)
            return 0;
        const double deviation = std::max(std::sqrt(pair.spread / pair.weight), leastDeviation);
        const double t = (pair.mean - smallestSlowdown) / (deviation / std::sqrt(pair.weight));
        return boost::math::cdf(boost::math::students_t(pair.weight - 1), t);
    }

    void addSample(pair_record& pair, double value)
    {
        pair.weight *= fading;
        pair.spread *= fading;
        pair.weight += 1;
        const double deviation = value - pair.mean;
        pair.mean += deviation / pair.weight;
        pair.spread += deviation * (value - pair.mean);
    }

    bool hasKind(std::uint32_t mask, std::uint32_t kind) { return (mask >> kind & 1U) != 0; }

    /// A sample and the logarithm of its run time on an ordinary worker, in seconds.
    using timed_sample = std::pair<const neighbour_sample*, double>;

    /// Adds the difference between the runs of a step that had the cause beside them and those that did not.
    void evaluate(const std::vector<timed_sample>& samples, std::uint32_t cause, pair_record& pair)
    {
        std::vector<double> beside;
        std::vector<double> apart;
        for (const auto& [sample, logTime] : samples) {
            if (hasKind(sample->beside, cause))
                beside.push_back(logTime);
            else if (hasKind(sample->apart, cause))
                apart.push_back(logTime);
        }
        if (beside.size() < leastGroup || apart.size() < leastGroup)
            return;
        addSample(pair, median(std::move(beside)) - median(std::move(apart)));
        const double certainty = certaintyOf(pair);
        if (pair.weight >= leastWeight && pair.mean >= leastKnownSlowdown && certainty >= knownCertainty)
            pair.isKnown = true;
        else if (certainty < forgottenCertainty)
            pair.isKnown = false;
    }

} // namespace

task_kind kindOf(const queue_name& queue, std::uint32_t stepIndex, const step_spec& step)
{
    return task_kind(step.image.empty() ? queue.value() + "/" + std::to_string(stepIndex) : step.image);
}

std::uint32_t interference_table::findIndex(const task_kind& kind) const
{
    const auto& kinds = m_records.kinds;
    const auto found = std::find(kinds.begin(), kinds.end(), kind);
    return found == kinds.end() ? static_cast<std::uint32_t>(maxKinds)
                                : static_cast<std::uint32_t>(found - kinds.begin());
}

std::uint32_t interference_table::indexOf(const task_kind& kind)
{
    const auto known = findIndex(kind);
    if (known < maxKinds || m_records.kinds.size() == maxKinds)
        return known;
    m_records.kinds.push_back(kind);
    return static_cast<std::uint32_t>(m_records.kinds.size() - 1);
}

void interference_table::didBegin(const worker_boot& worker, const task_kind& kind, instant at)
{
    const auto index = indexOf(kind);
    if (index == maxKinds)
        return;
    auto& there = m_records.presence[worker];
    auto found = std::find_if(there.begin(), there.end(), [&](const auto& each) { return each.kind == index; });
    if (found == there.end())
        found = there.insert(there.end(), { index, 0, at, {} });
    if (found->running++ == 0)
        found->since = at;
}

void interference_table::didEnd(const worker_boot& worker, const task_kind& kind, instant at)
{
    const auto found = m_records.presence.find(worker);
    if (found == m_records.presence.end())
        return;
    const auto index = findIndex(kind);
    for (auto& each : found->second) {
        if (each.kind == index && each.running > 0) {
            --each.running;
            each.lastEnd = at;
        }
    }
    // What begins later on an empty worker has had nothing beside it.
    if (std::all_of(found->second.begin(), found->second.end(), [](const auto& each) { return each.running == 0; }))
        m_records.presence.erase(found);
}

void interference_table::didComplete(
    const step_key& step, const worker_boot& worker, const task_kind& kind, instant startedAt, instant at)
{
    const auto own = indexOf(kind);
    const auto runTime = at - startedAt;
    if (own == maxKinds || runTime <= duration::zero())
        return;
    if (!m_records.steps.contains(step) && m_records.steps.size() == maxSteps)
        return;
    auto& samples = m_records.steps[step];
    if (samples.size() == maxSamplesPerStep)
        return;
    neighbour_sample out;
    out.worker = worker;
    out.runTime = runTime;
    out.apart = ~(1U << own);
    const auto tolerated = startedAt + scaled(runTime, presenceTolerance);
    if (const auto found = m_records.presence.find(worker); found != m_records.presence.end()) {
        for (const auto& each : found->second) {
            const auto bit = 1U << each.kind;
            if (each.kind == own)
                continue;
            if (each.running > 0 && each.since <= tolerated)
                out.beside |= bit;
            if (each.running > 0 || each.lastEnd > tolerated)
                out.apart &= ~bit;
        }
    }
    samples.push_back(out);
}

bool interference_table::canCompare(const step_key& step) const
{
    const auto found = m_records.steps.find(step);
    return found != m_records.steps.end() && found->second.size() >= 2 * leastGroup
        && std::any_of(found->second.begin(), found->second.end(), [](const auto& each) { return each.beside != 0; });
}

void interference_table::didCompleteStep(
    const step_key& step, const task_kind& kind, const std::map<worker_boot, double>& slowness)
{
    const auto samples = m_records.steps.extract(step);
    const auto affected = findIndex(kind);
    if (samples.empty() || affected == maxKinds)
        return;
    std::vector<timed_sample> timed;
    for (const auto& each : samples.mapped()) {
        if (const auto known = slowness.find(each.worker); known != slowness.end() && known->second > 0)
            timed.emplace_back(&each, std::log(std::chrono::duration<double>(each.runTime).count() / known->second));
    }
    for (std::uint32_t cause = 0; cause < m_records.kinds.size(); ++cause) {
        if (cause == affected)
            continue;
        const auto known = m_records.pairs.find({ affected, cause });
        auto pair = known != m_records.pairs.end() ? known->second : pair_record();
        evaluate(timed, cause, pair);
        if (pair.weight > 0)
            m_records.pairs[{ affected, cause }] = pair;
    }
}

void interference_table::didEndJob(const submission_id& job)
{
    const auto first = m_records.steps.lower_bound({ job, 0, 0 });
    auto last = first;
    while (last != m_records.steps.end() && last->first.job == job)
        ++last;
    m_records.steps.erase(first, last);
}

double interference_table::slowdown(const task_kind& affected, const task_kind& cause) const
{
    const auto found = m_records.pairs.find({ findIndex(affected), findIndex(cause) });
    return found != m_records.pairs.end() && found->second.isKnown ? std::exp(found->second.mean) : 1;
}

std::vector<interference_estimate> interference_table::estimates() const
{
    std::vector<interference_estimate> out;
    for (const auto& [kinds, pair] : m_records.pairs) {
        if (pair.isKnown)
            out.push_back({ m_records.kinds[kinds.first], m_records.kinds[kinds.second], std::exp(pair.mean),
                certaintyOf(pair) });
    }
    return out;
}

bool interference_table::hasEstimates() const
{
    return std::any_of(
        m_records.pairs.begin(), m_records.pairs.end(), [](const auto& each) { return each.second.isKnown; });
}

} // namespace poplardeal
