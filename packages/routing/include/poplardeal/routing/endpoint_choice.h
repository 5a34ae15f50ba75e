#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <poplardeal/routing/membership.h>
#include <poplardeal/routing/outlier.h>
#include <random>
#include <set>
#include <vector>

namespace poplardeal {

struct choice_settings {
    data_centre_name dataCentre; ///< Of the entry. Its endpoints are preferred.
    outlier_settings outlier;
    /// Requests sent this long before a report arrives are taken as not yet seen by it: two hops of 1.4 ms and the
    /// time that both processes need.
    duration reportMargin { std::chrono::milliseconds(5) };
};

/// Chooses an endpoint for each request of one entry.
///
/// Of two random endpoints that have a free slot, the one with the lower expected delay gets the request. Free slots
/// are those of the last report, corrected by the requests this entry has sent and finished since. The random pair
/// keeps entries that hold the same reports from choosing the same endpoint.
///
///     if (auto chosen = chooser.choose(table, service, {}, true, now)) {
///         chooser.sent(*chosen, now);
///         ...
///         chooser.finished(*chosen, call_result::ok, sentAt, later);
///     }
class endpoint_chooser {
public:
    endpoint_chooser(choice_settings, std::uint64_t seed);

    /// Nothing if no endpoint outside `excluded` may get the request. `mayProbe`: the request can be repeated and may
    /// serve as the probe of an endpoint on probation.
    std::optional<endpoint_id> choose(const membership_table&, const service_name&,
        const std::set<endpoint_id>& excluded, bool mayProbe, instant now);

    void reported(const announcement&, instant now);
    void sent(const endpoint_id&, instant now);
    void finished(const endpoint_id&, call_result, instant sentAt, instant now);
    void forget(const endpoint_id&);

    /// Free slots expected at the endpoint now; negative if requests wait there.
    std::int64_t expectedFree(const endpoint_id&) const;
    std::size_t inFlight(const endpoint_id&) const;
    outlier_detector::standing standing(const endpoint_id&, instant now) const;

private:
    struct load {
        std::uint32_t slots { 0 };
        std::int64_t reportedFree { 0 }; ///< Free slots less queued requests.
        std::int64_t releasedSince { 0 }; ///< Finished since the report, sent before it.
        instant seenUntil; ///< Requests sent up to here are part of the report.
        std::vector<instant> inFlight;
        double latency { 0 }; ///< Moving average over good calls, in microseconds.
        instant latencyAt; ///< Time of the last good answer.
    };
    using candidates = std::vector<const endpoint_record*>;

    candidates healthyOf(const candidates&, instant now) const;
    std::optional<endpoint_id> chooseProbe(const candidates&, instant now);
    const endpoint_record* chooseOfPair(const candidates&, instant now);
    double cost(const endpoint_id&, instant now) const;
    double slowness(const load&, instant now) const;
    bool isFarBeyondUsual(duration took) const;
    void updateTypicalLatency(double latency);

    choice_settings m_settings;
    outlier_detector m_outliers;
    std::mt19937_64 m_random;
    std::map<endpoint_id, load> m_loads;
    double m_typicalLatency { 0 };
};

} // namespace poplardeal
