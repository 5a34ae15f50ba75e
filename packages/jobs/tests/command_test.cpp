#include "job_fixture.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <poplardeal/jobs/codec.h>
#include <poplardeal/jobs/command.h>

using namespace poplardeal;
using namespace poplardeal::test;

// Guards against a command that is decoded from the log as another one.
BOOST_AUTO_TEST_CASE(commands_are_decoded_as_encoded)
{
    submission_spec spec;
    spec.payload = "x";
    spec.steps = { step(2, need(8)) };
    spec.steps[0].gang = true;
    spec.steps[0].affinity = rack_name("r1");
    const job_command submit { at(5),
        accept_submission { submission_id("a"), queue_name("q"), workspace_name("w"), spec } };
    const auto read = decodeCommand(encodeCommand(submit));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((std::get<accept_submission>(read.value().body).spec == spec));
    const auto planRead = decodeCommand(encodeCommand({ at(5), accept_plan { plan(7) } }));
    BOOST_REQUIRE(planRead.has_value());
    BOOST_TEST((std::get<accept_plan>(planRead.value().body).plan == plan(7)));
}

struct plan_size_row {
    std::size_t queues;
};
std::ostream& operator<<(std::ostream& out, const plan_size_row& row) { return out << row.queues << " queues"; }

const plan_size_row planSizeRows[] = { { 1 }, { 1532 }, { 15000 }, { maxQueues } };

static queue_plan planOf(std::size_t queues)
{
    auto out = plan(7);
    out.queues.clear();
    nlohmann::json document;
    for (std::size_t i = 0; i < queues; ++i) {
        // Texts without a common part, like the random names of the platform.
        const auto text = std::to_string(i * 2654435761U % 4294967291U);
        out.queues.push_back(queue("q" + text, 1));
        out.queues.back().host = "h" + text + ".example";
        document["routes"].push_back({ { "name", "q" + text }, { "host", "h" + text + ".example" },
            { "path_prefix", "/q" + text + "/" }, { "service", "desk" }, { "timeout_ms", 3000 }, { "priority", 1 },
            { "attempts", 2 }, { "stretch", 3.0 }, { "target_duration_ms", 1000 }, { "public", false } });
    }
    out.document = document.dump();
    return out;
}

// Plans that grow by many queues. Guards against a plan that is accepted and then does not fit into a log entry, or is
// not read back as it was.
BOOST_DATA_TEST_CASE(plans_of_all_sizes_fit_into_a_log_entry, boost::unit_test::data::make(planSizeRows), row)
{
    const auto large = planOf(row.queues);
    BOOST_TEST(!validationError(large).has_value());
    const auto bytes = encodeCommand({ at(5), accept_plan { large } });
    constexpr std::size_t maxLogEntryBytes = std::size_t { 16 } * 1024 * 1024;
    BOOST_TEST(bytes.size() <= maxLogEntryBytes);
    const auto read = decodeCommand(bytes);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((std::get<accept_plan>(read.value().body).plan == large));
    job_table table;
    table.apply(read.value());
    job_table copy;
    BOOST_REQUIRE(copy.restore(table.save()).has_value());
    BOOST_TEST((copy.plan() == large));
    const auto& last = large.queues.back();
    BOOST_TEST((*copy.matchQueue(last.host, last.pathPrefix + "1") == last));
}

// Guards against a command whose decoding takes the stack of the process.
BOOST_AUTO_TEST_CASE(deeply_nested_commands_are_rejected)
{
    constexpr char arrayOfOne = '\x81';
    const auto read = decodeCommand(std::string(std::size_t { 1024 } * 1024, arrayOfOne));
    BOOST_REQUIRE(read.has_error());
    BOOST_TEST(read.error().message.find("deeper than") != std::string::npos);
}

// Guards against a corrupt log entry that terminates the process.
BOOST_AUTO_TEST_CASE(corrupt_commands_are_rejected)
{
    const auto bytes = encodeCommand({ at(5), cancel_submission { submission_id("a") } });
    for (std::size_t length = 0; length < bytes.size(); ++length)
        BOOST_TEST(decodeCommand(bytes.substr(0, length)).has_error());
    BOOST_TEST(decodeCommand("nonsense").has_error());
}

// Review case 10: a job of 85,000 empty steps took each leading control over its memory before the steps were counted.
// Guards against a submission that is decoded although it holds more than any valid one.
BOOST_AUTO_TEST_CASE(oversized_submissions_are_not_decoded)
{
    submission_spec widest;
    widest.steps.assign(maxSteps, step(1, need(1)));
    for (std::uint32_t s = 0; s < maxSteps; ++s) {
        for (std::uint32_t earlier = 0; earlier < s; ++earlier)
            widest.steps[s].after.push_back(earlier);
    }
    BOOST_TEST((fromCbor<submission_spec>(toCbor(widest), maxSubmissionValues) == widest));
    submission_spec oversized;
    oversized.steps.assign(10000, step_spec());
    BOOST_CHECK_EXCEPTION(fromCbor<submission_spec>(toCbor(oversized), maxSubmissionValues), std::runtime_error,
        [](const auto& error) { return std::string(error.what()).find("more than") != std::string::npos; });
}
