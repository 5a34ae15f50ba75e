#include <cstdio>
#include <cstdlib>
#include <gflags/gflags.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <poplardeal/base/log.h>
#include <poplardeal/control/control_role.h>
#include <poplardeal/daemon/endpoint_sidecar.h>
#include <poplardeal/daemon/entry_role.h>
#include <poplardeal/daemon/worker_sidecar.h>
#include <poplardeal/fleet/queue_control.h>
#include <poplardeal/fleet/queue_entry.h>
#include <poplardeal/fleet/queue_sidecar.h>
#include <poplardeal/fleet/settings.h>
#include <poplardeal/platform/adapter.h>
#include <poplardeal/wire/event_loop.h>
#include <poplardeal/wire/reload_signal.h>
#include <poplardeal/wire/settings.h>
#include <utility>

DEFINE_string(settings, "", "settings file (TOML)");
DEFINE_bool(check, false, "only validate the settings: exit 0, or 2 with file, line, key and reason");

DEFINE_bool(
    bootstrap, false, "control only: first start of a brand-new group, with an empty data folder; never give it again");

namespace poplardeal {
namespace {

    constexpr int exitDone = 0;
    constexpr int exitFailed = 1;
    constexpr int exitBadInput = 2;

    /// Runs one role until it has stopped gracefully.
    template <class Role> int runRole(event_loop& loop, const daemon_settings& settings)
    {
        auto role = Role::start(loop, settings);
        if (role.has_error()) {
            logEvent(log_level::error, "start_refused",
                { { "code", toString(role.error().code) }, { "reason", role.error().message } });
            std::fprintf(stderr, "poplardeald: %s\n", role.error().message.c_str());
            return role.error().code == failure_code::locked ? exitBadInput : exitFailed;
        }
        bool stopping = false;
        loop.onTerminate([&] {
            if (stopping)
                return;
            stopping = true;
            logEvent(log_level::info, "stop_requested");
            role.value()->stop([&] { loop.quit(); });
        });
        logEvent(log_level::info, "daemon_started");
        loop.run();
        logEvent(log_level::info, "daemon_stopped");
        if constexpr (requires { role.value()->failed(); })
            return role.value()->failed() ? exitFailed : exitDone;
        return exitDone;
    }

    int runDaemon(const daemon_settings& settings)
    {
        initLogging({ settings.name, settings.dataCentre.value(), settings.logFile, settings.logLevel });
        event_loop loop;
        if (settings.control)
            return runRole<control_role>(loop, settings);
        if (settings.entry)
            return runRole<entry_role>(loop, settings);
        if (settings.sidecar->beside == sidecar_kind::worker)
            return runRole<worker_sidecar>(loop, settings);
        return runRole<endpoint_sidecar>(loop, settings);
    }

    /// Runs one queue process until it has stopped gracefully. SIGHUP reads the settings file again.
    template <class Role> int runQueueRole(event_loop& loop, const fleet_settings& settings, const std::string& path)
    {
        auto role = Role::start(loop, settings, makeAnyPlatformAdapter(platform::adapter()));
        if (role.has_error()) {
            logEvent(log_level::error, "start_refused",
                { { "code", toString(role.error().code) }, { "reason", role.error().message } });
            return role.error().code == failure_code::locked ? exitBadInput : exitFailed;
        }
        bool stopping = false;
        loop.onTerminate([&] {
            if (std::exchange(stopping, true))
                return;
            logEvent(log_level::info, "stop_requested");
            role.value()->stop([&] { loop.quit(); });
        });
        loop.onReload([&] {
            const auto changed = readFleetSettings(path);
            if (changed.has_error())
                return logEvent(log_level::error, "reload_refused", { { "reason", changed.error().message } });
            logEvent(log_level::info, "settings_reloaded", { { "seeds", changed.value().seeds.size() } });
            role.value()->reload(changed.value());
        });
        logEvent(log_level::info, "daemon_started");
        loop.run();
        logEvent(log_level::info, "daemon_stopped");
        if constexpr (requires { role.value()->failed(); })
            return role.value()->failed() ? exitFailed : exitDone;
        return exitDone;
    }

    int runQueueDaemon(const std::string& path, bool checkOnly)
    {
        const auto settings = readFleetSettings(path);
        if (settings.has_error()) {
            std::fprintf(stderr, "poplardeald: %s\n", settings.error().message.c_str());
            return exitBadInput;
        }
        if (checkOnly) {
            std::printf("%s: valid settings of %s\n", path.c_str(), settings.value().name.c_str());
            return exitDone;
        }
        const auto& known = settings.value();
        log_options log { known.name, known.dataCentre.value(), {}, known.logLevel };
        log.toStandardOutput = true;
        initLogging(log);
        event_loop loop;
        switch (known.role) {
        case fleet_role::queue_control:
            return runQueueRole<queue_control>(loop, known, path);
        case fleet_role::queue_entry:
            return runQueueRole<queue_entry>(loop, known, path);
        case fleet_role::queue_sidecar:
            return runQueueRole<queue_sidecar>(loop, known, path);
        }
        return exitFailed;
    }

    /// Runs the role that the settings name and returns the exit code.
    int runSettings(const std::string& path)
    {
        if (isFleetSettings(path))
            return runQueueDaemon(path, FLAGS_check);
        auto settings = readSettings(path);
        if (settings.has_error()) {
            std::fprintf(stderr, "poplardeald: %s\n", settings.error().message.c_str());
            return exitBadInput;
        }
        if (FLAGS_check) {
            std::printf("%s: valid settings of %s\n", path.c_str(), settings.value().name.c_str());
            return exitDone;
        }
        if (FLAGS_bootstrap && settings.value().control)
            settings.value().control->bootstrap = true;
        return runDaemon(settings.value());
    }

} // namespace
} // namespace poplardeal

int main(int argc, char** argv)
{
    poplardeal::deferReload();
    gflags::SetUsageMessage(
        "--settings FILE [--check]\n\nRuns one process of poplardeal in the role that its settings name.\n"
        "Example: poplardeald --settings /etc/poplardeal/control-1.toml");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_settings.empty()) {
        std::fprintf(stderr, "poplardeald: --settings FILE is missing; see poplardeald --help\n");
        return poplardeal::exitBadInput;
    }
    const int code = poplardeal::runSettings(FLAGS_settings);
    // The role has ended and its data is stored. The threads of log4cplus are not waited for: a thread that does not
    // come back would keep the process, and with it its successor, from their work.
    std::fflush(nullptr);
    std::_Exit(code);
}
