#include <poplardeal/routing/retry.h>

namespace poplardeal {

bool isRetrySafe(run_verdict verdict, bool idempotent) { return idempotent || verdict == run_verdict::not_run; }

retry_budget::retry_budget(retry_budget_settings settings)
    : m_settings(settings)
{
}

void retry_budget::addRequest(instant now) { ++at(now).requests; }

bool retry_budget::tryRetry(instant now)
{
    auto& current = at(now);
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (const auto& count : m_seconds) {
        if (count.second <= current.second - windowSeconds)
            continue;
        requests += count.requests;
        retries += count.retries;
    }
    if (retries >= m_settings.reserve + requests * m_settings.percent / 100)
        return false;
    ++current.retries;
    return true;
}

retry_budget::second_count& retry_budget::at(instant now)
{
    const auto second = toMicros(now) / 1'000'000;
    auto& count = m_seconds[static_cast<std::size_t>(second) % windowSeconds];
    if (count.second != second)
        count = second_count { second, 0, 0 };
    return count;
}

} // namespace poplardeal
