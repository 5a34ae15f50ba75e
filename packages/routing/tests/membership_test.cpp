#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <poplardeal/routing/membership.h>
#include <rapidcheck.h>

using namespace poplardeal;

namespace {

const service_name booking("booking");

announcement makeAnnouncement(const std::string& name, std::uint64_t process, std::uint64_t sequence)
{
    announcement made;
    made.endpoint = endpoint_id(name);
    made.service = booking;
    made.dataCentre = data_centre_name("plovdiv");
    made.process = incarnation(process);
    made.sequence = sequence;
    made.slots = 8;
    made.freeSlots = 8;
    return made;
}

instant at(std::int64_t milliseconds) { return instantFromMicros(milliseconds * 1000); }

struct order_row {
    std::uint64_t process;
    std::uint64_t sequence;
    announce_result expected;
};
std::ostream& operator<<(std::ostream& out, const order_row& row) { return out << row.process << "." << row.sequence; }

const order_row orderRows[] = {
    { 5, 11, announce_result::accepted },
    { 5, 10, announce_result::stale },
    { 5, 9, announce_result::stale },
    { 4, 99, announce_result::stale },
    { 6, 1, announce_result::accepted },
};

} // namespace

BOOST_AUTO_TEST_SUITE(membership)

// Guards against a late message of an earlier process or moment replacing the present state.
BOOST_DATA_TEST_CASE(older_announcements_are_ignored, orderRows, row)
{
    membership_table table({});
    table.take(makeAnnouncement("e1", 5, 10), at(0));
    BOOST_TEST((table.take(makeAnnouncement("e1", row.process, row.sequence), at(1)) == row.expected));
}

// Guards against requests to an endpoint that has been silent for 3 s, even if nobody calls `expire`.
BOOST_AUTO_TEST_CASE(silent_endpoints_are_forgotten_after_three_seconds)
{
    membership_table table({});
    table.take(makeAnnouncement("e1", 1, 1), at(0));
    BOOST_TEST(table.eligible(booking, at(2999)).size() == 1U);
    BOOST_TEST(table.eligible(booking, at(3000)).empty());
    BOOST_TEST(table.expire(at(3000)).size() == 1U);
    BOOST_TEST(table.presentCount(booking) == 0U);
    BOOST_TEST((table.take(makeAnnouncement("e1", 1, 1), at(3100)) == announce_result::stale));
    BOOST_TEST((table.take(makeAnnouncement("e1", 1, 2), at(3100)) == announce_result::accepted));
}

// Guards against new work for an endpoint that drains, has left, or lies in a data centre out of service.
BOOST_AUTO_TEST_CASE(leaving_endpoints_get_nothing_at_once)
{
    membership_table table({});
    auto draining = makeAnnouncement("e1", 1, 2);
    draining.state = endpoint_state::draining;
    table.take(makeAnnouncement("e1", 1, 1), at(0));
    table.take(draining, at(1));
    BOOST_TEST(table.eligible(booking, at(1)).empty());

    table.take(makeAnnouncement("e2", 1, 1), at(1));
    table.setOutOfService({ data_centre_name("plovdiv") });
    BOOST_TEST(table.eligible(booking, at(1)).empty());
    table.setOutOfService({});
    BOOST_TEST(table.eligible(booking, at(1)).size() == 1U);

    table.leave(endpoint_id("e2"), incarnation(1), at(2));
    BOOST_TEST(table.eligible(booking, at(2)).empty());
    BOOST_TEST((table.take(makeAnnouncement("e2", 1, 2), at(3)) == announce_result::stale));
    BOOST_TEST((table.take(makeAnnouncement("e2", 2, 1), at(3)) == announce_result::accepted));
}

// Guards against a lost connection of an earlier process removing the present one.
BOOST_AUTO_TEST_CASE(disconnect_concerns_one_process)
{
    membership_table table({});
    table.take(makeAnnouncement("e1", 2, 1), at(0));
    table.disconnect(endpoint_id("e1"), incarnation(1), at(1));
    BOOST_TEST(table.eligible(booking, at(1)).size() == 1U);
    table.disconnect(endpoint_id("e1"), incarnation(2), at(1));
    BOOST_TEST(table.eligible(booking, at(1)).empty());
    BOOST_TEST((table.take(makeAnnouncement("e1", 2, 2), at(2)) == announce_result::accepted));
}

// Guards against a table that depends on the order in which messages happen to arrive.
BOOST_AUTO_TEST_CASE(any_order_of_arrival_gives_the_newest_state)
{
    const bool held = rc::check("newest announcement wins", [] {
        const auto stamps = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::pair<std::uint8_t, std::uint8_t>>>(
            rc::gen::pair(rc::gen::inRange<std::uint8_t>(1, 4), rc::gen::inRange<std::uint8_t>(1, 20))));
        membership_table table({});
        for (const auto& [process, sequence] : stamps)
            table.take(makeAnnouncement("e1", process, sequence), at(0));
        const auto& last = table.find(endpoint_id("e1"))->last;
        const auto newest = *std::ranges::max_element(stamps);
        RC_ASSERT(last.process.value() == newest.first);
        RC_ASSERT(last.sequence == newest.second);
    });
    BOOST_TEST(held);
}

// Guards against an entry that tracks more than its share of a large service, or a share that depends on arrival order.
BOOST_AUTO_TEST_CASE(large_services_are_tracked_in_part)
{
    const bool held = rc::check("subset is the endpoints of highest weight", [] {
        auto numbers = std::vector<int>(250);
        for (int i = 0; i < 250; ++i)
            numbers[static_cast<std::size_t>(i)] = i;
        const auto shuffled = *rc::gen::exec([&] {
            auto order = numbers;
            std::shuffle(order.begin(), order.end(), std::mt19937_64(*rc::gen::arbitrary<std::uint64_t>()));
            return order;
        });
        membership_table table({ "entry-1" });
        for (const int number : shuffled)
            table.take(makeAnnouncement("e" + std::to_string(number), 1, 1), at(0));
        const auto tracked = table.eligible(booking, at(1));
        RC_ASSERT(tracked.size() == 100U);
        std::vector<std::uint64_t> weights;
        for (const int number : numbers)
            weights.push_back(rendezvousWeight("entry-1", endpoint_id("e" + std::to_string(number))));
        std::ranges::sort(weights, std::greater());
        for (const auto* record : tracked)
            RC_ASSERT(rendezvousWeight("entry-1", record->last.endpoint) >= weights[99]);
    });
    BOOST_TEST(held);
}

// Guards against a subset that stays full of draining endpoints, and against unbounded memory of endpoint names.
BOOST_AUTO_TEST_CASE(bounds_hold_and_give_way_to_serving_endpoints)
{
    membership_settings settings;
    settings.maxPerService = 2;
    settings.maxKnown = 4;
    membership_table table(settings);
    for (const auto* name : { "e1", "e2" }) {
        auto draining = makeAnnouncement(name, 1, 1);
        draining.state = endpoint_state::draining;
        table.take(draining, at(0));
    }
    BOOST_TEST((table.take(makeAnnouncement("e3", 1, 1), at(1)) == announce_result::accepted));
    BOOST_TEST(table.eligible(booking, at(1)).size() == 1U);
    for (int i = 0; i < 100; ++i)
        table.take(makeAnnouncement("x" + std::to_string(i), 1, 1), at(2));
    BOOST_TEST(table.knownCount() <= 4U);
    BOOST_TEST(table.presentCount(booking) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
