#include <boost/test/unit_test.hpp>
#include <poplardeal/base/metrics.h>
#include <random>
#include <stdexcept>
#include <vector>

using namespace poplardeal;

namespace {

bool contains(const std::string& text, const std::string& line)
{
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(metrics)

// Guards against a text that a scraper refuses or reads as another value.
BOOST_AUTO_TEST_CASE(exposition_has_the_text_format)
{
    metrics_registry registry;
    registry.getCounter("requests_total", "Requests\nby \\ verdict", { { "verdict", "ran" } }).add(3);
    registry.getCounter("requests_total", "", { { "verdict", "a\"b\\c\nd" } }).add();
    registry.getGauge("queued", "Queued requests").set(-1.5);
    auto& wait = registry.getTiming("wait_seconds", "Wait", { { "side", "entry" } });
    wait.observe(std::chrono::milliseconds(250));
    registry.getTiming("idle_seconds", "Idle");
    const auto text = registry.exposition();
    for (const auto* line :
        { "# HELP requests_total Requests\\nby \\\\ verdict", "# TYPE requests_total counter",
            "requests_total{verdict=\"ran\"} 3", "requests_total{verdict=\"a\\\"b\\\\c\\nd\"} 1", "# TYPE queued gauge",
            "queued -1.5", "# TYPE wait_seconds summary", "wait_seconds{side=\"entry\",quantile=\"0.5\"} 0.25",
            "wait_seconds_sum{side=\"entry\"} 0.25", "wait_seconds_count{side=\"entry\"} 1", "idle_seconds_count 0",
            "# TYPE process_cpu_seconds_total counter", "# TYPE process_resident_memory_bytes gauge" })
        BOOST_TEST(contains(text, line), line);
}

// Guards against two holders of one metric that count apart.
BOOST_AUTO_TEST_CASE(same_name_and_labels_are_one_metric)
{
    metrics_registry registry;
    auto& first = registry.getCounter("a_total", "", { { "x", "1" } });
    BOOST_TEST(&first == &registry.getCounter("a_total", "", { { "x", "1" } }));
    BOOST_TEST(&first != &registry.getCounter("a_total", "", { { "x", "2" } }));
    BOOST_CHECK_THROW(registry.getGauge("a_total", "", {}), std::invalid_argument);
    BOOST_CHECK_THROW(registry.getGauge("a-b", "", {}), std::invalid_argument);
    BOOST_CHECK_THROW(registry.getGauge("a", "", { { "1", "" } }), std::invalid_argument);
}

// Guards against labels from requests that fill the memory.
BOOST_AUTO_TEST_CASE(label_sets_are_bounded)
{
    metrics_registry registry;
    const auto get = [&](std::size_t i) -> counter& {
        return registry.getCounter("a_total", "", { { "x", std::to_string(i) } });
    };
    for (std::size_t i = 0; i < metrics_registry::maxSeries + 10; ++i)
        get(i).add();
    BOOST_TEST(contains(registry.exposition(), "a_total{overflow=\"true\"} 10"));
    BOOST_TEST(get(1).value() == 1);
}

// Guards against quantiles that are off; their error is bounded here by the distance of neighbouring ranks.
BOOST_AUTO_TEST_CASE(timings_estimate_mean_and_quantiles)
{
    std::vector<int> milliseconds(10000);
    for (std::size_t i = 0; i < milliseconds.size(); ++i)
        milliseconds[i] = static_cast<int>(i) + 1;
    std::mt19937_64 random(20261204);
    std::shuffle(milliseconds.begin(), milliseconds.end(), random);
    timing few;
    for (const int m : { 30, 10, 20 })
        few.observe(std::chrono::milliseconds(m));
    BOOST_TEST(few.read().p50 == 0.02);
    BOOST_TEST(few.read().p99 == 0.03);
    timing t;
    for (const auto m : milliseconds)
        t.observe(std::chrono::milliseconds(m));
    const auto summary = t.read();
    BOOST_TEST(summary.count == 10000);
    BOOST_TEST(summary.mean == 5.0005, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(summary.p50 == 5.0, boost::test_tools::tolerance(0.03));
    BOOST_TEST(summary.p99 == 9.9, boost::test_tools::tolerance(0.01));
}

// Guards against process figures in another unit.
BOOST_AUTO_TEST_CASE(process_figures_are_in_bytes_and_grow_with_work)
{
    const auto before = processResidentMemory();
    std::vector<char> taken(64 * 1024 * 1024, 'x');
    BOOST_TEST(processResidentMemory() >= before + taken.size() / 2);
    const auto start = processCpuTime();
    std::uint64_t sum = 0;
    while (processCpuTime() - start < std::chrono::milliseconds(20))
        sum += static_cast<std::uint64_t>(taken[sum % taken.size()]);
    BOOST_TEST(sum > 0);
}

BOOST_AUTO_TEST_SUITE_END()
