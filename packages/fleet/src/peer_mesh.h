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

/// Outgoing connections of a control replica to other controls. A connection is made when something is first sent to an
/// address, and dropped when nothing has been sent for a while.
class peer_mesh {
public:
    peer_mesh(event_loop&, const fleet_settings&, replica_id self);

    void send(replica_id to, const frame&, instant now);
    /// Answers that arrive on these connections.
    void onFrame(std::function<void(const frame&)> handler) { m_onFrame = std::move(handler); }
    /// Drops connections that are no longer used and replaces silent ones: a connection may stop passing anything on
    /// without being closed, while new ones work.
    void tick(instant now);

private:
    struct peer {
        std::unique_ptr<dialer> link;
        instant usedAt;
        instant probedAt;
        instant heardAt; ///< Last frame, or when the connection came up.
        bool isSilent { false }; ///< Has been silent and has not been heard since.
    };

    void dial(replica_id to, peer&);

    event_loop& m_loop;
    const fleet_settings& m_settings;
    replica_id m_self;
    std::map<replica_id, peer> m_peers;
    std::function<void(const frame&)> m_onFrame;
};

} // namespace poplardeal::detail
