#include "acceptor.h"
#include "event_loop_access.h"
#include "socket_address.h"

namespace poplardeal::detail {

static failure cannotListen(const address& local, const std::string& reason)
{
    return { failure_code::io_error, "cannot listen on " + toString(local) + ": " + reason };
}

result<std::unique_ptr<acceptor>> acceptor::open(event_loop& loop, const address& local, handler accept, int mostInTurn)
{
    constexpr int backlog = 1024;
    const auto target = toSocketAddress(local);
    if (!target)
        return cannotListen(local, "not an IP number");
    error_slot error;
    const auto family = g_socket_address_get_family(target.get());
    object_ptr<GSocket> socket(g_socket_new(family, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error.out()));
    if (!socket)
        return cannotListen(local, error.message());
    g_socket_set_blocking(socket.get(), FALSE);
    g_socket_set_listen_backlog(socket.get(), backlog);
    if (!g_socket_bind(socket.get(), target.get(), TRUE, error.out()) || !g_socket_listen(socket.get(), error.out()))
        return cannotListen(local, error.message());
    return std::unique_ptr<acceptor>(new acceptor(loop, std::move(socket), std::move(accept), mostInTurn));
}

acceptor::acceptor(event_loop& loop, object_ptr<GSocket> socket, handler accept, int mostInTurn)
    : m_loop(loop)
    , m_socket(std::move(socket))
    , m_accept(std::move(accept))
    , m_mostInTurn(mostInTurn)
{
    watch();
}

acceptor::~acceptor()
{
    unwatch();
    g_socket_close(m_socket.get(), nullptr);
}

address acceptor::local() const
{
    const object_ptr<GSocketAddress> bound(g_socket_get_local_address(m_socket.get(), nullptr));
    return fromSocketAddress(bound.get());
}

void acceptor::watch()
{
    m_source = g_socket_create_source(m_socket.get(), G_IO_IN, nullptr);
    g_source_set_callback(m_source, G_SOURCE_FUNC(onReadable), this, nullptr);
    g_source_attach(m_source, loop_access::context(m_loop));
}

void acceptor::unwatch()
{
    if (m_source == nullptr)
        return;
    g_source_destroy(m_source);
    g_source_unref(m_source);
    m_source = nullptr;
}

gboolean acceptor::onReadable(GSocket*, GIOCondition, gpointer self)
{
    const int most = static_cast<acceptor*>(self)->m_mostInTurn;
    const std::weak_ptr<const bool> alive = static_cast<acceptor*>(self)->m_alive;
    for (int i = 0; i < most && !alive.expired() && static_cast<acceptor*>(self)->acceptOne(); ++i) { }
    return G_SOURCE_CONTINUE;
}

bool acceptor::acceptOne()
{
    error_slot error;
    const object_ptr<GSocket> accepted(g_socket_accept(m_socket.get(), nullptr, error.out()));
    if (accepted) {
        // A copy, because the handler may destroy this object.
        const auto accept = m_accept;
        accept(object_ptr<GSocketConnection>(g_socket_connection_factory_create_connection(accepted.get())));
        return true;
    }
    if (error.is(G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        return false;
    // Without a free descriptor the socket stays readable; the pause keeps the loop from spinning.
    unwatch();
    m_resume = m_loop.after(std::chrono::milliseconds(100), [this] { watch(); });
    return false;
}

} // namespace poplardeal::detail
