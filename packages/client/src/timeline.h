#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace poplardeal::detail {

/// One line of a log. `fields` holds what is particular to the event.
struct timeline_event {
    std::uint64_t clock { 0 }; ///< Logical clock of the process.
    std::int64_t micros { 0 }; ///< Wall clock since 1970.
    std::string time; ///< Wall clock as logged.
    std::string process;
    std::string dataCentre;
    std::string level;
    std::string name;
    nlohmann::json fields;
};

/// Which events are wanted; empty parts want all.
struct timeline_filter {
    std::string job;
    std::string request;
    std::string dataCentre;
};

/// The events of several logs.
class timeline {
public:
    /// Takes in the JSON lines of one log. Lines that are no event are counted and left out.
    void addLog(std::string_view text, const timeline_filter&);

    /// Orders the events by logical clock, then time, then process. Events of one process keep their order.
    void sort();

    const std::vector<timeline_event>& events() const { return m_events; }
    std::size_t unreadableLines() const { return m_unreadableLines; }

private:
    std::vector<timeline_event> m_events;
    std::size_t m_unreadableLines { 0 };
};

/// One line for each event.
std::string timelineText(const std::vector<timeline_event>&);
nlohmann::json timelineJson(const std::vector<timeline_event>&);

/// Chrome trace event format: a process for each process, an instant for each event, and a span from the first
/// to the last event of each job in a process, and one from each event NAME_started to the event of the same task, job
/// or request that ends it.
std::string chromeTrace(const std::vector<timeline_event>&);

/// A page without outside parts, with a lane for each process.
std::string timelinePage(const std::vector<timeline_event>&);

} // namespace poplardeal::detail
