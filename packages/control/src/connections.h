#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <poplardeal/base/ids.h>
#include <poplardeal/wire/channel.h>
#include <poplardeal/wire/message.h>

namespace poplardeal::detail {

/// Number of an accepted connection; never used twice in a process.
using connection_id = strong_id<struct connection_id_tag, std::uint64_t>;

/// A connection that another process opened to this replica.
struct connection {
    std::unique_ptr<channel> link;
    std::optional<message::helloT> hello; ///< Nothing before the first frame.
    deployment_version held; ///< Version that the peer said it holds.
    std::optional<worker_id> worker; ///< Set while the session of a worker runs over it.
};

/// All accepted connections. A frame before `hello` closes its connection.
class connections {
public:
    using frame_handler = std::function<void(connection_id, connection&, const frame&)>;

    using closed_handler = std::function<void(const connection&)>;

    connections(frame_handler, closed_handler);

    void accept(std::unique_ptr<channel>);
    void closeAll();
    /// Over all connections since the start, closed ones included.
    std::uint64_t bytesTransferred() const;

    /// Nothing if the connection is gone.
    connection* find(connection_id);
    connection* findWorker(const worker_id&);
    /// Binds the session of a worker to one connection; an older one loses it.
    void bindWorker(connection_id, const worker_id&);
    void unbindWorkers();

    /// All open connections, in the order in which they were accepted.
    const std::map<connection_id, connection>& all() const { return m_open; }

    /// Sends to all connections of entries and sidecars.
    void sendToClients(const frame&);

    static constexpr std::size_t maxConnections = 4096;

private:
    void handle(connection_id, const frame&);

    frame_handler m_handler;
    closed_handler m_closed;
    std::map<connection_id, connection> m_open;
    std::map<worker_id, connection_id> m_byWorker;
    std::uint64_t m_lastId { 0 };
    std::uint64_t m_bytesOfClosed { 0 };
};

} // namespace poplardeal::detail
