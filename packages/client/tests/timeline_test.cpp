#include "timeline.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <random>

using namespace poplardeal::detail;

namespace {

// The clock of the worker's machine is 3 s behind that of control.
const std::string controlLog
    = R"({"time":"2026-12-04T06:30:03.000000Z","clock":1,"level":"info","process":"control-1","data_centre":"kariakoo","event":"job_accepted","job":17}
{"time":"2026-12-04T06:30:03.100000Z","clock":2,"level":"info","process":"control-1","data_centre":"kariakoo","event":"job_accepted","job":18}
not a log line
{"time":"2026-12-04T06:30:04.000000Z","clock":7,"level":"info","process":"control-1","data_centre":"kariakoo","event":"job_ended","job":17}
)";
const std::string workerLog
    = R"({"time":"2026-12-04T06:30:00.250000Z","clock":4,"level":"info","process":"sidecar-1","data_centre":"ubungo","event":"task_started","task":"17.0.1"}
{"time":"2026-12-04T06:30:00.500000Z","clock":5,"level":"warning","process":"sidecar-1","data_centre":"ubungo","event":"odd","request":"r1","text":"</script><b>"}
{"time":"2026-12-04T06:30:00.750000Z","clock":6,"level":"info","process":"sidecar-1","data_centre":"ubungo","event":"task_finished","task":"17.0.1"}

{"time":"yesterday","clock":8,"event":"x"}
)";

timeline gather(const timeline_filter& filter)
{
    timeline gathered;
    gathered.addLog(workerLog, filter);
    gathered.addLog(controlLog, filter);
    gathered.sort();
    return gathered;
}

std::vector<std::uint64_t> clocks(const timeline& gathered)
{
    std::vector<std::uint64_t> found;
    for (const auto& event : gathered.events())
        found.push_back(event.clock);
    return found;
}

struct filter_row {
    timeline_filter filter;
    std::vector<std::uint64_t> clocks;
};
std::ostream& operator<<(std::ostream& out, const filter_row& row) { return out << row.clocks.size() << " events"; }

const filter_row filterRows[] = {
    { {}, { 1, 2, 4, 5, 6, 7 } },
    { { "17", "", "" }, { 1, 4, 6, 7 } },
    { { "1", "", "" }, {} },
    { { "", "r1", "" }, { 5 } },
    { { "", "", "ubungo" }, { 4, 5, 6 } },
    { { "17", "", "ubungo" }, { 4, 6 } },
};

} // namespace

BOOST_AUTO_TEST_SUITE(timelines)

// Guards against effects that are shown before their causes, and against filters that let other events in.
BOOST_DATA_TEST_CASE(events_are_ordered_and_filtered, filterRows, row)
{
    const auto gathered = gather(row.filter);
    BOOST_TEST(clocks(gathered) == row.clocks, boost::test_tools::per_element());
    BOOST_TEST(gathered.unreadableLines() == 2u);
}

// Guards against fields that are lost in the text.
BOOST_AUTO_TEST_CASE(text_shows_each_field)
{
    const auto text = timelineText(gather({ "", "r1", "" }).events());
    BOOST_TEST(
        text == "2026-12-04T06:30:00.500000Z 5 sidecar-1@ubungo warning odd request=\"r1\" text=\"</script><b>\"\n");
}

// Guards against a trace without the span of a task, or with a wrong length.
BOOST_AUTO_TEST_CASE(trace_has_processes_and_spans)
{
    const auto trace = nlohmann::json::parse(chromeTrace(gather({}).events()))["traceEvents"];
    std::size_t instants = 0;
    std::vector<std::string> processes;
    std::vector<nlohmann::json> spans;
    for (const auto& event : trace) {
        instants += event["ph"] == "i" ? 1 : 0;
        if (event["ph"] == "M")
            processes.push_back(event["args"]["name"]);
        if (event["ph"] == "X")
            spans.push_back(event);
    }
    BOOST_TEST(instants == 6u);
    BOOST_TEST((processes == std::vector<std::string> { "control-1 (kariakoo)", "sidecar-1 (ubungo)" }));
    BOOST_REQUIRE(spans.size() == 3u);
    BOOST_TEST(spans[0]["name"] == "task 17.0.1");
    BOOST_TEST(spans[0]["dur"] == 500'000);
    BOOST_TEST(spans[1]["name"] == "job 17");
    BOOST_TEST(spans[1]["dur"] == 1'000'000);
    BOOST_TEST(spans[2]["name"] == "job 17");
    BOOST_TEST(spans[2]["dur"] == 500'000);
    BOOST_TEST(spans[1]["pid"] != spans[2]["pid"]);
}

// Guards against a log field that ends the page's script, and against parts that are loaded from elsewhere.
BOOST_AUTO_TEST_CASE(page_is_self_contained)
{
    const auto page = timelinePage(gather({}).events());
    BOOST_TEST(page.find("</script><b>") == std::string::npos);
    BOOST_TEST(page.find("http:") == std::string::npos);
    BOOST_TEST(page.find("https:") == std::string::npos);
    const std::string opening = "type=\"application/json\">";
    const auto start = page.find(opening) + opening.size();
    const auto embedded = nlohmann::json::parse(page.substr(start, page.find("</script>", start) - start));
    BOOST_TEST(embedded.size() == 6u);
    BOOST_TEST(embedded[3]["text"] == "</script><b>");
}

// Guards against damaged logs that end the client.
BOOST_AUTO_TEST_CASE(damaged_logs_are_read_as_far_as_possible)
{
    std::mt19937 random(20261204); // NOLINT(cert-msc51-cpp): fixed, so that a failure can be repeated.
    for (int round = 0; round < 500; ++round) {
        auto log = controlLog + workerLog;
        for (int i = 0; i < 8; ++i)
            log[random() % log.size()] = static_cast<char>(random());
        timeline gathered;
        gathered.addLog(log, {});
        gathered.sort();
        BOOST_TEST(gathered.events().size() <= 6u);
        BOOST_TEST(nlohmann::json::parse(chromeTrace(gathered.events())).is_object());
        BOOST_TEST(!timelinePage(gathered.events()).empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()
