#include "output.h"
#include "verbs.h"

#include <algorithm>
#include <ostream>

namespace poplardeal::detail {

static constexpr duration pollPeriod = std::chrono::milliseconds(500);
static constexpr duration watchPeriod = std::chrono::seconds(1);

static bool isNumber(const std::string& text)
{
    constexpr std::size_t maxDigits = 20;
    return !text.empty() && text.size() <= maxDigits
        && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

/// Names of workspaces, jobs and data centres go into paths; other characters could change the path.
static bool isName(const std::string& text)
{
    constexpr std::size_t maxBytes = 63;
    const auto isAllowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
            || c == '.';
    };
    return !text.empty() && text.size() <= maxBytes && text.front() != '.'
        && std::all_of(text.begin(), text.end(), isAllowed);
}

static std::int64_t integerAt(const nlohmann::json& object, const char* key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_number_integer() ? found->get<std::int64_t>() : 0;
}

static std::vector<std::string> jobRow(const nlohmann::json& job)
{
    return { fieldText(job, "id"), fieldText(job, "workspace"), fieldText(job, "job"), fieldText(job, "phase"),
        fieldText(job, "verdict"), fieldText(job, "attempt"), timeText(integerAt(job, "accepted_at_us")),
        fieldText(job, "reason") };
}

static std::string jobsText(const nlohmann::json& jobs)
{
    std::vector<std::vector<std::string>> rows { { "JOB", "WORKSPACE", "NAME", "PHASE", "VERDICT", "ATTEMPT",
        "ACCEPTED", "REASON" } };
    for (const auto& job : jobs)
        rows.push_back(jobRow(job));
    return tableText(rows);
}

static std::string jobText(const nlohmann::json& job)
{
    std::vector<std::vector<std::string>> rows;
    for (const auto* key : { "id", "workspace", "job", "phase", "verdict", "reason", "attempt" })
        rows.push_back({ key, fieldText(job, key) });
    rows.push_back({ "accepted", timeText(integerAt(job, "accepted_at_us")) });
    rows.push_back({ "started", timeText(integerAt(job, "started_at_us")) });
    rows.push_back({ "ended", timeText(integerAt(job, "ended_at_us")) });
    for (const auto& task : fieldArray(job, "tasks"))
        rows.push_back({ "task " + fieldText(task, "task"),
            fieldText(task, "worker") + " accelerators " + fieldText(task, "accelerators")
                + (task.value("running", nlohmann::json(false)) == true ? " running" : " held") });
    return tableText(rows);
}

static std::string statusText(const nlohmann::json& status)
{
    auto text = "replica " + fieldText(status, "replica") + ", " + fieldText(status, "role") + " in term "
        + fieldText(status, "term") + ", deployment version " + fieldText(status, "version") + "\n";
    std::vector<std::vector<std::string>> rows { { "DATA CENTRE", "STATE" } };
    for (const auto& place : fieldArray(status, "data_centres")) {
        const bool isInService = place.value("in_service", nlohmann::json(false)) == true;
        rows.push_back({ fieldText(place, "name"), isInService ? "in service" : "out of service" });
    }
    text += "\n" + tableText(rows);
    rows = { { "WORKER", "DATA CENTRE", "RACK", "STATE" } };
    for (const auto& worker : fieldArray(status, "workers"))
        rows.push_back({ fieldText(worker, "id"), fieldText(worker, "data_centre"), fieldText(worker, "rack"),
            fieldText(worker, "state") });
    return text + "\n" + tableText(rows);
}

static bool hasEnded(const nlohmann::json& job)
{
    const auto phase = fieldText(job, "phase");
    return phase == "succeeded" || phase == "failed" || phase == "cancelled" || phase == "refused";
}

static exit_code printJob(invocation& call, const nlohmann::json& job)
{
    call.out << (call.flags.json ? jsonLine(job) + "\n" : jobText(job));
    call.out.flush();
    return exit_code::done;
}

static void pause(event_loop& loop, duration length)
{
    const auto timer = loop.after(length, [&] { loop.quit(); });
    loop.run();
}

/// A job that ended otherwise than with success gives `refused` only if it certainly did not run.
static exit_code endedExitCode(const nlohmann::json& job)
{
    if (fieldText(job, "phase") == "succeeded")
        return exit_code::done;
    const auto verdict = fieldText(job, "verdict");
    return verdict == "not-run" || verdict == "not_run" ? exit_code::refused : exit_code::may_have_run;
}

static exit_code waitForEnd(invocation& call, control_client& control, const std::string& id)
{
    while (true) {
        const auto answer = control.read("/v1/jobs/" + id);
        if (answer.verdict != run_verdict::ran) {
            call.err << "job " << id << " is accepted, its end is unknown: " << answer.message
                     << "\nLook at poplardeal status " << id << ".\n";
            return exit_code::may_have_run;
        }
        if (hasEnded(answer.body)) {
            printJob(call, answer.body);
            return endedExitCode(answer.body);
        }
        pause(call.loop, pollPeriod);
    }
}

exit_code runSubmit(invocation& call)
{
    for (const auto& name : call.operands) {
        if (!isName(name))
            return reportBadInput(call, "\"" + name + "\" is no name of a workspace or job; see poplardeal show");
    }
    auto control = makeControlClient(call);
    if (control.has_error())
        return reportBadInput(call, control.error().message);
    auto body = orderBody(call);
    body["workspace"] = call.operands[0];
    body["job"] = call.operands[1];
    const auto answer = control.value()->order("/v1/jobs", body);
    if (answer.verdict != run_verdict::ran)
        return reportFailure(call, answer, "See the workspaces and jobs in poplardeal show.");
    const auto id = fieldText(answer.body, "id");
    if (call.flags.wait && isNumber(id))
        return waitForEnd(call, *control.value(), id);
    call.out << (call.flags.json ? jsonLine(answer.body) : "job " + id + " is accepted; see poplardeal status " + id)
             << "\n";
    return exit_code::done;
}

exit_code runCancel(invocation& call)
{
    const auto& id = call.operands[0];
    if (!isNumber(id))
        return reportBadInput(call, "\"" + id + "\" is no job number; see poplardeal status");
    auto control = makeControlClient(call);
    if (control.has_error())
        return reportBadInput(call, control.error().message);
    const auto answer = control.value()->order("/v1/jobs/" + id + "/cancel", orderBody(call));
    if (answer.verdict != run_verdict::ran)
        return reportFailure(call, answer, "See poplardeal status " + id + ".");
    call.out << (call.flags.json ? jsonLine(answer.body)
                                 : "the cancellation of job " + id + " is accepted; see poplardeal status " + id)
             << "\n";
    return exit_code::done;
}

exit_code runDataCentre(invocation& call)
{
    const auto& state = call.operands[0];
    const auto& name = call.operands[1];
    if (state != "out" && state != "in")
        return reportBadInput(call, "\"" + state + "\" must be out or in; see poplardeal data-centre --help");
    if (!isName(name))
        return reportBadInput(call, "\"" + name + "\" is no name of a data centre; see poplardeal status");
    auto control = makeControlClient(call);
    if (control.has_error())
        return reportBadInput(call, control.error().message);
    auto body = orderBody(call);
    body["state"] = state;
    const auto answer = control.value()->order("/v1/data-centres/" + name, body);
    if (answer.verdict != run_verdict::ran)
        return reportFailure(call, answer, "See the data centres in poplardeal status.");
    call.out << (call.flags.json ? jsonLine(answer.body) : "data centre " + name + " is ordered " + state) << "\n";
    return exit_code::done;
}

static exit_code printStatusOnce(invocation& call, control_client& control)
{
    const bool isOneJob = !call.operands.empty();
    const auto answer = control.read(isOneJob ? "/v1/jobs/" + call.operands[0] : "/v1/status");
    if (answer.verdict != run_verdict::ran)
        return reportFailure(call, answer, "See the jobs in poplardeal status.");
    if (isOneJob)
        return printJob(call, answer.body);
    const auto jobs = control.read("/v1/jobs");
    if (jobs.verdict != run_verdict::ran)
        return reportFailure(call, jobs, "Try again.");
    const auto list = fieldArray(jobs.body, "jobs");
    if (call.flags.json) {
        auto whole = answer.body;
        whole["jobs"] = list;
        call.out << jsonLine(whole) << "\n" << std::flush;
    } else {
        call.out << statusText(answer.body) << "\n" << jobsText(list) << std::flush;
    }
    return exit_code::done;
}

exit_code runStatus(invocation& call)
{
    if (!call.operands.empty() && !isNumber(call.operands[0]))
        return reportBadInput(call, "\"" + call.operands[0] + "\" is no job number; see poplardeal status");
    auto control = makeControlClient(call);
    if (control.has_error())
        return reportBadInput(call, control.error().message);
    bool isInterrupted = false;
    if (call.flags.watch)
        call.loop.onTerminate([&] {
            isInterrupted = true;
            call.loop.quit();
        });
    auto code = printStatusOnce(call, *control.value());
    while (call.flags.watch && !isInterrupted && code == exit_code::done) {
        pause(call.loop, watchPeriod);
        if (!isInterrupted)
            code = printStatusOnce(call, *control.value());
    }
    return code;
}

} // namespace poplardeal::detail
