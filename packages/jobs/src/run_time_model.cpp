#include <algorithm>
#include <cmath>
#include <poplardeal/jobs/run_time_model.h>

namespace poplardeal {

namespace {

    /// Prior variances, with the weight of this many measurements. Initially a declared run time is trusted more than
    /// the mean of its queue, because jobs of one queue may differ by factors.
    constexpr double priorWeight = 2;
    constexpr double priorBiasVariance = 0.25;
    constexpr double priorQueueVariance = 1.0;

    double logMs(duration d) { return std::log(std::chrono::duration<double, std::milli>(d).count()); }

    /// Adds a value to a mean and a sum of squared deviations (Welford's algorithm); `count` includes the value.
    void updateMean(double value, std::uint32_t count, double& mean, double& spread)
    {
        const double deviation = value - mean;
        mean += deviation / count;
        spread += deviation * (value - mean);
    }

    double variance(double spread, std::uint32_t count, double prior)
    {
        return (spread + priorWeight * prior) / (count + priorWeight);
    }

} // namespace

void run_time_model::observe(const queue_name& queue, duration declared, duration measured)
{
    if (measured < minRunTime || measured > maxRunTime || declared <= duration::zero())
        return;
    auto& record = m_records[queue];
    ++record.count;
    updateMean(logMs(measured), record.count, record.meanLog, record.spreadLog);
    updateMean(
        logMs(measured) - logMs(std::max(declared, minRunTime)), record.count, record.meanBias, record.spreadBias);
}

duration run_time_model::expected(const queue_name& queue, duration declared) const
{
    const auto plausibleDeclared = std::max(declared, minRunTime);
    const auto found = m_records.find(queue);
    if (found == m_records.end())
        return plausibleDeclared;
    const auto& record = found->second;
    const double count = record.count;
    const double biasWeight = count / (count + priorWeight);
    const double declarationLog = logMs(plausibleDeclared) + biasWeight * record.meanBias;
    const double declarationPrecision = 1 / variance(record.spreadBias, record.count, priorBiasVariance);
    const double queuePrecision = biasWeight / variance(record.spreadLog, record.count, priorQueueVariance);
    const double weightedMean = (declarationPrecision * declarationLog + queuePrecision * record.meanLog)
        / (declarationPrecision + queuePrecision);
    const auto milliseconds = std::chrono::duration<double, std::milli>(std::exp(weightedMean));
    return std::clamp(std::chrono::duration_cast<duration>(milliseconds), minRunTime, maxRunTime);
}

double run_time_model::spread(const queue_name& queue) const
{
    const auto found = m_records.find(queue);
    const auto record = found == m_records.end() ? run_time_record() : found->second;
    const double precision = 1 / variance(record.spreadBias, record.count, priorBiasVariance)
        + record.count / (record.count + priorWeight) / variance(record.spreadLog, record.count, priorQueueVariance);
    return 1 / std::sqrt(precision);
}

} // namespace poplardeal
