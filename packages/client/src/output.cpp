#include "output.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <iostream>
#include <ostream>

namespace poplardeal::detail {

exit_code toExitCode(run_verdict verdict)
{
    switch (verdict) {
    case run_verdict::ran:
        return exit_code::done;
    case run_verdict::not_run:
        return exit_code::refused;
    case run_verdict::may_have_run:
        return exit_code::may_have_run;
    }
    return exit_code::may_have_run;
}

std::string jsonLine(const nlohmann::json& value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string fieldText(const nlohmann::json& object, const char* key)
{
    if (!object.is_object())
        return "";
    const auto found = object.find(key);
    if (found == object.end() || found->is_null())
        return "";
    return found->is_string() ? found->get<std::string>() : jsonLine(*found);
}

nlohmann::json fieldArray(const nlohmann::json& object, const char* key)
{
    if (!object.is_object() || !object.contains(key) || !object[key].is_array())
        return nlohmann::json::array();
    return object[key];
}

std::string timeText(std::int64_t micros)
{
    if (micros == 0)
        return "";
    constexpr std::int64_t microsPerSecond = 1'000'000;
    const std::time_t seconds = micros / microsPerSecond;
    std::tm utc {};
    gmtime_r(&seconds, &utc);
    char text[32];
    const auto length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &utc);
    return { text, length };
}

std::string tableText(const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text;
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

static result<std::string> readStream(std::istream& in, const std::string& path, std::size_t maxBytes)
{
    constexpr std::size_t chunkBytes = 65536;
    std::string text;
    std::string chunk(chunkBytes, '\0');
    while (in.read(chunk.data(), chunkBytes) || in.gcount() > 0) {
        text.append(chunk, 0, static_cast<std::size_t>(in.gcount()));
        if (text.size() > maxBytes)
            return failure { failure_code::too_large, path + ": longer than " + std::to_string(maxBytes) + " bytes" };
    }
    if (in.bad())
        return failure { failure_code::io_error, path + ": cannot be read" };
    return text;
}

result<std::string> readFile(const std::string& path, std::size_t maxBytes)
{
    if (path == "-")
        return readStream(std::cin, "standard input", maxBytes);
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return failure { failure_code::io_error, path + ": cannot be opened for reading" };
    return readStream(in, path, maxBytes);
}

result<void> writeFile(const std::string& path, const std::string& text)
{
    std::ofstream out(path, std::ios::binary | std::ios::trunc);
    out << text << std::flush;
    if (!out)
        return failure { failure_code::io_error, path + ": cannot be written" };
    return success();
}

exit_code reportBadInput(invocation& call, const std::string& message)
{
    call.err << "error: " << message << "\n";
    return exit_code::bad_input;
}

static nlohmann::json failureJson(const control_answer& answer)
{
    auto shown = answer.body.is_object() ? answer.body : nlohmann::json::object();
    shown["verdict"] = toString(answer.verdict);
    shown["error"] = { { "code", answer.code }, { "message", answer.message } };
    return shown;
}

exit_code reportFailure(invocation& call, const control_answer& answer, const std::string& nextStep)
{
    if (call.flags.json)
        call.out << jsonLine(failureJson(answer)) << "\n";
    if (answer.verdict == run_verdict::may_have_run) {
        // A resend has to be the same order, and the base version is part of it.
        const auto base = call.flags.base < 0 ? "" : " --base " + std::to_string(call.flags.base);
        call.err << "may have run: " << answer.message << "\nSend it again with --order_id " << call.flags.orderId
                 << base << ": it runs at most once.\n";
        return exit_code::may_have_run;
    }
    call.err << "not run: " << answer.message << "\n";
    const bool isUnavailable = answer.code == toString(failure_code::unavailable);
    call.err << (isUnavailable ? "Check the addresses in --control and try again." : nextStep) << "\n";
    return exit_code::refused;
}

result<std::unique_ptr<control_client>> makeControlClient(const invocation& call)
{
    if (call.flags.control.empty())
        return failure { failure_code::invalid_argument,
            "no control address: give --control IP:PORT,... or set POPLARDEAL_CONTROL" };
    return std::make_unique<control_client>(call.loop, call.flags.control, call.flags.timeout);
}

nlohmann::json orderBody(const invocation& call)
{
    return { { "order_id", call.flags.orderId }, { "operator", call.flags.operatorName } };
}

} // namespace poplardeal::detail
