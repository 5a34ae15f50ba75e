#pragma once

#include <cstdint>
#include <optional>
#include <poplardeal/routing/membership.h>
#include <random>

namespace poplardeal {

/// Baseline for benchmarks: any endpoint of the service with equal probability, whatever its load and health.
class random_chooser {
public:
    explicit random_chooser(std::uint64_t seed)
        : m_random(seed)
    {
    }

    std::optional<endpoint_id> choose(const membership_table& table, const service_name& service, instant now)
    {
        const auto known = table.eligible(service, now);
        if (known.empty())
            return std::nullopt;
        return known[std::uniform_int_distribution<std::size_t>(0, known.size() - 1)(m_random)]->last.endpoint;
    }

private:
    std::mt19937_64 m_random;
};

} // namespace poplardeal
