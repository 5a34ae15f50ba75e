#include "membership_manager.h"
#include <boost/test/data/test_case.hpp>
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

// Guards against a replica that asks to join and is never added.
BOOST_AUTO_TEST_CASE(a_joining_replica_becomes_a_learner_to_be_promoted)
{
    membership_manager manager(replica_id(1), 1);
    manager.leadershipBegan(at(0));
    manager.recordJoinRequest(replica_id(9), at(100));
    const auto change = manager.nextChange(makeVoters({ 1, 2, 3 }), at(100));
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST((change->find(replica_id(9))->role == member_role::learner));
    BOOST_TEST(change->find(replica_id(9))->promoteWhenCaughtUp);
    BOOST_TEST(!manager.nextChange(makeVoters({ 1, 2, 3 }), at(100)).has_value());
}

// Guards against removing an absent voter before a new one has replaced it.
BOOST_AUTO_TEST_CASE(an_absent_voter_of_the_smallest_group_stays)
{
    membership_manager manager(replica_id(1), 1);
    manager.leadershipBegan(at(0));
    manager.recordContact(replica_id(2), at(60000));
    BOOST_TEST(!manager.nextChange(makeVoters({ 1, 2, 3 }), at(60000)).has_value());
}

// Guards against a lost machine that counts towards the quorum for ever, against taking the vote of one that only
// stalls, and against a leader that stops sending to one that may come back.
BOOST_AUTO_TEST_CASE(an_absent_voter_becomes_a_learner_when_others_suffice)
{
    membership_manager manager(replica_id(1), 1);
    manager.leadershipBegan(at(0));
    for (const std::uint32_t id : { 2U, 4U })
        manager.recordContact(replica_id(id), at(900));
    BOOST_TEST(!manager.nextChange(makeVoters({ 1, 2, 3, 4 }), at(1000)).has_value());
    const auto change = manager.nextChange(makeVoters({ 1, 2, 3, 4 }), at(1001));
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST(change->voterCount() == 3);
    BOOST_REQUIRE(change->find(replica_id(3)) != nullptr);
    BOOST_TEST((change->find(replica_id(3))->role == member_role::learner));
    BOOST_TEST(change->find(replica_id(3))->promoteWhenCaughtUp);
}

struct unavailable_row {
    std::size_t losses; ///< That are tolerated.
    std::uint32_t voters;
    std::vector<std::uint32_t> absent;
    std::vector<std::uint32_t> leaving;
    std::uint32_t removed; ///< Loses its vote. 0: none.
};

static std::ostream& operator<<(std::ostream& out, const unavailable_row& row)
{
    return out << row.voters << " voters, " << row.absent.size() << " absent, " << row.leaving.size() << " leaving, "
               << row.losses << " losses";
}

static const unavailable_row unavailableRows[] = {
    { 1, 2, {}, { 2 }, 0 },
    { 1, 3, {}, { 2 }, 0 },
    { 1, 3, { 2 }, { 3 }, 0 },
    { 1, 4, {}, {}, 0 },
    { 1, 4, {}, { 2 }, 2 },
    { 1, 4, { 4 }, { 2 }, 4 },
    { 1, 5, { 4 }, {}, 4 },
    { 1, 5, {}, { 4 }, 4 },
    { 1, 5, { 3, 4 }, {}, 3 },
    { 1, 5, { 4 }, { 2 }, 4 },
    { 1, 5, {}, { 2, 3 }, 2 },
    { 1, 6, { 5 }, {}, 5 },
    { 1, 7, {}, {}, 0 },
    { 1, 7, { 5 }, {}, 5 },
    { 0, 3, { 2 }, {}, 0 },
    { 0, 4, { 2 }, {}, 2 },
    { 2, 4, { 4 }, { 3 }, 0 },
    { 2, 5, { 3, 4 }, {}, 0 },
    { 2, 5, {}, { 4 }, 0 },
    { 2, 6, { 5 }, {}, 5 },
    { 2, 6, {}, { 5 }, 5 },
    { 2, 7, { 3, 5 }, {}, 3 },
    { 3, 6, { 5 }, {}, 0 },
    { 3, 7, { 5 }, { 4 }, 0 },
    { 4, 7, { 5 }, {}, 0 },
    { 4, 8, { 5 }, {}, 5 },
};

