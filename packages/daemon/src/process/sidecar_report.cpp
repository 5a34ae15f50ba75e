#include "process/sidecar_report.h"

#include "process/entry_report.h"

#include <nlohmann/json.hpp>

namespace poplardeal::detail {

static nlohmann::ordered_json sidecarStatus(
    const sidecar_state& state, const request_runner& runner, const control_links& controls)
{
    const auto& limiter = runner.limiter();
    return { { "role", "sidecar" }, { "beside", "endpoint" }, { "name", state.name },
        { "state", state.isServing ? "serving" : "draining" }, { "stopping", state.isStopping },
        { "runner_reachable", runner.isReachable() }, { "running", limiter.running() },
        { "free_slots", limiter.freeSlots() }, { "queued", limiter.queued() },
        { "deployment_version", controls.version().value() } };
}

static std::string sidecarMetrics(
    const sidecar_state& state, const request_runner& runner, const control_links& controls)
{
    const auto& counts = runner.counts();
    return exposeCounters({
        { "poplardeal_sidecar_requests_started_total", counts.started },
        { "poplardeal_sidecar_requests_refused_total", counts.refused },
        { "poplardeal_sidecar_requests_repeated_total", counts.repeated },
        { "poplardeal_sidecar_requests_withdrawn_total", counts.withdrawn },
        { "poplardeal_sidecar_runner_unreachable_total", counts.unreachable },
        { "poplardeal_sidecar_answers_dropped_total", state.droppedAnswers },
        { "poplardeal_sidecar_frames_malformed_total", state.malformedFrames },
        { "poplardeal_sidecar_control_bytes_total", controls.bytesTransferred() },
    });
}

http_response reportSidecar(
    const std::string& path, const sidecar_state& state, const request_runner& runner, const control_links& controls)
{
    if (path == "/healthz")
        return state.isStopping ? http_response { 503, {}, "stopping\n" } : http_response { 200, {}, "ok\n" };
    if (path == "/v1/status")
        return jsonResponse(sidecarStatus(state, runner, controls));
    if (path == "/metrics")
        return textResponse(sidecarMetrics(state, runner, controls));
    return { 404, {}, "no such path\n" };
}

} // namespace poplardeal::detail
