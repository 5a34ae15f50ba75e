#pragma once

#include "process/control_links.h"
#include "request/call_router.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <poplardeal/wire/http.h>
#include <string>
#include <utility>
#include <vector>

namespace poplardeal::detail {

/// Body of `GET /v1/status` of an entry.
nlohmann::ordered_json entryStatus(
    const std::string& name, const control_links&, const call_router&, bool isStopping, instant now);

/// Counters of an entry in the Prometheus text format.
std::string entryMetrics(const control_links&, const call_router&);

/// Counters and the process's own CPU time and memory in the Prometheus text format.
std::string exposeCounters(const std::vector<std::pair<const char*, std::uint64_t>>&);

http_response jsonResponse(const nlohmann::ordered_json&);
http_response textResponse(std::string);
/// Answer to a request that arrives after the entry has stopped taking them.
http_response stoppingResponse();

} // namespace poplardeal::detail
