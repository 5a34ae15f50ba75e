#pragma once

#include "known_controls.h"
#include "membership_manager.h"
#include <functional>
#include <poplardeal/base/line_limiter.h>
#include <poplardeal/fleet/settings.h>
#include <poplardeal/wire/frame.h>
#include <poplardeal/wire/messages_generated.h>
#include <string>

namespace poplardeal::detail {

/// A replica's part in the membership of the control group: it asks to join and to leave and, while it leads, answers
/// these requests and proposes the changes.
class group_membership {
public:
    using send_function = std::function<void(replica_id, const frame&)>;

    /// The settings must outlive this object; their seeds may change.
    group_membership(const fleet_settings&, replica_id self, send_function);

    /// A message of the replica has arrived.
    void recordContact(replica_id from, instant now) { m_manager.recordContact(from, now); }
    /// Proposes what is due if this replica leads; otherwise asks to join if it takes no part in the group.
    void tick(replica&, bool leads, instant now);
    /// Handles `join_group` and `leave_group` from the replica that the connection belongs to. Returns the answer, if
    /// there is one yet.
    std::optional<frame> receive(replica&, bool leads, replica_id from, const frame&, instant now);
    /// Another control has told what it knows of the group. A replica that asks to join asks the controls named there,
    /// too.
    void recordHint(const message::control_hintT&);
    /// How long this replica has been asking to join; zero if it does not ask.
    duration joiningFor(instant now) const { return m_askingSince ? now - *m_askingSince : duration::zero(); }
    /// A `leave_answer` has arrived.
    void recordLeaveAnswer() { m_hasLeft = true; }
    /// For a replica that stops and does not lead, called until it returns true: asks the leader not to count on it
    /// any more, and waits for the answer up to `leaveTimeout`.
    bool leave(const replica&, instant now);

    static constexpr duration leaveTimeout = std::chrono::seconds(2);

private:
    void propose(replica&, instant now);
    void requestToJoin(const replica&, instant now);
    std::vector<replica_id> askedToJoin(const replica&) const;
    bool isFromSender(const frame&, replica_id named, replica_id from, instant now);
    void endJoining(const replica&, instant now);
    void noteJoining(const replica&, const std::vector<replica_id>& asked, instant now);

    const fleet_settings& m_settings;
    replica_id m_self;
    send_function m_send;
    membership_manager m_manager;
    std::uint64_t m_ledTerm { 0 }; ///< Term that this replica leads, 0 if it does not lead.
    instant m_requestedAt; ///< When this replica last asked to join or to leave.
    std::optional<instant> m_askingSince; ///< When this replica began to ask to join, if it does.
    known_controls m_known;
    bool m_hasNewControl { false }; ///< One of `m_known` has not been asked yet.
    std::string m_namedLeader; ///< By the last hint that named one.
    line_limiter m_joiningLines;
    line_limiter m_refusalLines;
    std::optional<instant> m_leavingSince;
    bool m_hasAskedToLeave { false };
    bool m_hasLeft { false };
};

} // namespace poplardeal::detail
