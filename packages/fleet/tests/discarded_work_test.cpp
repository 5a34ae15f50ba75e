#include "../src/discarded_work.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace poplardeal;

namespace {

struct stop_row {
    stop_reason reason;
    const char* label;
    std::uint64_t counted; ///< After three stops of 0.5 core-seconds each.
};
std::ostream& operator<<(std::ostream& out, const stop_row& row) { return out << toString(row.reason); }

const stop_row stopRows[] = {
    { stop_reason::preempted, "preempted", 1 },
    { stop_reason::gang_broken, "gang_broken", 1 },
    { stop_reason::worker_leaves, "worker_leaves", 1 },
    { stop_reason::no_progress, "no_progress", 1 },
    { stop_reason::job_ended, "preempted", 0 },
};

} // namespace

// A burst stops many small tasks. Guards against losses that are rounded away one by one or put under another reason,
// and against cancelled work that counts as lost.
BOOST_DATA_TEST_CASE(stops_count_by_reason, stopRows, row)
{
    metrics_registry metrics;
    detail::discarded_work discarded(metrics);
    for (int i = 0; i < 3; ++i)
        discarded.addStop({ {}, {}, row.reason, 0.5 });
    const auto& counted
        = metrics.getCounter("poplardeal_work_discarded_core_seconds_total", "", { { "reason", row.label } });
    BOOST_TEST(counted.value() == row.counted);
}
