#include "control_group.h"
#include <boost/test/data/test_case.hpp>
#include <cstdlib>
#include <iomanip>
#include <random>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

using namespace poplardeal;
using namespace poplardeal::detail;
using namespace poplardeal::test;
using namespace std::chrono_literals;

namespace {

constexpr duration lossCatchUpTime = 6s; ///< A lost disk counts until its control has been back this long.
constexpr duration lossRecoveryTime = 15s; ///< Service is back this long after all machines are.

template <class... Parts> std::string textOf(const Parts&... parts)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(2);
    (out << ... << parts);
    return out.str();
}

template <class Range> std::string joined(const Range& all)
{
    std::string out;
    for (const auto& each : all)
        out += (out.empty() ? "" : ", ") + std::to_string(each);
    return out;
}

constexpr duration contactTime = 4s; ///< Service is back this long after a disturbance that is tolerated.

struct group_row {
    const char* name;
    std::uint32_t controls;
    std::size_t toleratedLosses;
};

std::ostream& operator<<(std::ostream& out, const group_row& row) { return out << row.name; }

const group_row groupRows[] = {
    { "three controls, one loss tolerated", 3, 1 },
    { "five controls, two losses tolerated", 5, 2 },
    { "seven controls, three losses tolerated", 7, 3 },
    { "five controls, one loss tolerated", 5, 1 },
    { "six controls, two losses tolerated", 6, 2 },
};

/// Where the disks of the controls sync without delay, if there is such a place.
std::filesystem::path folderInMemory()
{
    constexpr auto shared = "/dev/shm";
    return ::access(shared, W_OK) == 0 ? shared : std::filesystem::temp_directory_path();
}

/// A control group under load and a random schedule of losses that the platform's pages allow. A violation throws
/// `std::logic_error` with the events.
class group_losses {
public:
    group_losses(const group_row& row, std::uint64_t seed)
        : m_row(row)
        , m_seed(seed)
        , m_random(seed * 0x9e3779b97f4a7c15U + row.controls * 8 + row.toleratedLosses)
        , m_group(
              std::min(row.controls, maxSeeds), row.toleratedLosses, pick({ 60, 400, 10000 }), seed, folderInMemory())
    {
        m_group.replicas().latency = [this](std::uint32_t from, std::uint32_t to) {
            const auto [link, isNew] = m_latency.try_emplace({ from, to });
            if (isNew)
                link->second = between(1ms, 20ms);
            return link->second;
        };
        for (std::uint32_t id = 1; id <= row.controls; ++id)
            m_controls[id];
    }

    void run()
    {
        m_loadInterval = between(5ms, 50ms);
        grow();
        constexpr int eventCount = 12;
        for (int i = 0; i < eventCount; ++i) {
            drawEvent();
            runFor(chance(0.25) ? 0ms : chance(0.2) ? between(2s, 9s) : between(0s, 2500ms));
        }
        while (!m_due.empty() || !areAllBack())
            step();
        requireRecovery();
    }

    std::size_t acknowledged() const { return m_recorded.size(); }

private:
    using ids = std::vector<std::uint32_t>;

    struct control_state {
        bool isUp { true };
        bool isStopping { false };
        bool isRemovedAtStop { false };
        instant stopBegan;
        instant returnsAt;
        instant steadySince; ///< Since when it could catch up without a break.
        ids seeds; ///< Of its last start.
    };

    /// A disk that is gone counts as lost until this control has caught up.
    struct lost_disk {
        std::uint32_t heir;
        bool isOwn; ///< False for the disk of the control that `heir` replaces.
    };

    struct removed_control {
        std::uint32_t heir;
        instant since;
    };

    static constexpr std::uint32_t maxSeeds = 3;

    instant now() const { return m_group.now(); }
    double unit() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    bool chance(double probability) { return unit() < probability; }
    std::uint64_t pick(std::initializer_list<std::uint64_t> from) { return from.begin()[m_random() % from.size()]; }
    duration between(duration least, duration most)
    {
        return least + duration(static_cast<duration::rep>(unit() * static_cast<double>((most - least).count())));
    }
    duration absence() { return chance(0.3) ? between(100ms, 1500ms) : between(100ms, 8s); }

