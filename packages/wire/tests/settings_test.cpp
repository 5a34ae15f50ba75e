#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <ostream>
#include <poplardeal/wire/settings.h>
#include <unistd.h>

using namespace poplardeal;

namespace {

/// A folder that is removed with all files at the end of the test.
struct settings_fixture {
    std::filesystem::path folder { std::filesystem::temp_directory_path()
        / ("poplardeal-settings-" + std::to_string(getpid())) };
    std::string file { (folder / "daemon.toml").string() };

    settings_fixture() { std::filesystem::create_directories(folder / "data"); }
    ~settings_fixture() { std::filesystem::remove_all(folder); }

    /// "FOLDER" in the text stands for the folder.
    result<daemon_settings> read(std::string text) const
    {
        replaceAll(text, "FOLDER", folder.string());
        std::ofstream(file) << text;
        return readSettings(file);
    }

    static void replaceAll(std::string& text, const std::string& from, const std::string& to)
    {
        for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
            text.replace(at, from.size(), to);
    }
};

const std::string common = "name = \"n-1\"\ndata_centre = \"kariakoo\"\n";
const std::string control = "role = \"control\"\n" + common + R"([control]
replica = 1
data_folder = "FOLDER/data"
listen = "127.0.0.1:7001"
http = "127.0.0.1:8001"
[[control.peer]]
replica = 1
listen = "127.0.0.1:7001"
http = "127.0.0.1:8001"
[[control.peer]]
replica = 2
listen = "127.0.0.1:7002"
http = "127.0.0.1:8002"
)";
const std::string entry = "role = \"entry\"\n" + common + R"(log_file = "FOLDER/entry.log"
log_level = "debug"
[entry]
http = "127.0.0.1:0"
listen = "[::1]:7100"
controls = ["127.0.0.1:7001", "127.0.0.1:7002"]
)";
const std::string besideWorker = "role = \"sidecar\"\n" + common + R"([sidecar]
beside = "worker"
target = "127.0.0.1:9000"
controls = ["127.0.0.1:7001"]
rack = "kariakoo-r1"
http = "127.0.0.1:9100"
)";
const std::string besideEndpoint = "role = \"sidecar\"\n" + common + R"([sidecar]
beside = "endpoint"
target = "127.0.0.1:9000"
controls = ["127.0.0.1:7001"]
entries = ["127.0.0.1:7100"]
service = "lending-desk"
)";

/// One change of a valid file and the message it must give.
struct fault_row {
    const std::string& valid;
    std::string from;
    std::string to;
    std::string message; ///< After "FILE:".
};
std::ostream& operator<<(std::ostream& out, const fault_row& row) { return out << row.from << " -> " << row.to; }

