#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <poplardeal/routing/endpoint_choice.h>
#include <poplardeal/routing/random_choice.h>
#include <rapidcheck.h>
#include <vector>

using namespace poplardeal;

namespace {

const service_name desk("lending-desk");

instant at(std::int64_t milliseconds) { return instantFromMicros(milliseconds * 1000); }

/// An entry with its table and chooser, and 11 endpoints in three data centres.
struct fixture {
    explicit fixture(std::uint64_t seed = 7, const std::string& dataCentre = "kariakoo")
        : chooser(settingsOf(dataCentre), seed)
    {
    }

    static choice_settings settingsOf(const std::string& dataCentre)
    {
        choice_settings settings;
        settings.dataCentre = data_centre_name(dataCentre);
        return settings;
    }

    void announce(const std::string& name, const std::string& dataCentre, unsigned freeSlots, instant now)
    {
        announcement report;
        report.endpoint = endpoint_id(name);
        report.service = desk;
        report.dataCentre = data_centre_name(dataCentre);
        report.process = incarnation(1);
        report.sequence = ++sequence;
        report.slots = 8;
        report.freeSlots = freeSlots;
        table.take(report, now);
        chooser.reported(report, now);
    }

    std::string choose(instant now, bool mayProbe = false, const std::set<endpoint_id>& excluded = {})
    {
        const auto chosen = chooser.choose(table, desk, excluded, mayProbe, now);
        return chosen ? chosen->value() : "";
    }

    std::string call(call_result result, instant sentAt, instant doneAt)
    {
        const auto name = choose(sentAt);
        chooser.sent(endpoint_id(name), sentAt);
        chooser.finished(endpoint_id(name), result, sentAt, doneAt);
        return name;
    }

    membership_table table { {} };
    endpoint_chooser chooser;
    std::uint64_t sequence { 0 };
};

} // namespace

BOOST_AUTO_TEST_SUITE(choice)

// Guards against needless hops between data centres, and against staying near when the near endpoints are full.
BOOST_AUTO_TEST_CASE(nearer_data_centre_comes_first_until_it_is_full)
{
    fixture entry;
    entry.announce("near", "kariakoo", 2, at(0));
    entry.announce("far-1", "msasani", 8, at(0));
    entry.announce("far-2", "ubungo", 8, at(0));
    for (int i = 0; i < 2; ++i) {
        BOOST_TEST(entry.choose(at(10)) == "near");
        entry.chooser.sent(endpoint_id("near"), at(10));
    }
    BOOST_TEST(entry.choose(at(10)) != "near");
}

// Guards against the bound of the report being overrun by the entry's own requests, which the report cannot know yet.
BOOST_AUTO_TEST_CASE(own_requests_since_the_report_count)
{
    fixture entry;
    const endpoint_id id("e1");
    entry.announce("e1", "kariakoo", 8, at(0));
    for (int i = 0; i < 5; ++i)
        entry.chooser.sent(id, at(10));
    BOOST_TEST(entry.chooser.expectedFree(id) == 3);
    // The report sees those requests, another entry's request too, and one finishes after it.
    entry.announce("e1", "kariakoo", 2, at(100));
    BOOST_TEST(entry.chooser.expectedFree(id) == 2);
    entry.chooser.finished(id, call_result::ok, at(10), at(110));
    BOOST_TEST(entry.chooser.expectedFree(id) == 3);
    // A report that was under way when a request was sent does not include it.
    entry.chooser.sent(id, at(198));
    entry.announce("e1", "kariakoo", 4, at(200));
    BOOST_TEST(entry.chooser.expectedFree(id) == 3);
    // A report that has lost count cannot promise more than the slots that the entry's own requests leave.
    entry.announce("e1", "kariakoo", 8, at(300));
    BOOST_TEST(entry.chooser.expectedFree(id) == 3);
}

// Guards against a refusal for lack of room that is answered with more requests until the next report.
BOOST_AUTO_TEST_CASE(overloaded_endpoint_counts_as_full_until_its_next_report)
{
    fixture entry;
    entry.announce("e1", "kariakoo", 8, at(0));
    entry.announce("e2", "kariakoo", 8, at(0));
    const auto refusing = entry.call(call_result::overloaded, at(10), at(12));
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(entry.choose(at(20)) != refusing);
}

