#pragma once

#include <poplardeal/base/failure.h>
#include <poplardeal/base/ids.h>
#include <poplardeal/base/log.h>
#include <poplardeal/base/time.h>
#include <poplardeal/wire/address.h>
#include <string>
#include <vector>

namespace poplardeal {

enum class fleet_role {
    queue_control, ///< Keeps and decides queues and jobs; has a disk.
    queue_entry, ///< Takes clients' calls.
    queue_sidecar, ///< Beside one worker.
};

/// Settings of a process that serves queues. Instances are found through seeds and need no list of each other.
struct fleet_settings {
    fleet_role role { fleet_role::queue_control };
    std::string name;
    data_centre_name dataCentre;
    std::string ip; ///< Of this machine, as others reach it.
    std::string listenIp; ///< Where frames are taken; the same as `ip` unless an address translation lies between.
    std::uint16_t framePort { 0 }; ///< Of control, the same on all machines.
    std::uint16_t metricsPort { 0 }; ///< 0: no metrics are served.
    address http; ///< Clients for an entry, operators for control, the worker's announcements for a sidecar.
    address ready; ///< Entry only: readiness checks of the load balancer.
    address worker; ///< Sidecar only: where its worker listens.
    std::vector<address> seeds; ///< HTTP addresses of some controls, perhaps stale.
    std::string dataFolder; ///< Control only.
    bool bootstrap { false }; ///< Control only: the whole system starts for the first time.
    duration leaseLength { std::chrono::seconds(6) }; ///< Longest lease that workers accept.
    duration stopGrace { std::chrono::seconds(6) }; ///< From SIGTERM until the process is killed.
    double distanceFactor { 3 }; ///< Run time multiplier away from a step's data.
    log_level logLevel { log_level::info };
};

/// Reads and checks the TOML settings. A failure is `io_error` if the file cannot be read and `invalid_argument`
/// otherwise, with the message "FILE:LINE: KEY: REASON". Unknown keys are ignored: the platform adds some over time.
result<fleet_settings> readFleetSettings(const std::string& path);
result<fleet_settings> parseFleetSettings(const std::string& text, const std::string& source);

/// True if the file's `role` is one of a queue process.
bool isFleetSettings(const std::string& path);

} // namespace poplardeal
