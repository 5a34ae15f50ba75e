#include <algorithm>
#include <cmath>
#include <optional>
#include <poplardeal/jobs/speed_model.h>

namespace poplardeal {

namespace {

    constexpr double retention = 0.97; ///< Share of a deviation that is kept at each sample, so that old samples fade.
    constexpr double rebootVariance = 0.06; ///< Added for a new boot, which may be another machine.
    constexpr double outlierDeviation = 2; ///< Samples farther off, in standard deviations, get a lower weight.
    /// Two samples in a row that are this far off in the same direction mean that the speed has changed.
    constexpr double changeDeviation = 1.3;

    constexpr double maxLogRatio = 1; ///< Of a run that changes the mean of its queue.
    constexpr std::uint32_t maxQueueCount = 100;
    constexpr double queuePriorWeight = 3; ///< In samples.

    double density(double z)
    {
        constexpr double rootTwoPi = 2.50662827463100050242;
        return std::exp(-z * z / 2) / rootTwoPi;
    }

    double cumulative(double z) { return std::erfc(-z / std::sqrt(2.0)) / 2; }

    /// Density by cumulative probability, which tends to -z where both vanish.
    double hazard(double z) { return z < -8 ? -z : density(z) / cumulative(z); }

    struct distribution {
        double mean { 0 };
        double variance { 0 };
    };

    /// Of the larger of two independent normal variables, as a normal distribution (Clark 1961).
    distribution maximum(const distribution& a, const distribution& b)
    {
        const double scale = std::sqrt(a.variance + b.variance);
        const double z = (a.mean - b.mean) / scale;
        const double share = cumulative(z);
        const double mean = a.mean * share + b.mean * (1 - share) + scale * density(z);
        const double square = (a.mean * a.mean + a.variance) * share + (b.mean * b.mean + b.variance) * (1 - share)
            + (a.mean + b.mean) * scale * density(z);
        return { mean, std::max(square - mean * mean, 1e-6) };
    }

    /// A member of a unit and its two cases: it was the slowest member, or it was not.
    struct member_update {
        speed_record* record { nullptr };
        double culpability { 0 }; ///< Proportional to the chance that it was the slowest.
    };

    void limitOutlier(double deviation, double& variance)
    {
        const double excess = std::abs(deviation) / outlierDeviation;
        if (excess > 1)
            variance *= excess * excess;
    }

