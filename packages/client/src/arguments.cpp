#include "arguments.h"

#include <algorithm>
#include <cstdlib>
#include <gflags/gflags.h>
#include <glib.h>
#include <optional>

DEFINE_string(control, "", "addresses IP:PORT,... of the control instances (else POPLARDEAL_CONTROL)");
DEFINE_string(entry, "", "addresses IP:PORT,... of the entry instances (else POPLARDEAL_ENTRY)");
DEFINE_double(timeout, 30, "seconds until an unanswered order or call is given up");
DEFINE_bool(json, false, "print JSON");
DEFINE_string(operator, "", "name recorded with the order (else the user name)");
DEFINE_int64(base, -1, "version on which the file is based; another one in force refuses it");
DEFINE_string(order_id, "", "id of the order; give that of an earlier try to resend it (else random)");
// gflags has a flag "version" of its own, so that of `show` has another name here; see `registeredName`.
DEFINE_int64(deployment_version, 0, "version to show (else the version in force)");
DEFINE_bool(wait, false, "wait until the job has ended");
DEFINE_bool(watch, false, "print again every second until interrupted");
DEFINE_string(method, "GET", "HTTP method");
DEFINE_string(data, "", "request body; @FILE takes it from a file");
DEFINE_string(key, "", "idempotency key: the request runs at most once, and a resend gets the first outcome");
DEFINE_bool(non_idempotent, false, "without --key: send once and never retry");
DEFINE_string(job, "", "only events of this job");
DEFINE_string(request, "", "only events of this request");
DEFINE_string(data_centre, "", "only events of this data centre");
DEFINE_string(chrome, "", "write the events to this file in the Chrome trace event format");
DEFINE_string(html, "", "write the events to this file as a page with a lane for each process");

