#include "replica_group.h"
#include <boost/test/unit_test.hpp>

using namespace poplardeal;
using namespace poplardeal::test;

BOOST_AUTO_TEST_SUITE(replica_suite)

// Guards against a proposal that is answered without being applied on every replica.
BOOST_AUTO_TEST_CASE(proposals_are_applied_everywhere)
{
    replica_group group(3);
    group.startAll(true);
    for (int i = 0; i < 20; ++i)
        BOOST_REQUIRE(group.propose("p" + std::to_string(i)).has_value());
    BOOST_REQUIRE(group.waitUntilEqual(20));
    for (const auto& [number, machine] : group.machines)
        BOOST_TEST(machine->applied == group.machines[1]->applied);
}

// Guards against a follower that accepts a proposal or reports that it did.
BOOST_AUTO_TEST_CASE(a_follower_refuses_proposals)
{
    replica_group group(3);
    group.startAll(true);
    BOOST_REQUIRE(group.waitForLeader());
    const auto follower = group.leader() == 1 ? 2U : 1U;
    std::optional<failure> refused;
    group.replicas[follower]->propose("p", group.now, [&](const result<std::string>& r) { refused = r.error(); });
    BOOST_REQUIRE(refused.has_value());
    BOOST_TEST((refused->code == failure_code::not_leader));
}

// Guards against acknowledged entries that are lost with the leader.
BOOST_AUTO_TEST_CASE(the_group_survives_the_loss_of_its_leader)
{
    replica_group group(3);
    group.startAll(true);
    BOOST_REQUIRE(group.propose("before").has_value());
    const auto lost = group.leader();
    group.kill(lost);
    BOOST_REQUIRE(group.propose("after").has_value());
    BOOST_REQUIRE(group.start(lost, false).has_value());
    BOOST_REQUIRE(group.waitUntilEqual(2));
    BOOST_TEST((group.machines[lost]->applied == std::vector<std::string> { "before", "after" }));
}

// Guards against a log that cannot be read back after all replicas stopped.
BOOST_AUTO_TEST_CASE(all_replicas_restart_with_their_state)
{
    replica_group group(3, 8);
    group.startAll(true);
    for (int i = 0; i < 30; ++i)
        BOOST_REQUIRE(group.propose("p" + std::to_string(i)).has_value());
    for (std::uint32_t number = 1; number <= 3; ++number)
        group.kill(number);
    group.startAll(false);
    BOOST_REQUIRE(group.propose("last").has_value());
    BOOST_REQUIRE(group.waitUntilEqual(31));
}

// Guards against two processes that write the same log.
BOOST_AUTO_TEST_CASE(a_second_open_of_a_folder_is_refused)
{
    replica_group group(1);
    group.startAll(true);
    const auto second = group.start(1, true);
    BOOST_REQUIRE(second.has_error());
    BOOST_TEST((second.error().code == failure_code::locked));
}

BOOST_AUTO_TEST_SUITE_END()
