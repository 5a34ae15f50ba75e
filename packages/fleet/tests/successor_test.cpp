#include "control_group.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace poplardeal;
using namespace poplardeal::detail;
using namespace poplardeal::test;
using namespace std::chrono_literals;

static bool reachVoter(control_group& group, std::uint32_t id)
{
    return group.runUntil([&] { return group.isVoter(id); }, catchUpTime);
}

enum class newcomer { is_added, returns_without_disk, finds_one_seed, finds_one_wiped_seed };

struct newcomer_row {
    const char* name;
    newcomer kind;
};

static std::ostream& operator<<(std::ostream& out, const newcomer_row& row) { return out << row.name; }

static const newcomer_row newcomerRows[] = {
    { "a control is added", newcomer::is_added },
    { "a control that has left returns with an empty disk", newcomer::returns_without_disk },
    { "two of three seeds are gone for good", newcomer::finds_one_seed },
    { "two of three seeds are gone for good and the third has lost its disk", newcomer::finds_one_wiped_seed },
};

// Guards against a control that is no member and never joins, because it asks only its seeds and the leader is none.
BOOST_DATA_TEST_CASE(a_new_control_joins_a_leader_that_is_no_seed, boost::unit_test::data::make(newcomerRows), row)
{
    control_group group(3, 2);
    group.grow(5);
    const auto replace = [&](std::uint32_t old, std::uint32_t successor) {
        group.kill(old);
        group.run(2s);
        group.start(successor);
        BOOST_REQUIRE(reachVoter(group, successor));
    };
    if (row.kind >= newcomer::finds_one_seed) {
        replace(1, 12);
        replace(2, 13);
    }
    group.letLead(false);
    if (row.kind == newcomer::returns_without_disk) {
        group.start(11);
        BOOST_REQUIRE(reachVoter(group, 11));
        group.letLead(false);
        group.stop(11);
        group.wipe(11);
        group.run(2s);
    }
    if (row.kind == newcomer::finds_one_wiped_seed) {
        group.kill(3);
        group.wipe(3);
        group.run(500ms);
        group.start(3);
    }
    group.start(11);
    BOOST_TEST(reachVoter(group, 11));
}

struct promotion_row {
    std::size_t toleratedLosses;
    std::uint32_t gone; ///< Controls that are gone for good before.
    std::uint32_t down; ///< Others that go down with the successor.
    duration after; ///< The promotion of the successor.
};

static std::ostream& operator<<(std::ostream& out, const promotion_row& row)
{
    return out << row.toleratedLosses << " losses, " << row.gone << " gone, " << row.down << " down, "
               << row.after.count() << " us after the promotion";
}

static const promotion_row promotionRows[] = {
    { 1, 1, 0, 0ms },
    { 1, 1, 0, 50ms },
    { 2, 1, 0, 0ms },
    { 2, 1, 1, 0ms },
    { 2, 1, 1, 10ms },
    { 2, 1, 1, 50ms },
    { 2, 2, 0, 0ms },
    { 2, 2, 0, 10ms },
    { 2, 2, 0, 50ms },
    { 3, 2, 1, 0ms },
    { 3, 1, 2, 0ms },
    { 3, 3, 0, 0ms },
};

// Guards against a successor that counts beside the control that it replaces, so that the group has no quorum if it
// ends in that moment: the two count as one loss.
BOOST_DATA_TEST_CASE(
    a_successor_that_ends_at_its_promotion_is_one_loss, boost::unit_test::data::make(promotionRows), row)
{
    control_group group(static_cast<std::uint32_t>(2 * row.toleratedLosses + 1), row.toleratedLosses);
    BOOST_REQUIRE(group.propose(recoveryTime));
    group.run(1s);
    const auto others = group.followers();
    for (std::uint32_t i = 0; i < row.gone; ++i)
        group.kill(others[i]);
    group.run(2s);
    group.start(11);
    BOOST_REQUIRE(reachVoter(group, 11));
    group.run(row.after);
    group.kill(11);
    for (std::uint32_t i = 0; i < row.down; ++i)
        group.kill(others[row.gone + i]);
    group.run(100ms);
    group.start(12);
    BOOST_TEST(group.propose(recoveryTime));
}

