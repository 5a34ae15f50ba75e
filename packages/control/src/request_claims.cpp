#include "request_claims.h"

#include "claimed_keys.h"

#include <poplardeal/base/json.h>
#include <poplardeal/wire/verdict_message.h>

namespace poplardeal::detail {

namespace {

    using poplardeal::toMessage;

    message::claim_outcome toMessage(claimed_keys::claim_result outcome)
    {
        switch (outcome) {
        case claimed_keys::claim_result::granted:
            return message::claim_outcome::granted;
        case claimed_keys::claim_result::already_claimed:
            return message::claim_outcome::already_claimed;
        case claimed_keys::claim_result::fingerprint_differs:
            return message::claim_outcome::fingerprint_differs;
        case claimed_keys::claim_result::full:
            return message::claim_outcome::refused;
        }
        return message::claim_outcome::refused;
    }

    message::claim_answerT toAnswer(const nlohmann::json& answer)
    {
        message::claim_answerT message;
        message.outcome = toMessage(static_cast<claimed_keys::claim_result>(answer.at("outcome").get<int>()));
        message.endpoint = answer.value("endpoint", "");
        message.incarnation = answer.value("incarnation", std::uint64_t { 0 });
        message.verdict = toMessage(parseRunVerdict(answer.value("verdict", "")).value_or(run_verdict::may_have_run));
        return message;
    }

} // namespace

request_claims::request_claims(control_context& context, connections& open)
    : m_context(context)
    , m_connections(open)
{
}

void request_claims::refuse(connection_id id, std::uint64_t correlation, const std::string& reason)
{
    auto* open = m_connections.find(id);
    if (!open)
        return;
    message::claim_answerT answer;
    answer.outcome = message::claim_outcome::refused;
    answer.reason = reason;
    if (const auto leader = m_context.leaderFrames())
        answer.leader = toString(*leader);
    open->link->send(packMessage(frame_kind::claim_answer, correlation, answer));
}

void request_claims::claim(connection_id id, const frame& received)
{
    const auto correlation = received.correlation;
    const auto read = unpackMessage<message::claim>(received.body);
    if (read.has_error() || read.value().key.empty())
        return refuse(id, correlation, "the claim is damaged");
    if (!m_context.leads() || m_context.stopping)
        return refuse(id, correlation, "this replica does not lead");
    const auto& wanted = read.value();
    const claim_key command { service_name(wanted.service), idempotency_key(wanted.key), endpoint_id(wanted.endpoint),
        incarnation(wanted.incarnation), request_id(wanted.request_id), wanted.fingerprint };
    m_context.propose(command, [this, id, correlation](const result<nlohmann::json>& answer) {
        if (answer.has_error())
            return refuse(id, correlation, answer.error().message);
        if (auto* open = m_connections.find(id))
            open->link->send(packMessage(frame_kind::claim_answer, correlation, toAnswer(answer.value())));
    });
}

void request_claims::settle(connection_id id, const frame& received)
{
    const auto read = unpackMessage<message::settle>(received.body);
    if (read.has_error() || !m_context.leads())
        return;
    const auto& settled = read.value();
    const settle_key command { service_name(settled.service), idempotency_key(settled.key),
        request_id(settled.request_id), fromMessage(settled.verdict) };
    const auto correlation = received.correlation;
    m_context.propose(command, [this, id, correlation](const result<nlohmann::json>& answer) {
        auto* open = m_connections.find(id);
        if (open && answer.has_value())
            open->link->send(packMessage(frame_kind::settle_ack, correlation, message::emptyT {}));
    });
}

} // namespace poplardeal::detail
