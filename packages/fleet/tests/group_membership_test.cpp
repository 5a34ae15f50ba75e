#include "group_membership.h"
#include "replica_address.h"
#include "replica_group.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <poplardeal/wire/message.h>

using namespace poplardeal;
using namespace poplardeal::detail;
using namespace poplardeal::test;
using namespace std::chrono_literals;

namespace {

constexpr duration catchUpTime = 4s; ///< A successor counts as a member this long after its start.
constexpr duration recoveryTime = 12s; ///< Service is back this long after all machines are.

/// Controls on a simulated clock, reduced to their replicas and what decides on the members.
class control_group {
public:
    explicit control_group(std::uint32_t seeds)
        : m_group(seeds)
    {
        for (std::uint32_t id = 1; id <= seeds; ++id)
            m_settings.seeds.push_back({ ipFromReplicaId(replica_id(id)), 1 });
        m_group.delivered = [this](std::uint32_t to, replica_id from) { m_parts.at(to).recordContact(from, now()); };
        for (std::uint32_t id = 1; id <= seeds; ++id)
            start(id, true);
    }

    void start(std::uint32_t id, bool bootstrap = false)
    {
        m_parts.erase(id);
        m_parts.try_emplace(id, m_settings, replica_id(id),
            [this, id](replica_id to, const frame& out) { deliver(id, to.value(), out); });
        m_group.start(id, bootstrap).value();
    }

    void kill(std::uint32_t id) { m_group.kill(id); }

    /// As a control does on SIGTERM: hands over leadership, leaves, ends.
    void stop(std::uint32_t id)
    {
        runUntil(
            [&] {
                auto& member = *m_group.replicas.at(id);
                if (!member.isLeader())
                    return m_parts.at(id).leave(member, now());
                member.transferLeadership(now());
                return false;
            },
            group_membership::leaveTimeout * 2);
        kill(id);
    }

    /// The disk is lost; the machine is back a second later.
    void loseDisk(std::uint32_t id)
    {
        kill(id);
        std::filesystem::remove_all(m_group.folderOf(id));
        run(1s);
        start(id);
    }

    template <class Condition> bool runUntil(Condition condition, duration limit)
    {
        const auto end = now() + limit;
        while (!condition()) {
            if (now() >= end)
                return false;
            const auto before = now();
            m_group.step();
            if (now() == before)
                continue;
            for (auto& [id, member] : m_group.replicas)
                m_parts.at(id).tick(*member, member->holdsLeaderLease(now()), now());
        }
        return true;
    }

    void run(duration time)
    {
        runUntil([] { return false; }, time);
    }

    std::uint32_t leader() const { return m_group.leader(); }

    /// A running voter other than the leader, the one with the smallest or the largest id.
    std::uint32_t follower(bool smallest = true) const
    {
        std::uint32_t found = 0;
        for (const auto& [id, member] : m_group.replicas) {
            if (id != leader() && member->mayVote() && (!smallest || found == 0))
                found = id;
        }
        return found;
    }

    std::size_t voters() const
    {
        const auto id = leader();
        return id == 0 ? 0 : m_group.replicas.at(id)->members().voterCount();
    }

    void transfer()
    {
        const auto before = leader();
        BOOST_REQUIRE(m_group.replicas.at(before)->transferLeadership(now()));
        BOOST_REQUIRE(runUntil([&] { return leader() != 0 && leader() != before; }, recoveryTime));
    }

    /// Records an entry; false if there is no answer in time.
    bool propose(duration limit)
    {
        if (!runUntil([&] { return leader() != 0; }, limit))
            return false;
        std::optional<bool> recorded;
        m_group.replicas.at(leader())->propose(
            "entry", now(), [&](const result<std::string>& answer) { recorded = answer.has_value(); });
        const bool answered = runUntil([&] { return recorded.has_value(); }, limit);
        m_recorded += answered && *recorded ? 1 : 0;
        return answered && *recorded;
    }

    /// True if the leader has all entries that were recorded.
    bool hasAllEntries() const { return m_group.machines.at(leader())->applied.size() >= m_recorded; }

private:
    instant now() const { return m_group.now; }

    void deliver(std::uint32_t from, std::uint32_t to, const frame& out)
    {
        const auto target = m_group.replicas.find(to);
        if (target == m_group.replicas.end() || to == from)
            return;
        const bool leads = target->second->holdsLeaderLease(now());
        if (m_parts.at(to).receive(*target->second, leads, out, now()))
            m_parts.at(from).recordLeaveAnswer();
    }

    fleet_settings m_settings;
    replica_group m_group;
    std::map<std::uint32_t, group_membership> m_parts;
    std::size_t m_recorded { 0 };
};

using scenario = void (*)(control_group&);

struct loss_row {
    const char* name;
    std::uint32_t seeds;
    scenario before; ///< Ends at the moment from which the pages allow another loss.
    bool losesLeader; ///< Whether the leader's disk is lost, or a follower's.
};

std::ostream& operator<<(std::ostream& out, const loss_row& row)
{
    return out << row.name << (row.losesLeader ? ", the leader's disk" : "");
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
};

} // namespace

// Guards against a group that still counts a replaced member and loses its quorum for good with the next disk.
BOOST_DATA_TEST_CASE(a_disk_lost_after_a_replacement_is_survived, boost::unit_test::data::make(lossRows), row)
{
    control_group group(row.seeds);
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
BOOST_DATA_TEST_CASE(a_rolling_restart_keeps_all_voters, boost::unit_test::data::make({ 3U, 5U }), seeds)
{
    control_group group(seeds);
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
