#include "membership_manager.h"
#include <boost/test/unit_test.hpp>

using namespace poplardeal;
using namespace poplardeal::detail;

namespace {

instant at(std::int64_t ms) { return instantFromMicros(ms * 1000); }

membership makeVoters(std::initializer_list<std::uint32_t> ids)
{
    membership out;
    for (const auto id : ids)
        out.members.push_back({ replica_id(id), member_role::voter, 0, false });
    return out;
}

} // namespace

// Guards against a replacement that never becomes a member.
BOOST_AUTO_TEST_CASE(a_joining_replica_becomes_a_learner_that_will_vote)
{
    membership_manager manager(replica_id(1));
    manager.leadershipBegan(at(0));
    manager.recordJoinRequest(replica_id(9), at(100));
    const auto change = manager.nextChange(makeVoters({ 1, 2, 3 }), at(100));
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST((change->find(replica_id(9))->role == member_role::learner));
    BOOST_TEST(change->find(replica_id(9))->promoteWhenCaughtUp);
    BOOST_TEST(!manager.nextChange(makeVoters({ 1, 2, 3 }), at(100)).has_value());
}

// Guards against a group that shrinks while nobody has taken the absent member's place.
BOOST_AUTO_TEST_CASE(an_absent_voter_stays_in_an_odd_group)
{
    membership_manager manager(replica_id(1));
    manager.leadershipBegan(at(0));
    manager.recordContact(replica_id(2), at(60000));
    BOOST_TEST(!manager.nextChange(makeVoters({ 1, 2, 3 }), at(60000)).has_value());
}

// Guards against a group in which a machine that is gone for good counts towards the quorum for ever, and against the
// removal of one that is only restarting.
BOOST_AUTO_TEST_CASE(an_absent_voter_is_replaced)
{
    membership_manager manager(replica_id(1));
    manager.leadershipBegan(at(0));
    for (const std::uint32_t id : { 2U, 4U })
        manager.recordContact(replica_id(id), at(7000));
    BOOST_TEST(!manager.nextChange(makeVoters({ 1, 2, 3, 4 }), at(5900)).has_value());
    const auto change = manager.nextChange(makeVoters({ 1, 2, 3, 4 }), at(7000));
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST(change->find(replica_id(3)) == nullptr);
}