    /// Mean and variance of the mixture of the two cases.
    void update(speed_record& record, double chance, double logRatio, double variance)
    {
        const double total = record.variance + variance;
        const double gain = record.variance / total;
        const double slowestMean = record.mean + gain * (logRatio - record.mean);
        const double slowestVariance = record.variance * (1 - gain);
        const double z = (logRatio - record.mean) / std::sqrt(total);
        const double truncation = hazard(z);
        const double fasterMean = record.mean - record.variance / std::sqrt(total) * truncation;
        const double fasterVariance
            = record.variance * std::clamp(1 - gain * truncation * (truncation + z), 1 - gain, 1.0);
        const double difference = slowestMean - fasterMean;
        record.mean = chance * slowestMean + (1 - chance) * fasterMean;
        record.variance = chance * slowestVariance + (1 - chance) * fasterVariance
            + chance * (1 - chance) * difference * difference;
        record.variance = std::min(record.variance, speed_model::priorVariance);
    }

} // namespace

speed_record speed_model::find(const worker_boot& boot) const
{
    const auto found = m_records.find(boot.worker);
    if (found == m_records.end())
        return { boot.startedAtMs, 0, priorVariance, 0, 0 };
    auto out = found->second;
    if (boot.startedAtMs > out.startedAtMs) {
        out.startedAtMs = boot.startedAtMs;
        out.variance = std::min(out.variance + rebootVariance, priorVariance);
    }
    return out;
}

double speed_model::logSlowness(const std::vector<worker_boot>& members) const
{
    std::optional<distribution> out;
    for (const auto& member : members) {
        const auto record = find(member);
        const distribution each { record.mean, record.variance };
        out = out ? maximum(*out, each) : each;
    }
    return out ? out->mean : 0;
}

void speed_model::observe(const std::vector<worker_boot>& members, double logRatio, double variance)
{
    if (members.empty() || !std::isfinite(logRatio))
        return;
    ++m_samples;
    std::vector<member_update> updates;
    const speed_record* slowest = nullptr;
    for (const auto& member : members) {
        auto& record = m_records[member.worker];
        if (std::any_of(updates.begin(), updates.end(), [&](const auto& each) { return each.record == &record; }))
            continue;
        if (record.updated == 0 || record.startedAtMs <= member.startedAtMs) {
            const auto known
                = record.updated == 0 ? speed_record { member.startedAtMs, 0, priorVariance, 0, 0 } : find(member);
            record = known;
        }
        record.updated = m_samples;
        record.mean *= retention;
        record.variance = priorVariance + (record.variance - priorVariance) * retention * retention;
        updates.push_back({ &record, 0 });
        if (slowest == nullptr || record.mean > slowest->mean)
            slowest = &record;
    }
    const double deviation = (logRatio - slowest->mean) / std::sqrt(slowest->variance + variance);
    const bool isChange = updates.size() == 1 && std::abs(deviation) > changeDeviation
        && std::abs(slowest->surprise) > changeDeviation && deviation * slowest->surprise > 0;
    if (isChange)
        updates.front().record->variance = priorVariance;
    else
        limitOutlier(deviation, variance);
    double total = 0;
    for (auto& each : updates) {
        const double z = (logRatio - each.record->mean) / std::sqrt(each.record->variance + variance);
        each.culpability = hazard(z) / std::sqrt(each.record->variance + variance);
        total += each.culpability;
    }
    for (auto& each : updates) {
        const double chance = total > 0 ? each.culpability / total : 1.0 / static_cast<double>(updates.size());
        if (updates.size() == 1)
            each.record->surprise = deviation;
        update(*each.record, updates.size() == 1 ? 1 : chance, logRatio, variance);
    }
    evictOldest();
}

void speed_model::evictOldest()
{
    while (m_records.size() > maxWorkers) {
        const auto oldest = std::min_element(m_records.begin(), m_records.end(),
            [](const auto& a, const auto& b) { return a.second.updated < b.second.updated; });
        m_records.erase(oldest);
    }
}

void speed_model::restore(std::map<worker_id, speed_record> records)
{
    m_records = std::move(records);
    m_samples = 0;
    for (const auto& [worker, record] : m_records)
        m_samples = std::max(m_samples, record.updated);
}

log_baseline::log_baseline(
    double predicted, double predictedVariance, const log_mean& measured, double measuredVariance)
{
    const double predictedPrecision = 1 / predictedVariance;
    const double measuredPrecision = measured.count / measuredVariance;
    variance = 1 / (predictedPrecision + measuredPrecision);
    mean = variance * (predictedPrecision * predicted + measuredPrecision * measured.mean);
}

log_mean& speed_history::timeOf(const task_key& task)
{
    const auto found = std::find_if(m_steps.rbegin(), m_steps.rend(), [&task](const step_record& each) {
        return std::get<0>(each.step) == task.job && std::get<1>(each.step) == task.occurrence
            && std::get<2>(each.step) == task.step;
    });
    if (found != m_steps.rend())
        return found->time;
    m_steps.push_back({ { task.job, task.occurrence, task.step }, {} });
    if (m_steps.size() > maxSteps)
        m_steps.pop_front();
    return m_steps.back().time;
}

void speed_history::observe(const unit_sample& sample)
{
    if (sample.runTime <= duration::zero() || sample.expected <= duration::zero())
        return;
    const double logTime = std::log(std::chrono::duration<double>(sample.runTime).count());
    const double logExpected = std::log(std::chrono::duration<double>(sample.expected).count());
    const double predicted = logExpected + ordinaryLogRatio(sample.queue);
    const double before = m_model.logSlowness(sample.members);
    auto& stepTime = timeOf(sample.task);
    const log_baseline baseline(predicted, std::max(sample.spread * sample.spread, 0.01), stepTime, taskVariance);
    m_model.observe(sample.members, logTime - baseline.mean, baseline.variance + taskVariance);
    stepTime.add(logTime - m_model.logSlowness(sample.members));
    if (m_queues.size() < maxQueues || m_queues.contains(sample.queue))
        m_queues[sample.queue].add(
            std::clamp(logTime - before - logExpected, -maxLogRatio, maxLogRatio), maxQueueCount);
}

double speed_history::ordinaryLogRatio(const queue_name& queue) const
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end())
        return 0;
    const double count = found->second.count;
    return found->second.mean * count / (count + queuePriorWeight);
}

void speed_history::restore(
    std::map<worker_id, speed_record> records, std::deque<step_record> steps, std::map<queue_name, log_mean> queues)
{
    m_model.restore(std::move(records));
    m_steps = std::move(steps);
    m_queues = std::move(queues);
}

speed_estimate combine(const speed_record& a, const speed_record& b)
{
    // The prior is part of both and counts once.
    const double precision
        = std::max(1 / a.variance + 1 / b.variance - 1 / speed_model::priorVariance, 1 / speed_model::priorVariance);
    const double mean = (a.mean / a.variance + b.mean / b.variance) / precision;
    return { std::exp(mean), 1 - 1 / (precision * speed_model::priorVariance) };
}

} // namespace poplardeal
