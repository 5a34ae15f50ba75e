#pragma once

#include <functional>
#include <map>
#include <memory>
#include <poplardeal/base/ids.h>
#include <poplardeal/fleet/settings.h>
#include <poplardeal/wire/channel.h>
#include <poplardeal/wire/event_loop.h>
#include <string>
#include <vector>

namespace poplardeal::detail {

/// Outgoing connections of a control replica to the other replicas. A connection is opened by the first `send` to a
/// replica and closed after 30 s without a `send`.
class peer_mesh {
public:
    peer_mesh(event_loop&, const fleet_settings&, replica_id self);

    /// Does nothing if `to` is this replica or 0. Frames may be lost.
    void send(replica_id to, const frame&, instant now);
    /// Called with each frame that arrives on these connections.
    void onFrame(std::function<void(const frame&)> handler) { m_onFrame = std::move(handler); }
    /// Closes idle connections, probes the others and replaces those that stay silent: a connection may stop delivering
    /// without being closed, while a new one works.
    void tick(instant now);

private:
    struct peer {
        std::unique_ptr<dialer> link;
        instant usedAt;
        instant probedAt;
        instant heardAt; ///< Last frame received, or when the connection was opened.
        bool isSilent { false }; ///< No frame has arrived since the connection was replaced for silence.
    };

    void dial(replica_id to, peer&);

    event_loop& m_loop;
    const fleet_settings& m_settings;
    replica_id m_self;
    std::map<replica_id, peer> m_peers;
    std::function<void(const frame&)> m_onFrame;
};

} // namespace poplardeal::detail
