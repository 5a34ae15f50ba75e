#include "output.h"
#include "timeline.h"
#include "verbs.h"

#include <ostream>

namespace poplardeal::detail {

/// Of one log file. All events are held in memory to be ordered.
static constexpr std::size_t maxLogBytes = 256 * std::size_t(1024) * 1024;

static result<void> writeOutputs(const options& flags, const timeline& gathered)
{
    result<void> written = success();
    if (!flags.chrome.empty())
        written = writeFile(flags.chrome, chromeTrace(gathered.events()));
    if (!flags.html.empty() && written.has_value())
        written = writeFile(flags.html, timelinePage(gathered.events()));
    return written;
}

exit_code runTimeline(invocation& call)
{
    const timeline_filter filter { call.flags.job, call.flags.request, call.flags.dataCentre };
    timeline gathered;
    for (const auto& path : call.operands) {
        const auto log = readFile(path, maxLogBytes);
        if (log.has_error())
            return reportBadInput(call, log.error().message);
        gathered.addLog(log.value(), filter);
    }
    gathered.sort();
    const auto written = writeOutputs(call.flags, gathered);
    if (written.has_error())
        return reportBadInput(call, written.error().message);
    if (call.flags.json)
        call.out << jsonLine(timelineJson(gathered.events())) << "\n";
    else if (call.flags.chrome.empty() && call.flags.html.empty())
        call.out << timelineText(gathered.events());
    if (gathered.unreadableLines() > 0)
        call.err << "warning: " << gathered.unreadableLines() << " lines are no log events and are left out\n";
    return exit_code::done;
}

} // namespace poplardeal::detail
