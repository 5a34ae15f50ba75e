#include "connection/endpoint_links.h"

#include "request/message_forms.h"

#include <nlohmann/json.hpp>
#include <poplardeal/base/log.h>

namespace poplardeal::detail {

// A connection that has not said who it is by then is closed.
constexpr duration helloTimeout = std::chrono::seconds(5);

endpoint_links::endpoint_links(event_loop& loop, endpoint_link_handlers handlers)
    : m_loop(loop)
    , m_handlers(std::move(handlers))
{
}

endpoint_links::~endpoint_links() { *m_alive = false; }

void endpoint_links::add(std::unique_ptr<channel> connection)
{
    if (m_links.size() >= maxLinks) {
        ++m_counts.refusedConnections;
        return;
    }
    const auto id = ++m_lastId;
    auto& added = m_links[id];
    added.connection = std::move(connection);
    added.helloTimeout = m_loop.after(helloTimeout, [this, id] { closed(id); });
    added.connection->onFrame([this, id](const frame& received) { takeFrame(id, received); });
    added.connection->onClosed([this, id](const failure& reason) {
        if (reason.code == failure_code::corrupt || reason.code == failure_code::too_large)
            ++m_counts.malformed;
        closed(id);
    });
}

bool endpoint_links::isConnected(const endpoint_id& endpoint, incarnation process) const
{
    return find(endpoint, process) != nullptr;
}

bool endpoint_links::send(
    const endpoint_id& endpoint, incarnation process, const frame& message, const std::string& requestId)
{
    const auto current = m_current.find(endpoint);
    auto* target = find(endpoint, process);
    if (target == nullptr || target->hasLeft || !target->connection->send(message))
        return false;
    target->awaited.emplace(message.correlation, requestId);
    m_linkOfCorrelation[message.correlation] = current->second;
    return true;
}

void endpoint_links::abandon(std::uint64_t correlation)
{
    const auto found = m_linkOfCorrelation.find(correlation);
    if (found == m_linkOfCorrelation.end())
        return;
    const auto owner = m_links.find(found->second);
    if (owner != m_links.end())
        owner->second.awaited.erase(correlation);
    m_linkOfCorrelation.erase(found);
}

void endpoint_links::closeAll()
{
    for (auto& [id, item] : m_links) {
        item.connection->send(packMessage(frame_kind::goodbye, 0, message::goodbyeT {}));
        item.connection->close();
    }
}

std::uint64_t endpoint_links::bytesTransferred() const
{
    auto bytes = m_closedBytes;
    for (const auto& [id, item] : m_links)
        bytes += item.connection->bytesTransferred();
    return bytes;
}

void endpoint_links::takeFrame(std::uint64_t id, const frame& received)
{
    const auto found = m_links.find(id);
    if (found == m_links.end() || found->second.isClosing)
        return;
    auto& sender = found->second;
    if (received.kind == frame_kind::hello)
        return takeHello(id, sender, received);
    if (!sender.isGreeted)
        return refuse(id, sender, "no hello");
    switch (received.kind) {
    case frame_kind::announce:
        return takeAnnounce(id, sender, received);
    case frame_kind::response:
        return takeResponse(id, sender, received);
    case frame_kind::goodbye:
        return takeGoodbye(sender);
    default:
        return refuse(id, sender, "unexpected frame");
    }
}

void endpoint_links::takeHello(std::uint64_t id, link& sender, const frame& received)
{
    const auto hello = unpackMessage<message::hello>(received.body);
    if (!hello || hello.value().role != message::process_role::endpoint_sidecar || hello.value().name.empty())
        return refuse(id, sender, "hello is not that of an endpoint sidecar");
    if (sender.isGreeted)
        return refuse(id, sender, "second hello");
    sender.isGreeted = true;
    sender.endpoint = endpoint_id(hello.value().name);
    sender.helloTimeout.cancel();
}

void endpoint_links::takeAnnounce(std::uint64_t id, link& sender, const frame& received)
{
    const auto object = unpackMessage<message::announce>(received.body);
    if (!object)
        return refuse(id, sender, "malformed announcement");
    const auto announced = fromMessage(object.value());
    const bool isOwn = announced.endpoint == sender.endpoint;
    const bool isSameProcess = sender.process.value() == 0 || sender.process == announced.process;
    if (!isOwn || !isSameProcess || announced.process.value() == 0)
        return refuse(id, sender, "announcement of another endpoint or process");
    sender.process = announced.process;
    auto& current = m_current[sender.endpoint];
    const auto previous = m_links.find(current);
    // A connection of an older process must not take the place of that of a newer one.
    if (previous == m_links.end() || previous->second.process <= sender.process)
        current = id;
    m_handlers.announced(announced);
}

void endpoint_links::takeResponse(std::uint64_t id, link& sender, const frame& received)
{
    const auto response = unpackMessage<message::response>(received.body);
    if (!response)
        return refuse(id, sender, "malformed response");
    const auto found = sender.awaited.find(received.correlation);
    if (found == sender.awaited.end() || found->second != response.value().id) {
        ++m_counts.unmatchedAnswers;
        return;
    }
    sender.awaited.erase(found);
    m_linkOfCorrelation.erase(received.correlation);
    m_handlers.answered(received.correlation, response.value());
}

void endpoint_links::takeGoodbye(link& sender)
{
    // The answer tells the sidecar that no request is on its way to it any more.
    sender.hasLeft = true;
    m_handlers.left(sender.endpoint, sender.process);
    sender.connection->send(packMessage(frame_kind::goodbye, 0, message::goodbyeT {}));
}

void endpoint_links::refuse(std::uint64_t id, link& sender, std::string_view reason)
{
    ++m_counts.malformed;
    logEvent(log_level::warning, "connection_refused",
        { { "peer", toString(sender.connection->peer()) }, { "reason", reason } });
    sender.isClosing = true;
    m_loop.post([this, id, alive = m_alive] {
        if (*alive)
            closed(id);
    });
}

void endpoint_links::closed(std::uint64_t id)
{
    const auto found = m_links.find(id);
    if (found == m_links.end())
        return;
    auto gone = std::move(found->second);
    m_links.erase(found);
    m_closedBytes += gone.connection->bytesTransferred();
    const auto current = m_current.find(gone.endpoint);
    if (current != m_current.end() && current->second == id) {
        m_current.erase(current);
        m_handlers.lost(gone.endpoint, gone.process);
    }
    for (const auto& [correlation, request] : gone.awaited) {
        m_linkOfCorrelation.erase(correlation);
        m_handlers.answerLost(correlation);
    }
}

const endpoint_links::link* endpoint_links::find(const endpoint_id& endpoint, incarnation process) const
{
    const auto current = m_current.find(endpoint);
    if (current == m_current.end())
        return nullptr;
    const auto found = m_links.find(current->second);
    if (found == m_links.end() || found->second.isClosing || found->second.process != process)
        return nullptr;
    return &found->second;
}

endpoint_links::link* endpoint_links::find(const endpoint_id& endpoint, incarnation process)
{
    return const_cast<link*>(std::as_const(*this).find(endpoint, process));
}

} // namespace poplardeal::detail
