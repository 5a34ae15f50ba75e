#pragma once

#include "group_membership.h"
#include "replica_address.h"
#include "replica_group.h"
#include <boost/test/unit_test.hpp>
#include <deque>
#include <poplardeal/wire/message.h>

namespace poplardeal::test {

using namespace poplardeal::detail;
using namespace std::chrono_literals;

inline constexpr duration catchUpTime = 4s; ///< A successor counts as a member this long after its start.
inline constexpr duration recoveryTime = 12s; ///< Service is back this long after all machines are.
inline constexpr duration hintDelay = 20ms; ///< Of the answer to a probe on a new connection.

/// Controls on a simulated clock, reduced to their replicas and what decides on the members. Seeds form the group.
class control_group {
public:
    explicit control_group(std::uint32_t seeds, std::size_t toleratedLosses = 1, std::uint64_t snapshotEvery = 10000,
        std::uint64_t seed = 1, const std::filesystem::path& parent = std::filesystem::temp_directory_path())
        : m_group(seeds, snapshotEvery, seed, parent)
    {
        m_settings.toleratedLosses = toleratedLosses;
        m_group.votersNeeded = membership_manager::votersNeeded(toleratedLosses);
        m_group.maxVoters = membership_manager::maxVoters;
        for (std::uint32_t id = 1; id <= seeds; ++id)
            m_settings.seeds.push_back({ ipFromReplicaId(replica_id(id)), 1 });
        m_group.delivered = [this](std::uint32_t to, replica_id from) { m_parts.at(to).recordContact(from, now()); };
        for (std::uint32_t id = 1; id <= seeds; ++id)
            start(id, true);
    }

    void start(std::uint32_t id, bool bootstrap = false)
    {
        m_parts.erase(id);
        const auto& settings = m_settingsOf[id] = m_settings;
        auto& voters = m_group.initialVoters[id];
        voters.clear();
        for (const auto& seed : settings.seeds)
            voters.push_back(replicaIdFromIp(seed.ip));
        m_parts.try_emplace(id, settings, replica_id(id),
            [this, id](replica_id to, const frame& out) { deliver(id, to.value(), out); });
        m_group.start(id, bootstrap).value();
    }

    /// Starts controls that are no seeds, one after the other, until all are voters.
    void grow(std::uint32_t controls)
    {
        for (auto id = static_cast<std::uint32_t>(m_settings.seeds.size()) + 1; id <= controls; ++id)
            start(id);
        BOOST_REQUIRE(reachVoters(controls, recoveryTime));
    }

    bool reachVoters(std::size_t count, duration limit)
    {
        return runUntil([&] { return voters() == count; }, limit);
    }

    void kill(std::uint32_t id) { m_group.kill(id); }

    /// All controls that run lose power and are back half a second later, those in `wiped` with empty disks.
    void losePowerOfAll(const std::vector<std::uint32_t>& wiped)
    {
        std::vector<std::uint32_t> all;
        for (const auto& item : m_group.replicas)
            all.push_back(item.first);
        for (const auto id : all)
            kill(id);
        for (const auto id : wiped)
            std::filesystem::remove_all(m_group.folderOf(id));
        run(500ms);
        for (const auto id : all)
            start(id);
    }

    void wipe(std::uint32_t id) { std::filesystem::remove_all(m_group.folderOf(id)); }

    /// Leaders are killed and started again until one leads that is a seed, or that is none.
    void letLead(bool isSeed)
    {
        const auto isWanted = [&] { return (leader() <= m_settings.seeds.size()) == isSeed; };
        for (int attempt = 0; attempt < 100; ++attempt) {
            BOOST_REQUIRE(runUntil([&] { return leader() != 0; }, recoveryTime));
            if (isWanted())
                return;
            const auto before = leader();
            kill(before);
            BOOST_REQUIRE(runUntil([&] { return leader() != 0; }, recoveryTime));
            start(before);
            run(catchUpTime);
        }
        BOOST_REQUIRE(isWanted());
    }

