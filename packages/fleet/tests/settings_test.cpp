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
    { "losses that are tolerated", "bootstrap = true", "tolerated_losses = 2", "" },
    { "text as tolerated losses", "bootstrap = true", "tolerated_losses = \"two\"", "x:7: tolerated_losses" },
    { "expected times", "bootstrap = true", "uses_expected_times = true", "" },
    { "text as expected times", "bootstrap = true", "uses_expected_times = \"yes\"", "x:7: uses_expected_times" },
    { "stop of 0", "bootstrap = true", "stop_ms = 0", "x:7: stop_ms" },
    { "checkpoints in milliseconds", "bootstrap = true", "checkpoint_interval_s = 2000", "x:7: checkpoint_interval_s" },
    { "negative restore", "bootstrap = true", "restore_ms = -1", "x:7: restore_ms" },
    { "string as gang time", "bootstrap = true", "gang_ms = \"1500\"", "x:7: gang_ms" },
    { "reclaim of hours", "bootstrap = true", "reclaim_ms = 1e8", "x:7: reclaim_ms" },
    { "negative notice", "bootstrap = true", "notice_ms = -1", "x:7: notice_ms" },
    { "string as switch", "bootstrap = true", "weighs_preemptions = \"true\"", "x:7: weighs_preemptions" },
    { "memory that no process starts in", "bootstrap = true", "memory_mb = 1", "x:7: memory_mb" },
    { "too few descriptors", "bootstrap = true", "max_fds = 8", "x:7: max_fds" },
    { "string as header timeout", "bootstrap = true", "header_timeout_ms = \"1\"", "x:7: header_timeout_ms" },
    { "text as separation", "bootstrap = true", "separates_interfering = \"no\"", "x:7: separates_interfering" },
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

// The platform states other times than the defaults. Guards against costs that are reckoned with constants all the
// same, and against a file without them that is served otherwise than before.
BOOST_AUTO_TEST_CASE(times_of_runs_are_taken_over)
{
    const auto preset = parseFleetSettings(validText, "x").value();
    BOOST_TEST(preset.timing.stop.count() == 400000);
    BOOST_TEST(preset.timing.checkpointInterval.count() == 500000);
    BOOST_TEST(preset.timing.restore.count() == 600000);
    BOOST_TEST(!preset.weighsPreemptions);
    const auto text = validText
        + "stop_ms = 200\ncheckpoint_interval_s = 2\nrestore_ms = 100\ngang_ms = 900\nreclaim_ms = 2600\n"
          "notice_ms = 1900\nweighs_preemptions = true\n";
    const auto read = parseFleetSettings(text, "x").value();
    BOOST_TEST(read.timing.stop.count() == 200000);
    BOOST_TEST(read.timing.checkpointInterval.count() == 2000000);
    BOOST_TEST(read.timing.restore.count() == 100000);
    BOOST_TEST(read.timing.gangStart.count() == 900000);
    BOOST_TEST(read.timing.reclaim.count() == 2600000);
    BOOST_TEST(read.timing.notice.count() == 1900000);
    BOOST_TEST(read.weighsPreemptions);
}
