#include "job_fixture.h"
#include <boost/test/unit_test.hpp>
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

// Guards against a corrupt log entry that terminates the process.
BOOST_AUTO_TEST_CASE(corrupt_commands_are_rejected)
{
    const auto bytes = encodeCommand({ at(5), cancel_submission { submission_id("a") } });
    for (std::size_t length = 0; length < bytes.size(); ++length)
        BOOST_TEST(decodeCommand(bytes.substr(0, length)).has_error());
    BOOST_TEST(decodeCommand("nonsense").has_error());
}
