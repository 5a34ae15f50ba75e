#include "acceptor.h"
#include "client_connection.h"
#include "http_message.h"
#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <poplardeal/base/line_limiter.h>
#include <poplardeal/base/log.h>
#include <sys/socket.h>
#include <unistd.h>
#include <unordered_map>
#include <vector>

namespace poplardeal {
namespace detail {

    /// One request handed to the handler and not yet answered to the last byte.
    class server_exchange {
    public:
        server_exchange(SoupServerMessage* message, std::weak_ptr<client_connection> connection)
            : m_message(shareObject(message))
            , m_connection(std::move(connection))
        {
            soup_server_message_pause(message);
        }

        void answer(http_response response, bool closeAfter)
        {
            if (m_answered)
                return;
            m_answered = true;
            auto* headers = soup_server_message_get_response_headers(m_message.get());
            writeHeaders(headers, response.headers);
            // libsoup ends the connection after a response without a body; its caller must know.
            const bool hasNoBody
                = response.status == SOUP_STATUS_NO_CONTENT || response.status == SOUP_STATUS_NOT_MODIFIED;
            if (closeAfter || hasNoBody)
                soup_message_headers_replace(headers, "Connection", "close");
            const bool isStatus = response.status >= 200 && response.status <= 999;
            soup_server_message_set_status(m_message.get(), isStatus ? response.status : 500, nullptr);
            if (const auto connection = m_connection.lock())
                connection->answered(response.body.size());
            // libsoup logs a critical warning for an empty part.
            if (!response.body.empty()) {
                const auto body = makeBytes(std::move(response.body));
                soup_message_body_append_bytes(soup_server_message_get_response_body(m_message.get()), body.get());
            }
            soup_server_message_unpause(m_message.get());
        }

    private:
        object_ptr<SoupServerMessage> m_message;
        std::weak_ptr<client_connection> m_connection;
        bool m_answered { false };
    };

    /// Null until the handler is called.
    using exchange_table = std::unordered_map<SoupServerMessage*, std::shared_ptr<server_exchange>>;

    /// Shared by the copies of a responder. A request whose responder is dropped unanswered gets status 500, so that
    /// its caller does not wait for ever.
    struct pending_answer {
        std::weak_ptr<server_exchange> exchange;
        std::weak_ptr<const bool> closeAfter;

        explicit pending_answer(const std::shared_ptr<server_exchange>& e, const std::shared_ptr<const bool>& c)
            : exchange(e)
            , closeAfter(c)
        {
        }
        ~pending_answer() { answer({ 500, {}, "the request was dropped\n" }); }
        pending_answer(const pending_answer&) = delete;
        pending_answer& operator=(const pending_answer&) = delete;

        void answer(http_response response) const
        {
            const auto held = exchange.lock();
            const auto close = closeAfter.lock();
            if (held && close)
                held->answer(std::move(response), *close);
        }
    };

} // namespace detail

struct http_server::impl : detail::connection_owner {
    using handler_function = std::function<void(http_request, http_responder)>;

    impl(event_loop& l, const http_limits& given, std::shared_ptr<connection_budget> shared, handler_function h)
        : loop(l)
        , limits(given)
        , budget(std::move(shared))
        , handler(std::move(h))
        , server(soup_server_new("raw-paths", TRUE, nullptr))
        , stopped(std::make_shared<bool>(false))
    {
        g_object_set_data(G_OBJECT(server.get()), implKey, this);
        g_signal_connect(server.get(), "request-started", G_CALLBACK(onStarted), this);
        soup_server_add_early_handler(server.get(), nullptr, onHeaders, this, nullptr);
        soup_server_add_handler(server.get(), nullptr, onRequest, this, nullptr);
        addIdleListener();
        timer = loop.every(tickInterval, [this] { tick(); });
    }

