#include "full_folders.h"
#include "replica_group.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <poplardeal/consensus/raft_node.h>

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

// Guards against a replica that votes with an empty folder, and against one that never becomes a voter again.
BOOST_DATA_TEST_CASE(a_replica_that_lost_its_folder_votes_only_after_it_has_caught_up,
    boost::unit_test::data::make({ false, true }), bootstrap)
{
    replica_group group(3, 8);
    group.startAll(true);
    for (int i = 0; i < 20; ++i)
        BOOST_REQUIRE(group.propose("p" + std::to_string(i)).has_value());
    const auto lost = group.leader() % 3 + 1;
    group.kill(lost);
    std::filesystem::remove_all(group.folderOf(lost));
    BOOST_REQUIRE(group.start(lost, bootstrap).has_value());
    BOOST_REQUIRE(group.runUntil([&] { return !group.replicas[lost]->mayVote(); }));
    BOOST_REQUIRE(group.runUntil([&] { return group.replicas[lost]->mayVote(); }));
    BOOST_REQUIRE(group.waitUntilEqual(20));
    BOOST_TEST(group.replicas[lost]->members().voterCount() == 3U);
    group.kill(group.leader());
    BOOST_TEST(group.propose("with the replaced folder").has_value());
}

static void damageLog(const std::filesystem::path& folder)
{
    std::filesystem::path log;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        if (entry.path().filename().string().starts_with("log-"))
            log = entry.path();
    }
    std::fstream file(log, std::ios::in | std::ios::out | std::ios::binary);
    constexpr int inFirstRecord = 40;
    file.seekp(inFirstRecord);
    file.put('!');
}

// Guards against a replica with a damaged folder that votes, alone or counted twice, before it has caught up, or that
// never votes again, also after a second damage.
BOOST_AUTO_TEST_CASE(a_replica_whose_damaged_folder_was_set_aside_votes_after_it_has_caught_up)
{
    replica_group group(3, 8);
    group.startAll(true);
    std::size_t proposed = 0;
    for (int round = 0; round < 3; ++round) {
        for (int i = 0; i < 20; ++i)
            BOOST_REQUIRE(group.propose("p" + std::to_string(proposed++)).has_value());
        const auto damaged = group.leader();
        group.kill(damaged);
        damageLog(group.folderOf(damaged));
        BOOST_REQUIRE(group.start(damaged, true).has_error());
        BOOST_REQUIRE(group.waitForLeader());
        BOOST_REQUIRE(group.start(damaged, true, true).has_value());
        BOOST_TEST(group.replicas[damaged]->recovery().setAside);
        BOOST_REQUIRE(group.runUntil([&] { return !group.replicas[damaged]->mayVote(); }));
        BOOST_REQUIRE(group.runUntil([&] { return group.replicas[damaged]->mayVote(); }));
        BOOST_REQUIRE(group.waitUntilEqual(proposed));
        BOOST_TEST(group.replicas[damaged]->members().voterCount() == 3U);
    }
    group.kill(group.leader());
    BOOST_TEST(group.propose("with the replaced folders").has_value());
}

// Guards against a group that replicas with set-aside folders bring to life without the acknowledged entries.
BOOST_DATA_TEST_CASE(
    replicas_without_their_damaged_folders_elect_no_leader, boost::unit_test::data::make({ 2U, 3U }), count)
{
    replica_group group(3);
    group.startAll(true);
    BOOST_REQUIRE(group.propose("acknowledged").has_value());
    for (std::uint32_t number = 1; number <= 3; ++number)
        group.kill(number);
    for (std::uint32_t number = 1; number <= count; ++number)
        damageLog(group.folderOf(number));
    for (std::uint32_t number = 1; number <= 3; ++number)
        BOOST_REQUIRE(group.start(number, true, true).has_value());
    BOOST_TEST(!group.runUntil([&] { return group.leader() != 0; }, std::chrono::seconds(10)));
}

// Guards against a group that two replicas with empty folders bring to life without the acknowledged entries.
BOOST_AUTO_TEST_CASE(a_majority_of_empty_folders_elects_no_leader)
{
    replica_group group(3);
    group.startAll(true);
    BOOST_REQUIRE(group.propose("acknowledged").has_value());
    for (const std::uint32_t number : { 1, 2, 3 }) {
        group.kill(number);
        if (number != 1)
            std::filesystem::remove_all(group.folderOf(number));
    }
    group.startAll(false);
    BOOST_TEST(!group.runUntil([&] { return group.leader() != 0; }, std::chrono::seconds(10)));
}

