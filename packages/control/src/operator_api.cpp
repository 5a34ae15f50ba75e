#include "operator_api.h"

#include <charconv>
#include <poplardeal/base/json.h>
#include <poplardeal/base/log.h>
#include <vector>

namespace poplardeal::detail {

namespace {

    using json = nlohmann::json;

    http_response respond(int status, const json& body)
    {
        return { status, { { "content-type", "application/json" } }, body.dump() + "\n" };
    }

    http_response refuse(int status, failure_code code, const std::string& message)
    {
        return respond(status,
            { { "verdict", toString(run_verdict::not_run) },
                { "error", { { "code", toString(code) }, { "message", message } } } });
    }

    std::vector<std::string> splitPath(const std::string& path)
    {
        std::vector<std::string> parts;
        std::size_t begin = 0;
        while (begin < path.size()) {
            const auto end = path.find('/', begin);
            if (end != begin)
                parts.push_back(path.substr(begin, end - begin));
            if (end == std::string::npos)
                break;
            begin = end + 1;
        }
        return parts;
    }

    std::optional<std::uint64_t> readNumber(std::string_view text)
    {
        std::uint64_t number = 0;
        const auto read = std::from_chars(text.data(), text.data() + text.size(), number);
        if (read.ec != std::errc() || read.ptr != text.data() + text.size())
            return std::nullopt;
        return number;
    }

    std::string requiredText(const json& body, const char* name)
    {
        auto text = body.at(name).get<std::string>();
        if (text.empty() || text.size() > 256)
            throw std::invalid_argument(std::string(name) + " must have 1 to 256 bytes");
        return text;
    }

    order_origin readOrigin(const json& body)
    {
        return { order_id(requiredText(body, "order_id")), operator_name(requiredText(body, "operator")) };
    }

    control_command readDataCentreOrder(const std::string& name, const json& body)
    {
        const auto state = requiredText(body, "state");
        if (state != "in" && state != "out")
            throw std::invalid_argument("state must be \"in\" or \"out\"");
        return order_data_centre { readOrigin(body), data_centre_name(name), state == "in" };
    }

    /// The order that a POST stands for, or nothing if there is no such path. Throws on a malformed body.
    std::optional<control_command> readOrder(const std::vector<std::string>& path, const json& body)
    {
        if (path.size() == 2 && path[1] == "deployment")
            return apply_deployment { readOrigin(body),
                deployment_version(body.at("base_version").get<std::uint64_t>()), body.at("toml").get<std::string>() };
        if (path.size() == 3 && path[1] == "data-centres")
            return readDataCentreOrder(path[2], body);
        if (path.size() == 2 && path[1] == "jobs")
            return submit_job { readOrigin(body), workspace_name(requiredText(body, "workspace")),
                job_name(requiredText(body, "job")) };
        if (path.size() == 4 && path[1] == "jobs" && path[3] == "cancel") {
            if (const auto id = readNumber(path[2]))
                return cancel_job { readOrigin(body), job_id(*id) };
        }
        return std::nullopt;
    }

