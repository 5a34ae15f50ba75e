#include <algorithm>
#include <bit>
#include <poplardeal/routing/outlier.h>
#include <xxhash.h>

namespace poplardeal {
namespace detail {

    /// Factor from 0.8 to 1.2. Without it, entries that saw one outage would probe at the same moment.
    static double backOffJitter(std::uint64_t seed, const endpoint_id& endpoint, unsigned level)
    {
        const auto hash = XXH3_64bits_withSeed(endpoint.value().data(), endpoint.value().size(), seed + level);
        return 0.8 + 0.4 * static_cast<double>(hash % 1000) / 1000.0;
    }

} // namespace detail

outlier_detector::outlier_detector(outlier_settings settings, std::uint64_t seed)
    : m_settings(settings)
    , m_seed(seed)
{
    // The history of calls is one machine word.
    m_settings.window = std::clamp(m_settings.window, 1U, 64U);
}

outlier_detector::standing outlier_detector::check(const endpoint_id& endpoint, instant now) const
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end() || !found->second.onProbation)
        return standing::healthy;
    const auto& state = found->second;
    if (state.probing)
        return now - state.probeStarted >= m_settings.probeTimeout ? standing::probe_due : standing::waiting;
    return now >= state.retryAt ? standing::probe_due : standing::waiting;
}

void outlier_detector::startProbe(const endpoint_id& endpoint, instant now)
{
    auto& state = m_endpoints[endpoint];
    state.probing = true;
    state.probeStarted = now;
}

void outlier_detector::record(const endpoint_id& endpoint, call_result result, instant now)
{
    auto& state = m_endpoints[endpoint];
    if (result == call_result::overloaded || result == call_result::late) {
        state.probing = false;
        return;
    }
    if (result == call_result::failed)
        recordFailure(endpoint, state, now);
    else
        recordOk(state);
}

void outlier_detector::forget(const endpoint_id& endpoint) { m_endpoints.erase(endpoint); }

void outlier_detector::recordOk(health& state)
{
    if (state.onProbation && !state.probing)
        return; // A call from before the probation; only a probe readmits.
    if (state.onProbation) {
        state.onProbation = false;
        state.probing = false;
        state.trialLeft = m_settings.callsOnTrial;
        state.recent = 0;
        state.successesInRow = 0;
    }
    state.failuresInRow = 0;
    state.recent <<= 1;
    ++state.successesInRow;
    if (state.trialLeft > 0)
        --state.trialLeft;
    if (state.successesInRow >= m_settings.window)
        state.level = 0;
}

void outlier_detector::recordFailure(const endpoint_id& endpoint, health& state, instant now)
{
    if (state.onProbation) {
        // Calls from before the probation do not lengthen it.
        if (state.probing)
            beginProbation(endpoint, state, now);
        return;
    }
    ++state.failuresInRow;
    state.successesInRow = 0;
    state.recent = (state.recent << 1) | 1;
    const auto mask = m_settings.window == 64 ? ~0ULL : (1ULL << m_settings.window) - 1;
    const auto failures = static_cast<unsigned>(std::popcount(state.recent & mask));
    const bool failsInRow = state.failuresInRow >= m_settings.consecutiveFailures;
    if (failsInRow || failures >= m_settings.failuresInWindow || state.trialLeft > 0)
        beginProbation(endpoint, state, now);
}

void outlier_detector::beginProbation(const endpoint_id& endpoint, health& state, instant now)
{
    const auto shift = std::min(state.level, 20U);
    const auto backOff = std::min<duration>(m_settings.firstBackOff * (1LL << shift), m_settings.maxBackOff);
    const auto jittered = static_cast<double>(backOff.count()) * detail::backOffJitter(m_seed, endpoint, state.level);
    state.onProbation = true;
    state.probing = false;
    state.failuresInRow = 0;
    state.recent = 0;
    state.retryAt = now + duration(static_cast<duration::rep>(jittered));
    ++state.level;
}

} // namespace poplardeal
