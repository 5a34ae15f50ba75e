#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <poplardeal/wire/address.h>

namespace poplardeal::soak {

/// How a proxy treats the bytes of its connections.
enum class link_mode : std::uint8_t {
    pass,
    delay, ///< Both directions are late by `delayTime`.
    hold, ///< Nothing passes; what was sent arrives when the mode ends, as after a network partition.
    hold_requests, ///< Only bytes towards the server are held.
    hold_answers, ///< Only bytes towards the caller are held.
};

inline constexpr std::chrono::milliseconds delayTime { 120 };

/// Forwards TCP connections from one loopback address to another on a thread of its own.
class loopback_proxy {
public:
    /// Throws `boost::system::system_error` if the address cannot be bound.
    loopback_proxy(const address& listening, const address& target);
    ~loopback_proxy();
    loopback_proxy(const loopback_proxy&) = delete;
    loopback_proxy& operator=(const loopback_proxy&) = delete;

    void setMode(link_mode);
    /// Bytes a second, in each direction, of all connections together; 0: no limit. Call it before the first
    /// connection.
    void setRate(std::size_t bytesPerSecond);
    /// Resets all connections.
    void reset();
    /// Open connections never pass anything again and are not closed; new ones work.
    void silence();
    address local() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace poplardeal::soak
