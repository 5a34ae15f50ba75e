#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <poplardeal/routing/retry.h>
#include <rapidcheck.h>

using namespace poplardeal;

namespace {

struct safe_row {
    run_verdict verdict;
    bool idempotent;
    bool safe;
};
std::ostream& operator<<(std::ostream& out, const safe_row& row) { return out << toString(row.verdict); }

const safe_row safeRows[] = {
    { run_verdict::not_run, false, true },
    { run_verdict::ran, false, false },
    { run_verdict::may_have_run, false, false },
    { run_verdict::not_run, true, true },
    { run_verdict::ran, true, true },
    { run_verdict::may_have_run, true, true },
};

} // namespace

BOOST_AUTO_TEST_SUITE(retry)

// Guards against a non-idempotent request that runs twice.
BOOST_DATA_TEST_CASE(only_what_cannot_run_twice_is_repeated, safeRows, row)
{
    BOOST_TEST(isRetrySafe(row.verdict, row.idempotent) == row.safe);
}

// Guards against retries that add more than 10% to the load in any 10 s, and against a budget that never allows one.
BOOST_AUTO_TEST_CASE(retries_stay_within_a_tenth_of_the_requests)
{
    const bool held = rc::check("budget over any window", [] {
        retry_budget budget;
        std::deque<std::pair<std::int64_t, bool>> events; // second, is a retry
        std::int64_t now = 0;
        const auto steps = *rc::gen::inRange(1, 500);
        for (int step = 0; step < steps; ++step) {
            now += *rc::gen::inRange(0, 400'000);
            const auto second = now / 1'000'000;
            while (!events.empty() && events.front().first <= second - 10)
                events.pop_front();
            const bool isRetry = *rc::gen::inRange(0, 3) == 0;
            if (!isRetry) {
                budget.addRequest(instantFromMicros(now));
                events.emplace_back(second, false);
                continue;
            }
            std::size_t retries = 0;
            for (const auto& [when, wasRetry] : events)
                retries += wasRetry ? 1U : 0U;
            const auto requests = events.size() - retries;
            const bool expected = retries < 3 + requests / 10;
            RC_ASSERT(budget.tryRetry(instantFromMicros(now)) == expected);
            if (expected)
                events.emplace_back(second, true);
        }
    });
    BOOST_TEST(held);
}

BOOST_AUTO_TEST_SUITE_END()
