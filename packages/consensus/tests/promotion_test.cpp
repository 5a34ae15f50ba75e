#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <poplardeal/consensus/raft_node.h>

using namespace poplardeal;
using std::chrono::milliseconds;

/// Five voters on a simulated clock with disks that write at once. The last one has lost its data folder, and what it
/// sends arrives later than what the others send.
class slow_learner_group {
public:
    explicit slow_learner_group(duration lateness)
        : m_lateness(lateness)
    {
        std::vector<replica_id> voters;
        for (std::uint32_t id = 1; id <= learner.value(); ++id)
            voters.push_back(replica_id(id));
        for (const auto id : voters) {
            raft_options options;
            options.self = id;
            options.initialMembers = membershipOfVoters(voters);
            options.dataIncarnation = id == learner ? 9 : 0;
            options.seed = id.value();
            m_nodes.emplace(id, raft_node(options, {}, now));
            every(milliseconds(20), [this, id] {
                m_nodes.at(id).tick(now);
                drain(id);
            });
        }
    }

    /// An entry is proposed to each leader.
    void proposeEvery(duration interval)
    {
        every(interval, [this] {
            for (auto& [id, node] : m_nodes) {
                if (node.isLeader() && node.propose("entry", now))
                    drain(id);
            }
        });
    }

    bool runUntil(const std::function<bool()>& condition, duration limit)
    {
        for (const auto end = now + limit; !condition() && now < end;) {
            const auto next = m_events.extract(m_events.begin());
            now = next.key();
            next.mapped()();
        }
        return condition();
    }

    /// Whether the leader counts the last replica as a voter again.
    bool isPromoted() const
    {
        return std::any_of(m_nodes.begin(), m_nodes.end(), [](const auto& item) {
            const auto* known = item.second.members().find(learner);
            return item.second.isLeader() && known->role == member_role::voter && known->dataIncarnation == 9;
        });
    }

    bool hasLeader() const
    {
        return std::any_of(
            m_nodes.begin(), m_nodes.end(), [this](const auto& item) { return item.second.holdsLeaderLease(now); });
    }

    instant now { instantFromMicros(1'000'000) };

private:
    inline static const replica_id learner { 5 };

    void every(duration interval, std::function<void()> action)
    {
        m_events.emplace(now + interval, [this, interval, action = std::move(action)] {
            action();
            every(interval, action);
        });
    }

    void drain(replica_id id)
    {
        auto& node = m_nodes.at(id);
        for (auto ready = node.takeReady(now);; ready = node.takeReady(now)) {
            for (auto& message : ready.messages) {
                const auto delay = std::chrono::microseconds(500) + (id == learner ? m_lateness : duration());
                m_events.emplace(now + delay, [this, message = std::move(message)] {
                    m_nodes.at(message.to).receive(message, now);
                    drain(message.to);
                });
            }
            if (ready.persist.empty())
                return;
            node.persisted(ready.persist.number, now);
        }
    }

    duration m_lateness;
    std::map<replica_id, raft_node> m_nodes;
    std::multimap<instant, std::function<void()>> m_events;
};

// Guards against a replica with a new disk that stays without a vote for as long as entries are committed faster than
// it answers, so that the group bears one loss fewer.
BOOST_DATA_TEST_CASE(a_learner_that_answers_late_becomes_a_voter_under_load,
    boost::unit_test::data::make({ 1, 5, 20, 50 }) * boost::unit_test::data::make({ 1, 5, 20 }), latenessMs, intervalMs)
{
    slow_learner_group group { milliseconds(latenessMs) };
    group.proposeEvery(milliseconds(intervalMs));
    BOOST_REQUIRE(group.runUntil([&] { return group.hasLeader(); }, milliseconds(3000)));
    BOOST_TEST(group.runUntil([&] { return group.isPromoted(); }, milliseconds(6000)));
}

// Guards against a replica that counts in the quorum although it is further behind than an election timeout.
BOOST_AUTO_TEST_CASE(a_learner_that_stays_far_behind_stays_a_learner)
{
    slow_learner_group group { milliseconds(1000) };
    group.proposeEvery(milliseconds(5));
    BOOST_TEST(!group.runUntil([&] { return group.isPromoted(); }, milliseconds(9000)));
}
