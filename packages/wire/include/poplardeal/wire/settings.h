#pragma once

#include <cstdint>
#include <optional>
#include <poplardeal/base/failure.h>
#include <poplardeal/base/ids.h>
#include <poplardeal/base/log.h>
#include <poplardeal/wire/address.h>
#include <string>
#include <vector>

namespace poplardeal {

enum class daemon_role {
    control,
    entry,
    sidecar,
};

/// One voter of the control group.
struct control_peer {
    replica_id replica;
    address listen; ///< Frames.
    address http;

    friend bool operator==(const control_peer&, const control_peer&) = default;
};

struct control_settings {
    replica_id replica;
    bool bootstrap { false }; ///< Set by the command line only: an empty data folder starts a new group.
    std::string dataFolder;
    address listen; ///< Frames.
    address http;
    std::vector<control_peer> peers; ///< All voters, including this one.
};

struct entry_settings {
    address http;
    address listen; ///< Frames; endpoint sidecars dial it.
    std::vector<address> controls;
};

enum class sidecar_kind {
    worker,
    endpoint,
};

struct sidecar_settings {
    sidecar_kind beside { sidecar_kind::worker };
    address target; ///< HTTP of the worker or runner.
    std::vector<address> controls;
    std::vector<address> entries; ///< Beside an endpoint only.
    rack_name rack; ///< Beside a worker only.
    service_name service; ///< Beside an endpoint only.
    std::uint32_t slots { 8 };
    std::uint32_t connections { 64 };
    std::optional<address> http; ///< Health and metrics.
};

/// Settings of one daemon. Exactly the member named by `role` is set.
struct daemon_settings {
    daemon_role role { daemon_role::control };
    std::string name;
    data_centre_name dataCentre;
    std::string logFile; ///< Empty: standard error.
    log_level logLevel { log_level::info };
    std::optional<control_settings> control;
    std::optional<entry_settings> entry;
    std::optional<sidecar_settings> sidecar;
};

/// Reads and checks the TOML settings of a daemon. Nothing is created or changed. A failure is `io_error` if the file
/// cannot be read and `invalid_argument` otherwise, with the message "FILE:LINE: KEY: REASON".
///
///     role = "entry"
///     name = "entry-1"
///     data_centre = "kariakoo"
///     log_level = "info"           # debug | info | warning | error; info if absent
///
///     [entry]
///     http = "127.0.0.1:8080"
///     listen = "127.0.0.1:7100"
///     controls = ["127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003"]
result<daemon_settings> readSettings(const std::string& path);

/// The same from a text; `source` stands for FILE in messages.
result<daemon_settings> parseSettings(const std::string& text, const std::string& source);

} // namespace poplardeal
