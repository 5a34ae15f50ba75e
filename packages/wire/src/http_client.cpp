#include "chunk_decoder.h"
#include "http_message.h"
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <poplardeal/base/log.h>
#include <poplardeal/wire/http.h>
#include <unordered_set>

namespace poplardeal {
namespace detail {

    /// The kept connections to one server.
    struct connection_pool {
        unsigned maxConnections { 0 };
        object_ptr<SoupSession> session;
        instant usedAt;
    };

    /// Shorter than the 60 s after which `http_server` closes an idle connection.
    static constexpr unsigned idleSeconds = 30;

    static object_ptr<SoupSession> makeSession(unsigned maxConnections)
    {
        const auto most = static_cast<int>(maxConnections);
        object_ptr<SoupSession> out(soup_session_new_with_options(
            "max-conns", most, "max-conns-per-host", most, "timeout", 0u, "idle-timeout", idleSeconds, nullptr));
        // Requests go straight to their server, and bodies and status codes pass unchanged.
        soup_session_set_proxy_resolver(out.get(), nullptr);
        soup_session_remove_feature_by_type(out.get(), SOUP_TYPE_CONTENT_DECODER);
        soup_session_remove_feature_by_type(out.get(), SOUP_TYPE_AUTH_MANAGER);
        return out;
    }

    class client_call;
    using call_table = std::unordered_set<std::shared_ptr<client_call>>;

    /// One request under way. The table of its client and the libsoup operation under way share its ownership.
    class client_call : public std::enable_shared_from_this<client_call> {
    public:
        using done_handler = std::function<void(http_result)>;

        client_call(call_table& table, std::shared_ptr<connection_pool> pool, object_ptr<SoupMessage> message,
            done_handler done)
            : m_table(table)
            , m_pool(std::move(pool))
            , m_session(shareObject(m_pool->session.get()))
            , m_message(std::move(message))
            , m_cancellable(g_cancellable_new())
            , m_done(std::move(done))
        {
        }

        void start(event_loop&, duration timeout);
        void abandon();

    private:
        using ref = std::shared_ptr<client_call>;
        static ref take(gpointer data)
        {
            const std::unique_ptr<ref> holder(static_cast<ref*>(data));
            return *holder;
        }
        ref* share() { return new ref(shared_from_this()); }

        static void onStarting(SoupMessage*, gpointer self) { static_cast<client_call*>(self)->m_sending = true; }
        static void onRestarted(SoupMessage*, gpointer self);
        static void onGotBody(SoupMessage*, gpointer);
        void finishSend(SoupSession*, GAsyncResult*);
        void openBody();
        void readBody();
        void finishRead(GAsyncResult*);
        void finishChunks(std::string_view bytes);
        void fail(const error_slot&);
        void fail(failure);
        bool isShort() const;
        void complete();
        void finish(http_result);

        static constexpr gsize readSize = 65536;

        call_table& m_table;
        std::shared_ptr<connection_pool> m_pool;
        object_ptr<SoupSession> m_session; ///< Of the pool when the call began.
        object_ptr<SoupMessage> m_message;
        object_ptr<GCancellable> m_cancellable;
        object_ptr<GInputStream> m_input;
        object_ptr<GInputStream> m_bodyInput;
        std::optional<chunk_decoder> m_chunks;
        done_handler m_done;
        event_loop::timer m_timer;
        std::string m_body;
        bool m_sending { false }; ///< Bytes of the request may have left.
        bool m_expired { false };
    };

    void client_call::start(event_loop& loop, duration timeout)
    {
        m_timer = loop.after(timeout, [this] {
            m_expired = true;
            g_cancellable_cancel(m_cancellable.get());
        });
        g_signal_connect(m_message.get(), "starting", G_CALLBACK(onStarting), this);
        g_signal_connect(m_message.get(), "restarted", G_CALLBACK(onRestarted), this);
        g_signal_connect(m_message.get(), "got-body", G_CALLBACK(onGotBody), this);
        const auto finish = [](GObject* source, GAsyncResult* result, gpointer data) {
            take(data)->finishSend(SOUP_SESSION(source), result);
        };
        soup_session_send_async(
            m_session.get(), m_message.get(), G_PRIORITY_DEFAULT, m_cancellable.get(), finish, share());
    }

    /// libsoup sends a request again when a kept connection ends before the response; the first may have run.
    void client_call::onRestarted(SoupMessage*, gpointer self)
    {
        g_cancellable_cancel(static_cast<client_call*>(self)->m_cancellable.get());
    }

    /// libsoup reacts to 421 by sending the request again on a new connection. Its handler is connected after this one
    /// and is kept from running: the response names the leader and belongs to the caller.
    void client_call::onGotBody(SoupMessage* message, gpointer)
    {
        if (soup_message_get_status(message) == SOUP_STATUS_MISDIRECTED_REQUEST)
            g_signal_stop_emission_by_name(message, "got-body");
    }

    void client_call::abandon()
    {
        m_done = nullptr;
        m_timer.cancel();
        g_signal_handlers_disconnect_by_data(m_message.get(), this);
        g_cancellable_cancel(m_cancellable.get());
    }

