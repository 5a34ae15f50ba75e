#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <poplardeal/fleet/settings.h>
#include <poplardeal/wire/channel.h>
#include <poplardeal/wire/event_loop.h>
#include <poplardeal/wire/message.h>
#include <string>
#include <vector>

namespace poplardeal::detail {

/// Connections of an entry or a sidecar to all controls that it knows of, and the one among them that leads. Controls
/// are learnt from the seeds of the settings and from every hint.
class leader_link {
public:
    leader_link(event_loop&, const fleet_settings&, message::process_role);

    void start(instant now);
    /// Call every `tickInterval`: probes the connections and replaces silent ones.
    void tick(instant now);
    void addSeeds(const std::vector<address>& seeds);

    /// Called when another control leads, or none.
    void onLeaderChanged(std::function<void()> handler) { m_onLeaderChanged = std::move(handler); }
    /// Frames from any control, except hints.
    void onFrame(std::function<void(const frame&)> handler) { m_onFrame = std::move(handler); }

    /// True if a leader has answered lately.
    bool hasLeader() const { return m_leader.has_value(); }
    std::uint64_t term() const { return m_term; }
    /// False if there is no leader; the frame was not sent.
    bool send(const frame&);

    static constexpr duration tickInterval = std::chrono::milliseconds(250);

private:
    struct control {
        std::unique_ptr<dialer> link;
        instant probedAt;
        instant heardAt;
        bool leads { false };
        std::uint64_t term { 0 };
        bool isSeed { false };
    };

    void add(const address& frames, bool isSeed);
    void dial(const address& frames, control&);
    void handle(const address& from, const frame&);
    void takeHint(const address& from, const message::control_hintT&);
    void chooseLeader();

    event_loop& m_loop;
    std::string m_name;
    data_centre_name m_dataCentre;
    std::uint16_t m_framePort;
    message::process_role m_role;
    std::map<address, control> m_controls;
    std::vector<std::unique_ptr<dialer>> m_retired; ///< Destroyed outside their own handlers.
    std::optional<address> m_leader;
    std::uint64_t m_term { 0 };
    std::uint64_t m_dials { 0 };
    std::function<void()> m_onLeaderChanged;
    std::function<void(const frame&)> m_onFrame;
};

} // namespace poplardeal::detail
