#include <algorithm>
#include <cmath>
#include <poplardeal/jobs/run_time_model.h>

namespace poplardeal {

namespace {

    /// Variances assumed before there are measurements, with the weight of this many measurements. A declaration is at
    /// first trusted more than the mean of a queue whose jobs may differ by factors.
    constexpr double priorCount = 2;
    constexpr double priorBiasVariance = 0.25;
    constexpr double priorQueueVariance = 1.0;

    double logMs(duration d) { return std::log(std::chrono::duration<double, std::milli>(d).count()); }

    void add(double value, std::uint32_t count, double& mean, double& spread)
    {
        const double before = value - mean;
        mean += before / count;
        spread += before * (value - mean);
    }

    double variance(double spread, std::uint32_t count, double prior)
    {
        return (spread + priorCount * prior) / (count + priorCount);
    }

} // namespace

void run_time_model::observe(const queue_name& queue, duration declared, duration measured)
{
    if (measured < shortest || measured > longest || declared <= duration::zero())
        return;
    auto& record = m_records[queue];
    ++record.count;
    add(logMs(measured), record.count, record.meanLog, record.spreadLog);
    add(logMs(measured) - logMs(std::max(declared, shortest)), record.count, record.meanBias, record.spreadBias);
}

duration run_time_model::expected(const queue_name& queue, duration declared) const
{
    const auto known = std::max(declared, shortest);
    const auto found = m_records.find(queue);
    if (found == m_records.end())
        return known;
    const auto& record = found->second;
    const double count = record.count;
    const double biasWeight = count / (count + priorCount);
    const double byDeclaration = logMs(known) + biasWeight * record.meanBias;
    const double declarationTrust = 1 / variance(record.spreadBias, record.count, priorBiasVariance);
    const double queueTrust = biasWeight / variance(record.spreadLog, record.count, priorQueueVariance);
    const double blended
        = (declarationTrust * byDeclaration + queueTrust * record.meanLog) / (declarationTrust + queueTrust);
    const auto milliseconds = std::chrono::duration<double, std::milli>(std::exp(blended));
    return std::clamp(std::chrono::duration_cast<duration>(milliseconds), shortest, longest);
}

} // namespace poplardeal
