#include "job_fixture.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <poplardeal/jobs/speed_model.h>
#include <random>

using namespace poplardeal;
using namespace poplardeal::test;
namespace data = boost::unit_test::data;

namespace {

constexpr double noise = 0.05;

worker_boot numbered(std::size_t number, std::int64_t startedAtMs = 1)
{
    return boot("w" + std::to_string(number), startedAtMs);
}

/// A third of the workers is slow.
double slownessOf(std::size_t worker) { return worker % 3 == 0 ? 1.7 : 0.7; }

double estimate(const speed_model& model, std::size_t worker) { return std::exp(model.find(numbered(worker)).mean); }

struct change_row {
    double before;
    double after;
};
std::ostream& operator<<(std::ostream& out, const change_row& row) { return out << row.before << " to " << row.after; }

const change_row changeRows[] = { { 0.7, 1.7 }, { 1.7, 0.7 }, { 1, 1.8 } };

} // namespace

// Guards against blaming all members of a gang alike for the time that its slowest member took.
BOOST_DATA_TEST_CASE(
    overlapping_gangs_tell_their_members_apart, data::make({ 2U, 3U }) * data::xrange(1, 4), width, seed)
{
    constexpr std::size_t workerCount = 12;
    speed_model model;
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    std::normal_distribution<double> uneven(0, 0.1);
    for (int i = 0; i < 100; ++i) {
        std::set<std::size_t> members;
        while (members.size() < width)
            members.insert(random() % workerCount);
        std::vector<worker_boot> boots;
        double slowest = 0;
        for (const auto member : members) {
            boots.push_back(numbered(member));
            slowest = std::max(slowest, slownessOf(member));
        }
        model.observe(boots, std::log(slowest) + uneven(random), noise);
    }
    for (std::size_t w = 0; w < workerCount; ++w)
        BOOST_TEST((estimate(model, w) > 1.2) == (slownessOf(w) > 1.2), "worker " << w << " " << estimate(model, w));
}

// Guards against an estimate that stays for long after the speed of a worker has changed.
BOOST_DATA_TEST_CASE(a_change_of_speed_is_learnt_within_four_runs, changeRows, row)
{
    speed_model model;
    for (int i = 0; i < 30; ++i)
        model.observe({ numbered(0) }, std::log(row.before), noise);
    for (int i = 0; i < 4; ++i)
        model.observe({ numbered(0) }, std::log(row.after), noise);
    BOOST_TEST(std::abs(std::log(estimate(model, 0) / row.after)) < 0.25);
}

// Guards against a worker that counts as slow because one of its tasks took long.
BOOST_AUTO_TEST_CASE(a_long_task_does_not_make_a_worker_slow)
{
    speed_model model;
    for (int i = 0; i < 5; ++i)
        model.observe({ numbered(0) }, 0, noise);
    model.observe({ numbered(0) }, std::log(7.0), noise);
    BOOST_TEST(estimate(model, 0) < 1.3);
}

// Guards against a restart that loses what is known of a machine, and against one that keeps it as certain.
BOOST_AUTO_TEST_CASE(a_new_boot_inherits_with_less_certainty)
{
    speed_model model;
    for (int i = 0; i < 5; ++i)
        model.observe({ numbered(0, 1) }, std::log(1.7), noise);
    const auto before = model.find(numbered(0, 1));
    const auto after = model.find(numbered(0, 2));
    BOOST_TEST(after.mean == before.mean);
    BOOST_TEST(after.variance > before.variance);
    BOOST_TEST(after.variance < speed_model::priorVariance);
}

// Guards against memory use that grows with the workers, steps and queues ever seen: the state of 1,400 workers is to
// stay under 256 KB.
BOOST_AUTO_TEST_CASE(the_state_is_bounded)
{
    constexpr std::size_t limit = 256 * 1024;
    constexpr std::size_t nodeOverhead = 32 + 16; // Of a node of std::map and of its allocation.
    constexpr std::size_t longId = 32; // Allocation of a text that does not fit into its string.
    constexpr std::size_t workerBytes = sizeof(std::pair<worker_id, speed_record>) + nodeOverhead;
    constexpr std::size_t stepBytes = sizeof(speed_history::step_record) + longId;
    speed_history history;
    for (std::size_t i = 0; i < 2 * speed_model::maxWorkers; ++i)
        history.observe({ task("j" + std::to_string(i)), queue_name("q" + std::to_string(i)), { numbered(i) },
            std::chrono::seconds(2), std::chrono::seconds(2), 0.3 });
    BOOST_TEST(history.model().records().size() == speed_model::maxWorkers);
    BOOST_TEST(history.steps().size() == speed_history::maxSteps);
    BOOST_TEST(history.queues().size() == speed_history::maxQueues);
    constexpr std::size_t designWorkers = 1400;
    const std::size_t queueBytes = history.queues().size() * (sizeof(std::pair<queue_name, log_mean>) + nodeOverhead);
    BOOST_TEST(designWorkers * (workerBytes + longId) + speed_history::maxSteps * stepBytes + queueBytes < limit);
}

// Guards against a new leader that has to learn the speeds anew: gangs are most of the work.
BOOST_AUTO_TEST_CASE(a_snapshot_keeps_the_speeds)
{
    table_fixture f;
    for (std::uint32_t i = 0; i < 12; ++i) {
        auto gang = step(2, need(8), 1000);
        gang.gang = true;
        const auto id = "g" + std::to_string(i);
        f.submit(id, "normal", { gang });
        const std::uint32_t slow = i % 2;
        start_tasks starts;
        for (const std::uint32_t m : { 0U, 1U })
            starts.starts.push_back({ task(id, 0, m), run_number(1), numbered(2 * slow + m), "a:1" });
        f.apply(std::move(starts));
        f.ms += slow == 1 ? 2000 : 1000;
        f.end(numbered(2 * slow), task(id, 0, 0), 1, end_kind::done);
    }
    job_table restored;
    BOOST_REQUIRE(restored.restore(f.table.save()).has_value());
    BOOST_TEST((restored.speedHistory().model().records() == f.table.speedHistory().model().records()));
    BOOST_TEST((restored.speedHistory().queues() == f.table.speedHistory().queues()));
    BOOST_TEST(restored.speedHistory().model().records().size() == 4U);
    BOOST_TEST(
        restored.speedHistory().model().find(boot("w2")).mean > restored.speedHistory().model().find(boot("w0")).mean);
}
