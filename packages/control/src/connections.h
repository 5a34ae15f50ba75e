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
    std::optional<worker_id> worker; ///< Set while the session of a worker runs over it.
};

/// All accepted connections. A frame before `hello` closes its connection.
class connections {
public:
    using frame_handler = std::function<void(connection_id, connection&, const frame&)>;

    explicit connections(frame_handler);

    void accept(std::unique_ptr<channel>);
    void closeAll();

    /// Nothing if the connection is gone.
    connection* find(connection_id);
    connection* findWorker(const worker_id&);
    /// Binds the session of a worker to one connection; an older one loses it.
    void bindWorker(connection_id, const worker_id&);
    void unbindWorkers();

    /// Sends to all connections of entries and sidecars.
    void sendToClients(const frame&);

    static constexpr std::size_t maxConnections = 4096;

private:
    void handle(connection_id, const frame&);

    frame_handler m_handler;
    std::map<connection_id, connection> m_open;
    std::map<worker_id, connection_id> m_byWorker;
    std::uint64_t m_lastId { 0 };
};

} // namespace poplardeal::detail
