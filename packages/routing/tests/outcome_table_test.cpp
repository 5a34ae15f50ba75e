#include <boost/test/unit_test.hpp>
#include <map>
#include <poplardeal/routing/outcome_table.h>
#include <rapidcheck.h>

using namespace poplardeal;

namespace {

using begin_result = outcome_table::begin_result;

instant at(std::int64_t seconds) { return instantFromMicros(seconds * 1'000'000); }

stored_outcome makeOutcome(run_verdict verdict, std::string body = "done")
{
    return { verdict, 200, {}, std::move(body), {} };
}

const idempotency_key key("refund-1");
const request_id first("r1");
const request_id second("r2");

} // namespace

BOOST_AUTO_TEST_SUITE(outcomes)

// Guards against a refund that is paid twice because its key came again during or after the first run.
BOOST_AUTO_TEST_CASE(repeats_get_the_first_outcome)
{
    outcome_table table;
    BOOST_TEST((table.begin(key, first, at(0)) == begin_result::run));
    BOOST_TEST((table.begin(key, second, at(0)) == begin_result::in_flight));
    table.finish(key, second, makeOutcome(run_verdict::not_run), at(1));
    BOOST_TEST((table.find(key, at(1)) == outcome_table::state::in_flight));
    table.finish(key, first, makeOutcome(run_verdict::ran), at(1));
    BOOST_TEST((table.begin(key, second, at(2)) == begin_result::finished));
    BOOST_TEST(table.outcome(key, at(2))->body == "done");
}

// Guards against a key that stays unusable although its request did not run.
BOOST_AUTO_TEST_CASE(request_that_did_not_run_frees_its_key)
{
    outcome_table table;
    table.begin(key, first, at(0));
    table.finish(key, first, makeOutcome(run_verdict::not_run), at(1));
    BOOST_TEST((table.begin(key, second, at(1)) == begin_result::run));
}

// Guards against outcomes that are held for ever, and against losing one that is still in flight.
BOOST_AUTO_TEST_CASE(finished_outcomes_are_kept_for_ten_minutes)
{
    outcome_table table;
    table.begin(key, first, at(0));
    BOOST_TEST((table.find(key, at(5000)) == outcome_table::state::in_flight));
    table.finish(key, first, makeOutcome(run_verdict::ran), at(5000));
    BOOST_TEST((table.find(key, at(5599)) == outcome_table::state::finished));
    BOOST_TEST((table.find(key, at(5600)) == outcome_table::state::unknown));
    BOOST_TEST(table.bytes() == 0U);
}

// Guards against memory that grows with the bodies, and against forgetting that a key has run when its body is dropped.
BOOST_AUTO_TEST_CASE(full_table_drops_bodies_and_refuses_keys)
{
    outcome_table_settings settings;
    settings.maxBytes = 10;
    settings.maxKeys = 3;
    outcome_table table(settings);
    for (const auto* name : { "k1", "k2", "k3" }) {
        table.begin(idempotency_key(name), first, at(0));
        table.finish(idempotency_key(name), first, makeOutcome(run_verdict::ran, "12345678"), at(0));
    }
    BOOST_TEST(table.bytes() <= 10U);
    BOOST_TEST(table.droppedBodies() == 2U);
    BOOST_TEST((table.begin(idempotency_key("k1"), second, at(1)) == begin_result::finished));
    BOOST_TEST((table.outcome(idempotency_key("k1"), at(1))->verdict == run_verdict::ran));
    BOOST_TEST(!table.outcome(idempotency_key("k1"), at(1))->error.empty());
    BOOST_TEST((table.begin(idempotency_key("k4"), first, at(1)) == begin_result::full));
    BOOST_TEST((table.begin(idempotency_key("k4"), first, at(600)) == begin_result::run));
}

// Guards against a second run of a key under any interleaving of beginnings and ends, within the retention.
BOOST_AUTO_TEST_CASE(key_runs_once_until_it_is_freed)
{
    const bool held = rc::check("one run per key", [] {
        outcome_table table;
        std::map<int, request_id> running;
        std::map<int, bool> hasRun;
        std::uint64_t nextId = 0;
        const auto steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
            const auto number = *rc::gen::inRange(0, 5);
            const idempotency_key some("k" + std::to_string(number));
            if (*rc::gen::arbitrary<bool>()) {
                const request_id id("r" + std::to_string(++nextId));
                const bool mayRun = !running.contains(number) && !hasRun[number];
                RC_ASSERT((table.begin(some, id, at(step)) == begin_result::run) == mayRun);
                if (mayRun)
                    running[number] = id;
            } else if (running.contains(number)) {
                const bool ran = *rc::gen::arbitrary<bool>();
                table.finish(
                    some, running[number], makeOutcome(ran ? run_verdict::ran : run_verdict::not_run), at(step));
                hasRun[number] = ran;
                running.erase(number);
            }
        }
    });
    BOOST_TEST(held);
}

BOOST_AUTO_TEST_SUITE_END()
