#pragma once

#include <poplardeal/base/failure.h>
#include <poplardeal/base/ids.h>
#include <poplardeal/base/log.h>
#include <poplardeal/base/time.h>
#include <poplardeal/jobs/run_timing.h>
#include <poplardeal/jobs/work_order.h>
#include <poplardeal/wire/address.h>
#include <poplardeal/wire/http.h>
#include <string>
#include <vector>

namespace poplardeal {

enum class fleet_role {
    queue_control, ///< A replica of the control group: stores queues and jobs on disk and schedules them.
    queue_entry, ///< Accepts clients' calls and passes them to control.
    queue_sidecar, ///< Runs beside one worker and connects it to control.
};

/// Settings of a process that serves queues. Processes find control through the seeds and need no list of each other.
struct fleet_settings {
    fleet_role role { fleet_role::queue_control };
    std::string name;
    data_centre_name dataCentre;
    std::string ip; ///< Address at which other machines reach this one.
    std::string listenIp; ///< Address to listen on for frames; differs from `ip` only behind address translation.
    std::uint16_t framePort { 0 }; ///< Port on which controls accept frames, the same on all machines.
    std::uint16_t metricsPort { 0 }; ///< 0: metrics are not served.
    address http; ///< Listens for clients (entry), operators (control) or the worker's announcements (sidecar).
    address ready; ///< Entry only: listens for readiness checks of the load balancer.
    address worker; ///< Sidecar only: where its worker listens. Optional.
    std::vector<address> seeds; ///< HTTP addresses of some controls; may be out of date.
    std::string dataFolder; ///< Control only.
    bool bootstrap { false }; ///< Control only: this is the first start of a new control group.
    std::size_t toleratedLosses { 1 }; ///< Control only: controls that may be lost at once, with their disks.
    std::uint64_t snapshotEvery {
        4000
    }; ///< Control only: in log entries. A restart replays them in well under a second.
    duration leaseLength { std::chrono::seconds(6) }; ///< Longest lease that workers accept.
    duration stopGrace { std::chrono::seconds(6) }; ///< Time from SIGTERM to SIGKILL.
    double distanceFactor { 3 }; ///< Factor on the run time of a task that runs away from its step's data.
    bool usesExpectedTimes { false }; ///< Control only: `planner_options::usesExpectedTimes`.
    run_timing timing; ///< Control only.
    bool weighsPreemptions { false }; ///< Control only: `planner_options::weighsPreemptions`.
    bool separatesInterfering { false }; ///< Control only: `planner_options::separatesInterfering`.
    work_order workOrder { work_order::deadline }; ///< Control only: order of waiting work.
    log_level logLevel { log_level::info };
    std::size_t memoryMegabytes { 120 }; ///< Of the machine; the default is that of the smallest one.
    std::size_t maxDescriptors { 3075 }; ///< Of the process; the default is that of the smallest machine.
    std::size_t maxConnections { 0 }; ///< Of clients; 0: a share of the descriptors.
    http_limits clientLimits; ///< For each connection of a client; `maxBodyBytes` is that of the server.
};

/// Reads and checks the TOML settings. A failure is `io_error` if the file cannot be read and `invalid_argument`
/// otherwise, with the message "FILE:LINE: KEY: REASON". Unknown keys are ignored, since the platform adds keys over
/// time.
result<fleet_settings> readFleetSettings(const std::string& path);
result<fleet_settings> parseFleetSettings(const std::string& text, const std::string& source);

/// True if the file can be read and its `role` is that of a `fleet_role`.
bool isFleetSettings(const std::string& path);

} // namespace poplardeal
