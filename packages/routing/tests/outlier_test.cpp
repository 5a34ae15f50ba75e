#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <poplardeal/routing/outlier.h>
#include <rapidcheck.h>
#include <string>

using namespace poplardeal;
using standing = outlier_detector::standing;

namespace {

const endpoint_id endpoint("e1");

instant at(std::int64_t milliseconds) { return instantFromMicros(milliseconds * 1000); }

struct history_row {
    const char* calls; ///< o: ok, f: failed, v: overloaded, l: late.
    bool isHealthy;
};
std::ostream& operator<<(std::ostream& out, const history_row& row) { return out << row.calls; }

const history_row historyRows[] = {
    { "ooofofo", true },
    { "ff", true },
    { "fff", false },
    { "fofff", false },
    { "ffoffoffoff", true },
    { "ffoffoffoffoffo", false }, // never three in a row, but most calls fail
    { "vvvvvvvvvvvv", true }, // no room is no fault
    { "llllllllllll", true },
    { "fvfvf", false },
};

void record(outlier_detector& detector, const std::string& calls, instant now)
{
    for (const char call : calls) {
        const auto result = call == 'o' ? call_result::ok
            : call == 'f'               ? call_result::failed
            : call == 'v'               ? call_result::overloaded
                                        : call_result::late;
        detector.record(endpoint, result, now);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(outlier)

// Guards against endpoints that fail and keep their load, and against probation of endpoints that are only busy.
BOOST_DATA_TEST_CASE(failing_endpoints_go_on_probation, historyRows, row)
{
    outlier_detector detector;
    record(detector, row.calls, at(0));
    BOOST_TEST((detector.check(endpoint, at(1)) == standing::healthy) == row.isHealthy);
}

// Guards against several requests at a time to an endpoint that probably fails.
BOOST_AUTO_TEST_CASE(one_probe_at_a_time_readmits)
{
    outlier_detector detector;
    record(detector, "fff", at(0));
    BOOST_TEST((detector.check(endpoint, at(700)) == standing::waiting));
    BOOST_TEST((detector.check(endpoint, at(1300)) == standing::probe_due));
    detector.startProbe(endpoint, at(1300));
    BOOST_TEST((detector.check(endpoint, at(1400)) == standing::waiting));
    detector.record(endpoint, call_result::ok, at(1500));
    BOOST_TEST((detector.check(endpoint, at(1500)) == standing::healthy));
    // On trial one failure is enough.
    detector.record(endpoint, call_result::failed, at(1600));
    BOOST_TEST((detector.check(endpoint, at(1600)) == standing::waiting));
}

// Guards against an answer to an old request that ends a probation without a probe.
BOOST_AUTO_TEST_CASE(calls_from_before_the_probation_do_not_readmit)
{
    outlier_detector detector;
    record(detector, "fffoooo", at(0));
    BOOST_TEST((detector.check(endpoint, at(10)) == standing::waiting));
}

// Guards against a probe whose result never comes keeping an endpoint out for ever.
BOOST_AUTO_TEST_CASE(lost_probe_is_given_up)
{
    outlier_detector detector;
    record(detector, "fff", at(0));
    detector.startProbe(endpoint, at(2000));
    BOOST_TEST((detector.check(endpoint, at(31'999)) == standing::waiting));
    BOOST_TEST((detector.check(endpoint, at(32'000)) == standing::probe_due));
}

// Guards against a back-off that does not grow, or grows beyond its bound.
BOOST_AUTO_TEST_CASE(back_off_doubles_up_to_its_bound)
{
    const bool held = rc::check("back-off after n failed probes", [] {
        const auto failures = *rc::gen::inRange(0, 40);
        outlier_detector detector({}, *rc::gen::arbitrary<std::uint64_t>());
        std::int64_t now = 0;
        record(detector, "fff", at(now));
        for (int i = 0; i < failures; ++i) {
            now += 100'000;
            detector.startProbe(endpoint, at(now));
            detector.record(endpoint, call_result::failed, at(now));
        }
        const auto expected = std::min<std::int64_t>(1000LL << std::min(failures, 10), 30'000);
        RC_ASSERT(detector.check(endpoint, at(now + expected * 8 / 10 - 1)) == standing::waiting);
        RC_ASSERT(detector.check(endpoint, at(now + expected * 12 / 10 + 1)) == standing::probe_due);
    });
    BOOST_TEST(held);
}

BOOST_AUTO_TEST_SUITE_END()
