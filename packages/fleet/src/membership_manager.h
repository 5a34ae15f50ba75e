#pragma once

#include <map>
#include <poplardeal/consensus/replica.h>
#include <set>

namespace poplardeal::detail {

/// Keeps the membership of the control group without an operator: replicas that ask to join become learners and then
/// voters, and a voter that stays away is removed once another has taken its place.
class membership_manager {
public:
    explicit membership_manager(replica_id self);

    void recordContact(replica_id, instant now);
    /// The replica is in no group that it knows of.
    void recordJoinRequest(replica_id, instant now);

    /// The change that is due, if this replica leads. At most one change is under way at a time.
    std::optional<membership> nextChange(const membership&, instant now);
    void changeEnded() { m_isChanging = false; }
    void leadershipBegan(instant now);

    /// A voter silent for longer may be replaced; longer than a restart or a freeze of the platform's usual kinds.
    static constexpr duration absenceLimit = std::chrono::seconds(6);
    static constexpr std::size_t maxVoters = 7; ///< Instances set aside at most, by the design size.

private:
    std::optional<membership> addLearner(const membership&, instant now);
    std::optional<membership> removeAbsentVoter(const membership&, instant now) const;

    replica_id m_self;
    instant m_leadsSince;
    std::map<replica_id, instant> m_lastContact;
    std::map<replica_id, instant> m_joinRequests;
    bool m_isChanging { false };
};

} // namespace poplardeal::detail
