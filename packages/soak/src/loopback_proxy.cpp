#include "loopback_proxy.h"
#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <set>
#include <thread>

namespace poplardeal::soak {

namespace {

    namespace asio = boost::asio;
    using tcp = asio::ip::tcp;

    constexpr std::size_t bufferSize = std::size_t { 64 } * 1024;
    constexpr std::chrono::milliseconds holdPoll { 10 };

    tcp::endpoint endpointOf(const address& each) { return { asio::ip::make_address(each.ip), each.port }; }

    /// Bytes of all connections in one direction, one after the other.
    struct link_rate {
        std::size_t bytesPerSecond { 0 }; ///< 0: no limit.
        std::chrono::steady_clock::time_point freeAt;

        /// Takes the link for so many bytes and returns how long they take.
        std::chrono::milliseconds take(std::size_t bytes, std::chrono::steady_clock::time_point now)
        {
            if (bytesPerSecond == 0)
                return std::chrono::milliseconds(0);
            freeAt = std::max(freeAt, now) + std::chrono::microseconds(bytes * 1'000'000 / bytesPerSecond);
            return std::chrono::duration_cast<std::chrono::milliseconds>(freeAt - now);
        }
    };

    /// One connection and its onward connection.
    struct session : std::enable_shared_from_this<session> {
        struct direction {
            tcp::socket& from;
            tcp::socket& to;
            asio::steady_timer timer;
            std::array<char, bufferSize> buffer {};
            bool isRequest;
            link_rate& rate;
        };

        session(asio::io_context& context, tcp::socket accepted, const std::atomic<link_mode>& current,
            std::array<link_rate, 2>& rates)
            : caller(std::move(accepted))
            , server(context)
            , requests { caller, server, asio::steady_timer(context), {}, true, rates[0] }
            , answers { server, caller, asio::steady_timer(context), {}, false, rates[1] }
            , mode(current)
        {
        }

        bool isHeld(const direction& way) const
        {
            const auto now = mode.load();
            return isSilent || now == link_mode::hold || (now == link_mode::hold_requests && way.isRequest)
                || (now == link_mode::hold_answers && !way.isRequest);
        }

        void read(direction& way)
        {
            way.from.async_read_some(asio::buffer(way.buffer),
                [self = shared_from_this(), &way](const boost::system::error_code& error, std::size_t count) {
                    if (error)
                        return self->close();
                    const bool isLate = self->mode.load() == link_mode::delay;
                    const auto taken = way.rate.take(count, std::chrono::steady_clock::now());
                    self->pass(way, count, taken + (isLate ? delayTime : std::chrono::milliseconds(0)));
                });
        }

        void pass(direction& way, std::size_t count, std::chrono::milliseconds wait)
        {
            if (wait.count() == 0 && !isHeld(way))
                return write(way, count);
            way.timer.expires_after(wait.count() > 0 ? wait : holdPoll);
            way.timer.async_wait([self = shared_from_this(), &way, count](const boost::system::error_code& error) {
                if (!error)
                    self->pass(way, count, std::chrono::milliseconds(0));
            });
        }

        void write(direction& way, std::size_t count)
        {
            asio::async_write(way.to, asio::buffer(way.buffer.data(), count),
                [self = shared_from_this(), &way](const boost::system::error_code& error, std::size_t) {
                    if (error)
                        return self->close();
                    self->read(way);
                });
        }

        void close()
        {
            boost::system::error_code ignored; // The sockets may be closed already.
            requests.timer.cancel(ignored);
            answers.timer.cancel(ignored);
            caller.close(ignored);
            server.close(ignored);
        }

        void reset()
        {
            boost::system::error_code ignored; // The sockets may be closed already.
            caller.set_option(asio::socket_base::linger(true, 0), ignored);
            server.set_option(asio::socket_base::linger(true, 0), ignored);
            close();
        }

        tcp::socket caller;
        tcp::socket server;
        direction requests;
        direction answers;
        const std::atomic<link_mode>& mode;
        bool isSilent { false };
    };

} // namespace

struct loopback_proxy::impl {
    impl(const address& listening, const address& to)
        : acceptor(context, endpointOf(listening))
        , target(endpointOf(to))
    {
        accept();
        worker = std::thread([this] { context.run(); });
    }

    void accept()
    {
        acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
            if (error)
                return;
            auto opened = std::make_shared<session>(context, std::move(socket), mode, rates);
            std::erase_if(sessions, [](const auto& each) { return each.expired(); });
            sessions.push_back(opened);
            opened->server.async_connect(target, [opened](const boost::system::error_code& failed) {
                if (failed)
                    return opened->reset();
                opened->read(opened->requests);
                opened->read(opened->answers);
            });
            accept();
        });
    }

    template <class Action> void forEach(Action action)
    {
        asio::post(context, [this, action] {
            for (const auto& each : sessions) {
                if (const auto open = each.lock())
                    action(*open);
            }
        });
    }

    asio::io_context context { 1 };
    tcp::acceptor acceptor;
    tcp::endpoint target;
    std::atomic<link_mode> mode { link_mode::pass };
    std::array<link_rate, 2> rates; ///< Of requests and answers.
    std::vector<std::weak_ptr<session>> sessions;
    std::thread worker;
};

loopback_proxy::loopback_proxy(const address& listening, const address& target)
    : m_impl(std::make_unique<impl>(listening, target))
{
}

loopback_proxy::~loopback_proxy()
{
    m_impl->context.stop();
    m_impl->worker.join();
}

void loopback_proxy::setMode(link_mode mode) { m_impl->mode = mode; }

void loopback_proxy::setRate(std::size_t bytesPerSecond)
{
    for (auto& each : m_impl->rates)
        each.bytesPerSecond = bytesPerSecond;
}

void loopback_proxy::reset()
{
    m_impl->forEach([](session& each) { each.reset(); });
}

void loopback_proxy::silence()
{
    m_impl->forEach([](session& each) { each.isSilent = true; });
}

address loopback_proxy::local() const
{
    const auto bound = m_impl->acceptor.local_endpoint();
    return { bound.address().to_string(), bound.port() };
}

} // namespace poplardeal::soak
