// Measures commit rate and latency, takeover after the loss of a leader, and recovery, on the real disk. Writes JSON
// lines.

#include "bench_group.h"
#include <algorithm>
#include <cmath>
#include <fcntl.h>
#include <fstream>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <random>

DEFINE_string(out, "", "File to which the JSON lines are appended; standard output if empty");
DEFINE_uint64(seed, 20261204, "Seed of the election timeouts and pauses");
DEFINE_double(scale, 1, "Factor on the number of proposals, leader losses and entries");
DEFINE_string(data, "", "Folder for the data; the temporary folder if empty");

namespace poplardeal::bench {

using steady = std::chrono::steady_clock;

constexpr std::size_t payloadBytes = 256;

static double millisSince(steady::time_point start)
{
    return std::chrono::duration<double, std::milli>(steady::now() - start).count();
}

static std::size_t scaled(std::size_t count)
{
    return std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(count) * FLAGS_scale));
}

static double percentile(std::vector<double> samples, double share)
{
    std::sort(samples.begin(), samples.end());
    const auto position = static_cast<std::size_t>(std::ceil(share * static_cast<double>(samples.size() - 1)));
    return samples[position];
}

class reporter {
public:
    reporter()
    {
        if (!FLAGS_out.empty())
            m_file.open(FLAGS_out, std::ios::app);
    }

    /// `baseline` 0: there is nothing to compare with.
    void report(const std::string& name, double value, const std::string& unit, double baseline)
    {
        nlohmann::ordered_json line;
        line["name"] = "consensus." + name;
        line["value"] = value;
        line["unit"] = unit;
        line["baseline"] = nullptr;
        line["ratio"] = nullptr;
        if (baseline > 0) {
            line["baseline"] = baseline;
            line["ratio"] = value / baseline;
        }
        line["seed"] = FLAGS_seed;
        line["scale"] = FLAGS_scale;
        (FLAGS_out.empty() ? std::cout : m_file) << line.dump() << std::endl;
    }

private:
    std::ofstream m_file;
};

struct commit_figures {
    double perSecond { 0 };
    std::vector<double> latencies; ///< Milliseconds.
};

/// A bare loop of one write and one sync, the least that a durable answer costs.
static commit_figures measureBareSync(std::size_t count)
{
    const scratch_folder folder;
    const auto path = folder.path() / "file";
    const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const std::string payload(payloadBytes, 'x');
    commit_figures out;
    const auto start = steady::now();
    for (std::size_t i = 0; i < count; ++i) {
        const auto before = steady::now();
        if (::write(file, payload.data(), payload.size()) < 0 || ::fdatasync(file) != 0)
            std::abort();
        out.latencies.push_back(millisSince(before));
    }
    out.perSecond = static_cast<double>(count) * 1000 / millisSince(start);
    ::close(file);
    return out;
}

/// Keeps `outstanding` proposals in flight at the leader of three replicas.
static commit_figures measureCommits(std::size_t count, std::size_t outstanding)
{
    bench_group group(3, FLAGS_seed, 1U << 30);
    group.startAll(true);
    group.runUntil([&] { return group.leader() != 0; });
    auto& leader = *group.replicas[group.leader()];
    commit_figures out;
    std::size_t proposed = 0;
    std::size_t open = 0;
    std::size_t failed = 0;
    const auto start = steady::now();
    while (out.latencies.size() + failed < count) {
        const auto answered = out.latencies.size() + failed;
        for (; open < outstanding && proposed < count; ++proposed) {
            ++open;
            leader.propose(std::string(payloadBytes, 'x'), realNow(),
                [&, before = steady::now()](const result<std::string>& answer) {
                    --open;
                    if (answer)
                        out.latencies.push_back(millisSince(before));
                    else
                        ++failed;
                });
        }
        group.runUntil([&] { return out.latencies.size() + failed > answered; });
    }
    out.perSecond = static_cast<double>(out.latencies.size()) * 1000 / millisSince(start);
    if (failed != 0)
        std::cerr << failed << " proposals failed: leadership was lost\n";
    return out;
}

static void reportCommits(
    reporter& out, const std::string& name, const commit_figures& measured, const commit_figures& bare)
{
    out.report(name + ".rate", measured.perSecond, "proposals/s", bare.perSecond);
    out.report(name + ".p50", percentile(measured.latencies, 0.5), "ms", percentile(bare.latencies, 0.5));
    out.report(name + ".p99", percentile(measured.latencies, 0.99), "ms", percentile(bare.latencies, 0.99));
}

/// Proposes at whichever replica leads until a proposal is accepted.
static void commitOne(bench_group& group)
{
    bool accepted = false;
    bool waiting = false;
    group.runUntil([&] {
        if (accepted || waiting)
            return accepted;
        for (const auto& [number, r] : group.replicas) {
            if (!r->isLeader())
                continue;
            waiting = true;
            r->propose("x", realNow(), [&](const result<std::string>& answer) {
                accepted = answer.has_value();
                waiting = false;
            });
            break;
        }
        return accepted;
    });
}