// Guards against a group that shrinks without need, or keeps a voter without whose vote it tolerates more failures.
BOOST_DATA_TEST_CASE(
    unavailable_voters_lose_their_votes_if_that_helps, boost::unit_test::data::make(unavailableRows), row)
{
    membership_manager manager(replica_id(1), row.losses);
    manager.leadershipBegan(at(0));
    membership group;
    for (std::uint32_t id = 1; id <= row.voters; ++id) {
        group.members.push_back({ replica_id(id), member_role::voter, 0, false });
        if (std::find(row.absent.begin(), row.absent.end(), id) == row.absent.end())
            manager.recordContact(replica_id(id), at(2000));
    }
    for (const auto id : row.leaving)
        manager.recordLeaveRequest(replica_id(id), at(2000));
    for (const auto id : row.leaving)
        BOOST_TEST(manager.mayStop(group, replica_id(id), at(2000)) == (row.removed == 0));
    const auto change = manager.nextChange(group, at(2000));
    BOOST_REQUIRE(change.has_value() == (row.removed != 0));
    if (!change)
        return;
    const bool isAbsent = std::find(row.absent.begin(), row.absent.end(), row.removed) != row.absent.end();
    BOOST_TEST((change->find(replica_id(row.removed)) != nullptr) == isAbsent);
    BOOST_TEST(!change->isVoter(replica_id(row.removed)));
    BOOST_TEST(change->voterCount() == row.voters - 1);
    BOOST_TEST(!manager.mayStop(*change, replica_id(row.removed), at(2000)));
    manager.changeEnded();
    BOOST_TEST(manager.mayStop(*change, replica_id(row.removed), at(2000)));
}

// Guards against a leave request that still removes a replica after it has come back.
BOOST_AUTO_TEST_CASE(a_leave_request_expires)
{
    membership_manager manager(replica_id(1), 1);
    manager.leadershipBegan(at(0));
    manager.recordLeaveRequest(replica_id(2), at(100));
    for (const std::uint32_t id : { 2U, 3U, 4U })
        manager.recordContact(replica_id(id), at(2101));
    BOOST_TEST(!manager.nextChange(makeVoters({ 1, 2, 3, 4 }), at(2101)).has_value());
}

// Guards against a join request with an id that no process can have, which adds a member that never answers.
BOOST_AUTO_TEST_CASE(an_id_that_is_no_address_does_not_join)
{
    membership_manager manager(replica_id(1), 1);
    manager.leadershipBegan(at(0));
    for (const std::uint32_t odd : { 0U, 0xe0000001U, 0xffffffffU })
        manager.recordJoinRequest(replica_id(odd), at(100));
    BOOST_TEST(!manager.nextChange(makeVoters({ 1, 2, 3 }), at(100)).has_value());
}

// Guards against learners that never come up and fill the group without end, or keep a good replica out.
BOOST_AUTO_TEST_CASE(absent_learners_make_room_when_the_group_is_full)
{
    membership_manager manager(replica_id(1), 1);
    manager.leadershipBegan(at(0));
    auto group = makeVoters({ 1, 2, 3 });
    std::uint32_t next = 100;
    while (group.members.size() < membership_manager::maxMembers)
        group.members.push_back({ replica_id(next++), member_role::learner, 0, true });
    manager.recordJoinRequest(replica_id(9), at(100));
    BOOST_TEST(!manager.nextChange(group, at(100)).has_value());
    manager.recordContact(replica_id(100), at(6500));
    manager.recordJoinRequest(replica_id(9), at(7000));
    const auto change = manager.nextChange(group, at(7000));
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST(change->members.size() == membership_manager::maxMembers);
    for (const std::uint32_t kept : { 1U, 2U, 3U, 9U, 100U })
        BOOST_TEST(change->find(replica_id(kept)) != nullptr);
    BOOST_TEST(change->find(replica_id(101)) == nullptr);
}

// Guards against machines that are gone for good and stay members for ever.
BOOST_AUTO_TEST_CASE(a_learner_that_does_not_come_back_is_removed)
{
    membership_manager manager(replica_id(1), 1);
    manager.leadershipBegan(at(0));
    auto group = makeVoters({ 1, 2, 3 });
    for (const std::uint32_t id : { 100U, 101U })
        group.members.push_back({ replica_id(id), member_role::learner, 0, true });
    manager.recordContact(replica_id(101), at(1));
    BOOST_TEST(!manager.nextChange(group, at(600'000)).has_value());
    const auto change = manager.nextChange(group, at(600'001));
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST(change->find(replica_id(100)) == nullptr);
    BOOST_TEST(change->members.size() == 4);
}
