#include <algorithm>
#include <cmath>
#include <poplardeal/routing/endpoint_choice.h>

namespace poplardeal {
namespace detail {

    // Weight of a new call in the moving averages.
    constexpr double latencyWeight = 0.2;
    constexpr double typicalLatencyWeight = 0.02;
    // An endpoint counts as at most this much slower than the others, so that it still gets some requests when they
    // are busy.
    constexpr double maxSlowness = 16;
    // Time after which half of an endpoint's measured slowness is forgotten: without calls it could not show that it
    // has recovered.
    constexpr double slownessHalfLifeMicros = 5e6;
    // A call without answer is held against the endpoint only if the caller waited this many times as long as usual:
    // callers with short deadlines must not bring probation on good endpoints.
    constexpr double lateFactor = 4;
    // The same as long as no call has given a usual time.
    constexpr duration lateWithoutUsual = std::chrono::seconds(1);

} // namespace detail

endpoint_chooser::endpoint_chooser(choice_settings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_outliers(m_settings.outlier, seed)
    , m_random(seed)
{
}

std::optional<endpoint_id> endpoint_chooser::choose(const membership_table& table, const service_name& service,
    const std::set<endpoint_id>& excluded, bool mayProbe, instant now)
{
    const auto known = table.eligible(service, now);
    auto pool = healthyOf(known, now);
    const auto isExcluded = [&](const endpoint_record* record) { return excluded.contains(record->last.endpoint); };
    if (mayProbe) {
        auto probes = known;
        std::erase_if(probes, isExcluded);
        if (auto probe = chooseProbe(probes, now))
            return probe;
    }
    // With every endpoint on probation the cause is likely common to all, and refusing everything would not help.
    if (pool.empty())
        pool = known;
    std::erase_if(pool, isExcluded);
    if (pool.empty())
        return std::nullopt;

    candidates withFree;
    std::ranges::copy_if(pool, std::back_inserter(withFree),
        [&](const endpoint_record* record) { return expectedFree(record->last.endpoint) > 0; });
    if (withFree.empty())
        return chooseOfPair(pool, now)->last.endpoint;
    candidates near;
    std::ranges::copy_if(withFree, std::back_inserter(near),
        [&](const endpoint_record* record) { return record->last.dataCentre == m_settings.dataCentre; });
    return chooseOfPair(near.empty() ? withFree : near, now)->last.endpoint;
}

void endpoint_chooser::reported(const announcement& report, instant now)
{
    auto& state = m_loads[report.endpoint];
    state.slots = report.slots;
    state.reportedFree = static_cast<std::int64_t>(report.freeSlots) - static_cast<std::int64_t>(report.queued);
    state.releasedSince = 0;
    state.seenUntil = now - m_settings.reportMargin;
}

void endpoint_chooser::sent(const endpoint_id& endpoint, instant now) { m_loads[endpoint].inFlight.push_back(now); }

void endpoint_chooser::finished(const endpoint_id& endpoint, call_result result, instant sentAt, instant now)
{
    const auto found = m_loads.find(endpoint);
    // An endpoint that has answered others in the meantime is overloaded, not broken. Probation of overloaded endpoints
    // would take their capacity away when it is needed most.
    const bool hasAnswered = found != m_loads.end() && found->second.latencyAt > sentAt;
    if (result == call_result::late && !hasAnswered && isFarBeyondUsual(now - sentAt))
        result = call_result::failed;
    m_outliers.record(endpoint, result, now);
    if (found == m_loads.end())
        return;
    auto& state = found->second;
    const auto sent = std::ranges::find(state.inFlight, sentAt);
    if (sent != state.inFlight.end())
        state.inFlight.erase(sent);
    if (result == call_result::overloaded) {
        // The endpoint has just said that it has no room, whatever its last report said.
        state.reportedFree = std::min<std::int64_t>(state.reportedFree, 0);
        state.releasedSince = 0;
        return;
    }
    if (sentAt <= state.seenUntil)
        ++state.releasedSince;
    if (result != call_result::ok)
        return;
    const auto took = static_cast<double>((now - sentAt).count());
    state.latency = state.latency == 0 ? took : state.latency + detail::latencyWeight * (took - state.latency);
    state.latencyAt = now;
    updateTypicalLatency(took);
}

void endpoint_chooser::forget(const endpoint_id& endpoint)
{
    m_loads.erase(endpoint);
    m_outliers.forget(endpoint);
}

std::int64_t endpoint_chooser::expectedFree(const endpoint_id& endpoint) const
{
    const auto found = m_loads.find(endpoint);
    if (found == m_loads.end())
        return 0;
    const auto& state = found->second;
    const auto sentSince
        = std::ranges::count_if(state.inFlight, [&](instant sentAt) { return sentAt > state.seenUntil; });
    const auto byReport = state.reportedFree + state.releasedSince - sentSince;
    const auto byOwn = static_cast<std::int64_t>(state.slots) - static_cast<std::int64_t>(state.inFlight.size());
    return std::min(byReport, byOwn);
}

std::size_t endpoint_chooser::inFlight(const endpoint_id& endpoint) const
{
    const auto found = m_loads.find(endpoint);
    return found == m_loads.end() ? 0 : found->second.inFlight.size();
}

outlier_detector::standing endpoint_chooser::standing(const endpoint_id& endpoint, instant now) const
{
    return m_outliers.check(endpoint, now);
}

endpoint_chooser::candidates endpoint_chooser::healthyOf(const candidates& all, instant now) const
{
    candidates healthy;
    std::ranges::copy_if(all, std::back_inserter(healthy), [&](const endpoint_record* record) {
        return m_outliers.check(record->last.endpoint, now) == outlier_detector::standing::healthy;
    });
    return healthy;
}

std::optional<endpoint_id> endpoint_chooser::chooseProbe(const candidates& all, instant now)
{
    for (const auto* record : all) {
        const auto& id = record->last.endpoint;
        if (m_outliers.check(id, now) != outlier_detector::standing::probe_due)
            continue;
        m_outliers.startProbe(id, now);
        return id;
    }
    return std::nullopt;
}

const endpoint_record* endpoint_chooser::chooseOfPair(const candidates& pool, instant now)
{
    if (pool.size() == 1)
        return pool.front();
    const auto first = std::uniform_int_distribution<std::size_t>(0, pool.size() - 1)(m_random);
    auto second = std::uniform_int_distribution<std::size_t>(0, pool.size() - 2)(m_random);
    if (second >= first)
        ++second;
    const bool isFirstBetter = cost(pool[first]->last.endpoint, now) <= cost(pool[second]->last.endpoint, now);
    return isFirstBetter ? pool[first] : pool[second];
}

/// Expected delay of one more request, in units of a typical run time: its share of the busy slots times how much
/// slower the endpoint is than the others.
double endpoint_chooser::cost(const endpoint_id& endpoint, instant now) const
{
    const auto found = m_loads.find(endpoint);
    if (found == m_loads.end())
        return 1;
    const auto& state = found->second;
    const auto slots = static_cast<double>(std::max(state.slots, 1U));
    const auto busy = std::max(0.0, slots - static_cast<double>(expectedFree(endpoint)));
    return (busy + 1) / slots * slowness(state, now);
}

double endpoint_chooser::slowness(const load& state, instant now) const
{
    if (state.latency == 0 || m_typicalLatency == 0)
        return 1;
    const auto ratio = std::clamp(state.latency / m_typicalLatency, 1.0, detail::maxSlowness);
    const auto age = static_cast<double>((now - state.latencyAt).count());
    return 1 + (ratio - 1) * std::exp2(-age / detail::slownessHalfLifeMicros);
}

bool endpoint_chooser::isFarBeyondUsual(duration took) const
{
    if (m_typicalLatency == 0)
        return took >= detail::lateWithoutUsual;
    return static_cast<double>(took.count()) >= detail::lateFactor * m_typicalLatency;
}

void endpoint_chooser::updateTypicalLatency(double latency)
{
    if (m_typicalLatency == 0)
        m_typicalLatency = latency;
    m_typicalLatency += detail::typicalLatencyWeight * (latency - m_typicalLatency);
}

} // namespace poplardeal
