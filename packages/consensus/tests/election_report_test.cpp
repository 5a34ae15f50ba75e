#include "election_report.h"
#include "message_codec.h"
#include "node_driver.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace poplardeal;
using namespace poplardeal::test;
using std::chrono::milliseconds;

struct campaign_row {
    const char* name;
    std::vector<std::uint32_t> votersByChange; ///< Voters are numbered from 1; the last change may be open.
    bool reachesVote; ///< The pre-vote is granted, and the disk does not write the own vote.
    std::uint64_t termOfReplies;
    std::vector<std::pair<std::uint32_t, vote_reply>> replies;
    const char* fields; ///< Expected part of the log line.
};
std::ostream& operator<<(std::ostream& out, const campaign_row& row) { return out << row.name; }

const campaign_row campaignRows[] = {
    { "voters that are gone", {}, false, 1, {},
        R"({"round":"pre-vote","term":2,"votes":1,"quorum":2,"granted":[1],"silent":[2,3],"last_index":1})" },
    { "voters with new disks", {}, false, 1, { { 2, vote_reply::data_replaced }, { 3, vote_reply::data_replaced } },
        R"({"votes":1,"quorum":2,"granted":[1],"data_replaced":[2,3],"silent":[],"refused":[]})" },
    { "a candidate that is behind", {}, false, 1, { { 3, vote_reply::refused } },
        R"({"granted":[1],"refused":[3],"silent":[2],"refused_last_index":7})" },
    { "a voter of a newer term", {}, false, 5, { { 2, vote_reply::refused }, { 3, vote_reply::data_replaced } },
        R"({"round":"pre-vote","term":2,"refused":[2],"data_replaced":[3]})" },
    { "a disk that does not write the own vote", {}, true, 1, {},
        R"({"round":"vote","term":2,"votes":0,"granted":[],"silent":[1,2,3]})" },
    { "a loss that is learned too late for this round", { 4, 4 }, false, 2,
        { { 2, vote_reply::granted }, { 4, vote_reply::data_replaced } },
        R"({"votes":2,"quorum":3,"granted":[1,2],"data_replaced":[4],"silent":[3]})" },
    { "a change away from four voters", { 4, 4, 3 }, false, 2, { { 2, vote_reply::granted } },
        R"({"votes":2,"quorum":2,"votes_before":2,"quorum_before":3,"granted":[1,2],"silent":[3,4]})" },
};

/// A node after the replies of the row, before the next election timeout.
static node_driver campaignOf(const campaign_row& row)
{
    raft_saved_state saved { { 1, std::nullopt }, nullptr, { { 1, 1, entry_kind::no_op, {} } } };
    for (const auto voters : row.votersByChange) {
        membership members;
        for (std::uint32_t id = 1; id <= voters; ++id)
            members.members.push_back({ replica_id(id), member_role::voter, 0, false });
        const auto index = saved.entries.size() + 1;
        saved.entries.push_back({ 1, index, entry_kind::membership, detail::encodeMembership(members) });
    }
    node_driver driver(1, saved);
    driver.advance(milliseconds(1400));
    driver.node.tick(driver.now);
    driver.take();
    if (row.reachesVote)
        driver.receive(driver.message(message_kind::pre_vote_answer, 2, 2));
    for (const auto& [from, reply] : row.replies) {
        auto m = driver.message(message_kind::pre_vote_answer, from, row.termOfReplies);
        if (reply == vote_reply::data_replaced) {
            m.kind = message_kind::data_replaced;
            m.dataIncarnation = 9;
        }
        m.rejected = reply == vote_reply::refused;
        m.logIndex = 7;
        driver.receive(m);
    }
    return driver;
}

// Guards against an election that fails and does not say who refused, who was silent and whose disk is new, against
// one that is reported twice, and against a report although there is a leader.
BOOST_DATA_TEST_CASE(a_failed_election_shows_the_reply_of_each_voter,
    boost::unit_test::data::make(campaignRows) * boost::unit_test::data::make({ false, true }), row, findsLeader)
{
    auto driver = campaignOf(row);
    BOOST_TEST(!driver.node.takeFailedCampaign().has_value());
    if (findsLeader)
        driver.receive(driver.append(3, 6, {}, 0));
    BOOST_TEST(driver.node.hearsLeader(driver.now) == findsLeader);
    driver.advance(milliseconds(1400));
    driver.node.tick(driver.now);
    BOOST_TEST(!driver.node.hearsLeader(driver.now));
    const auto failed = driver.node.takeFailedCampaign();
    BOOST_REQUIRE(failed.has_value() != findsLeader);
    BOOST_TEST(!driver.node.takeFailedCampaign().has_value());
    if (!failed)
        return;
    const auto fields = detail::electionFields(*failed);
    const auto expected = nlohmann::json::parse(row.fields);
    for (const auto& [key, value] : expected.items())
        BOOST_TEST(fields.value(key, nlohmann::json()) == value, key << " in " << fields.dump());
}