// Guards against a membership change that does not reach the new member, and against a removed member that goes on.
BOOST_AUTO_TEST_CASE(a_new_replica_joins_as_a_learner_and_becomes_a_voter)
{
    replica_group group(3, 8);
    group.startAll(true);
    for (int i = 0; i < 20; ++i)
        BOOST_REQUIRE(group.propose("p" + std::to_string(i)).has_value());
    BOOST_REQUIRE(group.start(4, false).has_value());
    const auto change = [&](const auto& edit) {
        return group.runUntil([&] {
            const auto leader = group.leader();
            if (leader == 0)
                return false;
            auto wanted = group.replicas[leader]->members();
            edit(wanted);
            bool done = false;
            group.replicas[leader]->changeMembership(
                wanted, group.now, [&](const result<std::string>& answer) { done = answer.has_value(); });
            return group.runUntil([&] { return done; }, std::chrono::milliseconds(200));
        });
    };
    BOOST_REQUIRE(change([](membership& m) {
        m.members.push_back({ replica_id(4), member_role::learner, 0, false });
    }));
    BOOST_REQUIRE(group.waitUntilEqual(20));
    BOOST_TEST(!group.replicas[4]->mayVote());
    BOOST_REQUIRE(change([](membership& m) { m.members.back().role = member_role::voter; }));
    BOOST_REQUIRE(group.runUntil([&] { return group.replicas[4]->mayVote(); }));
    BOOST_TEST(group.replicas[4]->members().voterCount() == 4U);
}

// Guards against a learner that never becomes a voter because new entries are committed while its answers are on the
// way.
BOOST_DATA_TEST_CASE(a_learner_becomes_a_voter_under_load, boost::unit_test::data::make({ 30, 100, 300 }), roundTripMs)
{
    constexpr std::uint32_t learner = 4;
    replica_group group(3);
    group.latency = [&](std::uint32_t from, std::uint32_t to) -> duration {
        const bool isFar = from == learner || to == learner;
        return std::chrono::milliseconds(isFar ? roundTripMs / 2 : 1);
    };
    group.startAll(true);
    BOOST_REQUIRE(group.propose("first").has_value());
    BOOST_REQUIRE(group.start(learner, false).has_value());
    const auto leads = group.leader();
    auto wanted = group.replicas[leads]->members();
    wanted.members.push_back({ replica_id(learner), member_role::learner, 0, true });
    group.replicas[leads]->changeMembership(wanted, group.now, [](const result<std::string>&) {});
    const bool isVoter = group.runUntil(
        [&] {
            group.replicas[leads]->propose("load", group.now, [](const result<std::string>&) {});
            return group.replicas[learner]->mayVote();
        },
        std::chrono::seconds(5));
    BOOST_TEST(isVoter);
}

// A payload far larger than one append or snapshot chunk. Guards against large entries that stop at one of the limits
// on the way to a follower that was away, or to a learner that takes the snapshot.
BOOST_AUTO_TEST_CASE(large_entries_reach_replicas_that_were_away)
{
    const std::string large(maxLogEntryBytes / 4, 'x');
    replica_group group(3, 8);
    group.startAll(true);
    BOOST_REQUIRE(group.propose("first").has_value());
    const auto away = group.leader() % 3 + 1;
    group.kill(away);
    BOOST_REQUIRE(group.propose(large).has_value());
    BOOST_REQUIRE(group.start(away, false).has_value());
    BOOST_REQUIRE(group.waitUntilEqual(2));
    BOOST_TEST((group.machines[away]->applied.back() == large));

    group.kill(away);
    std::filesystem::remove_all(group.folderOf(away));
    for (int i = 0; i < 10; ++i)
        BOOST_REQUIRE(group.propose("p" + std::to_string(i)).has_value());
    BOOST_REQUIRE(group.start(away, false).has_value());
    BOOST_REQUIRE(group.waitUntilEqual(12));
    BOOST_TEST((group.machines[away]->applied[1] == large));
    const auto refused = group.propose(std::string(maxLogEntryBytes + 1, 'x'));
    BOOST_REQUIRE(refused.has_error());
    BOOST_TEST((refused.error().code == failure_code::too_large));
}

// Guards against a log of few large entries that a restarted control has to hold in memory as a whole.
BOOST_AUTO_TEST_CASE(large_entries_are_replaced_by_a_snapshot)
{
    constexpr std::size_t entries = 20;
    const std::string large(1024 * 1024, 'x');
    replica_group group(3);
    group.startAll(true);
    for (std::size_t i = 0; i < entries; ++i)
        BOOST_REQUIRE(group.propose(large).has_value());
    BOOST_REQUIRE(group.waitUntilEqual(entries));
    const auto number = group.leader() % 3 + 1;
    BOOST_REQUIRE(group.runUntil([&] { return !group.replicas[number]->isPersisting(); }));
    group.kill(number);
    BOOST_REQUIRE(group.start(number, false).has_value());
    BOOST_TEST(group.replicas[number]->recovery().entries < entries / 2);
    BOOST_REQUIRE(group.waitUntilEqual(entries));
}