    /// libsoup keeps connections open only while it has a listener of its own. This one is half of a socket pair and
    /// never readable; the connections come from `acceptor`.
    void addIdleListener()
    {
        std::array<int, 2> ends {};
        if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends.data()) != 0)
            return;
        idleEnd = ends[1];
        const detail::object_ptr<GSocket> listening(g_socket_new_from_fd(ends[0], nullptr));
        if (listening)
            soup_server_listen_socket(server.get(), listening.get(), SoupServerListenOptions(0), nullptr);
    }

    ~impl() override
    {
        for (const auto& [message, exchange] : exchanges)
            g_signal_handlers_disconnect_by_data(message, this);
        g_signal_handlers_disconnect_by_data(server.get(), this);
        // A message that is still read may outlive this object together with the libsoup server.
        g_object_set_data(G_OBJECT(server.get()), implKey, nullptr);
        soup_server_remove_handler(server.get(), nullptr);
        soup_server_disconnect(server.get());
        ::close(idleEnd);
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    void accept(detail::object_ptr<GSocketConnection> stream)
    {
        const auto connection
            = std::make_shared<detail::client_connection>(loop, std::move(stream), limits, budget, *this);
        if (connection->open(loop.now()))
            connections.emplace(connection.get(), connection);
    }

    void serve(detail::client_connection& connection, detail::object_ptr<GIOStream> stream) override
    {
        soup_server_accept_iostream(server.get(), stream.get(), connection.near(), connection.far(), nullptr);
    }

    void remove(detail::client_connection& connection) override { connections.erase(&connection); }

    void refused(refusal_reason reason) override
    {
        ++refusals;
        if (const auto leftOut = refusalLines.admit(loop.now()))
            logEvent(log_level::warning, "request_refused",
                { { "address", toString(bound) }, { "reason", refusalNames.at(static_cast<std::size_t>(reason)) },
                    { "connections", budget->connections() }, { "buffered_bytes", budget->bytes() },
                    { "left_out", *leftOut } });
    }

    /// Connections end in it.
    void tick()
    {
        const auto now = loop.now();
        std::vector<std::shared_ptr<detail::client_connection>> open;
        for (const auto& [key, connection] : connections)
            open.push_back(connection);
        for (const auto& connection : open)
            connection->tick(now);
        open.clear();
        budget->trim();
    }

    static std::shared_ptr<detail::client_connection> connectionOf(SoupServerMessage* message)
    {
        auto* remote = soup_server_message_get_remote_address(message);
        auto* found = remote ? g_object_get_data(G_OBJECT(remote), detail::client_connection::key) : nullptr;
        return found ? static_cast<detail::client_connection*>(found)->shared_from_this() : nullptr;
    }

    static void onStarted(SoupServer* server, SoupServerMessage* message, gpointer)
    {
        g_signal_connect_object(message, "wrote-headers", G_CALLBACK(onWroteHeaders), server, GConnectFlags(0));
    }

    /// Counts what libsoup refuses before its handlers see it, such as a malformed request line. The headers are on
    /// their way; from here on the field only tells libsoup to release the stream, of which there is one a request.
    static void onWroteHeaders(SoupServerMessage* message, gpointer server)
    {
        auto* self = static_cast<impl*>(g_object_get_data(G_OBJECT(server), implKey));
        const bool seen = g_object_get_data(G_OBJECT(message), seenKey) != nullptr;
        if (self != nullptr && !seen && soup_server_message_get_status(message) >= SOUP_STATUS_BAD_REQUEST)
            ++self->refusals;
        if (const auto connection = connectionOf(message); connection && mayBeKept(message))
            connection->keep();
        soup_message_headers_replace(soup_server_message_get_response_headers(message), "Connection", "close");
    }

    /// Sizes and framing were checked by the connection.
    static void onHeaders(SoupServer*, SoupServerMessage* message, const char*, GHashTable*, gpointer data)
    {
        g_object_set_data(G_OBJECT(message), seenKey, data);
        static_cast<impl*>(data)->exchanges[message] = nullptr;
        g_signal_connect(message, "finished", G_CALLBACK(onFinished), data);
        g_signal_connect(message, "disconnected", G_CALLBACK(onFinished), data);
    }

    static void onRequest(SoupServer*, SoupServerMessage* message, const char*, GHashTable*, gpointer data)
    {
        static_cast<impl*>(data)->handle(message);
    }

    void handle(SoupServerMessage* message)
    {
        auto* uri = soup_server_message_get_uri(message);
        auto path = detail::decodePath(g_uri_get_path(uri));
        if (!path) {
            ++refusals;
            soup_server_message_set_status(message, SOUP_STATUS_BAD_REQUEST, nullptr);
            return;
        }
        http_request request;
        request.method = soup_server_message_get_method(message);
        request.path = std::move(*path);
        request.query = g_uri_get_query(uri) ? g_uri_get_query(uri) : "";
        request.headers = detail::readHeaders(soup_server_message_get_request_headers(message));
        const detail::bytes_ptr body(soup_message_body_flatten(soup_server_message_get_request_body(message)));
        gsize size = 0;
        const auto* bytes = static_cast<const char*>(g_bytes_get_data(body.get(), &size));
        request.body.assign(bytes ? bytes : "", size);
        soup_message_body_truncate(soup_server_message_get_request_body(message));
        // An exception must not pass through the C code of libsoup. The responder answers 500 when it is dropped.
        try {
            handler(std::move(request), makeResponder(message));
        } catch (const std::exception& error) {
            logEvent(log_level::error, "request_handler_failed",
                { { "method", soup_server_message_get_method(message) }, { "path", g_uri_get_path(uri) },
                    { "reason", error.what() } });
        }
    }

    http_responder makeResponder(SoupServerMessage* message)
    {
        const auto exchange = std::make_shared<detail::server_exchange>(message, connectionOf(message));
        exchanges[message] = exchange;
        const auto pending = std::make_shared<detail::pending_answer>(exchange, stopped);
        return [pending](http_response response) { pending->answer(std::move(response)); };
    }

    static void onFinished(SoupServerMessage* message, gpointer data)
    {
        g_signal_handlers_disconnect_by_data(message, data);
        static_cast<impl*>(data)->exchanges.erase(message);
    }

    /// HTTP/1.0 would need a field in the answer, which is not sent.
    static bool mayBeKept(SoupServerMessage* message)
    {
        const auto closes = [](SoupMessageHeaders* headers) {
            return soup_message_headers_header_contains(headers, "Connection", "close") != FALSE;
        };
        return soup_server_message_get_http_version(message) == SOUP_HTTP_1_1
            && !closes(soup_server_message_get_request_headers(message))
            && !closes(soup_server_message_get_response_headers(message));
    }

    static constexpr const char* implKey = "poplardeal-http-server";
    static constexpr const char* seenKey = "poplardeal-seen";
    static constexpr duration tickInterval = std::chrono::milliseconds(500);
    static constexpr duration refusalLogInterval = std::chrono::seconds(1);

    event_loop& loop;
    http_limits limits;
    std::shared_ptr<connection_budget> budget;
    handler_function handler;
    detail::object_ptr<SoupServer> server;
    int idleEnd { -1 };
    std::unique_ptr<detail::acceptor> acceptor;
    address bound;
    std::shared_ptr<bool> stopped;
    std::unordered_map<detail::client_connection*, std::shared_ptr<detail::client_connection>> connections;
    detail::exchange_table exchanges;
    std::uint64_t refusals { 0 };
    detail::line_limiter refusalLines { refusalLogInterval };
    event_loop::timer timer;
};