    void client_call::finishSend(SoupSession* session, GAsyncResult* result)
    {
        error_slot error;
        m_input.reset(soup_session_send_finish(session, result, error.out()));
        if (!m_done)
            return;
        if (m_input)
            openBody();
        else
            fail(error);
    }

    /// The stream below a filter stream, or null.
    static GInputStream* baseStream(GInputStream* stream)
    {
        return G_IS_FILTER_INPUT_STREAM(stream) ? g_filter_input_stream_get_base_stream(G_FILTER_INPUT_STREAM(stream))
                                                : nullptr;
    }

    /// A chunked body is read below libsoup's own decoder: that one (3.2.3) takes a connection that ends between two
    /// chunks, or a chunk size that is no number, for the end of the body and would pass on a cut response as whole.
    void client_call::openBody()
    {
        auto* headers = soup_message_get_response_headers(m_message.get());
        if (soup_message_headers_get_encoding(headers) != SOUP_ENCODING_CHUNKED) {
            m_bodyInput = shareObject(m_input.get());
            readBody();
            return;
        }
        auto* decoded = baseStream(m_input.get());
        auto* received = decoded ? baseStream(decoded) : nullptr;
        if (received == nullptr || g_strcmp0(G_OBJECT_TYPE_NAME(received), "SoupFilterInputStream") != 0) {
            fail({ failure_code::internal, "this libsoup does not show the received body" });
            return;
        }
        m_bodyInput = shareObject(received);
        m_chunks.emplace(http_client::maxResponseBody);
        readBody();
    }

    void client_call::readBody()
    {
        const auto finish = [](GObject*, GAsyncResult* result, gpointer data) { take(data)->finishRead(result); };
        g_input_stream_read_bytes_async(
            m_bodyInput.get(), readSize, G_PRIORITY_DEFAULT, m_cancellable.get(), finish, share());
    }

    void client_call::finishRead(GAsyncResult* result)
    {
        error_slot error;
        const bytes_ptr bytes(g_input_stream_read_bytes_finish(m_bodyInput.get(), result, error.out()));
        if (!m_done)
            return;
        if (!bytes) {
            fail(error);
            return;
        }
        gsize size = 0;
        const auto* data = static_cast<const char*>(g_bytes_get_data(bytes.get(), &size));
        if (m_chunks) {
            finishChunks({ data, size });
            return;
        }
        if (size == 0) {
            complete();
            return;
        }
        if (m_body.size() + size > http_client::maxResponseBody) {
            fail({ failure_code::too_large, "response body over " + std::to_string(http_client::maxResponseBody) });
            return;
        }
        m_body.append(data, size);
        readBody();
    }

    void client_call::finishChunks(std::string_view bytes)
    {
        if (bytes.empty()) {
            fail({ failure_code::unavailable, "connection closed within the response" });
            return;
        }
        const auto whole = m_chunks->append(bytes);
        if (whole.has_error()) {
            fail(whole.error());
        } else if (whole.value()) {
            m_body = m_chunks->takeBody();
            complete();
        } else {
            readBody();
        }
    }

    bool client_call::isShort() const
    {
        auto* headers = soup_message_get_response_headers(m_message.get());
        const auto status = soup_message_get_status(m_message.get());
        const bool hasNoBody = std::string_view(soup_message_get_method(m_message.get())) == "HEAD"
            || status == SOUP_STATUS_NO_CONTENT || status == SOUP_STATUS_NOT_MODIFIED;
        if (hasNoBody || soup_message_headers_get_encoding(headers) != SOUP_ENCODING_CONTENT_LENGTH)
            return false;
        return static_cast<std::uint64_t>(soup_message_headers_get_content_length(headers)) != m_body.size();
    }

    void client_call::complete()
    {
        // libsoup reads up to the end of the connection if it is not kept, whatever length was announced.
        if (isShort()) {
            fail({ failure_code::unavailable, "connection closed within the response" });
            return;
        }
        // At the end of the body this does not block; it returns the connection to the pool.
        g_input_stream_close(m_input.get(), nullptr, nullptr);
        http_response response;
        response.status = static_cast<int>(soup_message_get_status(m_message.get()));
        response.headers = readHeaders(soup_message_get_response_headers(m_message.get()));
        response.body = std::move(m_body);
        finish(std::move(response));
    }

    void client_call::fail(const error_slot& error)
    {
        if (m_expired)
            fail({ failure_code::timed_out, m_sending ? "no whole response in time" : "no connection in time" });
        else if (g_cancellable_is_cancelled(m_cancellable.get()))
            fail({ failure_code::unavailable, "connection closed before the response" });
        else if (!m_sending && error.is(G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED))
            fail({ failure_code::connection_refused, error.message() });
        else
            fail({ failure_code::unavailable, error.message() });
    }

    void client_call::fail(failure cause)
    {
        // What is left of the response is not waited for.
        g_cancellable_cancel(m_cancellable.get());
        // Connections may stop passing anything without being closed, all at the same time. The next call must not wait
        // for an answer on another one of them.
        if (m_expired && m_sending && m_pool->session.get() == m_session.get())
            m_pool->session = makeSession(m_pool->maxConnections);
        const auto verdict = m_sending ? run_verdict::may_have_run : run_verdict::not_run;
        finish(http_failure { std::move(cause), verdict });
    }

