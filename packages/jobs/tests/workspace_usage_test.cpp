#include "earlier_snapshots.h"
#include "job_fixture.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <poplardeal/base/compression.h>
#include <poplardeal/jobs/codec.h>

using namespace poplardeal;
using namespace poplardeal::test;

namespace {

const workspace_name club("club");
const workspace_name league("league");

struct usage_row {
    const char* name;
    std::int64_t runMs; ///< Time of a run of 1 core and 1 accelerator.
    std::int64_t waitMs; ///< After it.
    double coreSeconds;
};
std::ostream& operator<<(std::ostream& out, const usage_row& row) { return out << row.name; }

const usage_row usageRows[] = {
    { "nothing has run", 0, 0, 0 },
    { "a short run counts in full", 100, 0, 0.9 },
    { "half is left after the half-life", 100, 20000, 0.45 },
    { "an endless run is bounded", 3600000, 0, 9 * 20 / 0.6931 },
    { "a past burst is forgotten", 10000, 600000, 0 },
};

std::string withoutUsage(const std::string& snapshot)
{
    auto content = nlohmann::json::from_cbor(decompress(snapshot, snapshot.size() * 1000).value());
    content.erase("usage");
    return toCbor(content);
}

} // namespace

// Guards against usage that grows without bound or outlives the burst that caused it.
BOOST_DATA_TEST_CASE(usage_decays, usageRows, row)
{
    workspace_usage usage;
    usage.didStart(club, need(1, 1000), at(1000));
    usage.didEnd(club, need(1, 1000), at(1000 + row.runMs));
    BOOST_TEST(std::abs(usage.coreSeconds(club, at(1000 + row.runMs + row.waitMs)) - row.coreSeconds)
        <= 0.01 * row.coreSeconds + 0.01);
}

// Guards against a workspace that pays more for the same use because it has a smaller guarantee, or the reverse.
BOOST_AUTO_TEST_CASE(use_is_relative_to_the_guarantee)
{
    workspace_usage usage;
    usage.didStart(club, need(6), at(0));
    usage.didStart(league, need(6), at(0));
    const auto use = relativeUse(usage, { { club, {}, accelerators(24) }, { league, {}, accelerators(8) } }, at(1000));
    BOOST_TEST(std::abs(use.at(league) / use.at(club) - 3) < 1e-9);
    BOOST_TEST(std::abs(use.at(club) * 24 + use.at(league) * 8 - 32) < 1e-9);
}

// Guards against runs that are charged twice, or for ever, when their end is reported again or their lease expires.
BOOST_AUTO_TEST_CASE(each_run_is_charged_once)
{
    table_fixture f;
    f.submit("a", "bulk", { step(2, need(1)) });
    f.start(task("a", 0, 0), 1, boot("w"));
    f.start(task("a", 0, 1), 1, boot("w"));
    BOOST_TEST(f.table.usage().records().at(league).running.count() == 2 * 19000);
    f.end(boot("w"), task("a", 0, 0), 1, end_kind::done);
    f.end(boot("w"), task("a", 0, 0), 1, end_kind::done);
    f.apply(release_runs { { { task("a", 0, 1), run_number(1), {} } } });
    f.apply(release_runs { { { task("a", 0, 1), run_number(1), {} } } });
    BOOST_TEST(f.table.usage().records().at(league).running.count() == 0);
}

// Guards against a new leader with another usage, and against a snapshot of an earlier version that cannot be read.
BOOST_AUTO_TEST_CASE(usage_survives_snapshots)
{
    table_fixture f;
    f.submit("a", "bulk", { step(2, need(1)) });
    f.start(task("a", 0, 0), 1, boot("w"));
    f.start(task("a", 0, 1), 1, boot("w"));
    f.ms += 1500;
    f.end(boot("w"), task("a", 0, 0), 1, end_kind::done);
    const auto now = at(f.ms + 700);
    job_table restored;
    BOOST_REQUIRE(restored.restore(f.table.save()).has_value());
    BOOST_TEST(restored.usage().coreSeconds(league, now) == f.table.usage().coreSeconds(league, now));
    BOOST_REQUIRE(restored.restore(withoutUsage(fromHex(snapshotWithoutArchive))).has_value());
    BOOST_TEST(restored.usage().records().at(league).running.count() == 19000);
}
