#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <poplardeal/wire/settings.h>

using namespace poplardeal;

namespace {

const std::string common = "name = \"x\"\ndata_centre = \"a\"\n";
const std::string entryText = "role = \"entry\"\n" + common
    + "[entry]\nhttp = \"127.0.0.1:1\"\nlisten = \"127.0.0.1:2\"\ncontrols = [\"[::1]:3\"]\n";
const std::string workerText = "role = \"sidecar\"\n" + common
    + "[sidecar]\nbeside = \"worker\"\ntarget = \"127.0.0.1:1\"\nrack = \"r1\"\ncontrols = [\"127.0.0.1:3\"]\n";
const std::string endpointText = "role = \"sidecar\"\n" + common
    + "[sidecar]\nbeside = \"endpoint\"\ntarget = \"127.0.0.1:1\"\nservice = \"desk\"\nentries = [\"127.0.0.1:2\"]\n"
      "controls = [\"127.0.0.1:3\"]\n";

std::string controlText(const std::string& folder, const std::string& peers)
{
    return "role = \"control\"\n" + common + "[control]\nreplica = 1\ndata_folder = \"" + folder
        + "\"\nlisten = \"127.0.0.1:1\"\nhttp = \"127.0.0.1:2\"\n" + peers;
}

std::string peerText(int replica)
{
    return "[[control.peer]]\nreplica = " + std::to_string(replica)
        + "\nlisten = \"127.0.0.1:1\"\nhttp = \"127.0.0.1:2\"\n";
}

struct refused_row {
    std::string text;
    std::string expected; ///< Start of the error after "f.toml:".
};
std::ostream& operator<<(std::ostream& out, const refused_row& row) { return out << row.expected; }

const refused_row refusedRows[] = {
    { "role = \"entry\"\nrole = ", "2: " },
    { "role = \"king\"\n" + common, "1: role: must be" },
    { entryText + "extra = 1\n", "8: entry.extra: is not a known key" },
    { "extra = 1\n" + entryText, "1: extra: is not a known key" },
    { "role = \"entry\"\n" + common + "[entry]\nhttp = \"example:1\"\n", "5: entry.http: " },
    { "role = \"entry\"\n" + common + "[entry]\nhttp = 80\n", "5: entry.http: must be an address" },
    { "role = \"entry\"\n" + common + "[entry]\nhttp = \"127.0.0.1:1\"\n", "4: entry.listen: is missing" },
    { "role = \"entry\"\n" + common, "1: entry: is missing" },
    { endpointText + "slots = \"8\"\n", "10: sidecar.slots: must be a whole number" },
    { endpointText + "slots = 100\n", "4: sidecar.connections: must be at least slots" },
    { workerText + "service = \"desk\"\n", "9: sidecar.service: is not a known key" },
    { workerText + "controls = []\n", "9: " },
    { controlText("/nonexistent-folder", peerText(1)), "6: control.data_folder: " },
    { controlText("/", peerText(2)), "9: control.peer: replica 1 itself is not listed" },
    { controlText("/", peerText(1) + peerText(1)), "9: control.peer: replica 1 is listed twice" },
    { "log_level = \"loud\"\n" + entryText, "1: log_level: must be" },
};

} // namespace

BOOST_AUTO_TEST_SUITE(settings_suite)

// Guards against a daemon that starts with settings other than the operator meant.
BOOST_DATA_TEST_CASE(mistake_is_refused_with_its_place, refusedRows, row)
{
    const auto read = parseSettings(row.text, "f.toml");
    BOOST_REQUIRE(read.has_error());
    BOOST_TEST((read.error().code == failure_code::invalid_argument));
    BOOST_TEST(read.error().message.starts_with("f.toml:" + row.expected), read.error().message);
}

BOOST_AUTO_TEST_CASE(each_role_is_read)
{
    const auto entry = parseSettings(entryText, "f.toml");
    BOOST_REQUIRE(entry.has_value());
    BOOST_TEST(toString(entry.value().entry->controls.at(0)) == "[::1]:3");
    const auto worker = parseSettings(workerText, "f.toml");
    BOOST_REQUIRE(worker.has_value());
    BOOST_TEST(worker.value().sidecar->rack.value() == "r1");
    const auto endpoint = parseSettings(endpointText, "f.toml");
    BOOST_REQUIRE(endpoint.has_value());
    BOOST_TEST(endpoint.value().sidecar->slots == 8U);
    BOOST_TEST(endpoint.value().sidecar->connections == 64U);
    const auto control = parseSettings(controlText("/", peerText(1) + peerText(2) + peerText(3)), "f.toml");
    BOOST_REQUIRE(control.has_value());
    BOOST_TEST(control.value().control->peers.size() == 3U);
}

BOOST_AUTO_TEST_CASE(missing_file_is_refused) { BOOST_TEST(readSettings("/nonexistent.toml").has_error()); }

BOOST_AUTO_TEST_SUITE_END()
