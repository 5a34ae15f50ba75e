#pragma once

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <filesystem>
#include <map>
#include <mutex>
#include <poplardeal/consensus/replica.h>
#include <set>
#include <unistd.h>

namespace poplardeal::test {

/// Folder that is removed at the end of the test.
class temporary_folder {
public:
    explicit temporary_folder(const std::filesystem::path& parent = std::filesystem::temp_directory_path())
    {
        auto pattern = (parent / "poplardeal-consensus-XXXXXX").string();
        m_path = ::mkdtemp(pattern.data());
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    ~temporary_folder() { std::filesystem::remove_all(m_path); }
    const std::filesystem::path& path() const { return m_path; }

private:
    std::filesystem::path m_path;
};

/// Appends every payload to a list.
class list_machine final : public state_machine {
public:
    std::string apply(std::uint64_t index, std::string_view payload) override
    {
        applied.emplace_back(payload);
        return std::to_string(index);
    }
    std::string takeSnapshot() const override
    {
        std::string out;
        for (const auto& item : applied)
            out += item + "\n";
        return out;
    }
    result<void> installSnapshot(std::string_view text) override
    {
        applied.clear();
        while (!text.empty()) {
            const auto end = text.find('\n');
            applied.emplace_back(text.substr(0, end));
            text.remove_prefix(end + 1);
        }
        return success();
    }
    std::vector<std::string> applied;
};

/// Replicas in one process on a simulated clock, which stands still while messages or disk writes are pending.
class replica_group {
public:
    explicit replica_group(std::uint32_t size, std::uint64_t snapshotEvery = 10000, std::uint64_t seed = 1,
        const std::filesystem::path& parent = std::filesystem::temp_directory_path())
        : folder(parent)
        , m_size(size)
        , m_snapshotEvery(snapshotEvery)
        , m_seed(seed)
    {
    }

    replica_group(const replica_group&) = delete;
    replica_group& operator=(const replica_group&) = delete;
    /// The disk threads post until their replicas are gone.
    ~replica_group() { replicas.clear(); }

    result<void> start(std::uint32_t number, bool bootstrap, bool setAsideDamage = false)
    {
        const replica_id id(number);
        auto machine = std::make_unique<list_machine>();
        replica_environment environment;
        environment.send = [this, id](replica_id to, std::string bytes) {
            m_messages.push_back({ id, to, std::move(bytes) });
        };
        environment.post = [this](std::function<void()> work) {
            const std::lock_guard guard(m_mutex);
            m_posted.push_back(std::move(work));
            m_wake.notify_one();
        };
        auto options = optionsOf(number, bootstrap);
        options.setAsideDamage = setAsideDamage;
        auto opened = replica::open(options, environment, *machine, now);
        if (!opened)
            return opened.error();
        replicas[number] = std::move(opened.value());
        machines[number] = std::move(machine);
        return success();
    }

    void startAll(bool bootstrap)
    {
        for (std::uint32_t number = 1; number <= m_size; ++number)
            start(number, bootstrap).value();
    }

    replica_options optionsOf(std::uint32_t number, bool bootstrap) const
    {
        replica_options options;
        options.self = replica_id(number);
        if (const auto given = initialVoters.find(number); given != initialVoters.end())
            options.voters = given->second;
        else
            for (std::uint32_t voter = 1; voter <= m_size; ++voter)
                options.voters.push_back(replica_id(voter));
        options.votersNeeded = votersNeeded;
        options.maxVoters = maxVoters;
        options.dataFolder = folderOf(number);
        options.seed = m_seed;
        options.snapshotEvery = m_snapshotEvery;
        options.bootstrap = bootstrap;
        return options;
    }

    std::filesystem::path folderOf(std::uint32_t number) const { return folder.path() / std::to_string(number); }

    void kill(std::uint32_t number)
    {
        replicas.erase(number);
        machines.erase(number);
        std::erase_if(m_inFlight, [number](const auto& item) { return item.second.to.value() == number; });
    }

    /// Delivers what is pending, waits for the disk threads, or moves the clock on.
    void step(duration tick = std::chrono::milliseconds(10))
    {
        if (latency)
            return stepWithLatency(tick);
        runPosted();
        for (auto pending = std::exchange(m_messages, {}); auto& m : pending)
            deliver(m);
        if (!m_messages.empty())
            return;
        {
            std::unique_lock lock(m_mutex);
            if (isAnyPersisting())
                m_wake.wait(lock, [this] { return !m_posted.empty(); });
            if (!m_posted.empty())
                return;
        }
        advanceClock(tick);
    }

