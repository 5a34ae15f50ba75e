#include "client_connection.h"
#include "channel_impl.h"
#include "closing_stream.h"
#include "event_loop_access.h"
#include "http_message.h"
#include <algorithm>
#include <array>
#include <gio/gunixoutputstream.h>
#include <string_view>
#include <utility>

namespace poplardeal::detail {

namespace {

    constexpr std::size_t readBytes = std::size_t { 64 } * 1024;
    constexpr std::size_t leastCapacity = 1024;
    /// Of libsoup's objects for one request.
    constexpr std::size_t requestBytes = std::size_t { 16 } * 1024;
    /// libsoup and the handler keep a name, a value and two nodes for each field.
    constexpr std::size_t fieldBytes = 256;
    /// The request as received, in libsoup and with the handler; not all at the same time.
    constexpr std::size_t bodyCopies = 2;

    struct refusal_text {
        const char* status;
        const char* fields;
        const char* body;
    };

    /// In the order of `refusal_reason`. Those without a status are cut.
    constexpr std::array<refusal_text, refusalNames.size()> refusalTexts { {
        { "400 Bad Request", "", "malformed request\n" },
        { "411 Length Required", "", "request bodies need Content-Length\n" },
        { "413 Payload Too Large", "", "request body too large\n" },
        { "431 Request Header Fields Too Large", "", "request headers too large\n" },
        { "503 Service Unavailable", "Retry-After: 1\r\n", "not run: too much in progress\n" },
        { "503 Service Unavailable", "Retry-After: 1\r\n", "not run: too much in progress\n" },
        { nullptr, "", "" },
        { nullptr, "", "" },
    } };

