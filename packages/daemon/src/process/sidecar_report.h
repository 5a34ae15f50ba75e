#pragma once

#include "process/control_links.h"
#include "request/request_runner.h"

#include <cstdint>
#include <poplardeal/wire/http.h>
#include <string>

namespace poplardeal::detail {

struct sidecar_state {
    std::string name;
    bool isServing { false };
    bool isStopping { false };
    std::uint64_t droppedAnswers { 0 };
    std::uint64_t malformedFrames { 0 };
};

/// Answers `GET /healthz`, `/v1/status` and `/metrics` of an endpoint sidecar; 404 for other paths.
http_response reportSidecar(const std::string& path, const sidecar_state&, const request_runner&, const control_links&);

} // namespace poplardeal::detail
