#include "load.h"

#include <array>
#include <cstdio>
#include <fstream>
#include <gflags/gflags.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <poplardeal/daemon/endpoint_sidecar.h>
#include <poplardeal/daemon/entry_role.h>
#include <poplardeal/routing/random_choice.h>

DEFINE_string(out, "", "file to append JSON lines to; standard output if empty");
DEFINE_uint64(seed, 20261204, "seed of the baseline's random choices");
DEFINE_int32(seconds, 4, "length of each load run");
DEFINE_string(only, "", "latency, overload, slow or black_hole: run only this part");
DEFINE_int32(calls, 3000, "requests of the latency run");

namespace poplardeal::bench {
namespace {

    constexpr int runnerCount = 4;
    constexpr int slotsPerRunner = 8;
    constexpr duration runTime = std::chrono::milliseconds(320);
    constexpr duration callerDeadline = std::chrono::milliseconds(1600);
    // Requests per second that the runners can finish.
    constexpr double capacity = runnerCount * slotsPerRunner / 0.32;
    const address anyPort { "127.0.0.1", 0 };
    const service_name desk("desk");

    void report(const std::string& name, double value, const std::string& unit, double baseline, double ratio)
    {
        const nlohmann::ordered_json line { { "name", "request." + name }, { "value", value }, { "unit", unit },
            { "baseline", baseline }, { "ratio", ratio }, { "seed", FLAGS_seed },
            { "scale", std::to_string(runnerCount) + " runners of 8 slots" } };
        const auto text = line.dump() + "\n";
        if (FLAGS_out.empty())
            std::fputs(text.c_str(), stdout);
        else
            std::ofstream(FLAGS_out, std::ios::app) << text;
    }

    enum class odd_runner {
        none,
        slow, ///< The first runner takes ten times as long.
        black_hole, ///< The first runner answers at once with status 500.
    };

    /// Runners on one thread, sidecars on a second, the entry on a third; callers use a fourth.
    class system_under_load {
    public:
        system_under_load(duration time, odd_runner odd)
        {
            m_runnerThread.run([&] { startRunners(time, odd); });
            m_entryThread.run([&] { startEntry(); });
            m_sidecarThread.run([&] { startSidecars(); });
            // Two periods of announcements.
            std::this_thread::sleep_for(std::chrono::seconds(1));
        }

        ~system_under_load()
        {
            m_sidecarThread.run([&] { m_sidecars.clear(); });
            m_entryThread.run([&] { m_entry.reset(); });
            m_runnerThread.run([&] { m_runners.clear(); });
        }

        system_under_load(const system_under_load&) = delete;
        system_under_load& operator=(const system_under_load&) = delete;

        const address& entry() const { return m_entryAddress; }
        const std::vector<address>& runners() const { return m_runnerAddresses; }

    private:
        void startRunners(duration time, odd_runner odd)
        {
            for (int i = 0; i < runnerCount; ++i) {
                const bool isSlow = i == 0 && odd == odd_runner::slow;
                m_runners.push_back(std::make_unique<model_runner>(
                    m_runnerThread.loop(), isSlow ? time * 10 : time, i == 0 && odd == odd_runner::black_hole));
                m_runnerAddresses.push_back(m_runners.back()->local());
            }
        }

        void startEntry()
        {
            daemon_settings settings;
            settings.role = daemon_role::entry;
            settings.name = "entry-1";
            settings.entry.emplace();
            settings.entry->http = anyPort;
            settings.entry->listen = anyPort;
            m_entry = std::move(entry_role::start(m_entryThread.loop(), settings).value());
            m_entryAddress = m_entry->httpAddress();
            m_frames = m_entry->frameAddress();
        }

        void startSidecars()
        {
            for (const auto& runner : m_runnerAddresses) {
                daemon_settings settings;
                settings.role = daemon_role::sidecar;
                settings.name = "endpoint-" + std::to_string(m_sidecars.size() + 1);
                settings.sidecar.emplace();
                settings.sidecar->beside = sidecar_kind::endpoint;
                settings.sidecar->service = desk;
                settings.sidecar->target = runner;
                settings.sidecar->entries = { m_frames };
                m_sidecars.push_back(std::move(endpoint_sidecar::start(m_sidecarThread.loop(), settings).value()));
            }
        }

        loop_thread m_runnerThread;
        loop_thread m_entryThread;
        loop_thread m_sidecarThread;
        std::vector<std::unique_ptr<model_runner>> m_runners;
        std::vector<address> m_runnerAddresses;
        std::unique_ptr<entry_role> m_entry;
        address m_entryAddress;
        address m_frames;
        std::vector<std::unique_ptr<endpoint_sidecar>> m_sidecars;
    };

