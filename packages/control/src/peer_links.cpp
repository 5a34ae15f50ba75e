#include "peer_links.h"

#include <poplardeal/wire/message.h>

namespace poplardeal::detail {

peer_links::peer_links(event_loop& loop, const daemon_settings& settings)
{
    for (const auto& peer : settings.control->peers) {
        if (peer.replica == settings.control->replica)
            continue;
        auto link = std::make_unique<dialer>(
            loop, peer.listen, settings.control->replica.value() * 100 + peer.replica.value());
        auto& dialed = *link;
        link->onUp([&dialed, settings] {
            message::helloT hello;
            hello.role = message::process_role::control;
            hello.name = settings.name;
            hello.data_centre = settings.dataCentre.value();
            hello.replica = settings.control->replica.value();
            hello.protocol = 1;
            dialed.send(packMessage(frame_kind::hello, 0, hello));
        });
        link->start();
        m_peers.emplace(peer.replica, std::move(link));
    }
}

void peer_links::send(replica_id to, std::string message)
{
    if (const auto found = m_peers.find(to); found != m_peers.end())
        found->second->send(frame { frame_kind::raft, 0, std::move(message) });
}

std::uint64_t peer_links::bytesTransferred() const
{
    std::uint64_t sum = 0;
    for (const auto& [replica, link] : m_peers)
        sum += link->bytesTransferred();
    return sum;
}

} // namespace poplardeal::detail
