#pragma once

#include <cstdint>
#include <filesystem>
#include <optional>
#include <poplardeal/base/failure.h>
#include <poplardeal/base/ids.h>
#include <poplardeal/base/log.h>
#include <poplardeal/wire/address.h>
#include <string>
#include <vector>

namespace poplardeal {

/// Addresses of one member of the control group.
struct control_peer {
    replica_id replica;
    address listen; ///< For frames.
    address http;
};

struct control_settings {
    replica_id replica;
    std::filesystem::path dataFolder;
    address listen;
    address http;
    std::vector<control_peer> peers; ///< All voters, this replica included.
};

struct entry_settings {
    address http; ///< For callers.
    address listen; ///< For the frames of endpoint sidecars.
    std::vector<address> controls;
};

/// What a sidecar runs beside.
enum class sidecar_target {
    worker,
    endpoint,
};

struct sidecar_settings {
    sidecar_target beside { sidecar_target::worker };
    address target; ///< HTTP address of the worker or runner.
    std::vector<address> controls;
    std::vector<address> entries; ///< Endpoint only.
    rack_name rack; ///< Worker only.
    service_name service; ///< Endpoint only.
    std::uint32_t slots { 8 }; ///< Endpoint only: requests in the runner at the same time.
    std::uint32_t connections { 64 }; ///< Endpoint only: requests held here at the same time.
};

/// Settings of one daemon. Exactly one of the three roles is set.
struct daemon_settings {
    std::string name;
    data_centre_name dataCentre;
    std::string logFile; ///< Empty: standard error.
    log_level logLevel { log_level::info };
    std::optional<control_settings> control;
    std::optional<entry_settings> entry;
    std::optional<sidecar_settings> sidecar;
};

/// Reads a settings file. Unknown and missing keys, wrong types, values out of range, addresses that are not IP numbers
/// and a missing data folder are refused with `invalid_argument` and "FILE:LINE: KEY: reason".
///
///     auto settings = readSettings("/etc/poplardeal/entry-1.toml");
result<daemon_settings> readSettings(const std::filesystem::path&);

/// The same from a text; `source` names it in errors.
result<daemon_settings> parseSettings(const std::string& toml, const std::string& source);

} // namespace poplardeal
