#include "soak.h"
#include <cstdio>
#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "seed of the schedule");
DEFINE_uint32(count, 1, "number of schedules, with rising seeds");
DEFINE_uint32(seconds, 12, "time in which faults are injected, in seconds");
DEFINE_uint32(controls, 3, "control processes, 1 to 7");
DEFINE_uint32(entries, 2, "entry processes, 1 to 50");
DEFINE_uint32(sidecars, 4, "sidecar processes, each with a stand-in worker, 1 to 150");
DEFINE_uint32(
    network, 30, "second number of the loopback addresses, 1 to 254; differs for soaks that run side by side");
DEFINE_string(daemon, "", "path of poplardeald; by default the one beside this program");
DEFINE_string(control_daemon, "", "path of poplardeald-recorded; by default the one beside this program");
DEFINE_bool(extra, false,
    "also lose two disks at once (5 controls or more), replace controls, silence all connections at once, and lose the "
    "disks that may be lost at the end");
DEFINE_bool(full_disks, false, "also fill the disks of controls for up to 4 s, one or several at a time");
DEFINE_bool(limited, false,
    "processes have shares of a core, 0.4 (control), 0.12 (entry) and 0.15 (sidecar), and entries links of 2 Mbit/s");
DEFINE_bool(keep, false, "keep settings, data and logs also when every promise held");

namespace poplardeal::soak {
namespace {

    bool runOne(std::uint64_t seed, const std::string& daemon, const std::string& controlDaemon)
    {
        soak_options options;
        options.seed = seed;
        options.faults = std::chrono::seconds(FLAGS_seconds);
        options.hasExtraFaults = FLAGS_extra;
        options.hasFullDisks = FLAGS_full_disks;
        options.size.controls = FLAGS_controls;
        options.size.entries = FLAGS_entries;
        options.size.sidecars = FLAGS_sidecars;
        options.size.network = FLAGS_network;
        options.size.isLimited = FLAGS_limited;
        options.daemon = daemon;
        options.controlDaemon = controlDaemon;
        auto pattern = (std::filesystem::temp_directory_path() / "poplardeal-soak-XXXXXX").string();
        if (::mkdtemp(pattern.data()) == nullptr) {
            std::perror("poplardeal-soak: no folder for logs");
            return false;
        }
        options.folder = std::filesystem::canonical(pattern);
        event_loop loop;
        const auto report = soak(loop, options).run();
        for (const auto& each : report.broken)
            std::printf("broken: %s\n", each.c_str());
        std::printf("seed %llu: %zu faults, %zu jobs accepted, %zu starts, %zu plans: %s\n",
            static_cast<unsigned long long>(seed), report.faults.size(), report.accepted, report.starts, report.plans,
            report.broken.empty() ? "every promise held" : "FAILED");
        if (!report.broken.empty() || FLAGS_keep) {
            for (const auto& each : report.faults)
                std::printf("  %s\n", each.c_str());
            std::printf("  logs: %s\n", options.folder.c_str());
        } else {
            std::filesystem::remove_all(options.folder);
        }
        std::fflush(stdout);
        return report.broken.empty();
    }

} // namespace
} // namespace poplardeal::soak

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "[--seed N] [--count N] [--seconds N]\n\nRuns the daemons as processes on loopback, injects faults by a "
        "seeded schedule and checks what callers, operators and workers are promised.\n"
        "Exit code 0 if every promise held, 1 otherwise, 2 for bad arguments.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const bool isValid = FLAGS_controls >= 1 && FLAGS_controls <= 7 && FLAGS_entries >= 1 && FLAGS_entries <= 50
        && FLAGS_sidecars >= 1 && FLAGS_sidecars <= 150 && FLAGS_network >= 1 && FLAGS_network <= 254;
    if (!isValid) {
        std::fprintf(stderr, "poplardeal-soak: a number is out of its range; see poplardeal-soak --help\n");
        return 2;
    }
    const auto folder = std::filesystem::canonical("/proc/self/exe").parent_path();
    const auto daemon = FLAGS_daemon.empty() ? (folder / "poplardeald").string() : FLAGS_daemon;
    const auto controlDaemon
        = FLAGS_control_daemon.empty() ? (folder / "poplardeald-recorded").string() : FLAGS_control_daemon;
    bool held = true;
    try {
        for (std::uint32_t i = 0; i < FLAGS_count; ++i)
            held = poplardeal::soak::runOne(FLAGS_seed + i, daemon, controlDaemon) && held;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "poplardeal-soak: %s\n", error.what());
        return 1;
    }
    return held ? 0 : 1;
}