    json optionalTime(const std::optional<instant>& time) { return time ? json(*time) : json(nullptr); }

} // namespace

nlohmann::json toJson(const job_status& job)
{
    auto tasks = json::array();
    for (const auto& task : job.tasks)
        tasks.push_back({ { "task", toString(task.task) }, { "worker", task.worker },
            { "accelerators", task.acceleratorIndexes }, { "running", task.running } });
    return { { "id", job.id }, { "workspace", job.workspace }, { "job", job.job }, { "phase", toString(job.phase) },
        { "verdict", toString(job.verdict) }, { "reason", job.reason }, { "attempt", job.attempt },
        { "accepted_at_us", job.acceptedAt }, { "started_at_us", optionalTime(job.startedAt) },
        { "ended_at_us", optionalTime(job.endedAt) }, { "tasks", tasks } };
}

operator_api::operator_api(control_context& context, std::string process, replica_id self)
    : m_context(context)
    , m_process(std::move(process))
    , m_self(self)
{
}

void operator_api::handle(const http_request& request, const http_responder& respondTo)
{
    if (request.method == "POST")
        return handlePost(request, respondTo);
    if (request.method == "GET")
        return handleGet(request, respondTo);
    respondTo(refuse(405, failure_code::invalid_argument, "only GET and POST are served"));
}

http_response operator_api::notLeader() const
{
    json body = { { "verdict", toString(run_verdict::not_run) },
        { "error",
            { { "code", toString(failure_code::not_leader) },
                { "message", "this replica does not lead; ask the leader" } } } };
    if (const auto leader = m_context.leaderHttp())
        body["leader"] = toString(*leader);
    return respond(421, body);
}

void operator_api::handlePost(const http_request& request, const http_responder& respondTo)
{
    if (!m_context.leads())
        return respondTo(notLeader());
    if (m_context.stopping)
        return respondTo(refuse(503, failure_code::unavailable, "this replica is stopping"));
    // nlohmann-json reports malformed input by exceptions; they end here.
    std::optional<control_command> command;
    try {
        command = readOrder(splitPath(request.path), json::parse(request.body));
    } catch (const std::exception& error) {
        return respondTo(refuse(400, failure_code::invalid_argument, error.what()));
    }
    if (!command)
        return respondTo(refuse(404, failure_code::not_found, "nothing is served at " + request.path));
    order(*command, respondTo);
}

void operator_api::order(const control_command& command, const http_responder& respondTo)
{
    m_context.propose(command, [this, respondTo](result<json> answer) {
        if (answer.has_value()) {
            const int status = answer.value().value("status", 200);
            answer.value().erase("status");
            return respondTo(respond(status, answer.value()));
        }
        if (answer.error().code == failure_code::not_leader)
            return respondTo(notLeader());
        if (answer.error().code == failure_code::overloaded || answer.error().code == failure_code::too_large)
            return respondTo(refuse(503, answer.error().code, answer.error().message));
        respondTo(respond(503,
            { { "verdict", toString(run_verdict::may_have_run) },
                { "error",
                    { { "code", toString(answer.error().code) },
                        { "message", answer.error().message + "; send the same order id again" } } } }));
    });
}

void operator_api::handleGet(const http_request& request, const http_responder& respondTo)
{
    const auto path = splitPath(request.path);
    if (path.size() == 1 && path[0] == "healthz")
        return respondTo(
            m_context.stopping ? http_response { 503, {}, "stopping\n" } : http_response { 200, {}, "ok\n" });
    if (path.size() == 2 && path[1] == "status")
        return respondTo(showStatus());
    if (!m_context.leads())
        return respondTo(notLeader());
    if (path.size() == 2 && path[1] == "deployment")
        return respondTo(showDeployment(request.query));
    if (path.size() == 2 && path[1] == "jobs")
        return respondTo(showJobs());
    if (path.size() == 3 && path[1] == "jobs")
        return respondTo(showJob(path[2]));
    respondTo(refuse(404, failure_code::not_found, "nothing is served at " + request.path));
}

http_response operator_api::showDeployment(const std::string& query) const
{
    auto version = m_context.state.version();
    if (query.starts_with("version=")) {
        const auto wanted = readNumber(std::string_view(query).substr(8));
        if (!wanted)
            return refuse(400, failure_code::invalid_argument, "version must be a number");
        version = deployment_version(*wanted);
    }
    const auto* record = m_context.state.findVersion(version);
    if (!record)
        return refuse(404, failure_code::not_found, "no version " + std::to_string(version.value()) + " is kept");
    auto history = json::array();
    for (const auto& entry : m_context.state.history())
        history.push_back({ { "version", entry.version }, { "operator", entry.operatorName }, { "time_us", entry.time },
            { "change", entry.change } });
    return respond(200,
        { { "version", record->version }, { "operator", record->operatorName }, { "time_us", record->time },
            { "change", record->change }, { "toml", record->toml }, { "history", history } });
}

http_response operator_api::showStatus() const
{
    auto dataCentres = json::array();
    if (const auto& plan = m_context.state.current()) {
        for (const auto& dataCentre : plan->dataCentres)
            dataCentres.push_back({ { "name", dataCentre.name }, { "in_service", dataCentre.inService } });
    }
    auto workers = json::array();
    for (const auto& worker : m_context.state.workers())
        workers.push_back({ { "id", worker.spec.id }, { "data_centre", worker.spec.dataCentre },
            { "rack", worker.spec.rack }, { "state", toString(worker.state) } });
    json body
        = { { "process", m_process }, { "replica", m_self }, { "role", m_context.leads() ? "leader" : "follower" },
              { "term", m_context.member->term() }, { "applied", m_context.member->appliedIndex() },
              { "version", m_context.state.version() }, { "data_centres", dataCentres }, { "workers", workers } };
    if (const auto leader = m_context.leaderHttp())
        body["leader"] = toString(*leader);
    return respond(200, body);
}

http_response operator_api::showJobs() const
{
    auto jobs = json::array();
    for (const auto& job : m_context.state.placement().jobs())
        jobs.push_back(toJson(job));
    return respond(200, { { "jobs", jobs } });
}

http_response operator_api::showJob(const std::string& id) const
{
    const auto number = readNumber(id);
    const auto job = number ? m_context.state.placement().job(job_id(*number)) : std::nullopt;
    if (!job)
        return refuse(404, failure_code::not_found, "no job has the id " + id);
    return respond(200, toJson(*job));
}

} // namespace poplardeal::detail
