#include "group_membership.h"
#include "replica_address.h"
#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <poplardeal/base/log.h>
#include <poplardeal/wire/message.h>
#include <set>

namespace poplardeal::detail {

namespace {

    constexpr duration joinRequestInterval = std::chrono::milliseconds(400);
    constexpr duration newControlInterval = std::chrono::milliseconds(100); ///< The same while one was not asked yet.
    /// A group with a leader answers a request to join within this time.
    constexpr duration joinLogDelay = std::chrono::seconds(2);
    constexpr duration joinLogInterval = std::chrono::seconds(5);
    constexpr duration refusalLogInterval = std::chrono::seconds(1);
    constexpr duration leaveRequestInterval = std::chrono::milliseconds(100);

    std::int64_t millisecondsOf(duration time)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    }

    std::vector<std::uint32_t> idsOf(const membership& members, std::optional<member_role> role = {})
    {
        std::vector<std::uint32_t> out;
        for (const auto& each : members.members) {
            if (!role || each.role == *role)
                out.push_back(each.id.value());
        }
        return out;
    }

} // namespace

group_membership::group_membership(const fleet_settings& settings, replica_id self, send_function send)
    : m_settings(settings)
    , m_self(self)
    , m_send(std::move(send))
    , m_manager(self, settings.toleratedLosses)
    , m_joiningLines(joinLogInterval)
    , m_refusalLines(refusalLogInterval)
{
}

void group_membership::tick(replica& group, bool leads, instant now)
{
    const auto ledTerm = leads ? group.term() : 0;
    if (leads && ledTerm != m_ledTerm)
        m_manager.leadershipBegan(now);
    m_ledTerm = ledTerm;
    if (!leads)
        return requestToJoin(group, now);
    endJoining(group, now);
    propose(group, now);
}

void group_membership::propose(replica& group, instant now)
{
    const auto change = m_manager.nextChange(group.members(), now);
    if (!change)
        return;
    group.changeMembership(
        *change, now, [this, before = group.members(), after = *change](const result<std::string>& outcome) {
            m_manager.changeEnded();
            logEvent(log_level::info, "membership_change",
                { { "before", idsOf(before) }, { "members", idsOf(after) },
                    { "voters_before", idsOf(before, member_role::voter) },
                    { "voters", idsOf(after, member_role::voter) },
                    { "outcome", outcome.has_error() ? outcome.error().message : "recorded" } });
        });
}

/// A leader need not be a seed, and a replica with an empty folder knows no members: the hints of those that it asks
/// name the others.
std::vector<replica_id> group_membership::askedToJoin(const replica& group) const
{
    std::set<replica_id> asked(m_known.list().begin(), m_known.list().end());
    for (const auto& seed : m_settings.seeds)
        asked.insert(replicaIdFromIp(seed.ip));
    for (const auto& each : group.members().members)
        asked.insert(each.id);
    asked.erase(m_self);
    return { asked.begin(), asked.end() };
}

/// A voter that hears no leader asks as well: it may have been removed while it was away, which its own log doesn't
/// show. The leader ignores requests of its members.
void group_membership::requestToJoin(const replica& group, instant now)
{
    const bool isVoter = group.members().isVoter(m_self) && group.mayVote();
    if ((group.leader() && isVoter) || m_leavingSince)
        return endJoining(group, now);
    if (!m_askingSince)
        m_askingSince = now;
    if (now - m_requestedAt < (m_hasNewControl ? newControlInterval : joinRequestInterval))
        return;
    m_requestedAt = now;
    m_hasNewControl = false;
    message::join_groupT request;
    request.replica = m_self.value();
    const auto out = packMessage(frame_kind::join_group, 0, request);
    const auto asked = askedToJoin(group);
    for (const auto to : asked)
        m_send(to, out);
    noteJoining(group, asked, now);
}

void group_membership::endJoining(const replica& group, instant now)
{
    const auto since = std::exchange(m_askingSince, std::nullopt);
    if (since && now - *since >= joinLogDelay)
        logEvent(
            log_level::info, "join_ended", { { "waited_ms", millisecondsOf(now - *since) }, { "term", group.term() } });
}

void group_membership::noteJoining(const replica& group, const std::vector<replica_id>& asked, instant now)
{
    const auto waited = joiningFor(now);
    if (waited < joinLogDelay || !m_joiningLines.admit(now))
        return;
    std::vector<std::string> names(asked.size());
    std::transform(asked.begin(), asked.end(), names.begin(), ipFromReplicaId);
    logEvent(log_level::warning, "join_unanswered",
        { { "waited_ms", millisecondsOf(waited) }, { "asked", names }, { "leader_named", m_namedLeader },
            { "term", group.term() }, { "may_vote", group.mayVote() } });
}

void group_membership::recordHint(const message::control_hintT& hint)
{
    m_hasNewControl = m_known.record(hint) || m_hasNewControl;
    if (!hint.leader.empty())
        m_namedLeader = hint.leader;
}

bool group_membership::isFromSender(const frame& received, replica_id named, replica_id from, instant now)
{
    if (named == from)
        return true;
    if (const auto leftOut = m_refusalLines.admit(now))
        logEvent(log_level::warning, "message_refused",
            { { "kind", static_cast<int>(received.kind) }, { "peer", ipFromReplicaId(from) },
                { "replica", ipFromReplicaId(named) }, { "left_out", *leftOut } });
    return false;
}

std::optional<frame> group_membership::receive(
    replica& group, bool leads, replica_id from, const frame& received, instant now)
{
    if (!leads)
        return std::nullopt;
    if (received.kind == frame_kind::join_group) {
        const auto request = unpackMessage<message::join_group>(received.body);
        if (request.has_value() && isFromSender(received, replica_id(request.value().replica), from, now))
            m_manager.recordJoinRequest(from, now);
        return std::nullopt;
    }
    const auto request = unpackMessage<message::leave_group>(received.body);
    if (request.has_error() || !isFromSender(received, replica_id(request.value().replica), from, now))
        return std::nullopt;
    m_manager.recordLeaveRequest(from, now);
    propose(group, now);
    if (!m_manager.mayStop(group.members(), from, now))
        return std::nullopt;
    return packMessage(frame_kind::leave_answer, received.correlation, message::leave_answerT {});
}

bool group_membership::leave(const replica& group, instant now)
{
    if (!m_leavingSince)
        m_leavingSince = now;
    if (m_hasLeft || now - *m_leavingSince >= leaveTimeout)
        return true;
    // The membership shows the removal before it is committed, which may need this replica. The answer comes after
    // that.
    const bool stays = m_manager.needsAllVoters(group.members()) || !group.members().isVoter(m_self);
    if (stays && !m_hasAskedToLeave)
        return true;
    if (group.leader() && now - m_requestedAt >= leaveRequestInterval) {
        m_requestedAt = now;
        m_hasAskedToLeave = true;
        message::leave_groupT request;
        request.replica = m_self.value();
        m_send(*group.leader(), packMessage(frame_kind::leave_group, 0, request));
    }
    return false;
}

} // namespace poplardeal::detail