    /// Whether the network is open between two replicas.
    bool isOpen(std::uint32_t from, std::uint32_t to) const
    {
        return !cut.contains(from) && !cut.contains(to) && half.contains(from) == half.contains(to);
    }

    /// Runs until the condition holds. False if it does not within the simulated time.
    template <class Condition> bool runUntil(Condition condition, duration limit = std::chrono::seconds(30))
    {
        const auto end = now + limit;
        while (!condition()) {
            if (now >= end)
                return false;
            step();
        }
        return true;
    }

    /// Number of the leader that holds the lease, 0 if there is none.
    std::uint32_t leader() const
    {
        for (const auto& [number, r] : replicas) {
            if (r->holdsLeaderLease(now) && !cut.contains(number))
                return number;
        }
        return 0;
    }

    bool waitForLeader()
    {
        return runUntil([this] { return leader() != 0; });
    }

    /// Proposes at the leader and waits for the answer.
    result<std::string> propose(const std::string& payload)
    {
        if (!waitForLeader())
            return failure { failure_code::unavailable, "no leader" };
        std::optional<result<std::string>> answer;
        replicas[leader()]->propose(payload, now, [&](result<std::string> given) { answer = std::move(given); });
        if (!runUntil([&] { return answer.has_value(); }))
            return failure { failure_code::timed_out, "no answer" };
        return *answer;
    }

    bool waitUntilEqual(std::size_t count)
    {
        return runUntil([&] {
            for (const auto& [number, machine] : machines) {
                if (machine->applied.size() != count)
                    return false;
            }
            return true;
        });
    }

    temporary_folder folder;
    instant now { instantFromMicros(1'000'000) };
    std::map<std::uint32_t, std::unique_ptr<list_machine>> machines;
    std::map<std::uint32_t, std::unique_ptr<replica>> replicas;
    std::map<std::uint32_t, std::vector<replica_id>> initialVoters; ///< That a replica is told, if not all.
    std::size_t votersNeeded { 3 };
    std::size_t maxVoters { 9 };
    std::set<std::uint32_t> cut; ///< Replicas without network.
    std::set<std::uint32_t> half; ///< Replicas that reach only each other.
    /// Of a message; not 0 and constant for each link, whose order it keeps. If set, the disk threads have no influence
    /// on the order of messages, and messages to a replica that ends are lost.
    std::function<duration(std::uint32_t from, std::uint32_t to)> latency;
    std::function<void(std::uint32_t to, replica_id from)> delivered; ///< Called before each delivery of a message.

private:
    struct packet {
        replica_id from;
        replica_id to;
        std::string bytes;
    };

    void deliver(const packet& m)
    {
        const auto to = replicas.find(m.to.value());
        if (to == replicas.end() || !isOpen(m.from.value(), m.to.value()))
            return;
        if (delivered)
            delivered(m.to.value(), m.from);
        to->second->receive(m.from, m.bytes, now);
    }

    bool isAnyPersisting() const
    {
        return std::any_of(
            replicas.begin(), replicas.end(), [](const auto& item) { return item.second->isPersisting(); });
    }

    void advanceClock(duration tick)
    {
        now += tick;
        for (auto& [number, r] : replicas)
            r->tick(now);
    }

    void stepWithLatency(duration tick)
    {
        runPosted();
        while (isAnyPersisting()) {
            {
                std::unique_lock lock(m_mutex);
                m_wake.wait(lock, [this] { return !m_posted.empty(); });
            }
            runPosted();
        }
        std::stable_sort(
            m_messages.begin(), m_messages.end(), [](const auto& a, const auto& b) { return a.from < b.from; });
        for (auto& m : std::exchange(m_messages, {})) {
            const auto due = now + latency(m.from.value(), m.to.value());
            m_inFlight.emplace(due, std::move(m));
        }
        if (m_inFlight.empty() || m_inFlight.begin()->first > now)
            return advanceClock(tick);
        const auto end = m_inFlight.upper_bound(now);
        std::vector<packet> arrived;
        for (auto item = m_inFlight.begin(); item != end; ++item)
            arrived.push_back(std::move(item->second));
        m_inFlight.erase(m_inFlight.begin(), end);
        for (const auto& m : arrived)
            deliver(m);
    }

    void runPosted()
    {
        std::deque<std::function<void()>> posted;
        {
            const std::lock_guard guard(m_mutex);
            posted = std::exchange(m_posted, {});
        }
        for (const auto& work : posted)
            work();
    }

    std::uint32_t m_size;
    std::uint64_t m_snapshotEvery;
    std::uint64_t m_seed;
    std::vector<packet> m_messages;
    std::multimap<instant, packet> m_inFlight; ///< By the time of arrival.
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::function<void()>> m_posted;
};

} // namespace poplardeal::test
