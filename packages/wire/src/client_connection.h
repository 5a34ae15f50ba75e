#pragma once

#include "gobject_ptr.h"
#include "request_head.h"
#include <memory>
#include <poplardeal/wire/connection_budget.h>
#include <poplardeal/wire/event_loop.h>
#include <poplardeal/wire/http.h>
#include <string>

namespace poplardeal::detail {

class client_connection;

/// The server that a connection belongs to.
class connection_owner {
public:
    virtual ~connection_owner() = default;
    /// Hands over one whole request; the connection reads on when the stream is released.
    virtual void serve(client_connection&, object_ptr<GIOStream>) = 0;
    /// The connection has ended; destroys it.
    virtual void remove(client_connection&) = 0;
    virtual void refused(refusal_reason) = 0;
};

/// One connection of a client. Holds each request back until it is whole, within the limits and the budget, and reads
/// none of the next before the last answer is written. Shared only so that a stream that ends later can find it.
class client_connection : public connection_budget::member, public std::enable_shared_from_this<client_connection> {
public:
    client_connection(event_loop&, object_ptr<GSocketConnection>, const http_limits&,
        std::shared_ptr<connection_budget>, connection_owner&);
    ~client_connection() override;

    /// False if the budget has no place for it.
    bool open(instant now);
    /// Ends a connection that has been idle, or at a head, body or answer, for too long.
    void tick(instant now);
    /// The handler has answered with a body of this size.
    void answered(std::size_t bytes);
    /// The answer is written, and the connection may serve another request.
    void keep() { m_isKept = true; }
    /// True from the end of a request's head to the end of its answer.
    bool hasRequest() const { return m_state != state::head; }
    bool isReading() const { return m_state == state::head || m_state == state::body; }
    GSocketAddress* near() const { return m_near.get(); }
    GSocketAddress* far() const { return m_far.get(); }

    bool isEvictable() const override { return isReading() || (m_state == state::answer && !m_isCut); }
    void evict(refusal_reason) override;

    static constexpr const char* key = "poplardeal-connection";

private:
    enum class state {
        head,
        body,
        handled, ///< By libsoup and the handler.
        answer, ///< Is being written.
    };

    static gboolean onReadable(GSocket*, GIOCondition, gpointer self);
    static void onStreamReleased(gpointer self, GObject*);
    void watch();
    void unwatch();
    void read();
    /// Goes as far as the bytes that have arrived allow.
    void advance();
    /// False if the request is refused.
    bool checkHead(std::size_t size);
    void handOver();
    void requestEnded();
    void enter(state);
    /// Makes room for more bytes; false if the budget has none.
    bool grow(std::size_t bytes);
    /// Answers as not run and closes.
    void refuse(refusal_reason);
    void cut(refusal_reason);
    instant deadline() const;
    GSocket* socket() const { return g_socket_connection_get_socket(m_stream.get()); }

    event_loop& m_loop;
    object_ptr<GSocketConnection> m_stream;
    object_ptr<GSocketAddress> m_near;
    object_ptr<GSocketAddress> m_far;
    const http_limits& m_limits;
    std::shared_ptr<connection_budget> m_budget;
    connection_owner& m_owner;
    GSource* m_source { nullptr };
    std::string m_buffer;
    std::size_t m_searched { 0 }; ///< No head ends before this position.
    request_head m_head;
    state m_state { state::head };
    instant m_enteredAt;
    instant m_readAt;
    std::size_t m_answerBytes { 0 };
    bool m_isKept { false };
    bool m_isCut { false };
};

} // namespace poplardeal::detail
