#include "peer_mesh.h"
#include "replica_address.h"
#include <nlohmann/json.hpp>
#include <poplardeal/base/log.h>
#include <poplardeal/wire/message.h>

namespace poplardeal::detail {

namespace {

    constexpr duration maxRedialDelay = std::chrono::milliseconds(300); // Below the election timeout.
    constexpr duration idleTimeout = std::chrono::seconds(30);
    constexpr duration probeInterval = std::chrono::milliseconds(500);
    constexpr duration silenceTimeout = std::chrono::milliseconds(1500); ///< Allows two late probes.

} // namespace

peer_mesh::peer_mesh(event_loop& loop, const fleet_settings& settings, replica_id self)
    : m_loop(loop)
    , m_settings(settings)
    , m_self(self)
{
}

void peer_mesh::send(replica_id to, const frame& out, instant now)
{
    if (to == m_self || to.value() == 0)
        return;
    auto& destination = m_peers[to];
    destination.usedAt = now;
    if (!destination.link)
        dial(to, destination);
    destination.link->send(out);
}

void peer_mesh::dial(replica_id to, peer& destination)
{
    const std::uint64_t seed = (std::uint64_t { m_self.value() } << 32) | to.value();
    destination.link
        = std::make_unique<dialer>(m_loop, address { ipFromReplicaId(to), m_settings.framePort }, seed, maxRedialDelay);
    destination.heardAt = m_loop.now();
    auto* link = destination.link.get();
    link->onUp([this, to, link] {
        message::helloT hello;
        hello.role = message::process_role::control;
        hello.name = m_settings.name;
        hello.data_centre = m_settings.dataCentre.value();
        hello.replica = m_self.value();
        hello.protocol = 1;
        link->send(packMessage(frame_kind::hello, 0, hello));
        m_peers.at(to).heardAt = m_loop.now();
    });
    link->onFrame([this, to](const frame& received) {
        auto& heard = m_peers.at(to);
        heard.heardAt = m_loop.now();
        if (std::exchange(heard.isSilent, false))
            logEvent(log_level::info, "connection_regained", { { "peer", toString(heard.link->peer()) } });
        if (m_onFrame)
            m_onFrame(received);
    });
    link->start();
}

void peer_mesh::tick(instant now)
{
    std::erase_if(m_peers, [now](const auto& item) { return now - item.second.usedAt > idleTimeout; });
    for (auto& [to, destination] : m_peers) {
        if (!destination.link->isUp())
            continue;
        if (now - destination.heardAt >= silenceTimeout) {
            if (!std::exchange(destination.isSilent, true))
                logEvent(log_level::warning, "connection_silent",
                    { { "peer", toString(destination.link->peer()) },
                        { "silent_ms",
                            std::chrono::duration_cast<std::chrono::milliseconds>(now - destination.heardAt)
                                .count() } });
            dial(to, destination);
        } else if (now - destination.probedAt >= probeInterval) {
            destination.probedAt = now;
            destination.link->send(packMessage(frame_kind::control_probe, 0, message::control_probeT {}));
        }
    }
}

} // namespace poplardeal::detail
