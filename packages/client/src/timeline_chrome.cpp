#include "output.h"
#include "timeline.h"

#include <algorithm>
#include <array>
#include <map>
#include <tuple>
#include <utility>

namespace poplardeal::detail {

static constexpr std::string_view startEnding = "_started";
static constexpr std::array<std::string_view, 6> endEndings { "_finished", "_failed", "_stopped", "_ended",
    "_checkpointed", "_released" };

/// Process, stem of the event's name, and the id that the event is about.
using span_key = std::tuple<std::string, std::string, std::string>;

static std::string stemOf(const std::string& name, std::string_view ending)
{
    if (name.size() <= ending.size() || name.compare(name.size() - ending.size(), ending.size(), ending) != 0)
        return "";
    return name.substr(0, name.size() - ending.size());
}

static std::string endedStem(const std::string& name)
{
    for (const auto ending : endEndings) {
        auto stem = stemOf(name, ending);
        if (!stem.empty())
            return stem;
    }
    return "";
}

static std::string subjectOf(const timeline_event& event)
{
    for (const auto* key : { "task", "request", "request_id", "job" }) {
        auto id = fieldText(event.fields, key);
        if (!id.empty())
            return id;
    }
    return "";
}

/// The job that an event is about; a task's id starts with it. Empty if there is none.
static std::string jobOf(const timeline_event& event)
{
    for (const auto* key : { "job", "job_id" }) {
        auto id = fieldText(event.fields, key);
        if (!id.empty())
            return id;
    }
    const auto task = fieldText(event.fields, "task");
    return task.substr(0, task.find('.'));
}

/// First and last moment, in microseconds since 1970.
struct time_span {
    std::int64_t first;
    std::int64_t last;
};

/// Builds the list of trace events.
class trace_builder {
public:
    void add(const timeline_event& event)
    {
        const auto process = processNumber(event);
        auto arguments = event.fields;
        arguments["clock"] = event.clock;
        m_trace.push_back({ { "name", event.name }, { "cat", event.level }, { "ph", "i" }, { "s", "p" },
            { "ts", event.micros }, { "pid", process }, { "tid", 1 }, { "args", arguments } });
        extendJob(event, process);
        const auto subject = subjectOf(event);
        if (subject.empty())
            return;
        const auto started = stemOf(event.name, startEnding);
        if (!started.empty())
            m_starts[{ event.process, started, subject }] = event.micros;
        else
            endSpan(event, subject, process);
    }

    nlohmann::json finish()
    {
        for (const auto& [key, extent] : m_jobs) {
            const auto& [process, job] = key;
            if (extent.last > extent.first)
                addSpan("job " + job, { extent.first, extent.last }, process, nlohmann::json::object());
        }
        return { { "traceEvents", std::move(m_trace) }, { "displayTimeUnit", "ms" } };
    }

private:
    std::size_t processNumber(const timeline_event& event)
    {
        const auto [found, isNew] = m_processes.try_emplace(event.process, m_processes.size() + 1);
        if (isNew) {
            const auto name = event.dataCentre.empty() ? event.process : event.process + " (" + event.dataCentre + ")";
            m_trace.push_back({ { "name", "process_name" }, { "ph", "M" }, { "pid", found->second }, { "tid", 1 },
                { "args", { { "name", name } } } });
        }
        return found->second;
    }

    void endSpan(const timeline_event& event, const std::string& subject, std::size_t process)
    {
        const auto stem = endedStem(event.name);
        const auto start = m_starts.find({ event.process, stem, subject });
        if (stem.empty() || start == m_starts.end())
            return;
        addSpan(stem + " " + subject, { start->second, event.micros }, process, event.fields);
        m_starts.erase(start);
    }

    void extendJob(const timeline_event& event, std::size_t process)
    {
        const auto job = jobOf(event);
        if (job.empty())
            return;
        auto& extent = m_jobs.try_emplace({ process, job }, time_span { event.micros, event.micros }).first->second;
        extent.first = std::min(extent.first, event.micros);
        extent.last = std::max(extent.last, event.micros);
    }

    void addSpan(const std::string& name, time_span extent, std::size_t process, const nlohmann::json& arguments)
    {
        // Each job and task has a row of its own, so that spans that overlap do not nest.
        const auto row = m_rows.try_emplace(name, m_rows.size() + 2).first->second;
        m_trace.push_back({ { "name", name }, { "cat", "span" }, { "ph", "X" }, { "ts", extent.first },
            { "dur", extent.last - extent.first }, { "pid", process }, { "tid", row }, { "args", arguments } });
    }

    nlohmann::json m_trace = nlohmann::json::array();
    std::map<std::string, std::size_t> m_processes;
    std::map<std::string, std::size_t> m_rows;
    std::map<span_key, std::int64_t> m_starts;
    std::map<std::pair<std::size_t, std::string>, time_span> m_jobs;
};

std::string chromeTrace(const std::vector<timeline_event>& events)
{
    trace_builder builder;
    for (const auto& event : events)
        builder.add(event);
    return jsonLine(builder.finish()) + "\n";
}

} // namespace poplardeal::detail
