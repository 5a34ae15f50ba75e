#pragma once

#include "fault_plan.h"
#include "simulated_disk.h"
#include <algorithm>
#include <cstdlib>
#include <map>
#include <optional>
#include <poplardeal/consensus/replica.h>
#include <queue>
#include <random>
#include <set>
#include <stdexcept>
#include <string>

namespace poplardeal::test {

/// Raft nodes on a simulated network and clock, on simulated disks or on the store. Every event is followed by the
/// safety checks; a violation throws `std::logic_error`.
template <class Disk = simulated_disk> class raft_simulation {
public:
    raft_simulation(fault_plan plan, std::uint64_t seed)
        : m_plan(plan)
        , m_random(seed)
        , m_seed(seed)
    {
        for (std::uint32_t id = 1; id <= plan.voters; ++id)
            m_voters.push_back(replica_id(id));
        for (std::uint32_t id = 1; id <= plan.replicas; ++id) {
            auto& host = m_hosts[replica_id(id)];
            host.rate = 1 + plan.clockDrift * (2 * unit() - 1);
            host.offset = duration(static_cast<duration::rep>(unit() * 1e9));
            host.disk = Disk(id <= plan.voters ? 0 : m_random() | 1, m_random());
            start(replica_id(id));
        }
    }

    /// Runs the schedule with its faults.
    void run()
    {
        scheduleFaults();
        const auto end = m_now + m_plan.length;
        while (m_now < end)
            step();
    }

    /// Ends all faults and requires that a new proposal reaches every member.
    void requireConvergence()
    {
        m_faults = false;
        m_cut.clear();
        for (auto& [id, host] : m_hosts) {
            host.disk.setFull(false);
            if (!host.node)
                start(id);
        }
        const auto end = m_now + milliseconds(30000);
        std::uint64_t target = 0;
        std::string payload;
        while (m_now < end) {
            step();
            for (auto& [id, host] : m_hosts) {
                if (target != 0 || !host.node || !host.node->holdsLeaderLease(local(host)))
                    continue;
                target = propose(id).value_or(0);
                payload = m_lastPayload;
            }
            if (target != 0 && m_committed.contains(target) && converged(target))
                return;
            if (target != 0 && m_committed.contains(target) && m_committed[target].payload != payload)
                target = 0;
        }
        fail("no convergence after the end of the faults:" + describe());
    }

    std::size_t acknowledged() const { return m_acknowledged; }
    std::size_t crashes() const { return m_crashes; }

    /// Crashes the host that writes the batch of this number, counted over all hosts.
    std::map<std::uint64_t, crash_point> crashAtBatch;

private:
    struct host_state {
        std::optional<raft_node> node;
        Disk disk;
        std::uint64_t life { 0 }; ///< Grows with each crash; events of earlier lives are ignored.
        std::uint64_t applied { 0 };
        std::map<std::uint64_t, std::pair<std::uint64_t, std::uint64_t>>
            proposals; ///< Index: term, largest index then.
        std::uint64_t snapshotIndex { 0 };
        std::uint64_t leaderTerm { 0 };
        bool diskBusy { false };
        std::vector<persist_batch> unwritten;
        shared_snapshot unwrittenSnapshot;
        double rate { 1 };
        duration offset {};
    };

    struct event {
        instant at;
        std::uint64_t order { 0 };
        std::function<void()> action;
        bool operator<(const event& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
    };

    double unit() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    duration upTo(duration limit) { return duration(static_cast<duration::rep>(unit() * double(limit.count()))); }
    bool chance(double probability) { return probability > 0 && unit() < probability; }
    [[noreturn]] void fail(const std::string& what) const
    {
        throw std::logic_error("seed " + std::to_string(m_seed) + ": " + what);
    }

    void schedule(duration delay, std::function<void()> action)
    {
        m_events.push({ m_now + delay, ++m_order, std::move(action) });
    }

    instant local(const host_state& host) const
    {
        return instant(host.offset + duration(static_cast<duration::rep>(double(toMicros(m_now)) * host.rate)));
    }

    void step()
    {
        auto next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.action();
        checkLeases();
    }

    void start(replica_id id)
    {
        auto& host = m_hosts[id];
        auto contents = host.disk.open(m_plan.trustsCache);
        if (!contents && contents.error().code == failure_code::no_space)
            return startLater(id, diskRetryInterval);
        if (!contents)
            fail("replica " + std::to_string(id.value()) + " refuses its folder: " + contents.error().message);
        auto& found = contents.value();
        raft_options options;
        options.self = id;
        options.initialMembers = membershipOfVoters(m_voters);
        options.dataIncarnation = found.incarnation;
        options.rejoinIncarnation = m_random() | 1;
        options.startCount = found.starts;
        options.seed = m_random();
        options.snapshotChunkBytes = 64;
        options.maxMessageBytes = 256;
        options.maxInflightBytes = 1024;
        options.retainedEntries = 5;
        host.applied = found.snapshot ? found.snapshot->index : 0;
        host.node.emplace(
            options, raft_saved_state { found.hard, found.snapshot, std::move(found.entries) }, local(host));
        host.snapshotIndex = host.applied;
        host.proposals.clear();
        host.leaderTerm = 0;
        host.diskBusy = false;
        host.unwritten.clear();
        host.unwrittenSnapshot = nullptr;
        schedule(upTo(milliseconds(40)), [this, id, life = host.life] { tick(id, life); });
    }

    void tick(replica_id id, std::uint64_t life)
    {
        auto& host = m_hosts[id];
        if (host.life != life || !host.node)
            return;
        host.node->tick(local(host));
        if (host.node->isLeader() && chance(0.7))
            propose(id);
        drain(id);
        schedule(milliseconds(30) + upTo(milliseconds(20)), [this, id, life] { tick(id, life); });
    }

    std::optional<std::uint64_t> propose(replica_id id)
    {
        auto& host = m_hosts[id];
        auto payload = "p" + std::to_string(++m_proposed);
        const auto position = host.node->propose(payload, local(host));
        if (!position)
            return std::nullopt;
        m_lastPayload = std::move(payload);
        host.proposals[position.value().index] = { position.value().term, m_maxAcknowledged };
        drain(id);
        return position.value().index;
    }

    void endProcess(replica_id id)
    {
        auto& host = m_hosts[id];
        if (!host.node)
            return;
        host.node.reset();
        host.disk.endProcess();
        ++host.life;
        ++m_crashes;
        startLater(id, upTo(milliseconds(1500)));
    }

    void startLater(replica_id id, duration delay)
    {
        schedule(delay, [this, id, life = m_hosts[id].life] {
            if (m_hosts[id].life == life && !m_hosts[id].node)
                start(id);
        });
    }

    void losePower(replica_id id)
    {
        endProcess(id);
        m_hosts[id].disk.losePower();
    }

    void crash(replica_id id, crash_point point)
    {
        if (point == crash_point::power_after_sync)
            sync(m_hosts[id]);
        if (point == crash_point::power_after_write || point == crash_point::power_after_sync)
            losePower(id);
        else
            endProcess(id);
    }

    void loseAllPower()
    {
        for (const auto& [id, host] : m_hosts)
            losePower(id);
    }

    void drain(replica_id id)
    {
        auto& host = m_hosts[id];
        auto ready = host.node->takeReady(local(host));
        noteLeader(id);
        if (ready.install) {
            host.applied = ready.install->index;
            host.snapshotIndex = host.applied;
        }
        for (const auto& message : ready.messages)
            transmit(message);
        for (const auto& entry : ready.committed)
            apply(id, entry);
        if (!ready.persist.empty())
            persist(id, std::move(ready.persist));
        takeSnapshot(id);
    }

    void transmit(const raft_message& message)
    {
        if (m_cut.contains({ message.from, message.to }) || (m_faults && chance(m_plan.lossRate)))
            return;
        const int copies = m_faults && chance(m_plan.duplicateRate) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const auto delay = upTo(chance(0.02) ? m_plan.maxDelay * 20 : m_plan.maxDelay);
            schedule(duration(100) + delay, [this, message] { deliver(message); });
        }
    }

    void deliver(const raft_message& message)
    {
        auto& host = m_hosts[message.to];
        if (!host.node)
            return;
        host.node->receive(message, local(host));
        if (host.node->dataLost())
            fail("an intact data folder was taken for an old copy");
        drain(message.to);
    }

    void persist(replica_id id, persist_batch batch)
    {
        auto& host = m_hosts[id];
        host.unwritten.push_back(std::move(batch));
        if (!std::exchange(host.diskBusy, true))
            startSync(id);
    }

    /// Writes what is queued with one sync, as the disk thread does.
    void startSync(replica_id id)
    {
        auto& host = m_hosts[id];
        const auto batches = std::exchange(host.unwritten, {});
        const auto snapshot = std::exchange(host.unwrittenSnapshot, nullptr);
        std::optional<crash_point> end;
        for (const auto& batch : batches) {
            end = crashAtNextBatch();
            if (end != crash_point::process_before_write)
                host.disk.write(batch);
            if (end)
                break;
        }
        if (!end && snapshot)
            host.disk.writeOwnSnapshot(snapshot);
        const auto number = batches.empty() ? 0 : batches.back().number;
        schedule(upTo(m_plan.maxSync), [this, id, life = host.life, number, end] {
            auto& writer = m_hosts[id];
            if (writer.life != life)
                return;
            if (end)
                return crash(id, *end);
            endSync(id, number);
        });
    }

    void endSync(replica_id id, std::uint64_t number)
    {
        auto& writer = m_hosts[id];
        const bool isFull = !sync(writer);
        writer.node->setReadOnly(isFull, local(writer));
        if (isFull) {
            schedule(diskRetryInterval, [this, id, life = writer.life, number] {
                if (m_hosts[id].life == life)
                    endSync(id, number);
            });
            return drain(id);
        }
        writer.diskBusy = !writer.unwritten.empty() || writer.unwrittenSnapshot;
        if (writer.diskBusy)
            startSync(id);
        if (number != 0)
            writer.node->persisted(number, local(writer));
        drain(id);
    }

    /// False if the disk is full.
    bool sync(host_state& host)
    {
        const auto synced = host.disk.sync();
        if (!synced && synced.error().code != failure_code::no_space)
            fail("a sync failed: " + synced.error().message);
        return synced.has_value();
    }

    std::optional<crash_point> crashAtNextBatch()
    {
        const auto planned = crashAtBatch.find(++m_batches);
        if (planned != crashAtBatch.end())
            return planned->second;
        if (m_faults && chance(m_plan.crashAtPersist))
            return static_cast<crash_point>(m_random() % crashPoints);
        return std::nullopt;
    }

    void apply(replica_id id, const log_entry& entry)
    {
        auto& host = m_hosts[id];
        if (entry.index != host.applied + 1)
            fail("an entry was applied out of order");
        host.applied = entry.index;
        const auto [known, inserted] = m_committed.emplace(entry.index, entry);
        if (inserted)
            m_commitTerms[entry.index] = host.node->term();
        if (!inserted && known->second != entry)
            fail("two replicas applied different entries at " + std::to_string(entry.index));
        const auto proposal = host.proposals.find(entry.index);
        if (proposal == host.proposals.end())
            return;
        if (proposal->second.first == entry.term) {
            if (entry.index <= proposal->second.second)
                fail("a proposal was ordered before one that had been acknowledged earlier");
            m_maxAcknowledged = std::max(m_maxAcknowledged, entry.index);
            ++m_acknowledged;
            if (m_faults && chance(m_plan.powerLossAfterAcknowledgement))
                schedule(duration(0), [this] { loseAllPower(); });
        }
        host.proposals.erase(proposal);
    }

    void takeSnapshot(replica_id id)
    {
        auto& host = m_hosts[id];
        if (host.applied < host.snapshotIndex + m_plan.snapshotEvery)
            return;
        auto taken = std::make_shared<log_snapshot>();
        taken->index = host.applied;
        taken->term = host.node->termAt(host.applied);
        taken->members = host.node->membersAt(host.applied);
        taken->data = std::string(200, 's');
        host.snapshotIndex = host.applied;
        host.node->compact(taken);
        host.unwrittenSnapshot = std::move(taken);
        if (!std::exchange(host.diskBusy, true))
            startSync(id);
    }

    void noteLeader(replica_id id)
    {
        auto& host = m_hosts[id];
        if (!host.node->isLeader() || host.leaderTerm == host.node->term())
            return;
        host.leaderTerm = host.node->term();
        const auto [known, inserted] = m_leaders.emplace(host.leaderTerm, id);
        if (!inserted && known->second != id)
            fail("two leaders in term " + std::to_string(host.leaderTerm));
        for (const auto& [index, entry] : m_committed) {
            // An election whose last vote was delayed may lack what a later term has committed meanwhile.
            if (m_commitTerms[index] >= host.leaderTerm || index < host.node->firstIndex())
                continue;
            if (host.node->termAt(index) != entry.term)
                fail("the leader of term " + std::to_string(host.leaderTerm) + " lacks a committed entry");
        }
    }

    void checkLeases() const
    {
        int holders = 0;
        for (const auto& [id, host] : m_hosts) {
            if (!host.node || !host.node->holdsLeaderLease(local(host)))
                continue;
            ++holders;
            if (host.applied < m_maxAcknowledged)
                fail("a leader with a lease has not applied an acknowledged entry");
        }
        if (holders > 1)
            fail("two replicas hold the leader lease");
    }

    bool converged(std::uint64_t target) const
    {
        const host_state* leader = nullptr;
        for (const auto& [id, host] : m_hosts) {
            if (host.node && host.node->isLeader() && (!leader || host.node->term() > leader->node->term()))
                leader = &host;
        }
        if (!leader)
            return false;
        return std::all_of(leader->node->members().members.begin(), leader->node->members().members.end(),
            [&](const member& m) { return m_hosts.at(m.id).applied >= target && !m.promoteWhenCaughtUp; });
    }

    std::string describe() const
    {
        std::string out;
        for (const auto& [id, host] : m_hosts) {
            const auto& node = *host.node;
            out += "\n  replica " + std::to_string(id.value()) + " term " + std::to_string(node.term()) + " last "
                + std::to_string(node.lastIndex()) + " commit " + std::to_string(node.commitIndex())
                + (node.isLeader() ? " leads" : "") + (node.mayVote() ? " may vote" : "") + ", members";
            for (const auto& m : node.members().members) {
                out += " " + std::to_string(m.id.value()) + (m.role == member_role::learner ? "(learner)" : "") + "/"
                    + std::to_string(m.dataIncarnation % 1000);
            }
        }
        return out;
    }

    void scheduleFaults()
    {
        const auto seconds = std::chrono::duration<double>(m_plan.length).count();
        const auto plan = [&](double perSecond, void (raft_simulation::*action)()) {
            for (int i = 0; i < static_cast<int>(perSecond * seconds); ++i)
                schedule(upTo(m_plan.length), [this, action] { (this->*action)(); });
        };
        plan(m_plan.faultsPerSecond, &raft_simulation::changeNetwork);
        plan(m_plan.changesPerSecond, &raft_simulation::changeMembers);
        plan(m_plan.transfersPerSecond, &raft_simulation::transfer);
        plan(m_plan.processEndsPerSecond, &raft_simulation::endAnyProcess);
        plan(m_plan.powerLossesPerSecond, &raft_simulation::loseSomePower);
        plan(m_plan.fullDisksPerSecond, &raft_simulation::fillDisks);
        plan(m_plan.folderLosses / seconds + 1e-9, &raft_simulation::loseFolder);
    }

    replica_id anyHost() { return replica_id(1 + static_cast<std::uint32_t>(m_random() % m_plan.replicas)); }

    void endAnyProcess() { endProcess(anyHost()); }

    void loseSomePower()
    {
        if (chance(0.5))
            return loseAllPower();
        losePower(anyHost());
    }

    void fillDisks()
    {
        const auto length = milliseconds(200) + upTo(milliseconds(3000));
        const auto fill = [&](replica_id id) {
            m_hosts[id].disk.setFull(true);
            schedule(length, [this, id] { m_hosts[id].disk.setFull(false); });
        };
        if (chance(0.2)) {
            for (const auto& [id, host] : m_hosts)
                fill(id);
            return;
        }
        fill(anyHost());
        if (chance(0.5))
            fill(anyHost());
    }

    void changeNetwork()
    {
        if (chance(0.4))
            return m_cut.clear();
        const auto victim = anyHost();
        const auto direction = m_random() % 3;
        for (const auto& [id, host] : m_hosts) {
            if (direction != 0)
                m_cut.insert({ victim, id });
            if (direction != 1)
                m_cut.insert({ id, victim });
        }
    }

    void changeMembers()
    {
        for (auto& [id, host] : m_hosts) {
            if (!host.node || !host.node->isLeader())
                continue;
            auto wanted = host.node->members();
            const auto target = anyHost();
            const auto found = std::find_if(
                wanted.members.begin(), wanted.members.end(), [&](const member& m) { return m.id == target; });
            if (found == wanted.members.end())
                wanted.members.push_back({ target, chance(0.5) ? member_role::voter : member_role::learner, 0, false });
            else if (found->role == member_role::learner)
                found->role = member_role::voter;
            else if (wanted.voterCount() > 2)
                wanted.members.erase(found);
            if (host.node->proposeMembership(wanted, local(host)))
                drain(id);
        }
    }

    void transfer()
    {
        for (auto& [id, host] : m_hosts) {
            if (host.node && host.node->transferLeadership(local(host)))
                drain(id);
        }
    }

    /// True if every voter has a part of the log and the incarnation that all of them know.
    bool isSettled() const
    {
        return std::all_of(m_hosts.begin(), m_hosts.end(), [&](const auto& host) {
            const auto& node = host.second.node;
            return node && !host.second.disk.durable().entries.empty() && node->mayVote() && node->commitIndex() != 0
                && node->members().voterCount() == m_voters.size();
        });
    }

    void loseFolder()
    {
        if (m_plan.folderLosses == 1 && !isSettled())
            return schedule(milliseconds(50), [this] { loseFolder(); });
        const auto id = anyHost();
        auto& host = m_hosts[id];
        endProcess(id);
        // A single loss is also survived if the settings still ask for the bootstrap.
        host.disk = Disk(m_plan.folderLosses == 1 && chance(0.5) ? 0 : m_random() | 1, m_random());
    }

    fault_plan m_plan;
    std::mt19937_64 m_random;
    std::uint64_t m_seed;
    std::vector<replica_id> m_voters;
    instant m_now { instantFromMicros(1'000'000) };
    std::priority_queue<event> m_events;
    std::uint64_t m_order { 0 };
    std::map<replica_id, host_state> m_hosts;
    std::set<std::pair<replica_id, replica_id>> m_cut;
    bool m_faults { true };
    std::map<std::uint64_t, log_entry> m_committed;
    std::map<std::uint64_t, std::uint64_t> m_commitTerms; ///< Term of the first replica that applied the entry.
    std::map<std::uint64_t, replica_id> m_leaders; ///< By term.
    std::uint64_t m_maxAcknowledged { 0 };
    std::size_t m_acknowledged { 0 };
    std::size_t m_crashes { 0 };
    std::uint64_t m_proposed { 0 };
    std::uint64_t m_batches { 0 };
    std::string m_lastPayload;
};

} // namespace poplardeal::test
