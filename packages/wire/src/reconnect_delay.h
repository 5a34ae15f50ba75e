#pragma once

#include <algorithm>
#include <cstdint>
#include <poplardeal/base/time.h>
#include <random>

namespace poplardeal::detail {

/// Delays between dials: doubled after each failure from 50 ms to a limit of 2 s unless given, then shortened at random
/// by up to half. The jitter spreads the dials of many processes that lost the same peer at the same moment.
class reconnect_delay {
public:
    explicit reconnect_delay(std::uint64_t seed, duration limit = longest)
        : m_random(seed)
        , m_longest(limit)
    {
    }

    duration next()
    {
        const auto limit = m_limit;
        m_limit = std::min(m_limit * 2, m_longest);
        std::uniform_int_distribution<duration::rep> choose(limit.count() / 2, limit.count());
        return duration(choose(m_random));
    }

    void reset() { m_limit = shortest; }

    static constexpr duration shortest = std::chrono::milliseconds(50);
    static constexpr duration longest = std::chrono::seconds(2);

private:
    std::mt19937_64 m_random;
    duration m_longest;
    duration m_limit { shortest };
};

} // namespace poplardeal::detail