    static double secondsOf(duration time) { return static_cast<double>(time.count()) / 1e6; }
    double seconds() const { return static_cast<double>(toMicros(now())) / 1e6; }

    void note(const std::string& event)
    {
        m_disturbedAt = now();
        m_events.push_back(textOf(seconds(), " s: ", event, " (leader ", m_group.leader(), ")"));
    }

    [[noreturn]] void fail(const std::string& what) const
    {
        std::string out = textOf(m_row.name, ", seed ", m_seed, ": ", what);
        for (const auto& event : m_events)
            out += "\n    " + event;
        for (const auto& [id, each] : m_group.replicas().replicas) {
            out += textOf("\n  ", id, ": term ", each->term(), ", leads ", each->isLeader(), ", may vote ",
                each->mayVote(), ", log to ", each->lastIndex(), ", committed to ", each->commitIndex(), ", asks for ",
                secondsOf(m_group.joiningFor(id)), " s, members");
            for (const auto& member : each->members().members)
                out += textOf(" ", member.id.value(), member.role == member_role::voter ? "" : "(learner)");
        }
        throw std::logic_error(out);
    }

    void grow()
    {
        assignSeeds();
        for (auto& [id, state] : m_controls)
            state.seeds = m_seeds;
        for (auto id = maxSeeds + 1; id <= m_row.controls; ++id)
            m_group.start(id);
        if (!m_group.reachVoters(m_row.controls, lossRecoveryTime))
            fail("the group does not form");
        runFor(lossCatchUpTime);
    }

    /// The first of the machines that exist at present.
    void assignSeeds()
    {
        m_seeds.clear();
        for (const auto& item : m_controls) {
            if (m_seeds.size() < maxSeeds)
                m_seeds.push_back(item.first);
        }
        m_group.setSeeds(m_seeds);
    }

    // The clock

    void step()
    {
        if (seconds() > 600)
            fail("the schedule does not end");
        const bool hasMoved = m_group.step();
        checkLeaders();
        if (!hasMoved)
            return;
        while (!m_due.empty() && m_due.begin()->first <= now()) {
            const auto action = std::move(m_due.begin()->second);
            m_due.erase(m_due.begin());
            action();
        }
        bringBack();
        continueStops();
        countLosses();
        requireService();
        proposeIfDue();
    }

    void runFor(duration time)
    {
        for (const auto end = now() + time; now() < end;)
            step();
    }

    void after(duration delay, std::function<void()> action) { m_due.emplace(now() + delay, std::move(action)); }

    void bringBack()
    {
        for (auto& [id, state] : m_controls) {
            if (state.isUp || state.returnsAt > now())
                continue;
            state.isUp = true;
            state.seeds = m_seeds;
            state.steadySince = now();
            m_disturbedAt = now();
            m_group.start(id);
        }
    }

    void continueStops()
    {
        ids ended;
        for (auto& [id, state] : m_controls) {
            if (state.isStopping
                && (m_group.mayStop(id) || now() - state.stopBegan >= group_membership::leaveTimeout * 2))
                ended.push_back(id);
        }
        for (const auto id : ended) {
            if (m_controls.at(id).isRemovedAtStop)
                removeForGood(id);
            else
                takeDown(id, absence());
        }
    }

    // Losses

    bool isCutOff(std::uint32_t id) const
    {
        const auto& network = m_group.replicas();
        return network.cut.contains(id) || network.half.contains(id);
    }

    /// Controls that are away or whose disk counts as lost; or also those that went for good in this window.
    std::size_t countLost(bool withRemoved = false) const
    {
        std::set<std::uint32_t> lost;
        for (const auto& [id, state] : m_controls) {
            if (!state.isUp || state.isStopping || isCutOff(id))
                lost.insert(id);
        }
        for (const auto& each : m_lost)
            lost.insert(each.heir);
        const auto removed = std::count_if(m_removed.begin(), m_removed.end(), [this](const removed_control& gone) {
            return std::none_of(m_lost.begin(), m_lost.end(),
                [&](const lost_disk& each) { return !each.isOwn && each.heir == gone.heir; });
        });
        return lost.size() + (withRemoved ? static_cast<std::size_t>(removed) : 0);
    }

