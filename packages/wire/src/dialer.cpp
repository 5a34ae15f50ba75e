#include "channel_impl.h"
#include "event_loop_access.h"
#include "reconnect_delay.h"
#include "socket_address.h"
#include <utility>

namespace poplardeal {
namespace detail {

    /// The state of a dialer. A dial under way shares its ownership.
    class redialer : public std::enable_shared_from_this<redialer> {
    public:
        redialer(event_loop& loop, address peer, std::uint64_t seed, duration longestDelay)
            : m_loop(loop)
            , m_peer(std::move(peer))
            , m_delay(seed, longestDelay)
        {
        }

        void start();
        void stop();

        bool isUp() const { return m_channel != nullptr; }
        bool send(const frame& f) { return m_channel && m_channel->send(f); }
        const address& peer() const { return m_peer; }
        std::uint64_t bytesTransferred() const;

        std::function<void()> onUp;
        std::function<void()> onDown;
        std::function<void(const failure&)> onLost;
        std::function<void(frame)> onFrame;

    private:
        void dial();
        void finishDial(GSocketClient*, GAsyncResult*);
        void comeUp(object_ptr<GSocketConnection>);
        void goDown(const failure&);
        void dialLater();

        static constexpr duration dialTimeout = std::chrono::seconds(2);

        event_loop& m_loop;
        address m_peer;
        reconnect_delay m_delay;
        bool m_started { false };
        bool m_stopped { false };
        object_ptr<GCancellable> m_dial;
        event_loop::timer m_timer;
        std::unique_ptr<channel> m_channel;
        std::uint64_t m_earlierBytes { 0 };
    };

    /// A dial to a free port of this machine can be given that port as its own and then connects to itself.
    static bool isConnectedToItself(GSocketConnection* stream)
    {
        const object_ptr<GSocketAddress> local(g_socket_connection_get_local_address(stream, nullptr));
        const object_ptr<GSocketAddress> remote(g_socket_connection_get_remote_address(stream, nullptr));
        return fromSocketAddress(local.get()) == fromSocketAddress(remote.get());
    }

    std::uint64_t redialer::bytesTransferred() const
    {
        return m_earlierBytes + (m_channel ? m_channel->bytesTransferred() : 0);
    }

    void redialer::start()
    {
        if (!std::exchange(m_started, true))
            dial();
    }

    void redialer::dial()
    {
        const auto target = toSocketAddress(m_peer);
        if (m_stopped || !target)
            return;
        m_dial.reset(g_cancellable_new());
        m_timer = m_loop.after(dialTimeout, [this] { g_cancellable_cancel(m_dial.get()); });
        const object_ptr<GSocketClient> client(g_socket_client_new());
        g_socket_client_set_enable_proxy(client.get(), FALSE);
        const auto finish = [](GObject* source, GAsyncResult* result, gpointer data) {
            const std::unique_ptr<std::shared_ptr<redialer>> held(static_cast<std::shared_ptr<redialer>*>(data));
            (*held)->finishDial(G_SOCKET_CLIENT(source), result);
        };
        g_socket_client_connect_async(client.get(), G_SOCKET_CONNECTABLE(target.get()), m_dial.get(), finish,
            new std::shared_ptr<redialer>(shared_from_this()));
    }

    void redialer::finishDial(GSocketClient* client, GAsyncResult* result)
    {
        error_slot error;
        object_ptr<GSocketConnection> stream(g_socket_client_connect_finish(client, result, error.out()));
        if (m_stopped)
            return;
        m_timer.cancel();
        if (stream && !isConnectedToItself(stream.get()))
            comeUp(std::move(stream));
        else
            dialLater();
    }

    void redialer::comeUp(object_ptr<GSocketConnection> stream)
    {
        m_channel = makeChannel(m_loop, std::move(stream));
        m_channel->onFrame([this](frame f) {
            // A peer that only accepts and closes does not count as recovered.
            m_delay.reset();
            const auto handler = onFrame;
            if (handler)
                handler(std::move(f));
        });
        m_channel->onClosed([this](const failure& reason) { goDown(reason); });
        const auto handler = onUp;
        if (handler)
            handler();
    }

    void redialer::goDown(const failure& reason)
    {
        const auto self = shared_from_this();
        m_earlierBytes += m_channel->bytesTransferred();
        m_channel.reset();
        dialLater();
        // Copies, because a handler may destroy the dialer.
        const auto lost = onLost;
        const auto down = onDown;
        if (lost)
            lost(reason);
        if (down && !m_stopped)
            down();
    }

    void redialer::dialLater()
    {
        m_timer = m_loop.after(m_delay.next(), [this] { dial(); });
    }

    void redialer::stop()
    {
        m_stopped = true;
        m_timer.cancel();
        m_channel.reset();
        if (m_dial)
            g_cancellable_cancel(m_dial.get());
    }

} // namespace detail

struct dialer::impl {
    std::shared_ptr<detail::redialer> state;
};

dialer::dialer(event_loop& loop, address peer, std::uint64_t seed)
    : dialer(loop, std::move(peer), seed, detail::reconnect_delay::longest)
{
}

dialer::dialer(event_loop& loop, address peer, std::uint64_t seed, duration longestDelay)
    : m_impl(std::make_unique<impl>())
{
    m_impl->state = std::make_shared<detail::redialer>(loop, std::move(peer), seed, longestDelay);
}

dialer::~dialer() { m_impl->state->stop(); }

void dialer::onUp(std::function<void()> handler) { m_impl->state->onUp = std::move(handler); }
void dialer::onDown(std::function<void()> handler) { m_impl->state->onDown = std::move(handler); }
void dialer::onLost(std::function<void(const failure&)> handler) { m_impl->state->onLost = std::move(handler); }
void dialer::onFrame(std::function<void(frame)> handler) { m_impl->state->onFrame = std::move(handler); }
void dialer::start() { m_impl->state->start(); }
bool dialer::isUp() const { return m_impl->state->isUp(); }
bool dialer::send(const frame& f) { return m_impl->state->send(f); }
const address& dialer::peer() const { return m_impl->state->peer(); }
std::uint64_t dialer::bytesTransferred() const { return m_impl->state->bytesTransferred(); }

} // namespace poplardeal
