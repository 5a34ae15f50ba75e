#include "control_group.h"
#include <boost/test/data/test_case.hpp>

using namespace poplardeal;
using namespace poplardeal::detail;
using namespace poplardeal::test;
using namespace std::chrono_literals;

namespace {

using scenario = void (*)(control_group&);

struct loss_row {
    const char* name;
    std::uint32_t seeds;
    scenario before; ///< Ends at the moment from which the pages allow another loss.
    bool losesLeader; ///< Whether the leader's disk is lost, or a follower's.
    std::size_t toleratedLosses { 1 };
};

std::ostream& operator<<(std::ostream& out, const loss_row& row)
{
    return out << row.name << (row.losesLeader ? ", the leader's disk" : "") << ", " << row.toleratedLosses
               << " losses tolerated";
}

void replaceAsPlanned(control_group& group, std::uint32_t old, std::uint32_t successor)
{
    group.start(successor);
    group.run(catchUpTime);
    group.stop(old);
}

void plannedFollower(control_group& group) { replaceAsPlanned(group, group.follower(), 11); }
void plannedLeader(control_group& group) { replaceAsPlanned(group, group.leader(), 11); }

void twoInTurn(control_group& group)
{
    replaceAsPlanned(group, group.follower(), 11);
    replaceAsPlanned(group, group.follower(), 12);
}

void twoSuccessorsFirst(control_group& group)
{
    const auto first = group.follower();
    const auto second = group.leader();
    group.start(11);
    group.start(12);
    group.run(catchUpTime);
    group.stop(first);
    group.stop(second);
}

void replaceAfterKill(control_group& group, std::uint32_t old)
{
    group.kill(old);
    group.run(1s);
    group.start(11);
    group.run(catchUpTime);
}

void killedFollower(control_group& group) { replaceAfterKill(group, group.follower()); }
void killedLeader(control_group& group) { replaceAfterKill(group, group.leader()); }

void killedWithHandOver(control_group& group)
{
    group.kill(group.follower());
    group.run(1s);
    group.start(11);
    group.run(catchUpTime / 2);
    group.transfer();
    group.run(catchUpTime / 2);
}

void killedWhileSuccessorRuns(control_group& group)
{
    group.start(11);
    group.run(catchUpTime);
    group.kill(group.follower());
    group.run(2s);
}

void killedBesideSuccessor(control_group& group)
{
    group.start(11);
    group.run(catchUpTime);
    group.kill(group.follower());
}

void leaderKilledBesideSuccessor(control_group& group)
{
    group.start(11);
    group.run(catchUpTime);
    group.kill(group.leader());
}

/// All processes are killed before a leader could remove the one that is gone for good.
void allKilledBesideSuccessor(control_group& group)
{
    const auto old = group.follower();
    group.start(11);
    group.run(catchUpTime);
    for (const std::uint32_t id : { 1, 2, 3, 11 })
        group.kill(id);
    group.run(500ms);
    for (const std::uint32_t id : { 1, 2, 3, 11 }) {
        if (id != old)
            group.start(id);
    }
}

void successorDies(control_group& group)
{
    const auto old = group.follower();
    group.start(11);
    group.run(1s);
    group.kill(11);
    group.run(1s);
    replaceAsPlanned(group, old, 12);
}

void oldOneComesBack(control_group& group)
{
    const auto old = group.follower();
    replaceAsPlanned(group, old, 11);
    group.run(2s);
    group.start(old);
    group.run(catchUpTime);
    group.kill(group.follower());
    group.run(2s);
}

void rollingRestart(control_group& group)
{
    group.start(11);
    group.run(catchUpTime);
    for (const std::uint32_t id : { 1, 2, 3, 11 }) {
        group.stop(id);
        group.run(500ms);
        group.start(id);
        group.run(catchUpTime);
    }
}

const loss_row lossRows[] = {
    { "planned replacement of a follower", 3, plannedFollower, false },
    { "planned replacement of a follower", 3, plannedFollower, true },
    { "planned replacement of the leader", 3, plannedLeader, false },
    { "planned replacement of the leader", 3, plannedLeader, true },
    { "two planned replacements in turn", 3, twoInTurn, false },
    { "two successors, then both old ones stop", 3, twoSuccessorsFirst, false },
    { "a follower killed, its successor a second later", 3, killedFollower, false },
    { "a follower killed, its successor a second later", 3, killedFollower, true },
    { "the leader killed, its successor a second later", 3, killedLeader, false },
    { "a hand-over of leadership during the replacement", 3, killedWithHandOver, false },
    { "a follower killed beside its successor", 3, killedWhileSuccessorRuns, false },
    { "a follower killed beside its successor just now", 3, killedBesideSuccessor, false },
    { "a follower killed beside its successor just now", 3, killedBesideSuccessor, true },
    { "the leader killed beside its successor just now", 3, leaderKilledBesideSuccessor, false },
    { "all killed beside the successor, one for good", 3, allKilledBesideSuccessor, false },
    { "a follower killed beside its successor in a group of five", 5, killedBesideSuccessor, false },
    { "a successor that dies", 3, successorDies, false },
    { "a removed replica back with its old disk", 3, oldOneComesBack, false },
    { "a rolling restart of four", 3, rollingRestart, false },
    { "planned replacement in a group of five", 5, plannedFollower, false },
    { "two planned replacements in a group of five", 5, twoInTurn, true },
    { "a follower killed beside its successor in a group of five", 5, killedBesideSuccessor, false, 2 },
    { "planned replacement in a group of five", 5, plannedFollower, false, 2 },
    { "two planned replacements in a group of five", 5, twoInTurn, true, 2 },
    { "two successors in a group of five, then both old ones stop", 5, twoSuccessorsFirst, false, 2 },
    { "the leader of five killed, its successor a second later", 5, killedLeader, true, 2 },
};

} // namespace

