#include "timeline.h"

#include "output.h"
#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <optional>
#include <tuple>

namespace poplardeal::detail {

/// Microseconds of "2026-12-04T06:30:00.123456Z". The fraction may be absent.
static std::optional<std::int64_t> parseTime(const std::string& text)
{
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    unsigned hours = 0;
    unsigned minutes = 0;
    double seconds = 0;
    // NOLINTNEXTLINE(cert-err34-c): the number of values read is tested, and the ranges below.
    if (std::sscanf(text.c_str(), "%d-%u-%uT%u:%u:%lf", &year, &month, &day, &hours, &minutes, &seconds) != 6)
        return std::nullopt;
    const auto date = std::chrono::year(year) / std::chrono::month(month) / std::chrono::day(day);
    if (!date.ok() || hours > 23 || minutes > 59 || !(seconds >= 0 && seconds < 61))
        return std::nullopt;
    const auto midnight = std::chrono::sys_days(date).time_since_epoch();
    const auto time = midnight + std::chrono::hours(hours) + std::chrono::minutes(minutes);
    constexpr double microsPerSecond = 1e6;
    return std::chrono::microseconds(time).count() + std::llround(seconds * microsPerSecond);
}

static std::optional<timeline_event> parseEvent(std::string_view line)
{
    auto json = nlohmann::json::parse(line, nullptr, false);
    if (!json.is_object() || !json.contains("clock") || !json["clock"].is_number_unsigned() || !json.contains("event"))
        return std::nullopt;
    timeline_event event;
    event.clock = json["clock"].get<std::uint64_t>();
    event.time = fieldText(json, "time");
    event.process = fieldText(json, "process");
    event.dataCentre = fieldText(json, "data_centre");
    event.level = fieldText(json, "level");
    event.name = fieldText(json, "event");
    const auto micros = parseTime(event.time);
    if (!micros)
        return std::nullopt;
    event.micros = *micros;
    for (const auto* key : { "clock", "time", "process", "data_centre", "level", "event" })
        json.erase(key);
    event.fields = std::move(json);
    return event;
}

/// A task's id starts with its job's: "17.0.1".
static bool isOfJob(const timeline_event& event, const std::string& job)
{
    if (fieldText(event.fields, "job") == job || fieldText(event.fields, "job_id") == job)
        return true;
    return fieldText(event.fields, "task").rfind(job + ".", 0) == 0;
}

static bool isWanted(const timeline_event& event, const timeline_filter& filter)
{
    if (!filter.job.empty() && !isOfJob(event, filter.job))
        return false;
    const bool isOfRequest = fieldText(event.fields, "request") == filter.request
        || fieldText(event.fields, "request_id") == filter.request;
    if (!filter.request.empty() && !isOfRequest)
        return false;
    return filter.dataCentre.empty() || event.dataCentre == filter.dataCentre;
}

void timeline::addLog(std::string_view text, const timeline_filter& filter)
{
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        const auto line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (line.find_first_not_of(" \t\r") == std::string_view::npos)
            continue;
        auto event = parseEvent(line);
        if (!event)
            ++m_unreadableLines;
        else if (isWanted(*event, filter))
            m_events.push_back(std::move(*event));
    }
}

void timeline::sort()
{
    std::stable_sort(m_events.begin(), m_events.end(), [](const timeline_event& a, const timeline_event& b) {
        return std::tie(a.clock, a.micros, a.process) < std::tie(b.clock, b.micros, b.process);
    });
}

std::string timelineText(const std::vector<timeline_event>& events)
{
    std::string text;
    for (const auto& event : events) {
        text.append(event.time).append(" ").append(std::to_string(event.clock)).append(" ").append(event.process);
        if (!event.dataCentre.empty())
            text.append("@").append(event.dataCentre);
        text.append(" ").append(event.level).append(" ").append(event.name);
        for (const auto& [key, value] : event.fields.items())
            text.append(" ").append(key).append("=").append(jsonLine(value));
        text += "\n";
    }
    return text;
}

nlohmann::json timelineJson(const std::vector<timeline_event>& events)
{
    auto list = nlohmann::json::array();
    for (const auto& event : events) {
        auto json = event.fields;
        json["clock"] = event.clock;
        json["time"] = event.time;
        json["process"] = event.process;
        json["data_centre"] = event.dataCentre;
        json["level"] = event.level;
        json["event"] = event.name;
        list.push_back(std::move(json));
    }
    return list;
}

} // namespace poplardeal::detail
