#include "control_metrics.h"
#include "full_folders.h"
#include "replica_group.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace poplardeal;
using namespace poplardeal::test;

// Guards against a lost member that no metric of the others shows, and against a follower that passes its zeros on.
BOOST_AUTO_TEST_CASE(the_leader_shows_which_member_is_silent_and_how_many_more_may_be_lost)
{
    replica_group group(3);
    group.startAll(true);
    BOOST_REQUIRE(group.propose("entry").has_value());
    const auto leader = group.leader();
    const auto lost = leader % 3 + 1;
    const auto shows = [&](std::uint32_t number, const std::string& line) {
        metrics_registry metrics;
        detail::control_metrics(metrics, 1).update(*group.replicas.at(number), group.now);
        return ("\n" + metrics.exposition()).find("\npoplardeal_control_" + line + "\n") != std::string::npos;
    };
    BOOST_REQUIRE(group.runUntil([&] { return shows(leader, "quorum_margin 1"); }));
    BOOST_TEST(shows(leader, "leads 1"));
    BOOST_TEST(shows(lost, "quorum_margin -1"));
    BOOST_TEST(shows(lost, "may_vote 1"));
    const auto member = "{member=\"0.0.0." + std::to_string(lost) + "\"}";
    BOOST_REQUIRE(group.runUntil([&] { return shows(leader, "member_lag_entries" + member + " 0"); }));
    group.kill(lost);
    BOOST_REQUIRE(group.runUntil([&] { return shows(leader, "quorum_margin 0"); }));
    BOOST_TEST(shows(leader, "voters 3"));
    BOOST_TEST(shows(leader, "voters_answering 2"));
    BOOST_TEST(!shows(leader, "member_silence_seconds" + member + " 0"));
    BOOST_REQUIRE(group.propose("another").has_value());
    BOOST_TEST(shows(leader, "member_lag_entries" + member + " 1"));
}

// Guards against a full disk that no metric shows, at the start and later, and against one that is shown for ever.
BOOST_AUTO_TEST_CASE(a_full_disk_is_a_metric)
{
    replica_group group(1);
    group.startAll(true);
    BOOST_REQUIRE(group.waitForLeader());
    metrics_registry metrics;
    detail::control_metrics shown(metrics, 1);
    const auto shows = [&](int value) {
        return metrics.exposition().find("\npoplardeal_disk_full " + std::to_string(value) + "\n") != std::string::npos;
    };
    shown.recordDiskFull(true);
    BOOST_TEST(shows(1));
    const auto showsNext = [&](int value) {
        shown.update(*group.replicas[1], group.now);
        return shows(value);
    };
    BOOST_TEST(showsNext(0));
    full_folders::fill(group.folderOf(1));
    group.replicas[1]->propose("entry", group.now, [](const result<std::string>&) {});
    BOOST_TEST(group.runUntil([&] { return showsNext(1); }));
    full_folders::empty(group.folderOf(1));
    BOOST_TEST(group.runUntil([&] { return showsNext(0); }));
}

// Guards against a control that asks to join in vain, and a group that is too small for the losses that it has to bear,
// which no metric shows.
BOOST_AUTO_TEST_CASE(a_control_that_asks_to_join_and_the_voters_needed_are_metrics)
{
    metrics_registry metrics;
    detail::control_metrics shown(metrics, 2);
    const auto shows = [&](const std::string& line) {
        return ("\n" + metrics.exposition()).find("\npoplardeal_control_" + line + "\n") != std::string::npos;
    };
    BOOST_TEST(shows("voters_needed 5"));
    BOOST_TEST(shows("joining_seconds 0"));
    shown.recordJoining(std::chrono::milliseconds(2500));
    BOOST_TEST(shows("joining_seconds 2.5"));
}

struct leaderless_row {
    const char* name;
    std::vector<std::uint32_t> lost;
    bool losesDisk; ///< The control that is shown.
    bool campaigns;
};
std::ostream& operator<<(std::ostream& out, const leaderless_row& row) { return out << row.name; }

const leaderless_row leaderlessRows[] = {
    { "one control is lost", { 3 }, false, false },
    { "two controls are lost", { 2, 3 }, false, true },
    { "two controls are lost, and the disk of the third", { 2, 3 }, true, false },
};

// Guards against a group without a leader that no metric shows, since those of a leader are unknown then.
BOOST_DATA_TEST_CASE(a_control_shows_how_long_it_has_known_no_leader, leaderlessRows, row)
{
    replica_group group(3);
    group.startAll(true);
    BOOST_REQUIRE(group.propose("entry").has_value());
    for (const auto number : row.lost)
        group.kill(number);
    if (row.losesDisk) {
        group.kill(1);
        std::filesystem::remove_all(group.folderOf(1));
        BOOST_REQUIRE(group.start(1, false).has_value());
    }
    metrics_registry metrics;
    detail::control_metrics shown(metrics, 1);
    const auto end = group.now + std::chrono::seconds(8);
    while (group.now < end) {
        group.step();
        shown.update(*group.replicas[1], group.now);
    }
    const auto leaderless = metrics.getGauge("poplardeal_control_leaderless_seconds", "").value();
    const auto failed = metrics.getCounter("poplardeal_control_elections_failed_total", "").value();
    BOOST_TEST((row.lost.size() == 1 ? leaderless == 0 : leaderless >= 6 && leaderless <= 8));
    BOOST_TEST((row.campaigns ? failed > 10 : failed == 0));
}