    std::string textOf(refusal_reason reason, std::size_t maxBody)
    {
        const auto& row = refusalTexts.at(static_cast<std::size_t>(reason));
        const auto body = reason == refusal_reason::body_too_large
            ? "request body over " + std::to_string(maxBody) + " bytes\n"
            : std::string(row.body);
        return std::string("HTTP/1.1 ") + row.status + "\r\nConnection: close\r\n" + row.fields
            + "Content-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    /// Time to move this many bytes at the lowest rate that is accepted.
    duration transferTime(std::size_t bytes, std::size_t bytesPerSecond)
    {
        return std::chrono::seconds(bytes / std::max<std::size_t>(bytesPerSecond, 1));
    }

    /// Counts a connection that has been refused until its last bytes are sent.
    class closing_member : public connection_budget::member {
    public:
        closing_member(std::shared_ptr<connection_budget> budget, instant now)
            : m_budget(std::move(budget))
            , m_isCounted(m_budget->addClosing(*this, now))
        {
        }
        ~closing_member() override { m_budget->remove(*this); }
        closing_member(const closing_member&) = delete;
        closing_member& operator=(const closing_member&) = delete;

        bool isCounted() const { return m_isCounted; }
        bool isEvictable() const override { return false; }
        void evict(refusal_reason) override { }

    private:
        std::shared_ptr<connection_budget> m_budget;
        bool m_isCounted;
    };

    /// A request that has arrived, and the way for its answer. The socket stays open as long as this stream.
    object_ptr<GIOStream> makeStream(std::string request, GSocketConnection* connection)
    {
        const auto bytes = makeBytes(std::move(request));
        const object_ptr<GInputStream> input(g_memory_input_stream_new_from_bytes(bytes.get()));
        const int descriptor = g_socket_get_fd(g_socket_connection_get_socket(connection));
        const object_ptr<GOutputStream> output(g_unix_output_stream_new(descriptor, FALSE));
        object_ptr<GIOStream> stream(g_simple_io_stream_new(input.get(), output.get()));
        g_object_set_data_full(
            G_OBJECT(stream.get()), client_connection::key, g_object_ref(connection), g_object_unref);
        return stream;
    }

} // namespace

client_connection::client_connection(event_loop& loop, object_ptr<GSocketConnection> stream, const http_limits& limits,
    std::shared_ptr<connection_budget> budget, connection_owner& owner)
    : m_loop(loop)
    , m_stream(std::move(stream))
    , m_near(g_socket_connection_get_local_address(m_stream.get(), nullptr))
    , m_far(g_socket_connection_get_remote_address(m_stream.get(), nullptr))
    , m_limits(limits)
    , m_budget(std::move(budget))
    , m_owner(owner)
{
}

client_connection::~client_connection()
{
    unwatch();
    m_budget->remove(*this);
    if (m_far)
        g_object_set_data(G_OBJECT(m_far.get()), key, nullptr);
}

bool client_connection::open(instant now)
{
    // libsoup gives no other way back from a message to its connection. The peer may be gone already.
    if (!m_near || !m_far || !m_budget->add(*this, now))
        return false;
    g_object_set_data(G_OBJECT(m_far.get()), key, this);
    g_socket_set_blocking(socket(), FALSE);
    configureSocket(socket());
    enter(state::head);
    watch();
    return true;
}

void client_connection::enter(state next)
{
    m_state = next;
    m_enteredAt = m_loop.now();
    m_readAt = m_enteredAt;
}

void client_connection::watch()
{
    if (m_source != nullptr)
        return;
    m_source = g_socket_create_source(socket(), G_IO_IN, nullptr);
    g_source_set_callback(m_source, G_SOURCE_FUNC(onReadable), this, nullptr);
    g_source_attach(m_source, loop_access::context(m_loop));
}

void client_connection::unwatch()
{
    if (m_source == nullptr)
        return;
    g_source_destroy(m_source);
    g_source_unref(m_source);
    m_source = nullptr;
}

gboolean client_connection::onReadable(GSocket*, GIOCondition, gpointer self)
{
    const auto held = static_cast<client_connection*>(self)->shared_from_this();
    held->read();
    return G_SOURCE_CONTINUE;
}

void client_connection::read()
{
    // Sent ahead: stays in the socket until the answer is written.
    if (!isReading())
        return unwatch();
    std::array<char, readBytes> bytes; // NOLINT(cppcoreguidelines-pro-type-member-init)
    // No byte of the next request is read with a body.
    const auto wanted = m_state == state::body ? m_head.size + m_head.bodySize : m_limits.maxHeaderBytes + 1;
    const auto size = std::min(bytes.size(), wanted - m_buffer.size());
    error_slot error;
    const auto received = g_socket_receive(socket(), bytes.data(), size, nullptr, error.out());
    if (received < 0 && error.is(G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        return;
    if (received <= 0)
        return m_owner.remove(*this);
    if (m_state == state::head && m_buffer.empty()) {
        enter(state::head);
        m_budget->begin(*this, m_enteredAt);
    }
    m_readAt = m_loop.now();
    if (!grow(static_cast<std::size_t>(received)))
        return refuse(refusal_reason::evicted);
    m_buffer.append(bytes.data(), static_cast<std::size_t>(received));
    advance();
}

bool client_connection::grow(std::size_t bytes)
{
    const auto needed = m_buffer.size() + bytes;
    if (needed <= m_buffer.capacity())
        return true;
    auto capacity = std::max({ needed, leastCapacity, 2 * m_buffer.capacity() });
    if (m_state == state::body)
        capacity = std::max(needed, std::min(capacity, m_head.size + m_head.bodySize));
    if (!m_budget->resize(*this, capacity, m_readAt))
        return false;
    m_buffer.reserve(capacity);
    return true;
}

void client_connection::advance()
{
    if (m_state == state::head) {
        const auto size = findHeadEnd(m_buffer, m_searched);
        if ((size > 0 ? size : m_buffer.size()) > m_limits.maxHeaderBytes)
            return refuse(refusal_reason::head_too_large);
        if (size > 0 && !checkHead(size))
            return;
        // The end may have arrived up to its last byte.
        if (size == 0)
            m_searched = m_buffer.size() - std::min<std::size_t>(m_buffer.size(), 2);
    }
    if (m_state == state::body && m_buffer.size() >= m_head.size + m_head.bodySize)
        return handOver();
    watch();
}

bool client_connection::checkHead(std::size_t size)
{
    m_head = takeRequestHead(m_buffer, size, m_limits.maxHeaderFields, m_limits.maxBodyBytes);
    m_searched = 0;
    if (m_head.fault) {
        refuse(*m_head.fault);
        return false;
    }
    enter(state::body);
    constexpr std::string_view go = "HTTP/1.1 100 Continue\r\n\r\n";
    if (m_head.expectsContinue && m_buffer.size() < m_head.size + m_head.bodySize)
        g_socket_send(socket(), go.data(), go.size(), nullptr, nullptr);
    return true;
}

void client_connection::handOver()
{
    const auto size = m_head.size + m_head.bodySize;
    const bool isAhead = m_buffer.size() > size;
    const auto kept = isAhead ? m_buffer.capacity() : 0;
    const auto cost = requestBytes + kept + m_head.size + bodyCopies * m_head.bodySize + m_head.fields * fieldBytes;
    if (!m_budget->resize(*this, cost, m_readAt))
        return refuse(refusal_reason::over_budget);
    auto request = isAhead ? m_buffer.substr(0, size) : std::exchange(m_buffer, {});
    if (isAhead)
        m_buffer.erase(0, size);
    auto stream = makeStream(std::move(request), m_stream.get());
    g_object_weak_ref(G_OBJECT(stream.get()), onStreamReleased, new std::weak_ptr<client_connection>(weak_from_this()));
    m_isKept = false;
    enter(state::handled);
    m_owner.serve(*this, std::move(stream));
}

void client_connection::onStreamReleased(gpointer data, GObject*)
{
    const std::unique_ptr<std::weak_ptr<client_connection>> self(static_cast<std::weak_ptr<client_connection>*>(data));
    if (const auto held = self->lock())
        held->requestEnded();
}

void client_connection::requestEnded()
{
    if (!m_isKept) {
        g_socket_shutdown(socket(), FALSE, TRUE, nullptr);
        return m_owner.remove(*this);
    }
    enter(state::head);
    m_budget->release(*this, m_buffer.empty() ? 0 : m_buffer.capacity(), m_enteredAt);
    if (m_buffer.empty()) {
        m_buffer = {};
        return watch();
    }
    // Not from here: requests that were sent ahead would nest.
    m_loop.post([self = weak_from_this()] {
        if (const auto held = self.lock(); held && held->m_state == state::head)
            held->advance();
    });
}

void client_connection::answered(std::size_t bytes)
{
    if (m_state != state::handled)
        return;
    enter(state::answer);
    m_answerBytes = bytes;
    m_budget->charge(*this, requestBytes + m_buffer.capacity() + bytes);
}

void client_connection::evict(refusal_reason reason)
{
    if (m_state == state::answer)
        return cut(reason);
    refuse(reason);
}

void client_connection::refuse(refusal_reason reason)
{
    const auto held = shared_from_this();
    m_budget->countRefusal(reason);
    m_owner.refused(reason);
    unwatch();
    m_budget->remove(*this);
    m_buffer = {};
    const bool hasStatus = refusalTexts.at(static_cast<std::size_t>(reason)).status != nullptr;
    if (auto counted = std::make_shared<closing_member>(m_budget, m_loop.now()); hasStatus && counted->isCounted())
        sendAndClose(m_loop, object_ptr<GIOStream>(G_IO_STREAM(g_object_ref(m_stream.get()))), shareObject(socket()),
            textOf(reason, m_limits.maxBodyBytes), std::move(counted));
    else if (hasStatus) {
        const auto text = textOf(reason, m_limits.maxBodyBytes);
        g_socket_send(socket(), text.data(), text.size(), nullptr, nullptr);
        g_socket_shutdown(socket(), FALSE, TRUE, nullptr);
    }
    m_owner.remove(*this);
}

/// libsoup fails to write, and releases the stream.
void client_connection::cut(refusal_reason reason)
{
    m_budget->countRefusal(reason);
    m_isCut = true;
    g_socket_shutdown(socket(), TRUE, TRUE, nullptr);
}

void client_connection::tick(instant now)
{
    if (m_isCut || now < deadline())
        return;
    const bool isIdle = m_state == state::head && m_buffer.empty();
    if (isIdle)
        return m_owner.remove(*this);
    evict(refusal_reason::too_slow);
}

instant client_connection::deadline() const
{
    switch (m_state) {
    case state::head:
        return m_enteredAt + (m_buffer.empty() ? m_limits.idleTimeout : m_limits.headerTimeout);
    case state::body:
        return std::min(m_readAt + m_limits.idleTimeout,
            m_enteredAt + m_limits.headerTimeout + transferTime(m_head.bodySize, m_limits.minBytesPerSecond));
    case state::answer:
        return m_enteredAt + m_limits.headerTimeout + transferTime(m_answerBytes, m_limits.minBytesPerSecond);
    case state::handled:
        break;
    }
    return instant::max();
}

} // namespace poplardeal::detail
