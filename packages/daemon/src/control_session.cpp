#include "control_session.h"

#include <nlohmann/json.hpp>
#include <poplardeal/base/log.h>

namespace poplardeal::detail {

namespace {

    constexpr duration tickInterval = std::chrono::milliseconds(100);
    constexpr duration openInterval = std::chrono::milliseconds(500);
    constexpr duration renewInterval = std::chrono::seconds(5);
    /// A renewal unanswered for this long means that the leader is gone or no longer leads.
    constexpr duration ackTimeout = std::chrono::seconds(2);

} // namespace

control_session::control_session(
    event_loop& loop, const std::vector<address>& controls, std::uint64_t seed, callbacks handlers)
    : m_loop(loop)
    , m_callbacks(std::move(handlers))
{
    for (std::size_t index = 0; index < controls.size(); ++index)
        m_controls.push_back(std::make_unique<dialer>(loop, controls[index], seed + index));
}

void control_session::start()
{
    for (std::size_t index = 0; index < m_controls.size(); ++index) {
        auto& control = *m_controls[index];
        control.onUp([this, &control] { control.send(packMessage(frame_kind::hello, 0, m_callbacks.hello())); });
        control.onDown([this, index] {
            if (m_session == index)
                m_session.reset();
        });
        control.onFrame([this, index](frame received) {
            if (received.kind == frame_kind::session_ack)
                handleAck(index, received);
            else
                m_callbacks.other(std::move(received));
        });
        control.start();
    }
    m_timer = m_loop.every(tickInterval, [this] { tick(); });
}

bool control_session::send(const frame& message) { return m_session && m_controls[*m_session]->send(message); }

void control_session::broadcast(const frame& message)
{
    for (const auto& control : m_controls) {
        if (control->isUp())
            control->send(message);
    }
}

std::uint64_t control_session::noteSent(instant now)
{
    std::erase_if(m_sentAt, [&](const auto& entry) { return now - entry.second > ackTimeout; });
    m_sentAt[m_nextCorrelation] = now;
    return m_nextCorrelation++;
}

void control_session::tick()
{
    const auto now = m_loop.now();
    if (m_session && m_lastRenewal > m_lastAck && now - m_lastRenewal > ackTimeout) {
        logEvent(log_level::warning, "session_lost", { { "reason", "no answer to a renewal" } });
        m_session.reset();
    }
    if (m_session && now - m_lastRenewal >= renewInterval)
        renew();
    else if (!m_session && now - m_lastOpening >= openInterval)
        openEverywhere();
}

void control_session::openEverywhere()
{
    const auto now = m_loop.now();
    m_lastOpening = now;
    const auto correlation = noteSent(now);
    broadcast(packMessage(frame_kind::session_open, correlation, m_callbacks.opening()));
}

void control_session::renew()
{
    const auto now = m_loop.now();
    m_lastRenewal = now;
    const auto opening = m_callbacks.opening();
    message::session_renewT renewal;
    renewal.worker = opening.worker;
    renewal.incarnation = opening.incarnation;
    send(packMessage(frame_kind::session_renew, noteSent(now), renewal));
}

void control_session::handleAck(std::size_t control, const frame& received)
{
    const auto ack = unpackMessage<message::session_ack>(received.body);
    if (ack.has_error())
        return;
    if (!ack.value().accepted) {
        if (m_session == control)
            m_session.reset();
        return;
    }
    const auto sent = m_sentAt.find(received.correlation);
    if (sent == m_sentAt.end())
        return;
    // The lease is counted from the sending of the request, so that it ends here before it ends at control.
    m_callbacks.renewed(sent->second + std::chrono::milliseconds(ack.value().lease_ms));
    m_lastAck = m_loop.now();
    if (m_session == control)
        return;
    m_session = control;
    m_lastRenewal = sent->second;
    logEvent(log_level::info, "session_opened", { { "control", toString(m_controls[control]->peer()) } });
    m_callbacks.opened();
}

} // namespace poplardeal::detail