result<std::unique_ptr<http_server>> http_server::open(event_loop& loop, const address& local, std::size_t maxBody,
    std::function<void(http_request, http_responder)> handler)
{
    http_limits limits;
    limits.maxBodyBytes = maxBody;
    return open(
        loop, local, limits, std::make_shared<connection_budget>(connection_budget::limits {}), std::move(handler));
}

/// With one, a new connection would wait behind a crowd for as many turns as it has members.
static constexpr int mostAcceptedInTurn = 64;

result<std::unique_ptr<http_server>> http_server::open(event_loop& loop, const address& local,
    const http_limits& limits, std::shared_ptr<connection_budget> budget,
    std::function<void(http_request, http_responder)> handler)
{
    auto state = std::make_unique<impl>(loop, limits, std::move(budget), std::move(handler));
    auto take = [self = state.get()](detail::object_ptr<GSocketConnection> stream) { self->accept(std::move(stream)); };
    auto opened = detail::acceptor::open(loop, local, std::move(take), mostAcceptedInTurn);
    if (opened.has_error())
        return opened.error();
    state->acceptor = std::move(opened.value());
    state->bound = state->acceptor->local();
    return std::unique_ptr<http_server>(new http_server(std::move(state)));
}

http_server::http_server(std::unique_ptr<impl> i)
    : m_impl(std::move(i))
{
}

http_server::~http_server() = default;

address http_server::local() const { return m_impl->bound; }

void http_server::stopListening()
{
    m_impl->acceptor.reset();
    *m_impl->stopped = true;
}

std::size_t http_server::inFlight() const
{
    const auto& all = m_impl->connections;
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [](const auto& each) { return each.second->hasRequest(); }));
}

std::uint64_t http_server::refused() const { return m_impl->refusals; }

} // namespace poplardeal