    bool reachesSeed(std::uint32_t id) const
    {
        const auto& seeds = m_controls.at(id).seeds;
        return std::any_of(seeds.begin(), seeds.end(), [&](std::uint32_t seed) {
            const auto found = m_controls.find(seed);
            return seed != id && found != m_controls.end() && found->second.isUp && !isCutOff(seed);
        });
    }

    /// While more are lost than the group tolerates, it may be without a leader, and nobody can catch up.
    void countLosses()
    {
        const bool isSuspended = countLost() > m_row.toleratedLosses;
        for (auto& [id, state] : m_controls) {
            if (isSuspended || !state.isUp || isCutOff(id) || (!reachesSeed(id) && isEmpty(id)))
                state.steadySince = now();
        }
        if (countLost(true) > m_row.toleratedLosses) {
            for (auto& each : m_removed)
                each.since = now();
        }
        std::erase_if(m_removed, [&](const removed_control& each) { return now() - each.since >= lossCatchUpTime; });
        std::erase_if(m_lost, [&](const lost_disk& each) {
            const auto found = m_controls.find(each.heir);
            return found != m_controls.end() && hasCaughtUp(found->second);
        });
    }

    /// Once more are lost than tolerated, service may be suspended until some time after all are back.
    void requireService()
    {
        const auto lost = countLost(true);
        if (lost > 0)
            m_lastLost = now();
        m_mayBeSuspended = lost > m_row.toleratedLosses || (m_mayBeSuspended && now() - m_lastLost < lossRecoveryTime);
        if (m_group.leader() != 0 || m_mayBeSuspended)
            m_lastServed = now();
        if (now() - std::max(m_lastServed, m_disturbedAt) > contactTime)
            fail("no leader, although no more controls are lost than tolerated");
    }

    bool hasCaughtUp(const control_state& state) const
    {
        return state.isUp && now() - state.steadySince >= lossCatchUpTime;
    }

    /// Controls that are away or have not caught up since, and disks whose heirs have not started.
    std::size_t countNotCaughtUp() const
    {
        std::set<std::uint32_t> lost;
        for (const auto& [id, state] : m_controls) {
            if (!hasCaughtUp(state))
                lost.insert(id);
        }
        for (const auto& each : m_lost)
            lost.insert(each.heir);
        return lost.size();
    }

    bool isEmpty(std::uint32_t id) const
    {
        return std::any_of(m_lost.begin(), m_lost.end(), [id](const lost_disk& each) { return each.heir == id; });
    }

    /// How many more disks may be lost now. Beside a control that went for good moments ago, losses do not overlap
    /// beyond what is tolerated: the group cannot know yet which of the absent ones will come back.
    std::size_t disksToLose() const
    {
        const auto lost = m_removed.empty() ? m_lost.size() : countNotCaughtUp();
        return m_row.toleratedLosses - std::min(m_row.toleratedLosses, lost);
    }

    /// Controls that went for good in this window. Unlike one that is back with an empty disk, they cannot tell the
    /// others that their data is lost, so a group without a leader cannot do without their votes.
    std::size_t countRemoved() const
    {
        std::set<std::uint32_t> heirs;
        for (const auto& each : m_removed)
            heirs.insert(each.heir);
        for (const auto& each : m_lost) {
            if (!each.isOwn)
                heirs.insert(each.heir);
        }
        return heirs.size();
    }

    /// Running controls in random order; often the leader first.
    ids running()
    {
        ids out;
        for (const auto& [id, state] : m_controls) {
            if (state.isUp && !state.isStopping)
                out.push_back(id);
        }
        std::shuffle(out.begin(), out.end(), m_random);
        const auto leads = std::find(out.begin(), out.end(), m_group.leader());
        if (leads != out.end() && chance(0.3))
            std::iter_swap(out.begin(), leads);
        return out;
    }

