#include "raft_simulation.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <iostream>

using namespace poplardeal;
using namespace poplardeal::test;

BOOST_AUTO_TEST_SUITE(raft_node_suite)

struct schedule_row {
    const char* name;
    fault_plan plan;
    bool converges;
};
std::ostream& operator<<(std::ostream& out, const schedule_row& row) { return out << row.name; }

const schedule_row scheduleRows[] = {
    { "no faults", {}, true },
    { "loss, duplication and delay",
        { .lossRate = 0.1, .duplicateRate = 0.1, .maxDelay = milliseconds(60), .maxSync = milliseconds(20) }, true },
    { "slow disk", { .maxSync = milliseconds(300) }, true },
    { "crashes", { .lossRate = 0.02, .crashAtPersist = 0.03 }, true },
    { "five replicas, crashes and partitions",
        { .replicas = 5, .voters = 5, .duplicateRate = 0.05, .crashAtPersist = 0.01, .faultsPerSecond = 2 }, true },
    { "partitions", { .duplicateRate = 0.05, .maxDelay = milliseconds(20), .faultsPerSecond = 3 }, true },
    { "transfers and partitions", { .maxDelay = milliseconds(50), .faultsPerSecond = 1, .transfersPerSecond = 4 },
        true },
    { "membership changes, crashes and partitions",
        { .replicas = 5,
            .crashAtPersist = 0.01,
            .faultsPerSecond = 1,
            .changesPerSecond = 8,
            .transfersPerSecond = 0.5 },
        true },
    { "one lost folder", { .lossRate = 0.02, .crashAtPersist = 0.01, .folderLosses = 1 }, true },
    { "many lost folders",
        { .replicas = 5, .voters = 5, .crashAtPersist = 0.005, .faultsPerSecond = 1, .folderLosses = 6 }, false },
};

/// Schedules for each row. POPLARDEAL_SCHEDULES asks for a longer run, POPLARDEAL_FIRST_SCHEDULE for other seeds.
static std::uint64_t setting(const char* name, std::uint64_t standard)
{
    const char* given = std::getenv(name);
    return given ? std::strtoull(given, nullptr, 10) : standard;
}

// Guards against every violation that `raft_simulation` checks for: two leaders in a term, differing logs, lost
// acknowledged entries, reordered proposals, overlapping leases; and against a group that stays stuck after the faults.
BOOST_DATA_TEST_CASE(schedules_keep_the_log_safe, scheduleRows, row)
{
    const auto first = setting("POPLARDEAL_FIRST_SCHEDULE", 20261204);
    const auto count = setting("POPLARDEAL_SCHEDULES", 100);
    std::size_t acknowledged = 0;
    for (auto seed = first; seed < first + count; ++seed) {
        raft_simulation simulation(row.plan, seed);
        try {
            simulation.run();
            if (row.converges)
                simulation.requireConvergence();
        } catch (const std::logic_error& violation) {
            BOOST_FAIL(row.name << ": " << violation.what());
        }
        acknowledged += simulation.acknowledged();
    }
    // A schedule in which nothing is acknowledged would check nothing.
    BOOST_TEST(acknowledged > count * 5);
}

BOOST_AUTO_TEST_SUITE_END()