// Guards against a group that still counts a replaced member and loses its quorum for good with the next disk.
BOOST_DATA_TEST_CASE(a_disk_lost_after_a_replacement_is_survived, boost::unit_test::data::make(lossRows), row)
{
    control_group group(row.seeds, row.toleratedLosses);
    BOOST_REQUIRE(group.propose(recoveryTime));
    row.before(group);
    if (group.leader() != 0)
        BOOST_REQUIRE(group.propose(1s));
    group.loseDisk(row.losesLeader ? group.leader() : group.follower(false));
    BOOST_REQUIRE(group.propose(recoveryTime));
    BOOST_TEST(group.hasAllEntries());
    group.run(catchUpTime);
    BOOST_TEST(group.voters() >= row.seeds);
}

// Guards against a rolling restart that interrupts the group or leaves it with fewer voters than machines.
BOOST_DATA_TEST_CASE(a_rolling_restart_keeps_all_voters,
    boost::unit_test::data::make({ 3U, 5U }) * boost::unit_test::data::make({ 1U, 2U }), seeds, toleratedLosses)
{
    control_group group(seeds, toleratedLosses);
    BOOST_REQUIRE(group.propose(recoveryTime));
    for (std::uint32_t id = 1; id <= seeds; ++id) {
        group.stop(id);
        BOOST_REQUIRE(group.propose(1s));
        BOOST_TEST(group.voters() >= membership_manager::minVoters);
        group.start(id);
        group.run(catchUpTime);
    }
    BOOST_TEST(group.voters() == seeds);
}

struct return_row {
    const char* name;
    std::uint32_t seeds; ///< Of five controls.
    bool isLedBySeed;
    bool isSeed; ///< Whether the control that returns is one.
    bool isWiped; ///< Whether it returns with an empty disk.
};

static std::ostream& operator<<(std::ostream& out, const return_row& row) { return out << row.name; }

static const return_row returnRows[] = {
    { "a seed returns to a leader that is a seed", 3, true, true, false },
    { "a seed returns with an empty disk to a leader that is a seed", 3, true, true, true },
    { "another control returns to a leader that is a seed", 3, true, false, false },
    { "another control returns with an empty disk to a leader that is a seed", 3, true, false, true },
    { "a seed returns to a leader that is no seed", 3, false, true, false },
    { "a seed returns with an empty disk to a leader that is no seed", 3, false, true, true },
    { "another control returns to a leader that is no seed", 3, false, false, false },
    { "another control returns with an empty disk to a leader that is no seed", 3, false, false, true },
    { "a seed returns with an empty disk to a leader that is not the only seed", 1, false, true, true },
};

// Guards against a control that was removed while it was away and never becomes a voter again, because it asks only its
// seeds to join and the leader is none of them.
BOOST_DATA_TEST_CASE(a_control_that_was_removed_joins_any_leader, boost::unit_test::data::make(returnRows), row)
{
    control_group group(row.seeds);
    group.grow(5);
    group.letLead(row.isLedBySeed);
    std::uint32_t away = 0;
    for (const auto id : group.followers()) {
        if ((id <= row.seeds) == row.isSeed)
            away = id;
    }
    BOOST_REQUIRE(away != 0);
    group.kill(away);
    if (row.isWiped)
        group.wipe(away);
    BOOST_REQUIRE(group.reachVoters(4, catchUpTime));
    group.start(away);
    BOOST_TEST(group.reachVoters(5, catchUpTime));
    group.run(1s);
    BOOST_TEST(group.joiningFor(away).count() == 0);
}

