#include "peer_mesh.h"
#include "replica_address.h"
#include <poplardeal/wire/message.h>

namespace poplardeal::detail {

namespace {

    constexpr duration longestRedial = std::chrono::milliseconds(300); // Below the election timeout.
    constexpr duration idleLimit = std::chrono::seconds(30);

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
    auto& known = m_peers[to];
    known.usedAt = now;
    if (!known.link) {
        const std::uint64_t seed = (std::uint64_t { m_self.value() } << 32) | to.value();
        known.link = std::make_unique<dialer>(m_loop, address { ipOf(to), m_settings.framePort }, seed, longestRedial);
        auto* link = known.link.get();
        link->onUp([this, link] {
            message::helloT hello;
            hello.role = message::process_role::control;
            hello.name = m_settings.name;
            hello.data_centre = m_settings.dataCentre.value();
            hello.replica = m_self.value();
            hello.protocol = 1;
            link->send(packMessage(frame_kind::hello, 0, hello));
        });
        link->onFrame([this](const frame& received) {
            if (m_onFrame)
                m_onFrame(received);
        });
        link->start();
    }
    known.link->send(out);
}

void peer_mesh::tick(instant now)
{
    std::erase_if(m_peers, [now](const auto& item) { return now - item.second.usedAt > idleLimit; });
}

} // namespace poplardeal::detail