// Guards against a planned stop that costs an election timeout.
BOOST_AUTO_TEST_CASE(leadership_is_handed_over_without_an_election_timeout)
{
    replica_group group(3);
    group.startAll(true);
    BOOST_REQUIRE(group.propose("p").has_value());
    const auto before = group.leader();
    const auto start = group.now;
    BOOST_REQUIRE(group.replicas[before]->transferLeadership(group.now));
    BOOST_REQUIRE(group.runUntil([&] { return group.leader() != 0 && group.leader() != before; }));
    BOOST_TEST((group.now - start < group.optionsOf(1, false).electionTimeout));
}

// Guards against a proposer that is left without an answer, or told "not run", when its leader loses the quorum.
BOOST_AUTO_TEST_CASE(proposals_of_an_isolated_leader_are_unavailable)
{
    replica_group group(3);
    group.startAll(true);
    BOOST_REQUIRE(group.propose("p").has_value());
    const auto isolated = group.leader();
    group.cut.insert(isolated);
    std::optional<result<std::string>> answer;
    group.replicas[isolated]->propose("q", group.now, [&](result<std::string> r) { answer = std::move(r); });
    BOOST_REQUIRE(group.runUntil([&] { return answer.has_value(); }));
    BOOST_TEST((answer->error().code == failure_code::unavailable));
    BOOST_REQUIRE(group.propose("r").has_value());
    group.cut.clear();
    BOOST_REQUIRE(group.waitUntilEqual(2));
    BOOST_TEST(group.machines[isolated]->applied.back() == "r");
}

// Guards against a replica that goes on on a folder that lacks what it acknowledged.
BOOST_AUTO_TEST_CASE(an_old_copy_of_a_folder_stops_its_replica)
{
    replica_group group(3);
    group.startAll(true);
    BOOST_REQUIRE(group.propose("before the copy").has_value());
    BOOST_REQUIRE(group.waitUntilEqual(1));
    const auto copied = group.leader() % 3 + 1;
    const auto copy = group.folder.path() / "copy";
    std::filesystem::copy(group.folderOf(copied), copy);
    BOOST_REQUIRE(group.propose("after the copy").has_value());
    BOOST_REQUIRE(group.waitUntilEqual(2));
    group.kill(copied);
    std::filesystem::remove_all(group.folderOf(copied));
    std::filesystem::rename(copy, group.folderOf(copied));
    BOOST_REQUIRE(group.start(copied, false).has_value());
    BOOST_REQUIRE(group.runUntil([&] { return group.replicas[copied]->failed().has_value(); }));
    BOOST_TEST((group.replicas[copied]->failed()->code == failure_code::corrupt));
}

// Guards against a replica that acknowledges or keeps leading after its disk failed. A folder in the place of the
// snapshot's temporary file makes the write of the snapshot fail.
BOOST_AUTO_TEST_CASE(a_replica_stops_when_its_disk_fails)
{
    replica_group group(3, 5);
    group.startAll(true);
    BOOST_REQUIRE(group.propose("p").has_value());
    const auto broken = group.leader();
    std::filesystem::create_directory(group.folderOf(broken) / "new-snapshot");
    for (int i = 0; i < 10 && !group.replicas[broken]->failed(); ++i)
        static_cast<void>(group.propose("q" + std::to_string(i)));
    BOOST_REQUIRE(group.runUntil([&] { return group.replicas[broken]->failed().has_value(); }));
    BOOST_TEST((group.replicas[broken]->failed()->code == failure_code::io_error));
    BOOST_TEST(!group.replicas[broken]->isLeader());
    std::optional<failure> refused;
    group.replicas[broken]->propose("r", group.now, [&](const result<std::string>& r) { refused = r.error(); });
    BOOST_TEST((refused->code == failure_code::not_leader));
    BOOST_TEST(group.propose("s").has_value());
}

/// Folders of a group that are full until the end of the test.
struct full_disks {
    explicit full_disks(replica_group& given)
        : group(given)
    {
    }
    full_disks(const full_disks&) = delete;
    full_disks& operator=(const full_disks&) = delete;
    ~full_disks() { empty(); }

    /// The leader first, then others.
    void fill(std::size_t count, std::size_t room)
    {
        for (auto number = group.leader(); numbers.size() < count; number = number % 5 + 1) {
            numbers.push_back(number);
            full_folders::fill(group.folderOf(number), room);
        }
    }
    void empty()
    {
        for (const auto number : numbers)
            full_folders::empty(group.folderOf(number));
    }