    ids withDisks(ids from) const
    {
        std::erase_if(from, [this](std::uint32_t id) { return isEmpty(id); });
        return from;
    }

    void takeDown(std::uint32_t id, duration time)
    {
        auto& state = m_controls.at(id);
        if (state.isUp)
            m_group.kill(id);
        state.returnsAt = std::max(state.isUp ? instant {} : state.returnsAt, now() + time);
        state.isUp = false;
        state.isStopping = false;
    }

    void wipe(std::uint32_t id, duration time)
    {
        takeDown(id, time);
        m_group.wipe(id);
        m_lost.push_back({ id, true });
        m_controls.at(id).steadySince = now();
    }

    void removeForGood(std::uint32_t id)
    {
        if (m_controls.at(id).isUp)
            m_group.kill(id);
        m_group.wipe(id);
        m_controls.erase(id);
        m_group.replicas().cut.erase(id);
        m_group.replicas().half.erase(id);
        note(textOf(id, " is gone for good"));
        after(3s, [this] { assignSeeds(); });
    }

    void startSuccessor(std::uint32_t id)
    {
        m_controls[id].seeds = m_seeds;
        m_controls[id].steadySince = now();
        m_group.start(id);
        note(textOf("successor ", id, " starts"));
    }

    // Events

    void drawEvent()
    {
        using event = void (group_losses::*)();
        static constexpr event all[] = { &group_losses::killSome, &group_losses::loseDisk, &group_losses::loseDisks,
            &group_losses::overlap, &group_losses::cutOne, &group_losses::cutHalves, &group_losses::transfer,
            &group_losses::stopOne, &group_losses::replaceOne, &group_losses::losePower };
        (this->*all[m_random() % std::size(all)])();
    }

    void killSome()
    {
        auto chosen = running();
        chosen.resize(std::min<std::size_t>(chosen.size(), 1 + m_random() % (chance(0.3) ? 3 : 1)));
        for (const auto id : chosen) {
            const auto time = absence();
            note(textOf(id, " is killed, back after ", secondsOf(time), " s"));
            takeDown(id, time);
        }
    }

    void loseDisk() { loseSomeDisks(1, false, "lose their disks"); }

    void loseDisks() { loseSomeDisks(disksToLose(), chance(0.5), "lose their disks"); }

    void loseSomeDisks(std::size_t count, bool losesPower, const char* what, const ids& spared = {})
    {
        auto chosen = withDisks(running());
        std::erase_if(chosen, [&](auto id) { return std::find(spared.begin(), spared.end(), id) != spared.end(); });
        chosen.resize(std::min({ chosen.size(), count, disksToLose() }));
        if (chosen.empty())
            return;
        const auto time = absence();
        note(textOf(
            joined(chosen), " ", what, ", back after ", secondsOf(time), " s", losesPower ? "; all lose power" : ""));
        for (const auto id : chosen)
            wipe(id, time);
        if (losesPower)
            losePower();
    }

    void losePower()
    {
        const auto time = between(100ms, 1s);
        note(textOf("all that run lose power, back after ", secondsOf(time), " s"));
        for (auto& [id, state] : m_controls) {
            if (state.isUp && !state.isStopping)
                takeDown(id, time);
        }
    }

    /// As many as the group tolerates are away, and at their return, or shortly after it, others lose their disks.
    void overlap()
    {
        auto chosen = running();
        chosen.resize(std::min(chosen.size(), m_row.toleratedLosses));
        if (chosen.empty())
            return;
        const auto time = absence();
        note(textOf(joined(chosen), " are killed, back after ", secondsOf(time), " s"));
        for (const auto id : chosen)
            takeDown(id, time);
        after(time + (chance(0.4) ? 0s : between(0s, 1s)), [this, chosen, losesPower = chance(0.5)] {
            loseSomeDisks(m_row.toleratedLosses, losesPower, "lose their disks after a return", chosen);
        });
    }

    bool isCut() const { return !m_group.replicas().cut.empty() || !m_group.replicas().half.empty(); }

