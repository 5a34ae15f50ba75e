#pragma once

#include "process/control_links.h"
#include "request/call_router.h"
#include "request/request_runner.h"

#include <optional>
#include <poplardeal/base/failure.h>
#include <poplardeal/wire/settings.h>
#include <string>
#include <vector>

namespace poplardeal::detail {

struct entry_options {
    std::string name;
    std::string dataCentre;
    address http; ///< Where callers connect.
    address frames; ///< Where endpoint sidecars dial.
    std::vector<address> controls;
    std::uint64_t seed { 0 };
};

struct sidecar_options {
    std::string name;
    std::string dataCentre;
    std::string service;
    address runner;
    std::vector<address> entries;
    std::vector<address> controls;
    std::optional<address> http; ///< Health, status and metrics of the sidecar itself.
    limiter_settings limits;
    std::uint64_t seed { 0 };
};

/// `invalid_argument` if the settings are those of another role or lack an address.
result<entry_options> entryOptions(const daemon_settings&);
result<sidecar_options> sidecarOptions(const daemon_settings&);

message::helloT helloOf(const entry_options&);
message::helloT helloOf(const sidecar_options&);
control_links_settings controlLinksSettings(const entry_options&);
control_links_settings controlLinksSettings(const sidecar_options&);
/// `wallClock` is the time of the start.
call_router_settings callRouterSettings(const entry_options&, instant wallClock);
request_runner_settings requestRunnerSettings(const sidecar_options&);

} // namespace poplardeal::detail
