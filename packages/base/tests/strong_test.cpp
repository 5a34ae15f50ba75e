#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <poplardeal/base/failure.h>
#include <poplardeal/base/ids.h>
#include <poplardeal/base/logical_clock.h>
#include <poplardeal/base/units.h>
#include <poplardeal/base/verdict.h>
#include <type_traits>

using namespace poplardeal;

BOOST_AUTO_TEST_SUITE(base)

// Guards against identifiers of different kinds being mixed up without a compiler error.
BOOST_AUTO_TEST_CASE(ids_of_different_kinds_do_not_convert)
{
    BOOST_TEST((!std::is_convertible_v<workspace_name, data_centre_name>));
    BOOST_TEST((!std::is_convertible_v<std::string, workspace_name>));
}

struct fits_row {
    resources wanted;
    bool fits;
};
std::ostream& operator<<(std::ostream& out, const fits_row& row) { return out << row.wanted.cpu << " cores"; }

const fits_row fitsRows[] = {
    { { cores(4), mebibytes(8), accelerators(2) }, true },
    { { cores(5), mebibytes(8), accelerators(2) }, false },
    { { cores(4), mebibytes(9), accelerators(2) }, false },
    { { cores(4), mebibytes(8), accelerators(3) }, false },
};

// Guards against a comparison that overlooks one of the three resources.
BOOST_DATA_TEST_CASE(resources_fit_only_if_every_amount_fits, fitsRows, row)
{
    const resources available { cores(4), mebibytes(8), accelerators(2) };
    BOOST_TEST(row.wanted.fitsIn(available) == row.fits);
}

// Guards against a verdict that changes its meaning on its way through HTTP headers.
BOOST_AUTO_TEST_CASE(verdicts_survive_text)
{
    for (const auto verdict : { run_verdict::not_run, run_verdict::ran, run_verdict::may_have_run })
        BOOST_TEST((parseRunVerdict(toString(verdict)) == verdict));
    BOOST_TEST(!parseRunVerdict("maybe").has_value());
}

// Guards against an event that is ordered before the message that caused it.
BOOST_AUTO_TEST_CASE(logical_clock_passes_observed_values)
{
    const auto before = advanceLogicalClock();
    observeLogicalClock(before + 100);
    BOOST_TEST(advanceLogicalClock() > before + 100);
    observeLogicalClock(1);
    BOOST_TEST(advanceLogicalClock() > before + 101);
}

BOOST_AUTO_TEST_CASE(task_ids_have_readable_text) { BOOST_TEST(toString(task_id { job_id(17), 2, 1 }) == "17.2.1"); }

BOOST_AUTO_TEST_SUITE_END()