struct two_disks_row {
    const char* name;
    std::uint32_t seeds; ///< Of five controls.
    duration away; ///< For which two controls are gone before.
    bool areWiped; ///< Whether these two return with empty disks.
    duration returned; ///< From their return to the loss of two other disks.
};

static std::ostream& operator<<(std::ostream& out, const two_disks_row& row) { return out << row.name; }

static const two_disks_row twoDisksRows[] = {
    { "nothing before", 3, 0s, false, 0s },
    { "two controls return at that moment", 5, 7s, false, 0ms },
    { "two controls return at that moment, three seeds", 3, 7s, false, 0ms },
    { "two controls returned 50 ms ago", 5, 7s, false, 50ms },
    { "two controls returned 50 ms ago, three seeds", 3, 7s, false, 50ms },
    { "two controls returned 1 s ago, three seeds", 3, 7s, false, 1s },
    { "two controls returned with empty disks and have caught up", 5, 7s, true, 6s },
    { "two controls returned with empty disks and have caught up, three seeds", 3, 7s, true, 6s },
    { "two controls return after a short absence", 3, 1500ms, false, 0ms },
};

// Guards against a group of five that lost its quorum, or entries, with two disks, because it counted fewer voters than
// it has machines: the loss of two controls is to be borne.
BOOST_DATA_TEST_CASE(two_disks_lost_in_a_group_of_five_are_survived,
    boost::unit_test::data::make(twoDisksRows) * boost::unit_test::data::make({ false, true }), row, losesLeader)
{
    control_group group(row.seeds, 2);
    group.grow(5);
    if (row.seeds < 5)
        group.letLead(false);
    std::vector<std::uint32_t> gone;
    if (row.away > 0s) {
        gone = group.followers();
        gone.resize(2);
        for (const auto id : gone) {
            group.kill(id);
            if (row.areWiped)
                group.wipe(id);
        }
        group.run(row.away);
        BOOST_REQUIRE(group.propose(recoveryTime));
        for (const auto id : gone)
            group.start(id);
        group.run(row.returned);
    }
    // Entries of this moment are on the three controls that were there.
    if (group.leader() != 0)
        group.propose(500ms);
    std::vector<std::uint32_t> wiped;
    if (losesLeader && group.leader() != 0)
        wiped.push_back(group.leader());
    for (const auto id : group.followers()) {
        if (wiped.size() < 2 && std::find(gone.begin(), gone.end(), id) == gone.end())
            wiped.push_back(id);
    }
    group.losePowerOfAll(wiped);
    BOOST_REQUIRE(group.propose(recoveryTime));
    BOOST_TEST(group.hasAllEntries());
    BOOST_TEST(group.reachVoters(5, catchUpTime));
}

// Guards against a leader that is shown as one that asks to join.
BOOST_AUTO_TEST_CASE(a_leader_asks_nobody)
{
    control_group group(3);
    BOOST_REQUIRE(group.propose(recoveryTime));
    group.run(10ms); // The entry may be recorded in the instant of the election, before the members look again.
    for (const std::uint32_t id : { 1, 2, 3 })
        BOOST_TEST(group.joiningFor(id).count() == 0);
}

// Guards against a control that makes the leader add or remove another one by a message in its name.
BOOST_DATA_TEST_CASE(a_request_counts_only_for_its_sender, boost::unit_test::data::make({ true, false }), isJoin)
{
    replica_group group(4);
    group.startAll(true);
    BOOST_REQUIRE(group.propose("entry").has_value());
    const auto leads = group.leader();
    auto& leader = *group.replicas.at(leads);
    const fleet_settings settings;
    group_membership membership(settings, replica_id(leads), [](replica_id, const frame&) {});
    membership.tick(leader, true, group.now);
    const auto named = replica_id(isJoin ? 9 : leads % 4 + 1);
    const auto other = replica_id((leads + 1) % 4 + 1);
    message::join_groupT request; // Both kinds have the same fields.
    request.replica = named.value();
    const auto out = packMessage(isJoin ? frame_kind::join_group : frame_kind::leave_group, 0, request);
    for (const auto from : { other, named }) {
        membership.receive(leader, true, from, out, group.now);
        membership.tick(leader, true, group.now);
        for (int i = 0; i < 20; ++i)
            group.step();
        BOOST_TEST((leader.members().members.size() != 4) == (from == named));
    }
}
