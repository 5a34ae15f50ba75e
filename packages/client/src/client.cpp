#include "arguments.h"
#include "verbs.h"

#include <algorithm>
#include <ostream>
#include <poplardeal/client/client.h>

namespace poplardeal {
namespace detail {

    const std::vector<verb>& allVerbs()
    {
        static const std::vector<verb> verbs {
            { "check", "FILE",
                "Checks a deployment: syntax, references, and whether all guarantees fit at the same time.",
                "poplardeal check tz-coast.toml", { "json" }, 1, 1, runCheck },
            { "diff", "FILE", "Shows what a file changes in the deployment in force.",
                "poplardeal diff tz-coast.toml --control 127.0.0.1:7001", { "control", "timeout", "json" }, 1, 1,
                runDiff },
            { "apply", "FILE", "Puts a deployment in force.", "poplardeal apply tz-coast.toml --base 12",
                { "control", "timeout", "json", "operator", "base", "order_id" }, 1, 1, runApply },
            { "show", "", "Prints the deployment in force, or an earlier version.", "poplardeal show --version 11",
                { "control", "timeout", "json", "version" }, 0, 0, runShow },
            { "submit", "WORKSPACE JOB", "Submits a job of a workspace.",
                "poplardeal submit condition-checks photo-check --wait",
                { "control", "timeout", "json", "operator", "order_id", "wait" }, 2, 2, runSubmit },
            { "status", "[JOB]", "Shows the instances and jobs, or one job.", "poplardeal status 17 --watch",
                { "control", "timeout", "json", "watch" }, 0, 1, runStatus },
            { "cancel", "JOB", "Cancels a job.", "poplardeal cancel 17",
                { "control", "timeout", "json", "operator", "order_id" }, 1, 1, runCancel },
            { "call", "SERVICE PATH", "Sends a request to a service through an entry.",
                "poplardeal call lending-desk /deposits/42/refund --method POST --key refund-42",
                { "entry", "method", "data", "key", "non_idempotent", "timeout", "json" }, 2, 2, runCall },
            { "data-centre", "out|in NAME", "Takes a data centre out of service, or back in.",
                "poplardeal data-centre out ubungo", { "control", "timeout", "json", "operator", "order_id" }, 2, 2,
                runDataCentre },
            { "timeline", "LOG_FILE...", "Orders the logs of several processes by logical clock, then time.",
                "poplardeal timeline control-1.log sidecar-1.log --job 17 --html job-17.html",
                { "job", "request", "data_centre", "json", "chrome", "html" }, 1, 1000, runTimeline },
        };
        return verbs;
    }

    static std::string overviewText()
    {
        constexpr std::size_t nameWidth = 30;
        std::string text = "Usage: poplardeal VERB [ARGUMENT...] [OPTION...]\n\n";
        for (const auto& verb : allVerbs()) {
            auto line = "  " + std::string(verb.name) + " " + std::string(verb.operands);
            line.resize(std::max(line.size(), nameWidth), ' ');
            text.append(line).append(" ").append(verb.summary).append("\n");
        }
        return text + "\npoplardeal VERB --help shows the options of a verb and an example.\n";
    }

    static exit_code dispatch(
        event_loop& loop, const verb& verb, const std::vector<std::string>& words, std::ostream& out, std::ostream& err)
    {
        auto parsed = parseArguments(verb, words);
        if (parsed.has_error()) {
            err << "error: " << parsed.error().message << "\n";
            return exit_code::bad_input;
        }
        if (parsed.value().wantsHelp) {
            out << helpText(verb);
            return exit_code::done;
        }
        invocation call { std::move(parsed.value().flags), std::move(parsed.value().operands), out, err, loop };
        return verb.run(call);
    }

    exit_code runClient(event_loop& loop, const std::vector<std::string>& words, std::ostream& out, std::ostream& err)
    {
        if (words.empty()) {
            err << overviewText();
            return exit_code::bad_input;
        }
        if (words[0] == "--help" || words[0] == "-h" || words[0] == "help") {
            out << overviewText();
            return exit_code::done;
        }
        const auto& verbs = allVerbs();
        const auto found
            = std::find_if(verbs.begin(), verbs.end(), [&](const verb& verb) { return verb.name == words[0]; });
        if (found == verbs.end()) {
            err << "error: unknown verb \"" << words[0] << "\"; see poplardeal --help\n";
            return exit_code::bad_input;
        }
        return dispatch(loop, *found, { words.begin() + 1, words.end() }, out, err);
    }

} // namespace detail

exit_code runClient(const std::vector<std::string>& words, std::ostream& out, std::ostream& err)
{
    event_loop loop;
    return detail::runClient(loop, words, out, err);
}

} // namespace poplardeal
