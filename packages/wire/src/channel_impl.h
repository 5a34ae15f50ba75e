#pragma once

#include "gobject_ptr.h"
#include <memory>
#include <poplardeal/wire/channel.h>
#include <string>
#include <vector>

namespace poplardeal::detail {

/// The state of one connection. Reads and writes under way share its ownership, so that it outlives its channel until
/// they have ended.
class connection : public std::enable_shared_from_this<connection> {
public:
    using frame_handler = std::function<void(frame)>;
    using closed_handler = std::function<void(failure)>;

    connection(event_loop&, object_ptr<GSocketConnection>);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    void setFrameHandler(frame_handler);
    void setClosedHandler(closed_handler);
    bool send(const frame&);
    void limitBody(std::size_t most) { m_decoder.limitBody(most); }
    /// Sends what is queued, tells the peer, and waits for its end for at most `lingerTime`.
    void close();
    void abort();
    /// The channel is gone: closes at once unless `close` is under way.
    void release();

    std::uint64_t bytesTransferred() const { return m_bytes; }
    const address& peer() const { return m_peer; }

private:
    enum class phase {
        open,
        closing, ///< Writes what is queued; received bytes are discarded.
        closed,
    };

    void startReading();
    void read();
    void finishRead(GAsyncResult*);
    void deliver(std::size_t bytes);
    void write();
    void finishWrite(GAsyncResult*);
    void fail(failure);
    void endStream();
    void closeWhenIdle();
    void dropHandlers();

    static constexpr std::size_t readSize = std::size_t { 64 } * 1024;
    static constexpr duration lingerTime = std::chrono::seconds(2);

    event_loop& m_loop;
    object_ptr<GSocketConnection> m_stream;
    object_ptr<GCancellable> m_cancellable;
    object_ptr<GCancellable> m_shutdown;
    gulong m_shutdownHandler { 0 };
    address m_peer;
    phase m_phase { phase::open };
    bool m_reading { false };
    bool m_writing { false };
    bool m_isRefusing { false }; ///< The last frame was too large or did not fit into the queue.
    std::vector<char> m_readBuffer;
    frame_decoder m_decoder;
    std::string m_writeBuffer;
    std::string m_queue;
    std::uint64_t m_bytes { 0 };
    event_loop::timer m_linger;
    std::shared_ptr<frame_handler> m_onFrame;
    std::shared_ptr<closed_handler> m_onClosed;
};

/// Prepares a connected socket: no Nagle delay, and an end for connections to silent peers.
void configureSocket(GSocket*);

std::unique_ptr<channel> makeChannel(event_loop&, object_ptr<GSocketConnection>);

} // namespace poplardeal::detail

struct poplardeal::channel::impl {
    std::shared_ptr<detail::connection> connection;
};