// Guards against a black hole: an endpoint that answers at once with an error always has free slots.
BOOST_AUTO_TEST_CASE(black_hole_does_not_attract_load)
{
    fixture entry;
    std::map<std::string, int> calls;
    std::int64_t now = 0;
    for (int i = 0; i < 5000; ++i) {
        now = i * 2;
        if (i % 250 == 0) {
            for (int e = 0; e < 11; ++e)
                entry.announce("e" + std::to_string(e), "kariakoo", e == 0 ? 8 : 2, at(now));
        }
        const auto name = entry.choose(at(now), true);
        BOOST_REQUIRE(!name.empty());
        ++calls[name];
        const auto result = name == "e0" ? call_result::failed : call_result::ok;
        entry.chooser.sent(endpoint_id(name), at(now));
        entry.chooser.finished(endpoint_id(name), result, at(now), at(now + (name == "e0" ? 0 : 1)));
    }
    // Three failures bring probation; then probes after 1, 2, 4 s, each at least 0.8 of that.
    BOOST_TEST(calls["e0"] <= 7);
    BOOST_TEST(calls["e0"] >= 4);
}

// Guards against a slow endpoint that gets as much as the others.
BOOST_AUTO_TEST_CASE(slow_endpoint_gets_less)
{
    fixture entry;
    std::map<std::string, int> calls;
    for (int i = 0; i < 2000; ++i) {
        if (i % 100 == 0) {
            for (const auto* name : { "fast-1", "fast-2", "fast-3", "slow" })
                entry.announce(name, "kariakoo", 8, at(i));
        }
        const auto name = entry.choose(at(i));
        ++calls[name];
        entry.chooser.sent(endpoint_id(name), at(i));
        entry.chooser.finished(endpoint_id(name), call_result::ok, at(i), at(i + (name == "slow" ? 50 : 5)));
    }
    BOOST_TEST(calls["slow"] * 4 < calls["fast-1"]);
}

// Guards against refusing everything when all endpoints fail for one common reason.
BOOST_AUTO_TEST_CASE(probation_of_all_is_ignored)
{
    fixture entry;
    entry.announce("e1", "kariakoo", 8, at(0));
    entry.announce("e2", "kariakoo", 8, at(0));
    for (int i = 0; i < 20; ++i)
        entry.call(call_result::failed, at(1), at(2));
    BOOST_TEST(!entry.choose(at(10)).empty());
    BOOST_TEST(entry.choose(at(10), false, { endpoint_id("e1"), endpoint_id("e2") }).empty());
}

// Guards against short deadlines of callers that bring probation on an endpoint that works.
BOOST_AUTO_TEST_CASE(short_deadlines_are_no_fault_of_the_endpoint)
{
    fixture entry;
    const endpoint_id id("e1");
    entry.announce("e1", "kariakoo", 8, at(0));
    entry.call(call_result::ok, at(0), at(100));
    for (int i = 0; i < 10; ++i)
        entry.call(call_result::late, at(200), at(210));
    BOOST_TEST((entry.chooser.standing(id, at(300)) == outlier_detector::standing::healthy));
    for (int i = 0; i < 3; ++i)
        entry.call(call_result::late, at(300), at(800));
    BOOST_TEST((entry.chooser.standing(id, at(800)) == outlier_detector::standing::waiting));
}

/// Requests at the busiest of 11 endpoints after 4 entries with equal reports have sent 11 requests each in turn.
/// `e3` has one more free slot in the reports. `firstToBest` counts the entries whose first request goes there.
template <class Choose> int largestLoad(std::uint64_t seed, int& firstToBest, Choose choose)
{
    std::vector<std::unique_ptr<fixture>> entries;
    for (std::uint64_t e = 0; e < 4; ++e) {
        entries.push_back(std::make_unique<fixture>(seed * 4 + e));
        for (int i = 0; i < 11; ++i)
            entries.back()->announce("e" + std::to_string(i), "kariakoo", i == 3 ? 8 : 7, at(0));
    }
    std::map<std::string, int> calls;
    for (int i = 0; i < 44; ++i) {
        auto& entry = *entries[static_cast<std::size_t>(i % 4)];
        const auto name = choose(entry);
        entry.chooser.sent(endpoint_id(name), at(10));
        ++calls[name];
        if (i < 4 && name == "e3")
            ++firstToBest;
    }
    return std::ranges::max_element(calls, {}, [](const auto& item) { return item.second; })->second;
}

