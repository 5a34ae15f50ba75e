#pragma once

#include <map>
#include <memory>
#include <poplardeal/base/ids.h>
#include <poplardeal/wire/channel.h>
#include <poplardeal/wire/settings.h>
#include <string>

namespace poplardeal::detail {

/// Connections to the other control replicas. Messages to a replica without a connection are dropped; Raft sends them
/// again.
class peer_links {
public:
    peer_links(event_loop&, const daemon_settings&);

    void send(replica_id, std::string message);
    std::uint64_t bytesTransferred() const;

private:
    std::map<replica_id, std::unique_ptr<dialer>> m_peers;
};

} // namespace poplardeal::detail