    void cutFor(std::set<std::uint32_t> replica_group::*which, const std::set<std::uint32_t>& chosen)
    {
        const auto time = between(300ms, 8s);
        note(textOf(joined(chosen), " are cut off for ", secondsOf(time), " s"));
        m_group.replicas().*which = chosen;
        after(time, [this, which] {
            (m_group.replicas().*which).clear();
            m_disturbedAt = now();
        });
    }

    void cutOne()
    {
        if (const auto chosen = running(); !isCut() && !chosen.empty())
            cutFor(&replica_group::cut, { chosen.front() });
    }

    void cutHalves()
    {
        if (isCut())
            return;
        auto chosen = running();
        chosen.resize(std::min(chosen.size(), m_controls.size() / 2));
        if (!chosen.empty())
            cutFor(&replica_group::half, { chosen.begin(), chosen.end() });
    }

    void transfer()
    {
        if (const auto id = m_group.leader()) {
            note("leadership is transferred");
            m_group.replicas().replicas.at(id)->transferLeadership(now());
        }
    }

    void beginStop(std::uint32_t id)
    {
        auto& state = m_controls.at(id);
        state.isStopping = true;
        state.stopBegan = now();
        note(textOf(id, " is told to stop"));
    }

    void stopOne()
    {
        if (const auto chosen = running(); !chosen.empty())
            beginStop(chosen.front());
    }

    void replaceOne()
    {
        auto chosen = withDisks(running());
        if (m_isReplacing || chosen.empty() || disksToLose() == 0)
            return;
        m_isReplacing = true;
        const auto old = chosen.front();
        const auto successor = m_nextSuccessor++;
        const bool stops = chance(0.5);
        if (chance(0.5)) {
            note(textOf(old, " is to be replaced by ", successor, ", which starts first"));
            startSuccessor(successor);
            after(lossCatchUpTime + between(0s, 2s), [=, this] { takeAway(old, successor, stops); });
            return;
        }
        note(textOf(old, " is to be replaced by ", successor, ", which starts later"));
        takeAway(old, successor, stops);
        after(absence(), [=, this] { startSuccessor(successor); });
    }

    void takeAway(std::uint32_t old, std::uint32_t successor, bool stops)
    {
        const auto found = m_controls.find(successor);
        const bool counts = found == m_controls.end() || !hasCaughtUp(found->second);
        const auto& state = m_controls.at(old);
        const bool overlaps = !m_lost.empty() && countNotCaughtUp() > m_row.toleratedLosses;
        const bool mayGo
            = countRemoved() < m_row.toleratedLosses && (counts ? disksToLose() > 0 : m_removed.empty() && !overlaps);
        if (!mayGo || state.isStopping || isEmpty(old)) {
            after(500ms, [=, this] { takeAway(old, successor, stops); });
            return;
        }
        if (counts)
            m_lost.push_back({ successor, false });
        m_removed.push_back({ successor, now() });
        m_isReplacing = false;
        if (stops && state.isUp) {
            beginStop(old);
            m_controls.at(old).isRemovedAtStop = true;
        } else {
            removeForGood(old);
        }
    }

    // Load and checks

    void proposeIfDue()
    {
        if (now() < m_nextProposal)
            return;
        m_nextProposal = now() + m_loadInterval;
        for (auto& [id, each] : m_group.replicas().replicas) {
            if (!each->isLeader())
                continue;
            const auto payload = std::to_string(++m_proposed);
            each->propose(payload, now(), [this, payload](const result<std::string>& answer) {
                if (answer.has_value() && !m_recorded.emplace(std::stoull(answer.value()), payload).second)
                    m_violation = textOf("entry ", payload, " was acknowledged at the place of another one");
            });
        }
    }

    void checkLeaders() const
    {
        ids leaders;
        for (const auto& [id, each] : m_group.replicas().replicas) {
            if (each->holdsLeaderLease(now()))
                leaders.push_back(id);
            if (const auto failed = each->failed())
                fail(textOf("replica ", id, " stopped: ", failed->message));
        }
        if (leaders.size() > 1)
            fail(textOf(joined(leaders), " hold the lease at once"));
        if (!m_violation.empty())
            fail(m_violation);
    }

