#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <poplardeal/base/time.h>
#include <unordered_set>

namespace poplardeal {

/// Why a server refused a request, or cut a connection that had not completed one.
enum class refusal_reason {
    malformed, ///< 400.
    no_length, ///< 411: a body without Content-Length.
    body_too_large, ///< 413.
    head_too_large, ///< 431: bytes or fields.
    over_budget, ///< 503: the request does not fit into the budget.
    evicted, ///< 503: the connection had held most for longest when the budget was used up.
    too_slow, ///< Cut: a head, body or answer took too long.
    too_many_connections, ///< Cut.
};

inline constexpr std::array refusalNames { "malformed", "no_length", "body_too_large", "head_too_large", "over_budget",
    "evicted", "too_slow", "too_many_connections" };

/// Memory and connections that the clients of a process may take, shared by its servers. Once it is used up, the
/// connection that has held most for longest without completing its request is evicted.
///
/// The budget outlives its servers and is used from the thread of their loop.
class connection_budget {
public:
    struct limits {
        std::size_t bytes { std::size_t { 256 } * 1024 * 1024 }; ///< Of buffers, requests under way and answers.
        std::size_t connections { 4096 };
    };

    /// A connection that counts against the budget.
    class member {
    public:
        member() = default;
        virtual ~member() = default;
        member(const member&) = delete;
        member& operator=(const member&) = delete;

        /// False while a request of the connection is being handled.
        virtual bool isEvictable() const = 0;
        /// Ends the connection, and may destroy the member. It counts until it is destroyed.
        virtual void evict(refusal_reason) = 0;

    private:
        friend class connection_budget;
        std::size_t m_bytes { 0 };
        instant m_since; ///< Begin of its request, or end of the last one.
        bool m_isClosing { false };
    };

    explicit connection_budget(limits l);

    /// Counts a new connection. False if there are too many and none can be evicted.
    bool add(member&, instant now);
    void remove(member&);
    /// Sets the bytes that a connection holds. False, and no change, if they do not fit after evictions; also if the
    /// connection itself is the one that would have to go.
    bool resize(member&, std::size_t bytes, instant now);
    /// For bytes that are held already, such as an answer.
    void charge(member&, std::size_t bytes);
    /// A request begins to arrive on the connection.
    void begin(member& m, instant now) { m.m_since = now; }
    /// The connection has completed a request, and holds this much of the next.
    void release(member&, std::size_t bytes, instant now);
    /// Counts a connection that is only told why it is closed. False if there are too many of them.
    bool addClosing(member&, instant now);

    void countRefusal(refusal_reason reason) { ++m_refused.at(static_cast<std::size_t>(reason)); }
    std::uint64_t refused(refusal_reason reason) const { return m_refused.at(static_cast<std::size_t>(reason)); }
    std::size_t bytes() const { return m_bytes; }
    std::size_t connections() const { return m_members.size(); }
    const limits& bounds() const { return m_limits; }

    /// Returns memory to the system after the use has fallen to a quarter of its peak. Call it now and then.
    void trim();

private:
    member* worst(bool forMemory, instant now) const;
    bool makeRoom(std::size_t more, const member& asking, instant now);

    limits m_limits;
    std::size_t m_bytes { 0 };
    std::size_t m_peak { 0 };
    std::size_t m_closing { 0 };
    std::unordered_set<member*> m_members;
    std::array<std::uint64_t, refusalNames.size()> m_refused {};
};

} // namespace poplardeal
