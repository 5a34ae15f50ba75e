#pragma once

#include <condition_variable>
#include <deque>
#include <filesystem>
#include <iostream>
#include <map>
#include <mutex>
#include <poplardeal/consensus/replica.h>
#include <thread>
#include <unistd.h>

namespace poplardeal::bench {

inline instant realNow()
{
    return instant(std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// Folder that is removed at the end.
class scratch_folder {
public:
    scratch_folder()
    {
        auto pattern = (std::filesystem::temp_directory_path() / "poplardeal-bench-XXXXXX").string();
        if (!::mkdtemp(pattern.data()))
            std::abort();
        m_path = pattern;
    }
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;
    ~scratch_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
    const std::filesystem::path& path() const { return m_path; }

private:
    std::filesystem::path m_path;
};

/// Counts what it applies.
class counting_machine final : public state_machine {
public:
    std::string apply(std::uint64_t, std::string_view) override { return std::to_string(++m_count); }
    std::string takeSnapshot() const override { return std::to_string(m_count); }
    result<void> installSnapshot(std::string_view text) override
    {
        m_count = std::stoull(std::string(text));
        return success();
    }

private:
    std::uint64_t m_count { 0 };
};

/// Replicas on one thread with the real clock and disk. Messages are delivered at once.
class bench_group {
public:
    bench_group(std::uint32_t size, std::uint64_t seed, std::uint64_t snapshotEvery)
        : m_size(size)
        , m_seed(seed)
        , m_snapshotEvery(snapshotEvery)
    {
    }
    bench_group(const bench_group&) = delete;
    bench_group& operator=(const bench_group&) = delete;
    ~bench_group() { replicas.clear(); }

    void start(std::uint32_t number, bool bootstrap)
    {
        const replica_id id(number);
        replica_options options;
        options.self = id;
        for (std::uint32_t voter = 1; voter <= m_size; ++voter)
            options.voters.push_back(replica_id(voter));
        options.dataFolder = folder.path() / std::to_string(number);
        options.seed = ++m_seed;
        options.snapshotEvery = m_snapshotEvery;
        options.bootstrap = bootstrap;
        replica_environment environment;
        environment.send = [this, id](replica_id to, std::string bytes) {
            sentBytes[id] += bytes.size();
            m_messages.push_back({ id, to, std::move(bytes) });
        };
        environment.post = [this](std::function<void()> work) {
            const std::lock_guard guard(m_mutex);
            m_posted.push_back(std::move(work));
            m_wake.notify_one();
        };
        m_machines[number] = counting_machine();
        auto opened = replica::open(options, environment, m_machines[number], realNow());
        if (!opened) {
            std::cerr << "open: " << opened.error().message << "\n";
            std::abort();
        }
        replicas[number] = std::move(opened.value());
    }

    void startAll(bool bootstrap)
    {
        for (std::uint32_t number = 1; number <= m_size; ++number)
            start(number, bootstrap);
    }

    template <class Condition> void runUntil(Condition condition)
    {
        while (!condition())
            runOnce();
    }

    /// Number of the replica that holds the leader lease, 0 if there is none.
    std::uint32_t leader() const
    {
        for (const auto& [number, r] : replicas) {
            if (r->holdsLeaderLease(realNow()))
                return number;
        }
        return 0;
    }

    scratch_folder folder;
    std::map<replica_id, std::size_t> sentBytes;

private:
    struct packet {
        replica_id from;
        replica_id to;
        std::string bytes;
    };

    void runOnce()
    {
        std::deque<std::function<void()>> posted;
        {
            std::unique_lock lock(m_mutex);
            if (m_messages.empty())
                m_wake.wait_until(lock, m_nextTick, [this] { return !m_posted.empty(); });
            posted = std::exchange(m_posted, {});
        }
        for (const auto& work : posted)
            work();
        for (auto& m : std::exchange(m_messages, {})) {
            const auto to = replicas.find(m.to.value());
            if (to != replicas.end())
                to->second->receive(m.from, m.bytes, realNow());
        }
        if (std::chrono::steady_clock::now() < m_nextTick)
            return;
        m_nextTick = std::chrono::steady_clock::now() + std::chrono::milliseconds(20);
        for (auto& [number, r] : replicas)
            r->tick(realNow());
    }

    std::uint32_t m_size;
    std::uint64_t m_seed;
    std::uint64_t m_snapshotEvery;
    std::map<std::uint32_t, counting_machine> m_machines;

public:
    std::map<std::uint32_t, std::unique_ptr<replica>> replicas;

private:
    std::vector<packet> m_messages;
    std::chrono::steady_clock::time_point m_nextTick;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::function<void()>> m_posted;
};

} // namespace poplardeal::bench
