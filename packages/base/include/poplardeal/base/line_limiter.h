#pragma once

#include <cstdint>
#include <optional>
#include <poplardeal/base/time.h>
#include <utility>

namespace poplardeal::detail {

/// Admits one log line per interval, for events whose rate others decide.
class line_limiter {
public:
    explicit line_limiter(duration interval)
        : m_interval(interval)
    {
    }

    /// The number of lines left out since the last admitted one, or nothing if this one is to be left out.
    std::optional<std::uint64_t> admit(instant now)
    {
        if (m_admittedAt && now - *m_admittedAt < m_interval) {
            ++m_leftOut;
            return std::nullopt;
        }
        m_admittedAt = now;
        return std::exchange(m_leftOut, 0);
    }

private:
    duration m_interval;
    std::optional<instant> m_admittedAt;
    std::uint64_t m_leftOut { 0 };
};

} // namespace poplardeal::detail