    /// Half the rate from each of two threads: one HTTP client does not keep up with ten times the capacity.
    load_result runOpenLoad(double rate, const std::string& path, const target_function& target)
    {
        constexpr int threadCount = 2;
        std::array<loop_thread, threadCount> threads;
        std::array<std::unique_ptr<open_load>, threadCount> loads;
        std::array<std::promise<load_result>, threadCount> finished;
        for (std::size_t i = 0; i < threadCount; ++i) {
            threads[i].run([&, i] {
                loads[i] = std::make_unique<open_load>(threads[i].loop(), rate / threadCount,
                    std::chrono::seconds(FLAGS_seconds), callerDeadline, path, target,
                    [&finished, i](load_result result) { finished[i].set_value(std::move(result)); });
            });
        }
        load_result total;
        for (std::size_t i = 0; i < threadCount; ++i) {
            const auto part = finished[i].get_future().get();
            threads[i].run([&, i] { loads[i].reset(); });
            total.sent += part.sent;
            total.good += part.good;
            total.seconds = part.seconds;
            total.latencies.insert(total.latencies.end(), part.latencies.begin(), part.latencies.end());
        }
        std::ranges::sort(total.latencies);
        return total;
    }

    load_result runSerialLoad(const std::string& path, const address& target)
    {
        loop_thread callers;
        const auto finished = std::make_shared<std::promise<load_result>>();
        std::unique_ptr<serial_load> load;
        callers.run([&] {
            load = std::make_unique<serial_load>(callers.loop(), FLAGS_calls, path, target,
                [finished](load_result result) { finished->set_value(std::move(result)); });
        });
        auto result = finished->get_future().get();
        callers.run([&] { load.reset(); });
        return result;
    }

    /// Requests at `share` of the capacity through the entry.
    load_result runThroughEntry(const system_under_load& system, double share)
    {
        return runOpenLoad(capacity * share, "/v1/call/desk/x", [&] { return system.entry(); });
    }

    /// The same straight to the runners: random choice, no limits, no retries.
    load_result runBaseline(const system_under_load& system, double share)
    {
        membership_table table({});
        for (std::size_t i = 0; i < system.runners().size(); ++i) {
            announcement report;
            report.endpoint = endpoint_id(std::to_string(i));
            report.service = desk;
            report.process = incarnation(1);
            report.sequence = 1;
            table.take(report, instant());
        }
        random_chooser chooser(FLAGS_seed);
        std::mutex chooserMutex;
        return runOpenLoad(capacity * share, "/x", [&] {
            const std::lock_guard lock(chooserMutex);
            const auto chosen = chooser.choose(table, desk, instant());
            return system.runners().at(std::stoul(chosen->value()));
        });
    }

    void benchLatency()
    {
        const system_under_load system(duration(0), odd_runner::none);
        const auto direct = runSerialLoad("/x", system.runners().front());
        const auto routed = runSerialLoad("/v1/call/desk/x", system.entry());
        for (const auto& [name, share] : { std::pair("p50", 0.5), std::pair("p99", 0.99) }) {
            const auto added = routed.percentile(share) - direct.percentile(share);
            report(std::string("added_latency_") + name, added, "ms", direct.percentile(share),
                routed.percentile(share) / direct.percentile(share));
        }
    }

    void benchOverload()
    {
        double peak = 0;
        double baselinePeak = 0;
        for (const double share : { 0.95, 2.0, 10.0 }) {
            const auto own = runThroughEntry(system_under_load(runTime, odd_runner::none), share);
            const auto other = runBaseline(system_under_load(runTime, odd_runner::none), share);
            if (share < 1) {
                peak = own.goodput();
                baselinePeak = other.goodput();
                report("goodput_peak", peak, "1/s", baselinePeak, peak / baselinePeak);
                continue;
            }
            const auto name = "goodput_at_" + std::to_string(static_cast<int>(share)) + "x";
            report(name, own.goodput(), "1/s", other.goodput(), own.goodput() / std::max(1.0, other.goodput()));
            report(name + "_of_peak", own.goodput() / peak, "share", other.goodput() / baselinePeak,
                own.goodput() / peak / std::max(0.001, other.goodput() / baselinePeak));
        }
    }

    void benchOddRunner(const std::string& name, odd_runner odd)
    {
        constexpr double share = 0.6;
        const auto own = runThroughEntry(system_under_load(runTime, odd), share);
        const auto other = runBaseline(system_under_load(runTime, odd), share);
        const auto good = [](const load_result& result) {
            return static_cast<double>(result.good) / static_cast<double>(result.sent);
        };
        report(name + "_good_share", good(own), "share", good(other), good(own) / good(other));
        report(name + "_p99", own.percentile(0.99), "ms", other.percentile(0.99),
            own.percentile(0.99) / other.percentile(0.99));
    }

} // namespace
} // namespace poplardeal::bench

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("[--out FILE] measures the request path on loopback");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    using namespace poplardeal::bench;
    const auto isWanted = [](const char* part) { return FLAGS_only.empty() || FLAGS_only == part; };
    if (isWanted("latency"))
        benchLatency();
    if (isWanted("overload"))
        benchOverload();
    if (isWanted("slow"))
        benchOddRunner("one_slow_runner", odd_runner::slow);
    if (isWanted("black_hole"))
        benchOddRunner("one_black_hole", odd_runner::black_hole);
    return 0;
}