    /// As a control does on SIGTERM: hands over leadership, leaves, ends.
    void stop(std::uint32_t id)
    {
        runUntil([&] { return mayStop(id); }, group_membership::leaveTimeout * 2);
        kill(id);
    }

    /// Takes the next step to a stop. True if the control may end.
    bool mayStop(std::uint32_t id)
    {
        auto& member = *m_group.replicas.at(id);
        if (!member.isLeader())
            return m_parts.at(id).leave(member, now());
        member.transferLeadership(now());
        return false;
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
            step();
        }
        return true;
    }

    /// True if the clock has moved on.
    bool step()
    {
        const auto before = now();
        m_group.step();
        if (now() == before)
            return false;
        deliverHints();
        for (auto& [id, member] : m_group.replicas)
            m_parts.at(id).tick(*member, member->holdsLeaderLease(now()), now());
        return true;
    }

    void run(duration time)
    {
        runUntil([] { return false; }, time);
    }

    std::uint32_t leader() const { return m_group.leader(); }

    std::vector<std::uint32_t> followers() const
    {
        std::vector<std::uint32_t> out;
        for (const auto& item : m_group.replicas) {
            if (item.first != leader())
                out.push_back(item.first);
        }
        return out;
    }

    duration joiningFor(std::uint32_t id) const { return m_parts.at(id).joiningFor(now()); }

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

    /// True if the leader counts the control as a voter.
    bool isVoter(std::uint32_t id) const
    {
        const auto leads = leader();
        return leads != 0 && m_group.replicas.at(leads)->members().isVoter(replica_id(id));
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

    instant now() const { return m_group.now; }
    replica_group& replicas() { return m_group; }
    const replica_group& replicas() const { return m_group; }

    /// Of controls that start from now on.
    void setSeeds(const std::vector<std::uint32_t>& ids)
    {
        m_settings.seeds.clear();
        for (const auto id : ids)
            m_settings.seeds.push_back(addressOf(replica_id(id)));
    }

private:
    void deliver(std::uint32_t from, std::uint32_t to, const frame& out)
    {
        const auto target = m_group.replicas.find(to);
        if (target == m_group.replicas.end() || to == from || !m_group.isOpen(from, to))
            return;
        m_hints.push_back({ now() + hintDelay, to, from });
        const bool leads = target->second->holdsLeaderLease(now());
        if (m_parts.at(to).receive(*target->second, leads, replica_id(from), out, now()))
            m_parts.at(from).recordLeaveAnswer();
    }

    /// Controls probe those that they send to, and are told what these know of the group.
    void deliverHints()
    {
        while (!m_hints.empty() && m_hints.front().due <= now()) {
            const auto out = m_hints.front();
            m_hints.pop_front();
            const auto from = m_group.replicas.find(out.from);
            if (from == m_group.replicas.end() || !m_group.replicas.contains(out.to)
                || !m_group.isOpen(out.from, out.to))
                continue;
            message::control_hintT hint;
            hint.leads = from->second->holdsLeaderLease(now());
            hint.term = from->second->term();
            if (const auto known = from->second->leader())
                hint.leader = toString(addressOf(*known));
            for (const auto& each : from->second->members().members)
                hint.controls.push_back(toString(addressOf(each.id)));
            m_parts.at(out.to).recordHint(hint);
        }
    }

    static address addressOf(replica_id id) { return { ipFromReplicaId(id), 1 }; }

    struct hint_delivery {
        instant due;
        std::uint32_t from;
        std::uint32_t to;
    };

    fleet_settings m_settings;
    replica_group m_group;
    std::deque<hint_delivery> m_hints;
    std::map<std::uint32_t, fleet_settings> m_settingsOf; ///< Each control.
    std::map<std::uint32_t, group_membership> m_parts;
    std::size_t m_recorded { 0 };
};

} // namespace poplardeal::test
