#include <cstdio>
#include <gflags/gflags.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <poplardeal/base/log.h>
#include <poplardeal/control/control_role.h>
#include <poplardeal/daemon/endpoint_sidecar.h>
#include <poplardeal/daemon/entry_role.h>
#include <poplardeal/daemon/worker_sidecar.h>
#include <poplardeal/wire/event_loop.h>
#include <poplardeal/wire/settings.h>

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

} // namespace
} // namespace poplardeal

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "--settings FILE [--check]\n\nRuns one process of poplardeal in the role that its settings name.\n"
        "Example: poplardeald --settings /etc/poplardeal/control-1.toml");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_settings.empty()) {
        std::fprintf(stderr, "poplardeald: --settings FILE is missing; see poplardeald --help\n");
        return poplardeal::exitBadInput;
    }
    auto settings = poplardeal::readSettings(FLAGS_settings);
    if (settings.has_error()) {
        std::fprintf(stderr, "poplardeald: %s\n", settings.error().message.c_str());
        return poplardeal::exitBadInput;
    }
    if (FLAGS_check) {
        std::printf("%s: valid settings of %s\n", FLAGS_settings.c_str(), settings.value().name.c_str());
        return poplardeal::exitDone;
    }
    if (FLAGS_bootstrap && settings.value().control)
        settings.value().control->bootstrap = true;
    return poplardeal::runDaemon(settings.value());
}
