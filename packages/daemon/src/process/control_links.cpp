#include "process/control_links.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <poplardeal/base/log.h>

namespace poplardeal::detail {

control_links::control_links(event_loop& loop, control_links_settings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
{
    auto seed = m_settings.seed;
    for (const auto& peer : m_settings.controls)
        addLink(peer, seed++);
}

control_links::~control_links() { *m_alive = false; }

void control_links::onDeployment(std::function<void(const deployment_in_force&)> handler)
{
    m_onDeployment = std::move(handler);
}

void control_links::start()
{
    for (const auto& link : m_links)
        link->start();
    m_settleTimer = m_loop.every(m_settings.settleRetry, [this] { sendSettles(); });
}

void control_links::claim(
    const message::claimT& claim, instant deadline, std::function<void(result<message::claim_answerT>)> done)
{
    const auto correlation = ++m_lastCorrelation;
    if (m_links.empty() || m_claims.size() >= m_settings.maxClaims) {
        const auto* reason = m_links.empty() ? "no control in the settings" : "too many claims without answer";
        m_loop.post([done = std::move(done), reason, alive = m_alive] {
            if (*alive)
                done(failure { failure_code::unavailable, reason });
        });
        return;
    }
    m_claims.emplace(correlation, pending_claim { claim, deadline, std::move(done), m_leader, {} });
    sendClaim(correlation);
}

void control_links::settle(const message::settleT& settle)
{
    if (m_links.empty())
        return;
    if (m_settles.size() >= m_settings.maxSettles) {
        m_settles.pop_front();
        ++m_droppedSettles;
    }
    m_settles.push_back({ ++m_lastCorrelation, settle, m_leader });
    m_links[m_leader]->send(packMessage(frame_kind::settle, m_lastCorrelation, settle));
}

std::uint64_t control_links::bytesTransferred() const
{
    std::uint64_t bytes = 0;
    for (const auto& link : m_links)
        bytes += link->bytesTransferred();
    return bytes;
}

void control_links::addLink(const address& peer, std::uint64_t seed)
{
    const auto index = m_links.size();
    m_links.push_back(std::make_unique<dialer>(m_loop, peer, seed));
    auto& link = *m_links.back();
    link.onUp([this, index] { m_links[index]->send(packMessage(frame_kind::hello, 0, m_settings.hello)); });
    link.onFrame([this, index](const frame& received) { takeFrame(index, received); });
}

void control_links::takeFrame(std::size_t link, const frame& received)
{
    if (received.kind == frame_kind::deployment_update) {
        auto update = unpackMessage<message::deployment_update>(received.body);
        if (update)
            takeDeployment(link, update.value());
    } else if (received.kind == frame_kind::claim_answer) {
        auto answer = unpackMessage<message::claim_answer>(received.body);
        if (answer)
            takeClaimAnswer(link, received.correlation, std::move(answer.value()));
    } else if (received.kind == frame_kind::settle_ack) {
        std::erase_if(m_settles, [&](const auto& item) { return item.correlation == received.correlation; });
    }
}

void control_links::takeDeployment(std::size_t link, const message::deployment_updateT& update)
{
    if (deployment_version(update.version) > m_deployment.version) {
        m_deployment.version = deployment_version(update.version);
        m_deployment.outOfService.clear();
        for (const auto& name : update.out_of_service)
            m_deployment.outOfService.insert(data_centre_name(name));
        logEvent(log_level::info, "deployment_in_force",
            { { "version", update.version }, { "out_of_service", update.out_of_service } });
        if (m_onDeployment)
            m_onDeployment(m_deployment);
    }
    message::deployment_ackT ack;
    ack.version = m_deployment.version.value();
    m_links[link]->send(packMessage(frame_kind::deployment_ack, 0, ack));
}

void control_links::takeClaimAnswer(std::size_t link, std::uint64_t correlation, message::claim_answerT answer)
{
    const auto found = m_claims.find(correlation);
    if (found == m_claims.end())
        return;
    if (answer.outcome != message::claim_outcome::refused) {
        m_leader = link;
        endClaim(correlation, std::move(answer));
        return;
    }
    const auto next = (link + 1) % m_links.size();
    const auto target = linkOf(answer.leader, next);
    // A named leader is asked at once. A control that names itself or nobody has no leader yet.
    const bool isNamed = !answer.leader.empty() && target != link;
    if (isNamed)
        m_leader = target;
    moveClaim(correlation, target, isNamed && found->second.target != target ? duration(0) : m_settings.leaderRetry);
}

void control_links::sendClaim(std::uint64_t correlation)
{
    const auto found = m_claims.find(correlation);
    if (found == m_claims.end())
        return;
    auto& pending = found->second;
    const auto left = pending.deadline - m_loop.now();
    if (left <= duration(0)) {
        endClaim(correlation, failure { failure_code::timed_out, "no control leader answered the claim in time" });
        return;
    }
    const auto next = (pending.target + 1) % m_links.size();
    const bool isSent = m_links[pending.target]->send(packMessage(frame_kind::claim, correlation, pending.claim));
    const auto pause = isSent ? m_settings.answerTimeout : m_settings.leaderRetry;
    moveClaim(correlation, next, std::min<duration>(pause, left));
}

/// Sends the claim to another control after a pause.
void control_links::moveClaim(std::uint64_t correlation, std::size_t target, duration pause)
{
    auto& pending = m_claims.at(correlation);
    pending.timer = m_loop.after(pause, [this, correlation, target] {
        const auto found = m_claims.find(correlation);
        if (found == m_claims.end())
            return;
        found->second.target = target;
        sendClaim(correlation);
    });
}

void control_links::endClaim(std::uint64_t correlation, result<message::claim_answerT> answer)
{
    const auto found = m_claims.find(correlation);
    auto done = std::move(found->second.done);
    m_claims.erase(found);
    m_loop.post([done = std::move(done), answer = std::move(answer), alive = m_alive]() mutable {
        if (*alive)
            done(std::move(answer));
    });
}

void control_links::sendSettles()
{
    // The acknowledgement carries no leader, so a repeat goes to the next control.
    for (auto& pending : m_settles) {
        m_links[pending.target]->send(packMessage(frame_kind::settle, pending.correlation, pending.settle));
        pending.target = (pending.target + 1) % m_links.size();
    }
}

std::size_t control_links::linkOf(const std::string& peer, std::size_t otherwise) const
{
    const auto found = std::ranges::find_if(m_links, [&](const auto& link) { return toString(link->peer()) == peer; });
    return found == m_links.end() ? otherwise : static_cast<std::size_t>(found - m_links.begin());
}

} // namespace poplardeal::detail
