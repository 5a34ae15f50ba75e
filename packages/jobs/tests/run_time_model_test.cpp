#include <boost/test/unit_test.hpp>
#include <cmath>
#include <poplardeal/jobs/run_time_model.h>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

using namespace poplardeal;

namespace {

const queue_name urgent("urgent");

duration ms(double count) { return std::chrono::microseconds(static_cast<std::int64_t>(count * 1000)); }

double factor(duration a, duration b) { return static_cast<double>(a.count()) / static_cast<double>(b.count()); }

} // namespace

// Guards against correcting declared run times in a queue without measurements.
BOOST_AUTO_TEST_CASE(without_measurements_the_declared_run_time_is_used)
{
    const run_time_model model;
    BOOST_TEST((model.expected(urgent, ms(700)) == ms(700)));
    BOOST_TEST((model.expected(urgent, ms(0)) == run_time_model::minRunTime));
}

// Guards against objectives computed only from inaccurate declarations: a job would be judged unable to meet its
// objective while it still can. As in the urgent queue, runs take 2.5 s and are declared as a seventh to seven times
// that.
BOOST_AUTO_TEST_CASE(inaccurate_declarations_get_a_low_weight)
{
    run_time_model model;
    for (const double declared : { 350, 17500, 900, 5000, 400, 9000, 2500, 1200 })
        model.observe(urgent, ms(declared), ms(2500));
    for (const double declared : { 350, 17500 }) {
        BOOST_TEST(factor(model.expected(urgent, ms(declared)), ms(2500)) < 1.6);
        BOOST_TEST(factor(model.expected(urgent, ms(declared)), ms(2500)) > 0.6);
    }
    BOOST_TEST((model.expected(queue_name("other"), ms(350)) == ms(350)));
}

// Guards against a queue mean that overrides accurate declarations.
BOOST_AUTO_TEST_CASE(accurate_declarations_get_a_high_weight)
{
    run_time_model model;
    for (const double run : { 200, 20000, 1000, 4000, 300, 15000, 500, 9000, 250, 18000 })
        model.observe(urgent, ms(run * 0.9), ms(run));
    BOOST_TEST(factor(model.expected(urgent, ms(300)), ms(333)) < 1.7);
    BOOST_TEST(factor(model.expected(urgent, ms(20000)), ms(22222)) > 0.6);
}

// Guards against leaving declarations uncorrected that are wrong by a constant factor.
BOOST_AUTO_TEST_CASE(a_constant_bias_is_corrected)
{
    run_time_model model;
    for (const double run : { 1000, 8000, 2000, 12000, 500, 6000, 1500, 9000 })
        model.observe(urgent, ms(run / 4), ms(run));
    BOOST_TEST(factor(model.expected(urgent, ms(1000)), ms(4000)) > 0.6);
    BOOST_TEST(factor(model.expected(urgent, ms(1000)), ms(4000)) < 1.6);
}

// Guards against using run times that were measured across a clock jump.
BOOST_AUTO_TEST_CASE(implausible_measurements_are_ignored)
{
    run_time_model model;
    for (const auto measured : { ms(-5000), ms(0), duration(std::chrono::hours(24 * 365)) })
        model.observe(urgent, ms(1000), measured);
    model.observe(urgent, ms(0), ms(1000));
    BOOST_TEST(model.records().empty());
}

// Guards against predictions that are out of bounds or not finite for any observations.
RC_BOOST_PROP(predictions_stay_in_bounds, (const std::vector<std::pair<std::int64_t, std::int64_t>>& pairs))
{
    run_time_model model;
    for (const auto& [declared, measured] : pairs)
        model.observe(urgent, duration(declared), duration(measured));
    const auto expected = model.expected(urgent, ms(5000));
    RC_ASSERT(expected >= run_time_model::minRunTime);
    RC_ASSERT(expected <= run_time_model::maxRunTime);
}