// Guards against probation of an overloaded endpoint, which answers some requests while others wait in vain.
BOOST_AUTO_TEST_CASE(late_calls_beside_good_ones_are_no_fault)
{
    fixture entry;
    entry.announce("e1", "kariakoo", 8, at(0));
    for (int i = 0; i < 10; ++i) {
        entry.call(call_result::ok, at(i * 100), at(i * 100 + 90));
        entry.call(call_result::late, at(i * 100 - 1000), at(i * 100 + 95));
    }
    BOOST_TEST((entry.chooser.standing(endpoint_id("e1"), at(2000)) == outlier_detector::standing::healthy));
}

// Guards against entries that hold the same reports and all choose the same endpoint. If each took the endpoint with
// most free slots, e3 would get the first request of each.
BOOST_AUTO_TEST_CASE(entries_with_equal_reports_do_not_herd)
{
    constexpr int rounds = 200;
    int firstByPair = 0;
    int firstByChance = 0;
    int pairLoad = 0;
    int chanceLoad = 0;
    random_chooser baseline(1);
    for (std::uint64_t round = 0; round < rounds; ++round) {
        pairLoad += largestLoad(round, firstByPair, [](fixture& entry) { return entry.choose(at(10)); });
        chanceLoad += largestLoad(
            round, firstByChance, [&](fixture& entry) { return baseline.choose(entry.table, desk, at(10))->value(); });
    }
    BOOST_TEST(pairLoad < chanceLoad);
    BOOST_TEST(pairLoad < 7 * rounds);
    // e3 is in 2 of 11 pairs, so 2 of 11 entries choose it first, against all of them with herding.
    BOOST_TEST(firstByPair < 4 * rounds / 4);
    BOOST_TEST(firstByPair > firstByChance);
}

// Guards against requests to endpoints that are excluded, draining or unknown, whatever has been reported and sent.
BOOST_AUTO_TEST_CASE(only_eligible_endpoints_are_chosen)
{
    const bool held = rc::check("choice is eligible and not excluded", [] {
        fixture entry(*rc::gen::arbitrary<std::uint64_t>());
        std::set<endpoint_id> excluded;
        std::int64_t now = 0;
        for (int step = 0; step < 100; ++step) {
            now += *rc::gen::inRange(0, 100);
            const auto name = "e" + std::to_string(*rc::gen::inRange(0, 5));
            const auto action = *rc::gen::inRange(0, 4);
            if (action == 0)
                entry.announce(
                    name, *rc::gen::element<std::string>("kariakoo", "msasani"), *rc::gen::inRange(0U, 9U), at(now));
            else if (action == 1)
                entry.chooser.sent(endpoint_id(name), at(now));
            else if (action == 2)
                entry.chooser.finished(endpoint_id(name),
                    *rc::gen::element(call_result::ok, call_result::failed, call_result::overloaded), at(now), at(now));
            else
                excluded = { endpoint_id(name) };
            const auto eligible = entry.table.eligible(desk, at(now));
            const auto isOther
                = [&](const endpoint_record* record) { return !excluded.contains(record->last.endpoint); };
            const auto chosen = entry.chooser.choose(entry.table, desk, excluded, false, at(now));
            if (!chosen)
                continue;
            RC_ASSERT(std::ranges::any_of(eligible,
                [&](const endpoint_record* record) { return record->last.endpoint == *chosen && isOther(record); }));
        }
    });
    BOOST_TEST(held);
}

// Guards against a baseline that is not random, or offers endpoints that are not eligible.
BOOST_AUTO_TEST_CASE(random_choice_covers_all_eligible_endpoints)
{
    fixture entry;
    for (const auto* name : { "e1", "e2", "e3" })
        entry.announce(name, "msasani", 0, at(0));
    random_chooser baseline(1);
    std::map<std::string, int> calls;
    for (int i = 0; i < 300; ++i)
        ++calls[baseline.choose(entry.table, desk, at(1))->value()];
    BOOST_TEST(calls.size() == 3U);
    for (const auto& [name, count] : calls)
        BOOST_TEST(count > 60);
    BOOST_TEST(!baseline.choose(entry.table, desk, at(3001)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
