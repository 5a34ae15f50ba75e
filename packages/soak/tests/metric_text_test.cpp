#include "metric_text.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>

using namespace poplardeal::soak;

namespace {

const std::string text = "# HELP voters Voting members\n# TYPE voters gauge\nvoters 5\nvoters_needed 3\n"
                         "lag{member=\"1\"} 7\nmargin NaN\nempty \nlast -2.5";

struct metric_row {
    std::string name;
    std::optional<double> value;
};
std::ostream& operator<<(std::ostream& out, const metric_row& row) { return out << row.name; }

// Each row guards against a soak that takes another number for the state of a group.
const std::vector<metric_row> metricRows {
    { "voters", 5.0 },
    { "voters_needed", 3.0 },
    { "voters_", std::nullopt },
    { "lag", std::nullopt },
    { "empty", std::nullopt },
    { "last", -2.5 },
    { "absent", std::nullopt },
};

struct margin_row {
    std::size_t controls;
    std::size_t toleratedLosses;
    std::size_t margin;
};
std::ostream& operator<<(std::ostream& out, const margin_row& row) { return out << row.controls; }

// Each row guards against a soak that asks more, or less, of a group than its size and its deployment give.
const std::vector<margin_row> marginRows { { 0, 1, 0 }, { 1, 1, 0 }, { 2, 1, 0 }, { 3, 1, 1 }, { 4, 1, 1 }, { 5, 2, 2 },
    { 7, 2, 2 } };

} // namespace

BOOST_DATA_TEST_CASE(metrics_are_read_by_their_whole_name, boost::unit_test::data::make(metricRows), row)
{
    const auto value = readMetric(text, row.name);
    BOOST_TEST((value == row.value));
}

BOOST_DATA_TEST_CASE(the_margin_is_that_of_the_deployment, boost::unit_test::data::make(marginRows), row)
{
    BOOST_TEST(neededMargin(row.controls, row.toleratedLosses) == row.margin);
}
