#include "process/entry_report.h"

#include <poplardeal/base/metrics.h>

namespace poplardeal::detail {

static std::string_view standingName(outlier_detector::standing standing)
{
    switch (standing) {
    case outlier_detector::standing::healthy:
        return "healthy";
    case outlier_detector::standing::waiting:
        return "probation";
    case outlier_detector::standing::probe_due:
        return "probe-due";
    }
    return "unknown";
}

static nlohmann::ordered_json endpointStatus(const endpoint_record& record, const call_router& router, instant now)
{
    const auto& last = record.last;
    const auto silentMs = std::chrono::duration_cast<std::chrono::milliseconds>(now - record.heardAt).count();
    return { { "endpoint", last.endpoint.value() }, { "service", last.service.value() },
        { "data_centre", last.dataCentre.value() },
        { "state", last.state == endpoint_state::serving ? "serving" : "draining" }, { "slots", last.slots },
        { "free_slots", last.freeSlots }, { "queued", last.queued },
        { "in_flight", router.chooser().inFlight(last.endpoint) },
        { "standing", standingName(router.chooser().standing(last.endpoint, now)) }, { "silent_ms", silentMs } };
}

nlohmann::ordered_json entryStatus(
    const std::string& name, const control_links& controls, const call_router& router, bool isStopping, instant now)
{
    auto endpoints = nlohmann::ordered_json::array();
    for (const auto* record : router.members().present())
        endpoints.push_back(endpointStatus(*record, router, now));
    return { { "role", "entry" }, { "name", name }, { "stopping", isStopping },
        { "deployment_version", controls.version().value() }, { "in_flight", router.inFlight() },
        { "endpoints", std::move(endpoints) } };
}

std::string entryMetrics(const control_links& controls, const call_router& router)
{
    const auto& calls = router.counts();
    const auto& links = router.links().counts();
    auto text = exposeCounters({
        { "poplardeal_entry_requests_accepted_total", calls.accepted },
        { "poplardeal_entry_requests_refused_total", calls.refused },
        { "poplardeal_entry_requests_ran_total", calls.ran },
        { "poplardeal_entry_requests_not_run_total", calls.notRun },
        { "poplardeal_entry_requests_may_have_run_total", calls.mayHaveRun },
        { "poplardeal_entry_retries_total", calls.retries },
        { "poplardeal_entry_retries_denied_total", calls.retriesDenied },
        { "poplardeal_entry_answers_corrupt_total", calls.corruptAnswers },
        { "poplardeal_entry_keys_repeated_total", calls.repeatedKeys },
        { "poplardeal_entry_answers_unmatched_total", links.unmatchedAnswers },
        { "poplardeal_entry_frames_malformed_total", links.malformed },
        { "poplardeal_entry_connections_refused_total", links.refusedConnections },
        { "poplardeal_entry_settles_dropped_total", controls.droppedSettles() },
        { "poplardeal_entry_frame_bytes_total", router.links().bytesTransferred() + controls.bytesTransferred() },
    });
    text += "# TYPE poplardeal_entry_requests_in_flight gauge\n";
    text += "poplardeal_entry_requests_in_flight " + std::to_string(router.inFlight()) + "\n";
    return text;
}

std::string exposeCounters(const std::vector<std::pair<const char*, std::uint64_t>>& counters)
{
    // An empty registry still gives the CPU time and memory of the process.
    auto text = metrics_registry().exposition();
    for (const auto& [name, value] : counters) {
        text += std::string("# TYPE ") + name + " counter\n";
        text += std::string(name) + " " + std::to_string(value) + "\n";
    }
    return text;
}

http_response jsonResponse(const nlohmann::ordered_json& body)
{
    return { 200, { { "content-type", "application/json" } },
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n" };
}

http_response textResponse(std::string body)
{
    return { 200, { { "content-type", metrics_registry::contentType } }, std::move(body) };
}

http_response stoppingResponse()
{
    auto response = refusalResponse(503, run_verdict::not_run, "unavailable", "the entry is stopping");
    response.headers["connection"] = "close";
    return response;
}

} // namespace poplardeal::detail
