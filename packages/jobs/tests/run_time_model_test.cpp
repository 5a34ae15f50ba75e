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

// Guards against a queue without history that is treated as if its declarations were wrong.
BOOST_AUTO_TEST_CASE(without_measurements_the_declaration_counts)
{
    const run_time_model model;
    BOOST_TEST((model.expected(urgent, ms(700)) == ms(700)));
    BOOST_TEST((model.expected(urgent, ms(0)) == run_time_model::minRunTime));
}

// The urgent queue: runs of 2.5 s, declared from a seventh to seven times that. Guards against an objective that is
// computed from such a declaration alone: the job would count as hopeless while it can still be on time.
BOOST_AUTO_TEST_CASE(wild_declarations_lose_their_weight)
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

// Guards against a mean that overrides declarations which tell short jobs from long ones.
BOOST_AUTO_TEST_CASE(good_declarations_keep_their_weight)
{
    run_time_model model;
    for (const double run : { 200, 20000, 1000, 4000, 300, 15000, 500, 9000, 250, 18000 })
        model.observe(urgent, ms(run * 0.9), ms(run));
    BOOST_TEST(factor(model.expected(urgent, ms(300)), ms(333)) < 1.7);
    BOOST_TEST(factor(model.expected(urgent, ms(20000)), ms(22222)) > 0.6);
}

// Guards against declarations that are off by the same factor each time.
BOOST_AUTO_TEST_CASE(a_constant_bias_is_learnt)
{
    run_time_model model;
    for (const double run : { 1000, 8000, 2000, 12000, 500, 6000, 1500, 9000 })
        model.observe(urgent, ms(run / 4), ms(run));
    BOOST_TEST(factor(model.expected(urgent, ms(1000)), ms(4000)) > 0.6);
    BOOST_TEST(factor(model.expected(urgent, ms(1000)), ms(4000)) < 1.6);
}

// Guards against measurements of a clock that jumped.
BOOST_AUTO_TEST_CASE(implausible_measurements_are_ignored)
{
    run_time_model model;
    for (const auto measured : { ms(-5000), ms(0), duration(std::chrono::hours(24 * 365)) })
        model.observe(urgent, ms(1000), measured);
    model.observe(urgent, ms(0), ms(1000));
    BOOST_TEST(model.records().empty());
}

// Guards against results outside the bounds or not finite, whatever was observed.
RC_BOOST_PROP(predictions_stay_in_bounds, (const std::vector<std::pair<std::int64_t, std::int64_t>>& pairs))
{
    run_time_model model;
    for (const auto& [declared, measured] : pairs)
        model.observe(urgent, duration(declared), duration(measured));
    const auto expected = model.expected(urgent, ms(5000));
    RC_ASSERT(expected >= run_time_model::minRunTime);
    RC_ASSERT(expected <= run_time_model::maxRunTime);
}
