#pragma once

#include <algorithm>
#include <map>
#include <poplardeal/consensus/replica.h>

namespace poplardeal::detail {

/// Decides changes of the control group's membership without an operator. A replica that asks to join becomes a learner
/// and, once caught up, a voter. A voter that stops is removed, and one that stays unreachable becomes a learner, as
/// soon as the group tolerates more failures without its vote.
class membership_manager {
public:
    /// `toleratedLosses`: of replicas that may be lost at once, with their data.
    membership_manager(replica_id self, std::size_t toleratedLosses);

    /// A message of the replica has arrived.
    void recordContact(replica_id, instant now);
    /// The replica has asked to join; it is not a voting member as far as it knows. Ignored if its id is no address
    /// that one process can have.
    void recordJoinRequest(replica_id, instant now);
    /// The replica is about to stop. It may come back.
    void recordLeaveRequest(replica_id, instant now);
    /// True if the group needs all its voters: none is removed, since it may come back.
    bool needsAllVoters(const membership& current) const { return current.voterCount() <= m_votersNeeded; }
    /// True if the group no longer counts on the replica, or keeps its place although it stops.
    bool mayStop(const membership&, replica_id, instant now) const;

    /// The next change to propose; for the leader only. Nothing is returned until `changeEnded` is called for the last
    /// change.
    std::optional<membership> nextChange(const membership&, instant now);
    /// The last change was committed or its proposal failed.
    void changeEnded() { m_isChanging = false; }
    /// This replica has become the leader. Silence of members counts from now.
    void leadershipBegan(instant now);

    /// A voter silent for longer may become a learner. Twice the election timeout: a shorter stall costs no vote. The
    /// leader goes on sending to it, so one that comes back is a voter again within moments, whatever it has kept.
    static constexpr duration voterAbsenceLimit = std::chrono::seconds(1);
    /// A learner silent for longer may make room for another one. It joins again if it comes back.
    static constexpr duration learnerAbsenceLimit = std::chrono::seconds(1);
    /// A learner silent towards one leader for longer is taken to be gone for good and removed.
    static constexpr duration learnerLifetime = std::chrono::minutes(10);
    static constexpr std::size_t minVoters = 3; ///< Of any group.
    /// The design reserves at most 7 instances for control. A further one waits as a learner to replace a voter.
    static constexpr std::size_t maxVoters = 7;
    /// Voters of which that many may be lost, with their data, while a majority is left that has each committed entry;
    /// as far as the group may grow. Fewer are left only by replicas that lost their data folder.
    static constexpr std::size_t votersNeeded(std::size_t losses)
    {
        return std::clamp(2 * losses + 1, minVoters, maxVoters);
    }
    /// With learners. A learner that is absent makes room for a new one.
    static constexpr std::size_t maxMembers = maxVoters + 2;

private:
    std::optional<membership> addLearner(const membership&, instant now);
    std::optional<membership> withoutUnavailableVoter(const membership&, instant now) const;
    std::optional<membership> withoutLostLearner(const membership&, instant now) const;
    /// When the member was last heard, or when this replica began to lead.
    instant heardAt(const member&) const;
    bool isAbsent(const member&, duration limit, instant now) const;
    bool isLeaving(const member&, instant now) const;

    replica_id m_self;
    std::size_t m_votersNeeded;
    instant m_leadsSince;
    std::map<replica_id, instant> m_lastContact;
    std::map<replica_id, instant> m_joinRequests;
    std::map<replica_id, instant> m_leaveRequests;
    bool m_isChanging { false };
};

} // namespace poplardeal::detail