    void client_call::finish(http_result result)
    {
        const auto self = shared_from_this();
        const auto done = std::move(m_done);
        m_done = nullptr;
        m_timer.cancel();
        g_signal_handlers_disconnect_by_data(m_message.get(), this);
        m_table.erase(self);
        // An exception must not pass through the C code of libsoup.
        try {
            done(std::move(result));
        } catch (const std::exception& error) {
            logEvent(log_level::error, "response_handler_failed", { { "reason", error.what() } });
        }
    }

} // namespace detail

struct http_client::impl {
    impl(event_loop& l, unsigned connections)
        : loop(l)
        , maxConnections(connections)
    {
    }

    ~impl()
    {
        for (const auto& call : calls)
            call->abandon();
        calls.clear();
        for (const auto& [server, pool] : pools)
            soup_session_abort(pool->session.get());
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    std::shared_ptr<detail::connection_pool> poolOf(const address&);

    event_loop& loop;
    unsigned maxConnections;
    std::map<address, std::shared_ptr<detail::connection_pool>> pools;
    detail::call_table calls;
    std::shared_ptr<bool> alive { std::make_shared<bool>(true) };
};

/// Forgets pools whose connections have expired when another one is added.
std::shared_ptr<detail::connection_pool> http_client::impl::poolOf(const address& server)
{
    const auto now = loop.now();
    auto found = pools.find(server);
    if (found == pools.end()) {
        std::erase_if(pools,
            [now](const auto& item) { return now - item.second->usedAt > std::chrono::seconds(detail::idleSeconds); });
        auto fresh = std::make_shared<detail::connection_pool>();
        fresh->maxConnections = maxConnections;
        fresh->session = detail::makeSession(maxConnections);
        found = pools.emplace(server, std::move(fresh)).first;
    }
    found->second->usedAt = now;
    return found->second;
}

http_client::http_client(event_loop& loop, unsigned maxConnections)
    : m_impl(std::make_unique<impl>(loop, maxConnections))
{
}

http_client::~http_client() = default;

namespace detail {

    /// Reports a request that cannot be sent, later, because `done` is never called from within `send`.
    static void refuseLater(
        event_loop& loop, const std::shared_ptr<bool>& alive, failure cause, client_call::done_handler done)
    {
        loop.post([client = std::weak_ptr<bool>(alive), cause = std::move(cause), done = std::move(done)] {
            if (!client.expired())
                done(http_failure { cause, run_verdict::not_run });
        });
    }

    static bool isSafeToRepeat(const http_request& request)
    {
        if (request.headers.contains("idempotency-key"))
            return false;
        return request.method == "GET" || request.method == "HEAD" || request.method == "OPTIONS";
    }

    static SoupMessageFlags messageFlags(connection_use use)
    {
        const int reuse = use == connection_use::kept ? SOUP_MESSAGE_IDEMPOTENT : SOUP_MESSAGE_NEW_CONNECTION;
        return static_cast<SoupMessageFlags>(SOUP_MESSAGE_NO_REDIRECT | reuse);
    }

} // namespace detail

void http_client::send(
    const address& server, http_request request, duration timeout, std::function<void(http_result)> done)
{
    const auto use = detail::isSafeToRepeat(request) ? connection_use::kept : connection_use::fresh;
    send(server, std::move(request), timeout, use, std::move(done));
}

void http_client::send(const address& server, http_request request, duration timeout, connection_use use,
    std::function<void(http_result)> done)
{
    const auto uri = detail::makeUri(server, request);
    if (!uri || !detail::isToken(request.method)) {
        failure malformed { failure_code::invalid_argument, "malformed method, path or query" };
        detail::refuseLater(m_impl->loop, m_impl->alive, std::move(malformed), std::move(done));
        return;
    }
    if (m_impl->calls.size() >= maxPending) {
        failure full { failure_code::overloaded, "too many requests under way" };
        detail::refuseLater(m_impl->loop, m_impl->alive, std::move(full), std::move(done));
        return;
    }
    detail::object_ptr<SoupMessage> message(soup_message_new_from_uri(request.method.c_str(), uri.get()));
    soup_message_set_flags(message.get(), detail::messageFlags(use));
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        const auto body = detail::makeBytes(std::move(request.body));
        soup_message_set_request_body_from_bytes(message.get(), nullptr, body.get());
    }
    auto* headers = soup_message_get_request_headers(message.get());
    detail::writeHeaders(headers, request.headers);
    // libsoup keeps new connections above its limit; they would add up.
    if (use == connection_use::fresh)
        soup_message_headers_replace(headers, "Connection", "close");
    const auto call = std::make_shared<detail::client_call>(
        m_impl->calls, m_impl->poolOf(server), std::move(message), std::move(done));
    m_impl->calls.insert(call);
    call->start(m_impl->loop, timeout);
}

} // namespace poplardeal
