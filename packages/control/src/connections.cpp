#include "connections.h"

#include <nlohmann/json.hpp>
#include <poplardeal/base/log.h>

namespace poplardeal::detail {

connections::connections(frame_handler handler)
    : m_handler(std::move(handler))
{
}

void connections::accept(std::unique_ptr<channel> link)
{
    if (m_open.size() >= maxConnections) {
        logEvent(log_level::warning, "connection_refused", { { "reason", "too many connections" } });
        return;
    }
    const connection_id id(++m_lastId);
    link->onFrame([this, id](const frame& received) { handle(id, received); });
    link->onClosed([this, id](const failure&) {
        if (const auto found = m_open.find(id); found != m_open.end()) {
            if (found->second.worker)
                m_byWorker.erase(*found->second.worker);
            m_open.erase(found);
        }
    });
    m_open[id].link = std::move(link);
}

void connections::handle(connection_id id, const frame& received)
{
    auto* open = find(id);
    if (!open)
        return;
    if (open->hello)
        return m_handler(id, *open, received);
    auto hello = received.kind == frame_kind::hello
        ? unpackMessage<message::hello>(received.body)
        : result<message::helloT>(failure { failure_code::invalid_argument, "the first frame is not hello" });
    if (hello.has_error()) {
        logEvent(log_level::warning, "connection_refused", { { "reason", hello.error().message } });
        m_open.erase(id);
        return;
    }
    open->hello = std::move(hello).value();
    m_handler(id, *open, received);
}

void connections::closeAll()
{
    for (auto& [id, open] : m_open)
        open.link->close();
}

connection* connections::find(connection_id id)
{
    const auto found = m_open.find(id);
    return found == m_open.end() ? nullptr : &found->second;
}

connection* connections::findWorker(const worker_id& worker)
{
    const auto found = m_byWorker.find(worker);
    return found == m_byWorker.end() ? nullptr : find(found->second);
}

void connections::bindWorker(connection_id id, const worker_id& worker)
{
    if (auto* older = findWorker(worker))
        older->worker.reset();
    auto* open = find(id);
    if (!open)
        return;
    open->worker = worker;
    m_byWorker[worker] = id;
}

void connections::unbindWorkers()
{
    for (const auto& [worker, id] : m_byWorker) {
        if (auto* open = find(id))
            open->worker.reset();
    }
    m_byWorker.clear();
}

void connections::sendToClients(const frame& message)
{
    for (auto& [id, open] : m_open) {
        if (open.hello && open.hello->role != message::process_role::control)
            open.link->send(message);
    }
}

} // namespace poplardeal::detail
