#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <poplardeal/base/time.h>
#include <poplardeal/wire/address.h>
#include <poplardeal/wire/channel.h>
#include <poplardeal/wire/event_loop.h>
#include <poplardeal/wire/message.h>
#include <unordered_map>
#include <vector>

namespace poplardeal::detail {

/// The session of a worker sidecar with the control leader: finds the leader among all controls and keeps the lease.
class control_session {
public:
    struct callbacks {
        std::function<message::helloT()> hello;
        std::function<message::session_openT()> opening;
        /// The lease now ends at this moment of the loop's clock.
        std::function<void(instant leaseEnd)> renewed;
        /// A session was opened; unanswered reports have to be sent again.
        std::function<void()> opened;
        /// Any frame but session_ack, from any control.
        std::function<void(frame)> other;
    };

    control_session(event_loop&, const std::vector<address>& controls, std::uint64_t seed, callbacks);

    void start();
    bool isOpen() const { return m_session.has_value(); }
    /// Sends over the session. False if none is open.
    bool send(const frame&);
    /// Sends to every control that is connected.
    void broadcast(const frame&);

private:
    void tick();
    void openEverywhere();
    void renew();
    void handleAck(std::size_t control, const frame&);
    std::uint64_t noteSent(instant now);

    event_loop& m_loop;
    callbacks m_callbacks;
    std::vector<std::unique_ptr<dialer>> m_controls;
    std::optional<std::size_t> m_session; ///< Index of the control that accepted it.
    event_loop::timer m_timer;
    std::uint64_t m_nextCorrelation { 1 };
    std::unordered_map<std::uint64_t, instant> m_sentAt; ///< By correlation, until the ack or the time-out.
    instant m_lastOpening;
    instant m_lastRenewal;
    instant m_lastAck;
};

} // namespace poplardeal::detail