namespace poplardeal::detail {

/// Addresses of one option; each instance group has at most a few dozen instances.
static constexpr std::size_t maxAddresses = 64;
static constexpr double maxTimeoutSeconds = 24 * 3600;
static constexpr std::size_t maxOrderIdBytes = 128;

/// Name under which gflags knows an option.
static std::string registeredName(const std::string& name) { return name == "version" ? "deployment_version" : name; }

static failure badArgument(const verb& verb, const std::string& reason)
{
    return { failure_code::invalid_argument, reason + "; see poplardeal " + std::string(verb.name) + " --help" };
}

/// Gives every option its default, so that each command line is read on its own.
static void resetFlags()
{
    static const char* const names[]
        = { "control", "entry", "timeout", "json", "operator", "base", "order_id", "deployment_version", "wait",
              "watch", "method", "data", "key", "non_idempotent", "job", "request", "data_centre", "chrome", "html" };
    for (const auto* name : names)
        gflags::SetCommandLineOption(name, gflags::GetCommandLineFlagInfoOrDie(name).default_value.c_str());
}

static result<std::vector<address>> parseAddresses(std::string text, const char* option, const char* variable)
{
    std::string source = "--" + std::string(option);
    if (text.empty()) {
        const auto* value = std::getenv(variable);
        text = value ? value : "";
        source = variable;
    }
    std::vector<address> addresses;
    std::size_t start = 0;
    while (start < text.size()) {
        const auto end = std::min(text.find(',', start), text.size());
        const auto one = parseAddress(std::string_view(text).substr(start, end - start));
        if (one.has_error())
            return failure { failure_code::invalid_argument, source + ": " + one.error().message };
        addresses.push_back(one.value());
        if (addresses.size() > maxAddresses)
            return failure { failure_code::too_large, source + ": more than 64 addresses" };
        start = end + 1;
    }
    return addresses;
}

static std::string randomId()
{
    gchar* text = g_uuid_string_random();
    std::string id = text;
    g_free(text);
    return id;
}

static result<options> readOptions()
{
    options read;
    auto control = parseAddresses(FLAGS_control, "control", "POPLARDEAL_CONTROL");
    if (control.has_error())
        return control.error();
    auto entry = parseAddresses(FLAGS_entry, "entry", "POPLARDEAL_ENTRY");
    if (entry.has_error())
        return entry.error();
    read.control = std::move(control.value());
    read.entry = std::move(entry.value());
    if (!(FLAGS_timeout > 0 && FLAGS_timeout <= maxTimeoutSeconds))
        return failure { failure_code::invalid_argument, "--timeout must be above 0 and at most 86400 seconds" };
    if (FLAGS_order_id.size() > maxOrderIdBytes)
        return failure { failure_code::invalid_argument, "--order_id is longer than 128 bytes" };
    read.timeout = duration(static_cast<std::int64_t>(FLAGS_timeout * 1e6));
    read.json = FLAGS_json;
    read.operatorName = FLAGS_operator.empty() ? g_get_user_name() : FLAGS_operator;
    read.base = FLAGS_base;
    read.orderId = FLAGS_order_id.empty() ? randomId() : FLAGS_order_id;
    read.version = FLAGS_deployment_version;
    read.wait = FLAGS_wait;
    read.watch = FLAGS_watch;
    read.method = FLAGS_method;
    read.data = FLAGS_data;
    read.key = FLAGS_key;
    read.nonIdempotent = FLAGS_non_idempotent;
    read.job = FLAGS_job;
    read.request = FLAGS_request;
    read.dataCentre = FLAGS_data_centre;
    read.chrome = FLAGS_chrome;
    read.html = FLAGS_html;
    return read;
}

/// One word that starts with "--", split at '='.
struct flag_word {
    std::string name;
    std::optional<std::string> value;
};

static flag_word splitFlag(const std::string& word)
{
    const auto equals = word.find('=');
    flag_word split { word.substr(2, equals == std::string::npos ? equals : equals - 2), std::nullopt };
    if (equals != std::string::npos)
        split.value = word.substr(equals + 1);
    std::replace(split.name.begin(), split.name.end(), '-', '_');
    return split;
}

/// Sets one option; `next` is advanced over its value if that is a word of its own.
static result<void> setFlag(const verb& verb, const std::vector<std::string>& words, std::size_t& next)
{
    const auto& word = words[next];
    if (word.rfind("--", 0) != 0)
        return badArgument(verb, "unknown option " + word);
    auto flag = splitFlag(word);
    if (std::find(verb.flags.begin(), verb.flags.end(), flag.name) == verb.flags.end())
        return badArgument(verb, "unknown option " + word);
    const auto name = registeredName(flag.name);
    const bool isBoolean = gflags::GetCommandLineFlagInfoOrDie(name.c_str()).type == "bool";
    if (!flag.value && isBoolean)
        flag.value = "true";
    if (!flag.value) {
        if (next + 1 == words.size())
            return badArgument(verb, word + " needs a value");
        flag.value = words[++next];
    }
    if (gflags::SetCommandLineOption(name.c_str(), flag.value->c_str()).empty())
        return badArgument(verb, "\"" + *flag.value + "\" is no value for --" + flag.name);
    return success();
}

static result<parsed_arguments> finishArguments(const verb& verb, parsed_arguments parsed)
{
    if (parsed.operands.size() < verb.minOperands)
        return badArgument(verb, "too few arguments: needs " + std::string(verb.operands));
    if (parsed.operands.size() > verb.maxOperands)
        return badArgument(verb, "unexpected argument \"" + parsed.operands[verb.maxOperands] + "\"");
    auto flags = readOptions();
    if (flags.has_error())
        return flags.error();
    parsed.flags = std::move(flags.value());
    return parsed;
}

result<parsed_arguments> parseArguments(const verb& verb, const std::vector<std::string>& words)
{
    resetFlags();
    parsed_arguments parsed;
    bool flagsEnded = false;
    for (std::size_t i = 0; i < words.size(); ++i) {
        const bool isFlag = !flagsEnded && words[i].size() >= 2 && words[i][0] == '-';
        if (!isFlag) {
            parsed.operands.push_back(words[i]);
        } else if (words[i] == "--") {
            flagsEnded = true;
        } else if (words[i] == "--help" || words[i] == "-h") {
            parsed.wantsHelp = true;
        } else {
            const auto set = setFlag(verb, words, i);
            if (set.has_error())
                return set.error();
        }
    }
    if (parsed.wantsHelp)
        return parsed;
    return finishArguments(verb, std::move(parsed));
}

std::string helpText(const verb& verb)
{
    constexpr std::size_t nameWidth = 18;
    std::string text = "Usage: poplardeal " + std::string(verb.name);
    if (!verb.operands.empty())
        text += " " + std::string(verb.operands);
    text += " [OPTION...]\n" + std::string(verb.summary) + "\n\nOptions:\n";
    for (const auto flag : verb.flags) {
        std::string name(flag);
        const auto info = gflags::GetCommandLineFlagInfoOrDie(registeredName(name).c_str());
        name.resize(std::max(name.size(), nameWidth), ' ');
        text.append("  --").append(name).append(info.description).append("\n");
    }
    text += "\nExample:\n  " + std::string(verb.example) + "\n";
    text += "\nExit codes: 0 done, 1 refused and not run, 2 bad input, 3 may have run.\n";
    return text;
}

} // namespace poplardeal::detail
