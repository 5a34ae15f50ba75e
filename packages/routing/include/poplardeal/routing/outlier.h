#pragma once

#include <cstdint>
#include <map>
#include <poplardeal/base/ids.h>
#include <poplardeal/base/time.h>

namespace poplardeal {

/// How a request sent to an endpoint ended, as far as the choice of endpoints is concerned.
enum class call_result {
    ok,
    overloaded, ///< Refused for lack of room. Says nothing about the health of the endpoint.
    failed, ///< Error answer or lost connection.
    late, ///< No answer by the caller's deadline. The chooser counts it as failed if the endpoint gave no answer
          ///< for far longer than usual.
};

struct outlier_settings {
    unsigned consecutiveFailures { 3 };
    unsigned window { 20 }; ///< Calls over which the share of failures is measured.
    unsigned failuresInWindow { 10 };
    duration firstBackOff { std::chrono::seconds(1) };
    duration maxBackOff { std::chrono::seconds(30) };
    duration probeTimeout { std::chrono::seconds(30) }; ///< A probe without result is given up after this time.
    unsigned callsOnTrial { 10 }; ///< After readmission one failure within so many calls brings probation back.
};

/// Detects endpoints that fail, fast or by timeout, and keeps load from them.
///
/// An endpoint on probation gets nothing until its back-off is over, then one probe at a time. A probe that succeeds
/// readmits it; one that fails doubles the back-off.
class outlier_detector {
public:
    explicit outlier_detector(outlier_settings = {}, std::uint64_t seed = 0);

    enum class standing {
        healthy,
        waiting, ///< On probation; back-off not over or a probe under way.
        probe_due,
    };
    standing check(const endpoint_id&, instant now) const;

    /// The next result recorded for the endpoint is that of a probe.
    void startProbe(const endpoint_id&, instant now);
    void record(const endpoint_id&, call_result, instant now);
    void forget(const endpoint_id&);

private:
    struct health {
        unsigned failuresInRow { 0 };
        unsigned successesInRow { 0 };
        std::uint64_t recent { 0 }; ///< One bit a call, the newest lowest; 1 is a failure.
        unsigned level { 0 }; ///< Number of back-offs in a row; the next one lasts `firstBackOff << level`.
        unsigned trialLeft { 0 };
        bool onProbation { false };
        bool probing { false };
        instant retryAt;
        instant probeStarted;
    };

    void recordOk(health&);
    void recordFailure(const endpoint_id&, health&, instant now);
    void beginProbation(const endpoint_id&, health&, instant now);

    outlier_settings m_settings;
    std::uint64_t m_seed;
    std::map<endpoint_id, health> m_endpoints;
};

} // namespace poplardeal
