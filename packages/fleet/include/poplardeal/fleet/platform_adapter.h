#pragma once

#include <concepts>
#include <functional>
#include <poplardeal/base/failure.h>
#include <poplardeal/jobs/model.h>
#include <poplardeal/jobs/worker_agent.h>
#include <poplardeal/wire/http.h>
#include <poplardeal/wire/messages_generated.h>
#include <string>
#include <variant>
#include <vector>

namespace poplardeal {

/// A client's call on a queue: submits, cancels or queries a job.
struct queue_request {
    message::queue_verb verb { message::queue_verb::status };
    std::string host;
    std::string path;
    api_key key; ///< Empty if the request carries none.
    submission_spec job; ///< Set only if `verb` is `submit`.
};

/// Replaces the queue plan.
struct put_plan {
    queue_plan plan;
};
/// Reads the queue plan.
struct get_plan { };
/// Takes a data centre out of service or returns it to service.
struct change_data_centre {
    data_centre_name dataCentre;
    bool inService { true };
};

/// An operator's call.
using operator_request = std::variant<put_plan, get_plan, change_data_centre>;

/// Translates between a platform's HTTP messages and the types of this project; contains no scheduling logic.
template <class T>
concept platform_adapter
    = requires(const T& t, const http_request& request, const message::queue_answerT& answer, const worker_boot& boot,
        const start_instruction& start, const run_key& run, const poll_request& poll, const http_response& response)
{
    {
        t.readQueueRequest(request)
        } -> std::same_as<result<queue_request>>;
    {
        t.writeQueueAnswer(message::queue_verb::submit, answer)
        } -> std::same_as<http_response>;
    {
        t.readOperatorRequest(request)
        } -> std::same_as<result<operator_request>>;
    {
        t.readAnnouncement(request)
        } -> std::same_as<result<worker_announcement>>;
    {
        t.makeStartRequest(boot, start, std::uint64_t())
        } -> std::same_as<http_request>;
    {
        t.readStartResult(response)
        } -> std::same_as<std::pair<start_result, std::string>>;
    {
        t.makeStopRequest(boot, run, std::uint64_t())
        } -> std::same_as<http_request>;
    {
        t.makePollRequest(boot, poll)
        } -> std::same_as<http_request>;
    {
        t.readPollResult(response)
        } -> std::same_as<result<poll_result>>;
};

/// Type-erased `platform_adapter`, so that the process classes are not templates. Its members are those of the concept.
struct any_platform_adapter {
    std::function<result<queue_request>(const http_request&)> readQueueRequest;
    std::function<http_response(message::queue_verb, const message::queue_answerT&)> writeQueueAnswer;
    std::function<result<operator_request>(const http_request&)> readOperatorRequest;
    std::function<result<worker_announcement>(const http_request&)> readAnnouncement;
    std::function<http_request(const worker_boot&, const start_instruction&, std::uint64_t fence)> makeStartRequest;
    std::function<std::pair<start_result, std::string>(const http_response&)> readStartResult;
    std::function<http_request(const worker_boot&, const run_key&, std::uint64_t fence)> makeStopRequest;
    std::function<http_request(const worker_boot&, const poll_request&)> makePollRequest;
    std::function<result<poll_result>(const http_response&)> readPollResult;
};

/// Moves the adapter to shared storage; copies of the result share it.
template <platform_adapter T> any_platform_adapter makeAnyPlatformAdapter(T t)
{
    const auto shared = std::make_shared<const T>(std::move(t));
    any_platform_adapter out;
    out.readQueueRequest = [shared](const auto& request) { return shared->readQueueRequest(request); };
    out.writeQueueAnswer = [shared](auto verb, const auto& answer) { return shared->writeQueueAnswer(verb, answer); };
    out.readOperatorRequest = [shared](const auto& request) { return shared->readOperatorRequest(request); };
    out.readAnnouncement = [shared](const auto& request) { return shared->readAnnouncement(request); };
    out.makeStartRequest = [shared](const auto& boot, const auto& start, std::uint64_t fence) {
        return shared->makeStartRequest(boot, start, fence);
    };
    out.readStartResult = [shared](const auto& response) { return shared->readStartResult(response); };
    out.makeStopRequest = [shared](const auto& boot, const auto& run, std::uint64_t fence) {
        return shared->makeStopRequest(boot, run, fence);
    };
    out.makePollRequest = [shared](const auto& boot, const auto& poll) { return shared->makePollRequest(boot, poll); };
    out.readPollResult = [shared](const auto& response) { return shared->readPollResult(response); };
    return out;
}

} // namespace poplardeal