const fault_row faultRows[] = {
    { entry, "name = ", "nmae = ", "2: nmae: unknown key" },
    { entry, "name = \"n-1\"\n", "", "1: name: missing" },
    { entry, "\"n-1\"", "\"\"", "2: name: must not be empty" },
    { entry, "\"n-1\"", "\"a b\"", "2: name: must be at most 64 letters, digits, '-', '_' or '.'" },
    { entry, "\"n-1\"", "7", "2: name: must be a string" },
    { entry, "\"entry\"", "\"proxy\"", "1: role: must be one of control, entry, sidecar" },
    { entry, "\"entry\"", "\"control\"", "6: entry: not used by role control" },
    { entry, "\"debug\"", "\"loud\"", "5: log_level: must be one of debug, info, warning, error" },
    { entry, "FOLDER/entry.log", "/missing-folder/x", "4: log_file: folder '/missing-folder' does not exist" },
    { entry, "[entry]", "[entry", "6: syntax: " },
    { entry, "[entry]", "[sidecar]\n[entry]", "6: sidecar: not used by role entry" },
    { entry, "http = \"127.0.0.1:0\"", "http = \"localhost:80\"", "7: entry.http: 'localhost:80' is not IP:PORT" },
    { entry, "http = \"127.0.0.1:0\"", "http = 80", "7: entry.http: must be a string \"IP:PORT\"" },
    { entry, "http = \"127.0.0.1:0\"", "", "6: entry.http: missing" },
    { entry, "127.0.0.1:7002", "127.0.0.1:7001", "9: entry.controls: 127.0.0.1:7001 is listed twice" },
    { entry, "127.0.0.1:7002", "127.0.0.1:0", "9: entry.controls: the port must not be 0" },
    { entry, "controls = [\"127.0.0.1:7001\", \"127.0.0.1:7002\"]", "controls = []",
        "9: entry.controls: must be a list of at least one \"IP:PORT\"" },
    { control, "replica = 1\ndata", "replica = 0\ndata", "5: control.replica: must be from 1 to 1000" },
    { control, "replica = 1\ndata", "replica = 1.0\ndata", "5: control.replica: must be a whole number" },
    { control, "replica = 1\ndata", "replica = 3\ndata",
        "9: control.peer: must list this replica with the same listen and http addresses" },
    // A replica that lost its disk must not vote at once because of a key left in its settings.
    { control, "replica = 1\ndata", "bootstrap = true\nreplica = 1\ndata", "5: control.bootstrap: unknown key" },
    { control, "FOLDER/data", "/missing-folder", "6: control.data_folder: folder '/missing-folder' does not exist" },
    { control, "FOLDER/data", "FOLDER/daemon.toml", "6: control.data_folder: folder " },
    { control, "replica = 2", "replica = 1", "13: control.peer: replica 1 is listed twice" },
    { control, ":8002", ":7001", "13: control.peer: 127.0.0.1:7001 is listed twice" },
    { control, "replica = 2", "replica = 2\nvoter = true", "15: control.peer.voter: unknown key" },
    { control, "[[control.peer]]", "[[control.peers]]", "9: control.peers: unknown key" },
    { besideWorker, "\"worker\"", "\"both\"", "5: sidecar.beside: must be one of worker, endpoint" },
    { besideWorker, "rack = ", "service = ", "8: sidecar.service: only for a sidecar beside an endpoint" },
    { besideWorker, "rack = \"kariakoo-r1\"\n", "", "4: sidecar.rack: missing" },
    { besideWorker, "127.0.0.1:9000", "127.0.0.1:0", "6: sidecar.target: the port must not be 0" },
    { besideEndpoint, "entries = [\"127.0.0.1:7100\"]\n", "", "4: sidecar.entries: missing" },
    { besideEndpoint, "service = ", "rack = \"r\"\nservice = ", "9: sidecar.rack: only for a sidecar beside a worker" },
    { besideEndpoint, "service = ", "slots = 0\nservice = ", "9: sidecar.slots: must be from 1 to 1024" },
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(settings, settings_fixture)

// Guards against a faulty file that is accepted, and against messages that point to the wrong place.
BOOST_DATA_TEST_CASE_F(settings_fixture, faults_name_file_line_key_and_reason, faultRows, row)
{
    auto text = row.valid;
    BOOST_REQUIRE(text.find(row.from) != std::string::npos);
    replaceAll(text, row.from, row.to);
    const auto got = read(text);
    BOOST_REQUIRE(got.has_error());
    BOOST_TEST((got.error().code == failure_code::invalid_argument));
    const auto expected = file + ":" + row.message;
    BOOST_TEST(got.error().message.substr(0, expected.size()) == expected);
}

// Guards against values that land in the wrong member.
BOOST_AUTO_TEST_CASE(control_settings_are_read)
{
    const auto got = read(control);
    BOOST_REQUIRE_MESSAGE(got.has_value(), (got.has_error() ? got.error().message : ""));
    const auto& settings = got.value();
    BOOST_REQUIRE(settings.control.has_value());
    BOOST_TEST((settings.role == daemon_role::control));
    BOOST_TEST(settings.name == "n-1");
    BOOST_TEST(settings.dataCentre == data_centre_name("kariakoo"));
    BOOST_TEST((settings.logLevel == log_level::info));
    BOOST_TEST(settings.control->replica == replica_id(1));
    BOOST_TEST(!settings.control->bootstrap);
    BOOST_TEST(settings.control->dataFolder == (folder / "data").string());
    BOOST_REQUIRE(settings.control->peers.size() == 2);
    const control_peer second { replica_id(2), { "127.0.0.1", 7002 }, { "127.0.0.1", 8002 } };
    BOOST_TEST((settings.control->peers[1] == second));
    BOOST_TEST((!settings.entry && !settings.sidecar));
}

BOOST_AUTO_TEST_CASE(entry_settings_are_read)
{
    const auto got = read(entry);
    BOOST_REQUIRE_MESSAGE(got.has_value(), (got.has_error() ? got.error().message : ""));
    BOOST_REQUIRE(got.value().entry.has_value());
    BOOST_TEST((got.value().logLevel == log_level::debug));
    BOOST_TEST(got.value().logFile == (folder / "entry.log").string());
    BOOST_TEST((got.value().entry->listen == address { "::1", 7100 }));
    BOOST_TEST(got.value().entry->controls.size() == 2);
    BOOST_TEST(!std::filesystem::exists(got.value().logFile));
}

BOOST_AUTO_TEST_CASE(sidecar_settings_are_read_with_defaults)
{
    const auto worker = read(besideWorker);
    BOOST_REQUIRE_MESSAGE(worker.has_value(), (worker.has_error() ? worker.error().message : ""));
    BOOST_TEST((worker.value().sidecar->http == address { "127.0.0.1", 9100 }));
    BOOST_TEST(worker.value().sidecar->rack == rack_name("kariakoo-r1"));
    const auto endpoint = read(besideEndpoint);
    BOOST_REQUIRE_MESSAGE(endpoint.has_value(), (endpoint.has_error() ? endpoint.error().message : ""));
    BOOST_TEST((endpoint.value().sidecar->beside == sidecar_kind::endpoint));
    BOOST_TEST(endpoint.value().sidecar->service == service_name("lending-desk"));
    BOOST_TEST(endpoint.value().sidecar->slots == 8);
    BOOST_TEST(endpoint.value().sidecar->connections == 64);
    BOOST_TEST(!endpoint.value().sidecar->http.has_value());
}

// Guards against a file that cannot be read being taken for one without keys.
BOOST_AUTO_TEST_CASE(unreadable_file_is_an_io_error)
{
    for (const auto& path : { (folder / "missing.toml").string(), folder.string() }) {
        const auto got = readSettings(path);
        BOOST_REQUIRE(got.has_error());
        BOOST_TEST((got.error().code == failure_code::io_error));
    }
}

BOOST_AUTO_TEST_SUITE_END()
