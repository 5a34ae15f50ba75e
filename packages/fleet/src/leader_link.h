#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <poplardeal/base/line_limiter.h>
#include <poplardeal/fleet/settings.h>
#include <poplardeal/wire/channel.h>
#include <poplardeal/wire/event_loop.h>
#include <poplardeal/wire/message.h>
#include <string>
#include <vector>

namespace poplardeal::detail {

/// Connections of an entry or a sidecar to all known controls; finds the leader among them. Controls are learnt from
/// the seeds in the settings and from `control_hint` messages. A leader that cannot be reached directly is reached
/// through an entry that relays frames.
class leader_link {
public:
    /// `relay` is the address at which this process itself relays frames; empty if it does not.
    leader_link(event_loop&, const fleet_settings&, message::process_role, std::string relay = {});

    /// Starts the timeouts of the connections that the constructor has dialed.
    void start(instant now);
    /// Call every `tickInterval`: probes the connections, replaces silent ones and opens relayed ones.
    void tick(instant now);
    void addSeeds(const std::vector<address>& seeds);

    /// Called when the leader, its term or the path to it changes, and when there is no leader any more.
    void onLeaderChanged(std::function<void()> handler) { m_onLeaderChanged = std::move(handler); }
    /// Frames from any control, except hints.
    void onFrame(std::function<void(const frame&)> handler) { m_onFrame = std::move(handler); }

    /// True if a control that leads is connected.
    bool hasLeader() const { return m_leader.has_value(); }
    /// True if the leader is reached through an entry.
    bool isRelayed() const { return m_leader && m_leader->via == path_kind::relayed; }
    /// True if a known control has this frame address.
    bool isControl(const address& controlAddress) const { return m_controls.contains(controlAddress); }
    /// Term of the current or last leader; 0 before the first one.
    std::uint64_t term() const { return m_term; }
    /// Sends a frame to the leader. False if there is no leader or its queue is full; the frame was not sent.
    bool send(const frame&);

    static constexpr duration tickInterval = std::chrono::milliseconds(100);

private:
    enum class path_kind : std::uint8_t { direct, relayed };

    /// A connection to a control, direct or through a relay.
    struct path {
        std::unique_ptr<dialer> link; ///< Null if not in use.
        instant openedAt;
        instant lastProbeAt;
        instant lastReceivedAt;
        bool isAnswering { false }; ///< A hint has arrived since the connection came up.
        bool leads { false };
        std::uint64_t term { 0 };
    };

    struct control {
        std::array<path, 2> paths; ///< Indexed by `path_kind`.
        std::size_t relayAttempts { 0 };
        bool isSeed { false };

        path& at(path_kind kind) { return paths[static_cast<std::size_t>(kind)]; }
        const path& at(path_kind kind) const { return paths[static_cast<std::size_t>(kind)]; }
    };

    struct leader_path {
        address control;
        path_kind via { path_kind::direct };

        friend bool operator==(const leader_path&, const leader_path&) = default;
    };

    void addControl(const address& controlAddress, bool isSeed);
    bool removeStalestControl(bool isForSeed);
    std::vector<address> usableAddresses(
        const std::vector<std::string>& texts, std::size_t most, const address& from, const char* list);
    void dial(const address& controlAddress, path_kind, const address& peer);
    void closePath(path&);
    void sendHello(dialer&, const address& controlAddress, path_kind);
    void handleFrame(const address& from, path_kind, const frame&);
    void applyHint(const address& from, path_kind, const message::control_hintT&);
    void chooseLeader();
    void checkPath(const address& controlAddress, path_kind, path&, instant now);
    void openRelays();
    bool needsRelay(const address& controlAddress, const control&) const;

    event_loop& m_loop;
    std::string m_name;
    data_centre_name m_dataCentre;
    std::uint16_t m_framePort;
    message::process_role m_role;
    std::string m_ownRelay;
    std::map<address, control> m_controls;
    line_limiter m_refusalLines;
    std::vector<address> m_relays; ///< Other processes that relay frames, from the last hint that named any.
    std::string m_reportedLeader; ///< Leader's frame address, from the last hint of a control that does not lead.
    std::vector<std::unique_ptr<dialer>>
        m_closedLinks; ///< Destroyed in `tick`, because a dialer must outlive its own handlers.
    std::optional<leader_path> m_leader;
    instant m_leaderLostAt;
    std::uint64_t m_term { 0 };
    std::uint64_t m_dialCount { 0 };
    std::function<void()> m_onLeaderChanged;
    std::function<void(const frame&)> m_onFrame;
};

} // namespace poplardeal::detail
