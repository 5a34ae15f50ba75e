#include "channel_impl.h"
#include "event_loop_access.h"
#include "socket_address.h"
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poplardeal/base/log.h>

namespace poplardeal {
namespace detail {

    using connection_ref = std::shared_ptr<connection>;

    static connection_ref takeReference(gpointer data)
    {
        const std::unique_ptr<connection_ref> holder(static_cast<connection_ref*>(data));
        return *holder;
    }

    static void cancelOperations(GCancellable*, gpointer own) { g_cancellable_cancel(G_CANCELLABLE(own)); }

    void configureSocket(GSocket* socket)
    {
        // Without the user timeout the kernel retries towards a silent peer for 15 minutes, and no new dial is made.
        // Less than the 3 s within which a caller waits for an answer.
        constexpr int silentPeerMilliseconds = 2000;
        constexpr int keepAliveIdleSeconds = 5;
        constexpr int keepAliveIntervalSeconds = 2;
        g_socket_set_keepalive(socket, TRUE);
        g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
        g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, silentPeerMilliseconds, nullptr);
        g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds, nullptr);
        g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds, nullptr);
    }

    connection::connection(event_loop& loop, object_ptr<GSocketConnection> stream)
        : m_loop(loop)
        , m_stream(std::move(stream))
        , m_cancellable(g_cancellable_new())
        , m_shutdown(shareObject(loop_access::shutdown(loop)))
    {
        configureSocket(g_socket_connection_get_socket(m_stream.get()));
        const object_ptr<GSocketAddress> remote(g_socket_connection_get_remote_address(m_stream.get(), nullptr));
        m_peer = fromSocketAddress(remote.get());
        m_shutdownHandler = g_cancellable_connect(
            m_shutdown.get(), G_CALLBACK(cancelOperations), g_object_ref(m_cancellable.get()), g_object_unref);
    }

    connection::~connection()
    {
        g_cancellable_disconnect(m_shutdown.get(), m_shutdownHandler);
        g_io_stream_close(G_IO_STREAM(m_stream.get()), nullptr, nullptr);
    }

    void connection::setFrameHandler(frame_handler handler)
    {
        m_onFrame = std::make_shared<frame_handler>(std::move(handler));
        startReading();
    }

    void connection::setClosedHandler(closed_handler handler)
    {
        m_onClosed = std::make_shared<closed_handler>(std::move(handler));
        startReading();
    }

    bool connection::send(const frame& f)
    {
        if (m_phase != phase::open)
            return false;
        const auto queued = m_queue.size() + m_writeBuffer.size();
        const bool isTooLarge = f.body.size() > maxFrameBody(f.kind);
        if (isTooLarge || queued + frameHeaderSize + f.body.size() > channel::maxQueuedBytes) {
            if (!std::exchange(m_isRefusing, true))
                logEvent(log_level::warning, "frame_not_sent",
                    { { "peer", toString(m_peer) }, { "kind", static_cast<int>(f.kind) }, { "bytes", f.body.size() },
                        { "queued_bytes", queued },
                        { "reason", isTooLarge ? "larger than a frame may be" : "the peer does not read" } });
            return false;
        }
        m_isRefusing = false;
        m_queue += encodeFrame(f);
        write();
        return true;
    }

    void connection::startReading()
    {
        if (!m_reading && m_phase == phase::open)
            read();
    }

    void connection::read()
    {
        m_reading = true;
        m_readBuffer.resize(readSize);
        auto* input = g_io_stream_get_input_stream(G_IO_STREAM(m_stream.get()));
        const auto finish
            = [](GObject*, GAsyncResult* result, gpointer data) { takeReference(data)->finishRead(result); };
        g_input_stream_read_async(input, m_readBuffer.data(), m_readBuffer.size(), G_PRIORITY_DEFAULT,
            m_cancellable.get(), finish, new connection_ref(shared_from_this()));
    }

    void connection::finishRead(GAsyncResult* result)
    {
        m_reading = false;
        error_slot error;
        auto* input = g_io_stream_get_input_stream(G_IO_STREAM(m_stream.get()));
        const auto received = g_input_stream_read_finish(input, result, error.out());
        if (received < 0) {
            fail({ failure_code::io_error, error.message() });
            return;
        }
        if (received == 0) {
            fail({ failure_code::unavailable, "closed by the peer" });
            return;
        }
        m_bytes += static_cast<std::uint64_t>(received);
        if (m_phase == phase::open)
            deliver(static_cast<std::size_t>(received));
        if (m_phase == phase::closed)
            closeWhenIdle();
        else if (!m_reading)
            read();
    }

    void connection::deliver(std::size_t bytes)
    {
        m_decoder.append({ m_readBuffer.data(), bytes });
        while (m_phase == phase::open) {
            auto next = m_decoder.next();
            if (next.has_error()) {
                fail(next.error());
                return;
            }
            if (!next.value())
                return;
            // Held here, because the handler may destroy the channel and with it the handler.
            const auto handler = m_onFrame;
            if (!handler)
                continue;
            // An exception must not pass through the C code of the event loop, and costs no more than this connection.
            try {
                (*handler)(std::move(*next.value()));
            } catch (const std::exception& error) {
                logEvent(log_level::error, "message_handler_failed",
                    { { "peer", toString(m_peer) }, { "reason", error.what() } });
                fail({ failure_code::internal, error.what() });
                return;
            }
        }
    }

    void connection::write()
    {
        if (m_writing || m_queue.empty() || m_phase == phase::closed)
            return;
        m_writing = true;
        m_writeBuffer.swap(m_queue);
        auto* output = g_io_stream_get_output_stream(G_IO_STREAM(m_stream.get()));
        const auto finish
            = [](GObject*, GAsyncResult* result, gpointer data) { takeReference(data)->finishWrite(result); };
        g_output_stream_write_all_async(output, m_writeBuffer.data(), m_writeBuffer.size(), G_PRIORITY_DEFAULT,
            m_cancellable.get(), finish, new connection_ref(shared_from_this()));
    }

    void connection::finishWrite(GAsyncResult* result)
    {
        m_writing = false;
        error_slot error;
        gsize written = 0;
        auto* output = g_io_stream_get_output_stream(G_IO_STREAM(m_stream.get()));
        const bool whole = g_output_stream_write_all_finish(output, result, &written, error.out()) != FALSE;
        m_bytes += written;
        m_writeBuffer.clear();
        if (m_writeBuffer.capacity() > maxControlBody)
            m_writeBuffer.shrink_to_fit();
        if (!whole) {
            fail({ failure_code::io_error, error.message() });
            return;
        }
        write();
        if (m_phase == phase::closing && !m_writing)
            endStream();
    }

    void connection::close()
    {
        if (m_phase != phase::open)
            return;
        dropHandlers();
        m_phase = phase::closing;
        m_linger = m_loop.after(lingerTime, [self = weak_from_this()] {
            if (const auto held = self.lock())
                held->abort();
        });
        if (!m_writing)
            endStream();
        if (!m_reading)
            read();
    }

    /// Only the sending half is shut: closing a socket with unread bytes resets the connection, and the peer may lose
    /// what was sent last.
    void connection::endStream()
    {
        g_socket_shutdown(g_socket_connection_get_socket(m_stream.get()), FALSE, TRUE, nullptr);
    }

    void connection::abort()
    {
        if (m_phase == phase::closed)
            return;
        m_phase = phase::closed;
        dropHandlers();
        m_linger.cancel();
        g_cancellable_cancel(m_cancellable.get());
        closeWhenIdle();
    }

    void connection::closeWhenIdle()
    {
        // Operations under way still watch the descriptor, whose number must not be given to another socket before.
        if (!m_reading && !m_writing)
            g_io_stream_close(G_IO_STREAM(m_stream.get()), nullptr, nullptr);
    }

    void connection::release()
    {
        dropHandlers();
        if (m_phase == phase::open)
            abort();
    }

    void connection::fail(failure reason)
    {
        if (m_phase == phase::closed) {
            closeWhenIdle();
            return;
        }
        const auto handler = m_onClosed;
        const bool reported = m_phase == phase::open;
        abort();
        if (reported && handler)
            (*handler)(std::move(reason));
    }

    void connection::dropHandlers()
    {
        m_onFrame.reset();
        m_onClosed.reset();
    }

    std::unique_ptr<channel> makeChannel(event_loop& loop, object_ptr<GSocketConnection> stream)
    {
        auto state = std::make_unique<channel::impl>();
        state->connection = std::make_shared<connection>(loop, std::move(stream));
        return std::make_unique<channel>(std::move(state));
    }

} // namespace detail

channel::channel(std::unique_ptr<impl> i)
    : m_impl(std::move(i))
{
}

channel::~channel() { m_impl->connection->release(); }

bool channel::send(const frame& f) { return m_impl->connection->send(f); }

void channel::onFrame(std::function<void(frame)> handler) { m_impl->connection->setFrameHandler(std::move(handler)); }

void channel::onClosed(std::function<void(failure)> handler)
{
    m_impl->connection->setClosedHandler(std::move(handler));
}

void channel::limitBody(std::size_t most) { m_impl->connection->limitBody(most); }

void channel::close() { m_impl->connection->close(); }

std::uint64_t channel::bytesTransferred() const { return m_impl->connection->bytesTransferred(); }

address channel::peer() const { return m_impl->connection->peer(); }

} // namespace poplardeal