    replica_group& group;
    std::vector<std::uint32_t> numbers;
};

static bool run(replica_group& group, duration time)
{
    return group.runUntil([] { return false; }, time);
}

static const duration fullTime = std::chrono::milliseconds(3500);

// Guards against replicas that end because their disks are full, that acknowledge or lead meanwhile, that are not the
// same voters afterwards, and against a group that stands still because a minority of its disks is full.
BOOST_DATA_TEST_CASE(replicas_outlast_full_disks,
    boost::unit_test::data::make({ 1U, 2U, 5U }) * boost::unit_test::data::make({ 0U, 150U }), count, room)
{
    replica_group group(5, 4);
    full_disks full(group);
    group.startAll(true);
    std::size_t proposed = 0;
    for (; proposed < 6; ++proposed)
        BOOST_REQUIRE(group.propose("p" + std::to_string(proposed)).has_value());
    BOOST_REQUIRE(group.waitUntilEqual(proposed));
    full.fill(count, room);
    const auto first = full.numbers.front();
    const std::string large(300, 'x'); // One that is not acknowledged may be in the log all the same.
    std::optional<result<std::string>> answer;
    group.replicas[first]->propose(large, group.now, [&](result<std::string> given) { answer = std::move(given); });
    BOOST_REQUIRE(group.runUntil([&] { return answer && group.leader() != first; }, std::chrono::seconds(3)));
    for (int i = 0; i < 6 && count < 5; ++i, ++proposed) {
        BOOST_REQUIRE(group.propose("q" + std::to_string(i)).has_value());
        BOOST_TEST(std::count(full.numbers.begin(), full.numbers.end(), group.leader()) == 0);
    }
    run(group, fullTime);
    BOOST_TEST((count == 5) == (group.leader() == 0));
    for (const auto& [number, each] : group.replicas) {
        BOOST_TEST(!each->failed().has_value());
        BOOST_TEST(each->mayVote());
    }
    full.empty();
    BOOST_REQUIRE(group.propose("last").has_value());
    const auto applied = group.machines[group.leader()]->applied;
    BOOST_REQUIRE(group.waitUntilEqual(applied.size()));
    for (std::uint32_t number = 1; number <= 5; ++number)
        BOOST_TEST((group.machines[number]->applied == applied));
    BOOST_TEST(static_cast<std::size_t>(std::count_if(applied.begin(), applied.end(), [&](const std::string& each) {
        return each != large;
    })) == proposed + 1);
}

// Guards against a replica that finds a full disk at its start, after its process ended on it, and counts as one that
// lost its data.
BOOST_AUTO_TEST_CASE(a_replica_starts_as_the_same_voter_once_its_disk_has_room)
{
    replica_group group(5, 4);
    full_disks full(group);
    group.startAll(true);
    for (int i = 0; i < 6; ++i)
        BOOST_REQUIRE(group.propose("p" + std::to_string(i)).has_value());
    full.fill(2, 150);
    group.replicas[full.numbers[0]]->propose(std::string(300, 'x'), group.now, [](const result<std::string>&) {});
    run(group, fullTime);
    for (const auto number : full.numbers) {
        group.kill(number);
        for (const bool setAsideDamage : { false, true }) {
            const auto refused = group.start(number, false, setAsideDamage);
            BOOST_REQUIRE(refused.has_error());
            BOOST_TEST((refused.error().code == failure_code::no_space));
        }
    }
    BOOST_REQUIRE(group.propose("without the two").has_value());
    full.empty();
    for (const auto number : full.numbers) {
        BOOST_REQUIRE(group.start(number, false, true).has_value());
        BOOST_TEST(group.replicas[number]->mayVote());
        BOOST_TEST(!group.replicas[number]->recovery().setAside);
    }
    BOOST_REQUIRE(group.propose("with the two").has_value());
    BOOST_REQUIRE(group.waitUntilEqual(group.machines[group.leader()]->applied.size()));
}

// Guards against malformed messages that end the process or change state.
BOOST_AUTO_TEST_CASE(malformed_messages_are_refused)
{
    replica_group group(1);
    group.startAll(true);
    BOOST_REQUIRE(group.propose("p").has_value());
    const auto term = group.replicas[1]->term();
    std::string noise(300, '\0');
    for (std::size_t i = 0; i < noise.size(); ++i) {
        noise[i] = static_cast<char>(i * 37);
        group.replicas[1]->receive(replica_id(2), std::string_view(noise).substr(0, i), group.now);
    }
    BOOST_TEST(group.replicas[1]->term() == term);
    BOOST_TEST(group.propose("q").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