    bool areAllBack() const
    {
        return !isCut() && !m_isReplacing && std::all_of(m_controls.begin(), m_controls.end(), [](const auto& item) {
            return item.second.isUp && !item.second.isStopping;
        });
    }

    bool areAllVoters() const
    {
        const auto leads = m_group.leader();
        if (leads == 0)
            return false;
        const auto& members = m_group.replicas().replicas.at(leads)->members();
        return members.voterCount() == m_controls.size()
            && std::all_of(m_controls.begin(), m_controls.end(), [&](const auto& item) {
                   return members.isVoter(replica_id(item.first)) && m_group.joiningFor(item.first) == 0s;
               });
    }

    template <class Condition> void require(Condition condition, duration limit, const char* what)
    {
        const auto end = now() + limit;
        while (!condition()) {
            if (now() >= end)
                fail(what);
            step();
        }
    }

    void requireRecovery()
    {
        note("all are back");
        require([this] { return m_group.leader() != 0; }, lossRecoveryTime, "no leader");
        requireEntries();
        require([this] { return areAllVoters(); }, lossCatchUpTime, "not all are voters, or some still ask to join");
        require([this] { return m_group.leader() != 0; }, lossRecoveryTime, "no leader at the end");
        requireEntries();
    }

    void requireEntries() const
    {
        const auto& applied = m_group.replicas().machines.at(m_group.leader())->applied;
        auto place = applied.begin();
        for (const auto& [index, payload] : m_recorded) {
            place = std::find(place, applied.end(), payload);
            if (place == applied.end())
                fail(textOf("leader ", m_group.leader(), " lacks the acknowledged entry ", payload, " of index ", index,
                    ", or has it out of order"));
        }
    }

    const group_row& m_row;
    std::uint64_t m_seed;
    std::mt19937_64 m_random;
    std::map<std::pair<std::uint32_t, std::uint32_t>, duration> m_latency;
    control_group m_group;
    std::map<std::uint32_t, control_state> m_controls;
    std::vector<lost_disk> m_lost;
    std::vector<removed_control> m_removed; ///< Those that the group may still count.
    std::multimap<instant, std::function<void()>> m_due;
    ids m_seeds;
    std::uint32_t m_nextSuccessor { 11 };
    bool m_isReplacing { false };
    bool m_mayBeSuspended { false };
    instant m_lastLost;
    instant m_lastServed;
    instant m_disturbedAt;
    duration m_loadInterval {};
    instant m_nextProposal;
    std::uint64_t m_proposed { 0 };
    std::map<std::uint64_t, std::string> m_recorded; ///< Payloads by their index.
    std::string m_violation;
    std::vector<std::string> m_events;
};

/// Schedules for each row. POPLARDEAL_SCHEDULES asks for a longer run, POPLARDEAL_FIRST_SCHEDULE for other seeds.
std::uint64_t setting(const char* name, std::uint64_t standard)
{
    const char* given = std::getenv(name);
    return given ? std::strtoull(given, nullptr, 10) : standard;
}

} // namespace

// Guards against a group that loses its leader, its voters or acknowledged entries for good by losses that it has to
// bear, in any order.
BOOST_DATA_TEST_CASE(losses_in_any_order_are_survived, boost::unit_test::data::make(groupRows), row)
{
    const auto first = setting("POPLARDEAL_FIRST_SCHEDULE", 20261207);
    const auto count = setting("POPLARDEAL_SCHEDULES", 20);
    std::size_t acknowledged = 0;
    for (auto seed = first; seed < first + count; ++seed) {
        group_losses losses(row, seed);
        try {
            losses.run();
        } catch (const std::logic_error& violation) {
            BOOST_ERROR(violation.what());
        }
        acknowledged += losses.acknowledged();
    }
    // A schedule in which nothing is acknowledged would check nothing.
    BOOST_TEST(acknowledged > count * 100);
}
