#include "relay_host.h"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <poplardeal/base/log.h>
#include <poplardeal/wire/message.h>

namespace poplardeal::detail {

relay_host::relay_host(event_loop& loop, std::function<bool(const address&)> isControl, std::size_t most)
    : m_loop(loop)
    , m_isControl(std::move(isControl))
    , m_maxConnections(std::min(most, maxConnections))
{
}

result<void> relay_host::open(const address& own)
{
    BOOST_OUTCOME_TRY(
        accepting, listener::open(m_loop, own, [this](std::unique_ptr<channel> link) { accept(std::move(link)); }));
    m_listener = std::move(accepting);
    return success();
}

void relay_host::accept(std::unique_ptr<channel> link)
{
    const auto isUnopened = [](const auto& item) { return !item.second.upstream; };
    const auto unopened = std::count_if(m_connections.begin(), m_connections.end(), isUnopened);
    if (static_cast<std::size_t>(unopened) >= std::max<std::size_t>(m_maxConnections / unopenedFraction, 1))
        m_connections.erase(std::find_if(m_connections.begin(), m_connections.end(), isUnopened));
    if (m_connections.size() >= m_maxConnections) {
        logEvent(log_level::warning, "relay_refused",
            { { "peer", toString(link->peer()) }, { "reason", "too many relayed connections" } });
        return;
    }
    const auto id = ++m_lastConnectionId;
    auto& connection = m_connections[id];
    connection.downstream = std::move(link);
    connection.downstream->limitBody(maxFirstBody);
    connection.downstream->onFrame([this, id](frame received) { handleFrame(id, std::move(received)); });
    connection.downstream->onClosed([this, id](const failure&) { m_connections.erase(id); });
}

void relay_host::handleFrame(std::uint64_t id, frame received)
{
    auto& connection = m_connections.at(id);
    if (!connection.upstream) {
        const auto request = unpackMessage<message::relay_open>(received.body);
        const auto target = request.has_value() && received.kind == frame_kind::relay_open
            ? parseAddress(request.value().target)
            : result<address>(failure { failure_code::corrupt, "the first frame is not relay_open" });
        if (target.has_value() && m_isControl(target.value()))
            return connect(id, connection, target.value());
        logEvent(log_level::warning, "relay_refused",
            { { "peer", toString(connection.downstream->peer()) },
                { "reason", target.has_error() ? target.error().message : "the target is not a known control" } });
        m_connections.erase(id);
        return;
    }
    const bool isUp = connection.upstream->isUp();
    const bool isForwarded
        = isUp ? connection.upstream->send(received) : connection.queuedFrames.size() < maxQueuedFrames;
    if (!isForwarded)
        return close(id, "cannot forward a frame to the control: the queue is full or the connection is closed");
    if (!isUp)
        connection.queuedFrames.push_back(std::move(received));
}

/// The downstream side notices the closed connection and tries another path.
void relay_host::close(std::uint64_t id, const char* reason)
{
    logEvent(log_level::warning, "relay_closed",
        { { "peer", toString(m_connections.at(id).downstream->peer()) }, { "reason", reason } });
    m_connections.erase(id);
}

void relay_host::connect(std::uint64_t id, relayed_connection& connection, const address& target)
{
    logEvent(log_level::info, "relay_opened",
        { { "peer", toString(connection.downstream->peer()) }, { "target", toString(target) } });
    connection.downstream->limitBody(maxRequestBody);
    connection.upstream = std::make_unique<dialer>(m_loop, target, id, dialTimeout);
    auto* link = connection.upstream.get();
    link->onUp([this, id] {
        auto& up = m_connections.at(id);
        up.dialTimer.cancel();
        for (const auto& each : std::exchange(up.queuedFrames, {}))
            up.upstream->send(each);
    });
    link->onDown([this, id] { m_connections.erase(id); });
    link->onFrame([this, id](const frame& received) {
        if (!m_connections.at(id).downstream->send(received))
            close(id, "cannot forward a frame to the caller: the queue is full or the connection is closed");
    });
    connection.dialTimer
        = m_loop.after(dialTimeout, [this, id] { close(id, "no connection to the control within the timeout"); });
    link->start();
}

} // namespace poplardeal::detail