/// Milliseconds from the kill of each of a series of leaders to the next accepted proposal.
static std::vector<double> measureTakeovers(std::size_t losses, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    bench_group group(3, seed, 10000);
    group.startAll(true);
    commitOne(group);
    std::vector<double> out;
    for (std::size_t i = 0; i < losses; ++i) {
        // The kill falls anywhere between two heartbeats.
        const auto pause = steady::now() + std::chrono::milliseconds(300 + random() % 150);
        group.runUntil([&] { return steady::now() >= pause && group.leader() != 0; });
        const auto lost = group.leader();
        const auto start = steady::now();
        group.replicas.erase(lost);
        commitOne(group);
        out.push_back(millisSince(start));
        group.start(lost, false);
        group.runUntil([&] {
            const auto leader = group.leader();
            return leader != 0 && group.replicas[lost]->appliedIndex() >= group.replicas[leader]->commitIndex();
        });
    }
    return out;
}

static void reportTakeovers(reporter& out)
{
    // Independent groups run side by side, because most of a takeover is waiting.
    constexpr std::size_t groups = 10;
    std::vector<std::vector<double>> samples(groups);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < groups; ++i)
        threads.emplace_back([&, i] { samples[i] = measureTakeovers(scaled(20), FLAGS_seed + i * 1000); });
    for (auto& thread : threads)
        thread.join();
    std::vector<double> all;
    for (const auto& some : samples)
        all.insert(all.end(), some.begin(), some.end());
    constexpr double goal = 1500;
    out.report("takeover.p50", percentile(all, 0.5), "ms", 0);
    out.report("takeover.p99_against_goal", percentile(all, 0.99), "ms", goal);
    out.report("takeover.max", percentile(all, 1), "ms", 0);
    out.report("takeover.losses", static_cast<double>(all.size()), "losses", 0);
}

/// Milliseconds to read all files of a folder.
static double measureRead(const std::filesystem::path& folder)
{
    const auto start = steady::now();
    std::size_t bytes = 0;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        std::string text(entry.file_size(), '\0');
        std::ifstream(entry.path(), std::ios::binary).read(text.data(), static_cast<std::streamsize>(text.size()));
        bytes += text.size();
    }
    return bytes == 0 ? 0 : millisSince(start);
}

static void reportRecovery(reporter& out, std::size_t entries)
{
    bench_group group(1, FLAGS_seed, 1U << 30);
    group.startAll(true);
    group.runUntil([&] { return group.leader() != 0; });
    std::size_t answered = 0;
    for (std::size_t i = 0; i < entries; ++i) {
        group.replicas[1]->propose(
            std::string(payloadBytes, 'x'), realNow(), [&](const result<std::string>&) { ++answered; });
        if (i % 500 == 499)
            group.runUntil([&] { return answered > i; });
    }
    group.runUntil([&] { return answered == entries; });
    const auto applied = group.replicas[1]->appliedIndex();
    group.replicas.clear();
    const auto baseline = measureRead(group.folder.path() / "1");
    const auto start = steady::now();
    group.start(1, false);
    group.runUntil([&] { return group.replicas[1]->appliedIndex() >= applied; });
    out.report("recovery." + std::to_string(entries), millisSince(start), "ms", baseline);
}

/// Bytes that the leader of an idle group sends to each follower, each second.
static void reportIdleTraffic(reporter& out)
{
    bench_group group(3, FLAGS_seed, 10000);
    group.startAll(true);
    commitOne(group);
    const auto leader = replica_id(group.leader());
    const auto before = group.sentBytes[leader];
    const auto start = steady::now();
    group.runUntil([&] { return millisSince(start) >= 3000; });
    const auto bytes = static_cast<double>(group.sentBytes[leader] - before);
    out.report("idle_traffic", bytes / 2 * 1000 / millisSince(start), "bytes/s", 0);
}

static void append(commit_figures& total, const commit_figures& round, double rounds)
{
    total.perSecond += round.perSecond / rounds;
    total.latencies.insert(total.latencies.end(), round.latencies.begin(), round.latencies.end());
}

/// Rounds of the bare loop alternate with those of the group: a shared disk is slow at times.
static void reportAllCommits(reporter& out)
{
    constexpr int rounds = 5;
    commit_figures bare;
    commit_figures single;
    commit_figures batched;
    commit_figures manyBatched;
    for (int round = 0; round < rounds; ++round) {
        append(bare, measureBareSync(scaled(1000)), rounds);
        append(single, measureCommits(scaled(1000), 1), rounds);
        append(batched, measureCommits(scaled(10000), 64), rounds);
        append(manyBatched, measureCommits(scaled(50000), 1024), rounds);
    }
    reportCommits(out, "bare_sync", bare, bare);
    reportCommits(out, "one_by_one", single, bare);
    reportCommits(out, "batched_64", batched, bare);
    reportCommits(out, "batched_1024", manyBatched, bare);
}

static int run()
{
    if (!FLAGS_data.empty())
        ::setenv("TMPDIR", FLAGS_data.c_str(), 1);
    reporter out;
    reportAllCommits(out);
    for (const std::size_t entries : { 1000, 10000, 100000 })
        reportRecovery(out, scaled(entries));
    reportIdleTraffic(out);
    reportTakeovers(out);
    return 0;
}

} // namespace poplardeal::bench

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Measures the consensus package on the disk of the data folder.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return poplardeal::bench::run();
}