// Guards against the same with disks: the successor's is lost at any moment, and as many others as may be.
BOOST_DATA_TEST_CASE(a_successor_that_loses_its_disk_is_one_loss,
    boost::unit_test::data::make({ 1U, 2U, 3U }) * boost::unit_test::data::xrange(0, 600, 50), toleratedLosses, ms)
{
    control_group group(2 * toleratedLosses + 1, toleratedLosses);
    BOOST_REQUIRE(group.propose(recoveryTime));
    group.run(1s);
    const auto others = group.followers();
    group.kill(others[0]);
    group.run(1500ms);
    group.start(11);
    group.run(std::chrono::milliseconds(ms));
    if (group.leader() != 0)
        group.propose(300ms);
    std::vector<std::uint32_t> wiped { 11 };
    for (std::uint32_t i = 1; i < toleratedLosses; ++i)
        wiped.push_back(others[i]);
    group.losePowerOfAll(wiped);
    BOOST_REQUIRE(group.propose(recoveryTime));
    BOOST_TEST(group.hasAllEntries());
}

// Guards against controls that are gone for good, fill the group as learners and keep out the successors of others.
BOOST_DATA_TEST_CASE(controls_replaced_in_turn_all_join,
    boost::unit_test::data::make({ 1U, 2U, 3U }) * boost::unit_test::data::make({ false, true }), toleratedLosses,
    transfers)
{
    control_group group(2 * toleratedLosses + 1, toleratedLosses);
    BOOST_REQUIRE(group.propose(recoveryTime));
    constexpr std::uint32_t replaced = 14;
    for (std::uint32_t i = 0; i < replaced; ++i) {
        if (transfers)
            group.transfer();
        group.kill(group.follower());
        group.run(1500ms);
        auto seeds = group.followers();
        seeds.resize(std::min<std::size_t>(seeds.size(), 3));
        group.setSeeds(seeds);
        group.start(100 + i);
        BOOST_REQUIRE(reachVoter(group, 100 + i));
        group.run(500ms);
    }
}

struct stop_row {
    std::size_t toleratedLosses;
    bool areTold; ///< The others that end are told to stop, too.
};

static std::ostream& operator<<(std::ostream& out, const stop_row& row)
{
    return out << row.toleratedLosses << " losses, the others are " << (row.areTold ? "told" : "killed");
}

static const stop_row stopRows[] = { { 1, false }, { 1, true }, { 2, false }, { 2, true } };

// Guards against a control that ends before its removal is committed, and then counts as one that is lost.
BOOST_DATA_TEST_CASE(a_control_that_stops_is_no_loss, boost::unit_test::data::make(stopRows), row)
{
    const auto losses = static_cast<std::uint32_t>(row.toleratedLosses);
    control_group group(2 * losses + 1, losses);
    group.grow(2 * losses + 2);
    group.run(1s);
    auto stopping = group.followers();
    stopping.resize(row.areTold ? losses + 1 : 1);
    const auto others = group.followers();
    const auto end = [&](std::uint32_t id) {
        std::erase(stopping, id);
        group.kill(id);
    };
    group.runUntil(
        [&] {
            for (const auto id : std::vector<std::uint32_t>(stopping)) {
                if (group.mayStop(id))
                    end(id);
            }
            return stopping.empty();
        },
        group_membership::leaveTimeout * 2);
    for (std::uint32_t i = 1; i <= losses && !row.areTold; ++i)
        group.kill(others[i]);
    BOOST_TEST(group.propose(recoveryTime));
}

struct full_row {
    std::size_t toleratedLosses;
    std::uint32_t seeds;
    bool comesFirst; ///< The successor starts before the control that it replaces ends.
};

static std::ostream& operator<<(std::ostream& out, const full_row& row)
{
    return out << row.toleratedLosses << " losses, the successor comes " << (row.comesFirst ? "first" : "later");
}

static const full_row fullRows[] = { { 2, 7, true }, { 2, 7, false }, { 3, 7, true }, { 3, 7, false } };

// Guards against a full group that takes no successor in, or more voters than are reserved.
BOOST_DATA_TEST_CASE(
    a_full_group_takes_a_successor_in_the_place_of_its_voter, boost::unit_test::data::make(fullRows), row)
{
    control_group group(row.seeds, row.toleratedLosses);
    BOOST_REQUIRE(group.propose(recoveryTime));
    const auto old = group.follower();
    if (row.comesFirst) {
        group.start(11);
        group.run(catchUpTime);
        BOOST_TEST(group.voters() == membership_manager::maxVoters);
        BOOST_TEST(!group.isVoter(11));
    }
    group.kill(old);
    if (!row.comesFirst) {
        group.run(2s);
        group.start(11);
    }
    BOOST_TEST(reachVoter(group, 11));
    BOOST_TEST(!group.isVoter(old));
}
