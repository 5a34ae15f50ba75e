#include "output.h"
#include "verbs.h"

#include <algorithm>
#include <ostream>
#include <poplardeal/deployment/diff.h>
#include <poplardeal/deployment/limits.h>
#include <poplardeal/deployment/toml.h>
#include <poplardeal/placement/admission.h>

namespace poplardeal::detail {

/// A deployment file and its text, which is sent as it is.
struct deployment_file {
    std::string text;
    deployment plan;
};

/// The deployment in force at control.
struct current_deployment {
    std::int64_t version { 0 };
    deployment plan;
};

static result<deployment_file> readDeployment(const std::string& path)
{
    auto text = readFile(path, limits::deploymentBytes);
    if (text.has_error())
        return text.error();
    auto plan = parseDeployment(text.value(), path);
    if (plan.has_error())
        return plan.error();
    return deployment_file { std::move(text.value()), std::move(plan.value()) };
}

static std::int64_t versionOf(const nlohmann::json& body)
{
    const auto found = body.find("version");
    return found != body.end() && found->is_number_integer() ? found->get<std::int64_t>() : 0;
}

/// Version 0 with an empty plan before the first deployment.
static result<current_deployment> parseCurrent(const control_answer& answer)
{
    current_deployment current;
    const auto text = fieldText(answer.body, "toml");
    if (answer.verdict != run_verdict::ran || text.empty())
        return current;
    auto plan = parseDeployment(text, "deployment in force");
    if (plan.has_error())
        return plan.error();
    current.version = versionOf(answer.body);
    current.plan = std::move(plan.value());
    return current;
}

static bool isFailedRead(const control_answer& answer)
{
    constexpr int notFound = 404;
    return answer.verdict != run_verdict::ran && answer.status != notFound;
}

static nlohmann::json exposuresJson(const admission_report& report)
{
    auto list = nlohmann::json::array();
    for (const auto& one : report.exposures)
        list.push_back(
            { { "lost", one.lost.value() }, { "workspace", one.workspace.value() }, { "guarantee", one.guarantee } });
    return list;
}

exit_code runCheck(invocation& call)
{
    const auto file = readDeployment(call.operands[0]);
    if (file.has_error())
        return reportBadInput(call, file.error().message);
    const auto report = admit(file.value().plan);
    if (report.has_error())
        return reportBadInput(call, call.operands[0] + ": " + report.error().message);
    if (call.flags.json) {
        call.out << jsonLine({ { "feasible", true }, { "exposures", exposuresJson(report.value()) } }) << "\n";
        return exit_code::done;
    }
    call.out << call.operands[0] << ": all guarantees fit\n";
    for (const auto& one : report.value().exposures)
        call.out << "without data centre " << one.lost << ", workspace " << one.workspace << " loses " << one.guarantee
                 << "\n";
    return exit_code::done;
}

static nlohmann::json changesJson(const std::vector<deployment_change>& changes)
{
    auto list = nlohmann::json::array();
    for (const auto& change : changes)
        list.push_back({ { "kind", toString(change.kind) }, { "subject", change.subject }, { "field", change.field },
            { "before", change.before }, { "after", change.after } });
    return list;
}

exit_code runDiff(invocation& call)
{
    const auto file = readDeployment(call.operands[0]);
    if (file.has_error())
        return reportBadInput(call, file.error().message);
    auto control = makeControlClient(call);
    if (control.has_error())
        return reportBadInput(call, control.error().message);
    const auto answer = control.value()->read("/v1/deployment");
    if (isFailedRead(answer))
        return reportFailure(call, answer, "Look at poplardeal status.");
    const auto current = parseCurrent(answer);
    if (current.has_error())
        return reportBadInput(call, current.error().message);
    const auto changes = difference(current.value().plan, file.value().plan);
    if (call.flags.json) {
        call.out << jsonLine({ { "base", current.value().version }, { "changes", changesJson(changes) } }) << "\n";
        return exit_code::done;
    }
    for (const auto& change : changes)
        call.out << toString(change) << "\n";
    call.err << changes.size() << " changes to version " << current.value().version
             << "; put in force with: poplardeal apply " << call.operands[0] << " --base " << current.value().version
             << "\n";
    return exit_code::done;
}

/// Data centres that the file would put back in service.
static std::string returningDataCentres(const deployment& before, const deployment& after)
{
    std::string names;
    for (const auto& old : before.dataCentres) {
        const bool returns = std::any_of(after.dataCentres.begin(), after.dataCentres.end(),
            [&](const data_centre& now) { return now.name == old.name && now.inService && !old.inService; });
        if (returns)
            names += " " + old.name.value();
    }
    return names;
}

/// The base of an apply without --base is the version in force, unless the file silently reverts a data centre order.
static result<std::int64_t> chooseBase(control_client& control, const deployment& plan, control_answer& answer)
{
    answer = control.read("/v1/deployment");
    if (isFailedRead(answer))
        return failure { failure_code::unavailable, answer.message };
    const auto parsed = parseCurrent(answer);
    if (parsed.has_error())
        return parsed.error();
    const auto& current = parsed.value();
    const auto returning = returningDataCentres(current.plan, plan);
    if (!returning.empty())
        return failure { failure_code::conflict,
            "the file puts back in service:" + returning + ". Set in_service = false in it, or confirm with --base "
                + std::to_string(current.version) };
    return current.version;
}

static exit_code reportRefusedBase(invocation& call, const control_answer& answer, const failure& reason)
{
    if (reason.code == failure_code::unavailable)
        return reportFailure(call, answer, "Look at poplardeal status.");
    if (reason.code == failure_code::invalid_argument)
        return reportBadInput(call, reason.message);
    control_answer refused;
    refused.code = toString(reason.code);
    refused.message = reason.message;
    return reportFailure(call, refused, "See poplardeal diff " + call.operands[0] + ".");
}

static std::string applyNextStep(const invocation& call, const control_answer& answer)
{
    constexpr int conflict = 409;
    if (answer.status != conflict)
        return "Correct " + call.operands[0] + " and try again.";
    const auto current = versionOf(answer.body);
    return "Version " + std::to_string(current) + " is in force. Look at poplardeal diff " + call.operands[0]
        + ", then apply with --base " + std::to_string(current) + ".";
}

exit_code runApply(invocation& call)
{
    const auto file = readDeployment(call.operands[0]);
    if (file.has_error())
        return reportBadInput(call, file.error().message);
    auto control = makeControlClient(call);
    if (control.has_error())
        return reportBadInput(call, control.error().message);
    control_answer answer;
    result<std::int64_t> base = call.flags.base;
    if (call.flags.base < 0)
        base = chooseBase(*control.value(), file.value().plan, answer);
    if (base.has_error())
        return reportRefusedBase(call, answer, base.error());
    call.flags.base = base.value();
    auto body = orderBody(call);
    body["base_version"] = base.value();
    body["toml"] = file.value().text;
    answer = control.value()->order("/v1/deployment", body);
    if (answer.verdict != run_verdict::ran)
        return reportFailure(call, answer, applyNextStep(call, answer));
    if (call.flags.json)
        call.out << jsonLine(answer.body) << "\n";
    else
        call.out << "version " << versionOf(answer.body) << " is accepted\n";
    return exit_code::done;
}

exit_code runShow(invocation& call)
{
    if (call.flags.version < 0)
        return reportBadInput(call, "--version must not be negative");
    auto control = makeControlClient(call);
    if (control.has_error())
        return reportBadInput(call, control.error().message);
    const auto query = call.flags.version == 0 ? "" : "version=" + std::to_string(call.flags.version);
    const auto answer = control.value()->read("/v1/deployment", query);
    if (answer.verdict != run_verdict::ran)
        return reportFailure(call, answer, "Versions count from 1; poplardeal show prints the one in force.");
    if (call.flags.json) {
        call.out << jsonLine(answer.body) << "\n";
        return exit_code::done;
    }
    const auto time = answer.body.value("time_us", nlohmann::json(0));
    call.out << "# version " << versionOf(answer.body) << " by " << fieldText(answer.body, "operator");
    if (time.is_number_integer())
        call.out << " at " << timeText(time.get<std::int64_t>());
    call.out << "\n" << fieldText(answer.body, "toml");
    return exit_code::done;
}

} // namespace poplardeal::detail
