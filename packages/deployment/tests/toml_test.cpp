#include "generators.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <poplardeal/deployment/limits.h>
#include <poplardeal/deployment/toml.h>

using namespace poplardeal;

namespace {

const std::string smallText = R"(format = 1
name = "small"

[[region]]
name = "coast"

[[data_centre]]
name = "kariakoo"
region = "coast"
in_service = true

[[worker_pool]]
data_centre = "kariakoo"
rack = "kariakoo-r1"
workers = 3
cores = 128
memory_gib = 256
accelerators = 8

[[break]]
start = "05:30"
minutes = 30

[[workspace]]
name = "checks"
quota = { cores = 512, memory_gib = 1024, accelerators = 32 }

[[workspace.guarantee]]
blocks = 2
block_accelerators = 8
within = "rack"
count = 1

[[workspace.job]]
name = "photo-check"
tasks = 2
cores = 32
memory_gib = 64
accelerators = 8
within = "rack"
priority = "guaranteed"
run_time_s = 600
max_restarts = 3
command = "check-photos"

[[service]]
name = "desk"
workspace = "checks"
slots = 8
connections = 64
)";

struct fault_row {
    std::string replaced;
    std::string with;
    std::string message;
};
std::ostream& operator<<(std::ostream& out, const fault_row& row) { return out << row.message; }

const fault_row faultRows[] = {
    { "format = 1", "format = 2", "f.toml:1:10: format: 2 is not between 1 and 1" },
    { "format = 1\n", "", "f.toml:1:1: format: missing" },
    { "cores = 128", "corse = 128", "f.toml:16:1: worker_pool[0].corse: unknown key; known here: data_centre rack" },
    { "cores = 128", "cores = \"128\"", "f.toml:16:9: worker_pool[0].cores: must be an integer" },
    { "cores = 128", "cores = 1.5", "f.toml:16:9: worker_pool[0].cores: must be an integer" },
    { "cores = 128", "cores = 0", "f.toml:16:9: worker_pool[0].cores: 0 is not between 1 and 4096" },
    { "memory_gib = 256", "memory_gb = 256", "f.toml:17:1: worker_pool[0].memory_gb: unknown key" },
    { "memory_gib = 256", "memory_gib = 256\nmemory_mib = 1", "memory_mib: give either memory_gib or memory_mib" },
    { "workers = 3", "workers = 10001", "f.toml:15:11: worker_pool[0].workers: 10001 is not between 1 and 10000" },
    { "in_service = true", "in_service = \"yes\"", "data_centre[0].in_service: must be true or false" },
    { "region = \"coast\"", "region = \"inland\"", "f.toml:9:10: data_centre[0].region: there is no region named" },
    { "data_centre = \"kariakoo\"", "data_centre = \"ubungo\"", "there is no data centre named \"ubungo\"" },
    { "workspace = \"checks\"", "workspace = \"check\"", "service[0].workspace: there is no workspace named" },
    { "[[region]]", "[[region]]\nname = \"coast\"\n[[region]]", "a second region is named \"coast\"" },
    { "[[workspace.job]]",
        "[[workspace.job]]\nname = \"photo-check\"\ncores = 1\nmemory_gib = 1\nrun_time_s = 1\ncommand = \"\"\n"
        "[[workspace.job]]",
        "workspace[0].job[1].name: a second job of this workspace" },
    { "05:30", "24:00", "break[0].start: must be a time of day" },
    { "05:30", "0x:30", "break[0].start: must be a time of day" },
    { "block_accelerators = 8", "block_accelerators = 6", "must be a power of two" },
    { "count = 1", "count = 3", "the guarantees hold 48 accelerators, the quota only 32" },
    { "within = \"rack\"\ncount", "within = \"anywhere\"\ncount", "\"anywhere\" is none of worker rack data-centre" },
    { "name = \"kariakoo\"", "name = \"kari/akoo\"", "a name holds only letters" },
    { "[[break]]", "[break]", "break: must be written as [[break]]" },
    { "name = \"small\"", "name = \"small", "f.toml:2:14: TOML syntax:" },
    { "quota = {", "quota = 5 # {", "workspace[0].quota: must be a table, is an integer" },
};

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

BOOST_AUTO_TEST_SUITE(toml)

// Guards against a printer whose output differs from what supervisors and reviews saw before.
BOOST_AUTO_TEST_CASE(canonical_text_is_printed_unchanged)
{
    const auto read = parseDeployment(smallText, "f.toml");
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(printDeployment(read.value()) == smallText);
    BOOST_TEST(read.value().workerPools[0].perWorker.memory == mebibytes(256 * 1024));
    BOOST_TEST((read.value().workspaces[0].jobs[0].runTime == std::chrono::seconds(600)));
}

// Guards against a fault that is accepted, or that is reported at the wrong place.
BOOST_DATA_TEST_CASE(faults_name_place_key_and_reason, faultRows, row)
{
    const auto read = parseDeployment(replaced(smallText, row.replaced, row.with), "f.toml");
    BOOST_REQUIRE(read.has_error());
    BOOST_TEST((read.error().code == failure_code::invalid_argument));
    BOOST_TEST_INFO(read.error().message);
    BOOST_TEST(read.error().message.find(row.message) != std::string::npos);
}

// Guards against memory being taken for a text or a list that is far too long.
BOOST_AUTO_TEST_CASE(long_texts_and_lists_are_refused)
{
    const auto longText = parseDeployment(smallText + std::string(limits::deploymentBytes, '#'), "f.toml");
    BOOST_REQUIRE(longText.has_error());
    BOOST_TEST(longText.error().message.find("bytes; at most") != std::string::npos);

    std::string manyBreaks = smallText;
    for (std::size_t i = 0; i < limits::breaks; ++i)
        manyBreaks += "[[break]]\nstart = \"01:00\"\nminutes = 1\n";
    const auto longList = parseDeployment(manyBreaks, "f.toml");
    BOOST_REQUIRE(longList.has_error());
    BOOST_TEST(longList.error().message.find("break: 49 entries; at most 48") != std::string::npos);
}

// Guards against a value that the printer writes in a way in which the reader does not read it back.
BOOST_AUTO_TEST_CASE(printed_deployments_are_read_back)
{
    const bool holds = rc::check([] {
        const auto original = *arbitraryDeployment();
        const auto text = printDeployment(original);
        const auto read = parseDeployment(text, "printed");
        if (read.has_error())
            RC_FAIL(read.error().message + "\n" + text);
        RC_ASSERT(read.value() == original);
        RC_ASSERT(printDeployment(read.value()) == text);
    });
    BOOST_TEST(holds);
}

// Guards against a reader that ends the process on damaged text.
BOOST_AUTO_TEST_CASE(damaged_text_is_read_or_refused)
{
    const bool holds = rc::check([] {
        auto text = smallText;
        const auto cuts = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
            rc::gen::pair(rc::gen::inRange<std::size_t>(0, text.size()), rc::gen::arbitrary<char>()));
        for (const auto& [at, byte] : cuts)
            text[at] = byte;
        const auto read = parseDeployment(text, "f.toml");
        if (read.has_value())
            RC_ASSERT(parseDeployment(printDeployment(read.value()), "printed").has_value());
        else
            RC_ASSERT(read.error().message.rfind("f.toml:", 0) == 0);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
