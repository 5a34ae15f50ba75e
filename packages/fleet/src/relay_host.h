#pragma once

#include <functional>
#include <map>
#include <memory>
#include <poplardeal/base/failure.h>
#include <poplardeal/wire/address.h>
#include <poplardeal/wire/channel.h>
#include <poplardeal/wire/event_loop.h>
#include <vector>

namespace poplardeal::detail {

/// Relays frames between processes that cannot reach a control directly and that control. Each connection begins
/// with `relay_open`; all later frames go unchanged in both directions until one side closes.
class relay_host {
public:
    /// Serves at most `most` connections, each with two descriptors. Only addresses for which `isControl` holds are
    /// dialed.
    relay_host(event_loop&, std::function<bool(const address&)> isControl, std::size_t most = maxConnections);

    /// `io_error` if the address cannot be bound.
    result<void> open(const address& own);
    address local() const { return m_listener->local(); }
    std::size_t connectionCount() const { return m_connections.size(); }

    /// Further connections are refused. An entry serves a share of the instances that are cut off at the same time.
    static constexpr std::size_t maxConnections = 512;
    static constexpr std::size_t maxFirstBody = std::size_t { 64 } * 1024;
    /// Share of the connections that may be without a `relay_open`, which is sent at once.
    static constexpr std::size_t unopenedFraction = 2;
    /// Frames that wait for the upstream connection; more close both connections.
    static constexpr std::size_t maxQueuedFrames = 64;
    /// Both connections are closed if the upstream one takes longer.
    static constexpr duration dialTimeout = std::chrono::seconds(1);

private:
    struct relayed_connection {
        std::unique_ptr<channel> downstream;
        std::unique_ptr<dialer> upstream;
        std::vector<frame> queuedFrames;
        event_loop::timer dialTimer;
    };

    void accept(std::unique_ptr<channel>);
    void handleFrame(std::uint64_t id, frame);
    void connect(std::uint64_t id, relayed_connection&, const address& target);
    void close(std::uint64_t id, const char* reason);

    event_loop& m_loop;
    std::function<bool(const address&)> m_isControl;
    std::size_t m_maxConnections;
    std::map<std::uint64_t, relayed_connection> m_connections;
    std::uint64_t m_lastConnectionId { 0 };
    std::unique_ptr<listener> m_listener;
};

} // namespace poplardeal::detail
