#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <iostream>
#include <poplardeal/deployment/plan.h>
#include <poplardeal/deployment/toml.h>
#include <poplardeal/placement/admission.h>
#include <sstream>

// The example programs, with their main functions under other names.
namespace tz_coast {
#define main printDeploymentOfExample
#include "../../../examples/tz_coast.cpp"
#undef main
}
namespace bg_south {
#define main printDeploymentOfExample
#include "../../../examples/bg_south.cpp"
#undef main
}

namespace {

struct example_row {
    std::string name;
    int (*print)();
};
std::ostream& operator<<(std::ostream& out, const example_row& row) { return out << row.name; }

const example_row exampleRows[] = {
    { "tz-coast", tz_coast::printDeploymentOfExample },
    { "bg-south", bg_south::printDeploymentOfExample },
};

std::string printed(const example_row& row)
{
    std::ostringstream out;
    auto* before = std::cout.rdbuf(out.rdbuf());
    const int code = row.print();
    std::cout.rdbuf(before);
    BOOST_TEST(code == 0);
    return out.str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(examples)

// Guards against examples whose guarantees do not fit, also after the loss of any one data centre.
BOOST_DATA_TEST_CASE(guarantees_fit_with_room_to_spare, exampleRows, row)
{
    const auto plan = poplardeal::parseDeployment(printed(row), row.name);
    BOOST_REQUIRE(plan.has_value());
    std::int64_t workers = 0;
    for (const auto& pool : plan.value().workerPools)
        workers += pool.workers;
    BOOST_TEST(workers == 11);
    BOOST_TEST(plan.value().dataCentres.size() == 3u);
    BOOST_TEST(plan.value().workspaces.size() == 4u);
    const auto report = admit(plan.value());
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST(report.value().exposures.empty());
}

BOOST_AUTO_TEST_SUITE_END()
