#pragma once

#include <array>
#include <cstdint>
#include <poplardeal/base/time.h>
#include <poplardeal/base/verdict.h>

namespace poplardeal {

/// True if sending a request again cannot run a non-idempotent request twice. `verdict` is that of the last attempt.
bool isRetrySafe(run_verdict, bool idempotent);

struct retry_budget_settings {
    unsigned percent { 10 }; ///< Of the requests of the window.
    unsigned reserve { 3 }; ///< Allowed in each window in any case, so that a lone request can be repeated.
};

/// Bounds retries to a share of the requests of the last 10 s, so that retries cannot multiply an overload.
class retry_budget {
public:
    explicit retry_budget(retry_budget_settings = {});

    void addRequest(instant now);
    /// Takes one retry out of the budget. False if there is none left.
    bool tryRetry(instant now);

    static constexpr unsigned windowSeconds = 10;

private:
    struct second_count {
        std::int64_t second { -1 };
        std::uint64_t requests { 0 };
        std::uint64_t retries { 0 };
    };
    second_count& at(instant now);

    retry_budget_settings m_settings;
    std::array<second_count, windowSeconds> m_seconds;
};

} // namespace poplardeal
