#include "channel_impl.h"
#include "event_loop_access.h"
#include "socket_address.h"

namespace poplardeal {

struct listener::impl {
    impl(event_loop& l, detail::object_ptr<GSocket> s, std::function<void(std::unique_ptr<channel>)> a)
        : loop(l)
        , socket(std::move(s))
        , accept(std::move(a))
    {
        watch();
    }

    ~impl()
    {
        unwatch();
        g_socket_close(socket.get(), nullptr);
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    void watch()
    {
        source = g_socket_create_source(socket.get(), G_IO_IN, nullptr);
        g_source_set_callback(source, G_SOURCE_FUNC(onReadable), this, nullptr);
        g_source_attach(source, detail::loop_access::context(loop));
    }

    void unwatch()
    {
        if (source == nullptr)
            return;
        g_source_destroy(source);
        g_source_unref(source);
        source = nullptr;
    }

    static gboolean onReadable(GSocket*, GIOCondition, gpointer data)
    {
        static_cast<impl*>(data)->acceptOne();
        return G_SOURCE_CONTINUE;
    }

    void acceptOne()
    {
        detail::error_slot error;
        detail::object_ptr<GSocket> accepted(g_socket_accept(socket.get(), nullptr, error.out()));
        if (!accepted) {
            pauseAfter(error);
            return;
        }
        g_socket_set_blocking(accepted.get(), FALSE);
        detail::object_ptr<GSocketConnection> stream(g_socket_connection_factory_create_connection(accepted.get()));
        const auto handler = accept;
        handler(detail::makeChannel(loop, std::move(stream)));
    }

    void pauseAfter(const detail::error_slot& error)
    {
        if (error.is(G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
            return;
        // Out of descriptors the socket stays readable; without a pause the loop would spin.
        unwatch();
        resume = loop.after(std::chrono::milliseconds(100), [this] { watch(); });
    }

    event_loop& loop;
    detail::object_ptr<GSocket> socket;
    std::function<void(std::unique_ptr<channel>)> accept;
    GSource* source { nullptr };
    event_loop::timer resume;
};

namespace detail {

    static failure cannotListen(const address& local, const std::string& reason)
    {
        return { failure_code::io_error, "cannot listen on " + toString(local) + ": " + reason };
    }

} // namespace detail

result<std::unique_ptr<listener>> listener::open(
    event_loop& loop, const address& local, std::function<void(std::unique_ptr<channel>)> accept)
{
    constexpr int backlog = 1024;
    const auto socketAddress = detail::toSocketAddress(local);
    if (!socketAddress)
        return detail::cannotListen(local, "not an IP number");
    detail::error_slot error;
    const auto family = g_socket_address_get_family(socketAddress.get());
    detail::object_ptr<GSocket> socket(g_socket_new(family, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error.out()));
    if (!socket)
        return detail::cannotListen(local, error.message());
    g_socket_set_blocking(socket.get(), FALSE);
    g_socket_set_listen_backlog(socket.get(), backlog);
    if (!g_socket_bind(socket.get(), socketAddress.get(), TRUE, error.out())
        || !g_socket_listen(socket.get(), error.out()))
        return detail::cannotListen(local, error.message());
    auto state = std::make_unique<impl>(loop, std::move(socket), std::move(accept));
    return std::unique_ptr<listener>(new listener(std::move(state)));
}

listener::listener(std::unique_ptr<impl> i)
    : m_impl(std::move(i))
{
}

listener::~listener() = default;

address listener::local() const
{
    const detail::object_ptr<GSocketAddress> bound(g_socket_get_local_address(m_impl->socket.get(), nullptr));
    return detail::fromSocketAddress(bound.get());
}

} // namespace poplardeal
