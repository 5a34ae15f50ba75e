#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <poplardeal/fleet/settings.h>

using namespace poplardeal;

namespace {

const std::string validText = "role = \"queue-control\"\nname = \"c1\"\ndata_centre = \"east\"\nip = \"10.0.0.1\"\n"
                              "frame_port = 7000\nseeds = [\"10.0.0.1:80\"]\nbootstrap = true\nlease_ms = 6000\n"
                              "stop_grace_s = 6.0\nhttp = \"10.0.0.1:80\"\ndata_folder = \"/data\"\n";

struct settings_row {
    std::string name;
    std::string from;
    std::string to;
    std::string fault; ///< Expected part of the error message; empty if the settings are valid.
};
std::ostream& operator<<(std::ostream& out, const settings_row& row) { return out << row.name; }

const std::vector<settings_row> rows {
    { "valid", "", "", "" },
    { "unknown keys are ignored", "name = ", "new = 1\nname = ", "" },
    { "unknown role", "queue-control", "queen", "x:1: role" },
    { "no name", "name = \"c1\"", "name = \"\"", "x:2: name" },
    { "port out of range", "7000", "70000", "x:5: frame_port" },
    { "no seeds", "[\"10.0.0.1:80\"]", "[]", "x:6: seeds" },
    { "seed without port", "[\"10.0.0.1:80\"]", "[\"10.0.0.1\"]", "x:6: seeds" },
    { "seed with port 0", "[\"10.0.0.1:80\"]", "[\"10.0.0.1:0\"]", "x:6: seeds" },
    { "seed that is unspecified", "[\"10.0.0.1:80\"]", "[\"0.0.0.0:80\"]", "x:6: seeds" },
    { "seed that is a number", "[\"10.0.0.1:80\"]", "[7]", "x:6: seeds" },
    { "string as lease", "6000", "\"6000\"", "x:8: lease_ms" },
    { "no data folder", "data_folder = \"/data\"\n", "", "data_folder" },
    { "no entries between snapshots", "bootstrap = true", "snapshot_every = 0", "x:7: snapshot_every" },
    { "order of work", "bootstrap = true", "work_order = \"value\"", "" },
    { "unknown order of work", "bootstrap = true", "work_order = \"size\"", "x:7: work_order" },
    { "not TOML", "role = ", "role ", "x:1" },
};

} // namespace

// Guards against a process that starts with invalid settings.
BOOST_DATA_TEST_CASE(fleet_settings_are_checked, boost::unit_test::data::make(rows), row)
{
    auto text = validText;
    if (!row.from.empty())
        text.replace(text.find(row.from), row.from.size(), row.to);
    const auto read = parseFleetSettings(text, "x");
    BOOST_TEST(read.has_value() == row.fault.empty());
    if (read.has_error())
        BOOST_TEST(read.error().message.find(row.fault) != std::string::npos, read.error().message);
    else
        BOOST_TEST(read.value().leaseLength.count() == 6000000);
}
