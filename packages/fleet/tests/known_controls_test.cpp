#include "known_controls.h"
#include "membership_manager.h"
#include "replica_address.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace poplardeal;
using namespace poplardeal::detail;

struct known_row {
    const char* name;
    std::string leader;
    std::vector<std::string> controls;
    std::size_t known;
};

static std::ostream& operator<<(std::ostream& out, const known_row& row) { return out << row.name; }

static const known_row knownRows[] = {
    { "nothing", "", {}, 0 },
    { "members without a leader", "", { "10.0.0.1:70", "10.0.0.2:70" }, 2 },
    { "a leader that is a member", "10.0.0.2:70", { "10.0.0.1:70", "10.0.0.2:70" }, 2 },
    { "a leader that is no member by old news", "10.0.0.3:70", { "10.0.0.1:70", "10.0.0.2:70" }, 3 },
    { "odd addresses", "nonsense", { "10.0.0.1:70", "0.0.0.0:70", "255.255.255.255:70", "10.0.0.2" }, 1 },
    { "too many", "10.0.0.2:70", std::vector<std::string>(known_controls::maxKnown + 1, "10.0.0.1:70"), 0 },
};

// Guards against a control that looks for its group at odd addresses, or misses a control that others name.
BOOST_DATA_TEST_CASE(controls_that_hints_name_are_known, boost::unit_test::data::make(knownRows), row)
{
    message::control_hintT hint;
    hint.leader = row.leader;
    hint.controls = row.controls;
    known_controls known;
    BOOST_TEST(known.record(hint) == (row.known > 0));
    BOOST_TEST(known.list().size() == row.known);
    BOOST_TEST(!known.record(hint));
}

// Guards against old news that keeps the present controls out.
BOOST_AUTO_TEST_CASE(the_controls_named_last_are_kept)
{
    known_controls known;
    message::control_hintT hint;
    for (std::size_t i = 1; i <= known_controls::maxKnown + 3; ++i) {
        hint.controls = { "10.0.0." + std::to_string(i) + ":70", "10.0.1.1:70" };
        BOOST_TEST(known.record(hint));
    }
    BOOST_TEST(known.list().size() == known_controls::maxKnown);
    BOOST_TEST((known.list().back() == replicaIdFromIp("10.0.1.1")));
    BOOST_TEST((known.list().front() == replicaIdFromIp("10.0.0.5")));
}

// Guards against a control that asks again and again at once, because old and new hints take each other's places.
BOOST_AUTO_TEST_CASE(hints_of_two_memberships_are_known_beside_each_other)
{
    known_controls known;
    const auto recordMembers = [&](const std::string& network) {
        message::control_hintT hint;
        for (std::size_t i = 1; i <= membership_manager::maxMembers; ++i)
            hint.controls.push_back(network + std::to_string(i) + ":70");
        hint.leader = network + "100:70";
        return known.record(hint);
    };
    BOOST_TEST(recordMembers("10.0.0."));
    BOOST_TEST(recordMembers("10.0.1."));
    BOOST_TEST(!recordMembers("10.0.0."));
    BOOST_TEST(!recordMembers("10.0.1."));
}
