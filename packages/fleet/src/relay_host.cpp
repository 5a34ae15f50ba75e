#include "relay_host.h"
#include <nlohmann/json.hpp>
#include <poplardeal/base/log.h>
#include <poplardeal/wire/message.h>

namespace poplardeal::detail {

relay_host::relay_host(event_loop& loop, std::function<bool(const address&)> isControl)
    : m_loop(loop)
    , m_isControl(std::move(isControl))
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
    if (m_pipes.size() >= maxPipes) {
        logEvent(log_level::warning, "relay_refused", { { "peer", toString(link->peer()) }, { "reason", "too many" } });
        return;
    }
    const auto number = ++m_lastPipe;
    auto& open = m_pipes[number];
    open.caller = std::move(link);
    open.caller->onFrame([this, number](frame received) { handle(number, std::move(received)); });
    open.caller->onClosed([this, number](const failure&) { m_pipes.erase(number); });
}

void relay_host::handle(std::uint64_t number, frame received)
{
    auto& open = m_pipes.at(number);
    if (!open.onward) {
        const auto request = unpackMessage<message::relay_open>(received.body);
        const auto target = request.has_value() && received.kind == frame_kind::relay_open
            ? parseAddress(request.value().target)
            : result<address>(failure { failure_code::corrupt, "the first frame is no relay_open" });
        if (target.has_value() && m_isControl(target.value()))
            return connect(number, open, target.value());
        logEvent(log_level::warning, "relay_refused",
            { { "peer", toString(open.caller->peer()) },
                { "reason", target.has_error() ? target.error().message : "the target is no control" } });
        m_pipes.erase(number);
        return;
    }
    const bool isUp = open.onward->isUp();
    const bool isTaken = isUp ? open.onward->send(received) : open.waiting.size() < maxWaiting;
    if (!isTaken)
        return close(number, "the control does not take frames");
    if (!isUp)
        open.waiting.push_back(std::move(received));
}

/// The caller notices and looks for another way.
void relay_host::close(std::uint64_t number, const char* reason)
{
    logEvent(log_level::warning, "relay_closed",
        { { "peer", toString(m_pipes.at(number).caller->peer()) }, { "reason", reason } });
    m_pipes.erase(number);
}

void relay_host::connect(std::uint64_t number, pipe& open, const address& target)
{
    logEvent(
        log_level::info, "relay_opened", { { "peer", toString(open.caller->peer()) }, { "target", toString(target) } });
    open.onward = std::make_unique<dialer>(m_loop, target, number, dialLimit);
    auto* link = open.onward.get();
    link->onUp([this, number] {
        auto& up = m_pipes.at(number);
        up.dialTimer.cancel();
        for (const auto& each : std::exchange(up.waiting, {}))
            up.onward->send(each);
    });
    link->onDown([this, number] { m_pipes.erase(number); });
    link->onFrame([this, number](const frame& received) {
        if (!m_pipes.at(number).caller->send(received))
            close(number, "the caller does not take frames");
    });
    open.dialTimer = m_loop.after(dialLimit, [this, number] { close(number, "the control cannot be reached"); });
    link->start();
}

} // namespace poplardeal::detail
