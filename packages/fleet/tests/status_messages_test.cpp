#include "status_messages.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <poplardeal/wire/message.h>

using namespace poplardeal;
using namespace poplardeal::detail;

namespace {

struct orders_row {
    const char* name;
    std::uint32_t jobs;
    std::uint32_t tasks; ///< Of each job.
    std::size_t payloadBytes;
    std::uint32_t stops;
    std::size_t messages;
};
std::ostream& operator<<(std::ostream& out, const orders_row& row) { return out << row.name; }

const orders_row ordersRows[] = {
    { "none", 0, 0, 0, 0, 1 },
    { "one start", 1, 1, 4000, 0, 1 },
    { "a job of many tasks", 1, 1500, 4000, 0, 1 },
    { "many jobs", 300, 1, 4000, 10, 5 },
    { "many jobs of many tasks", 100, 100, 4000, 0, 5 },
    { "many stops", 0, 0, 0, 5000, 2 },
    { "a payload larger than a message", 2, 3, 300000, 1, 7 },
};

std::string payloadOf(std::uint32_t job, std::size_t bytes)
{
    return std::string(bytes, static_cast<char>('a' + job % 26));
}

} // namespace

// Guards against orders that do not fit into a frame, and against ones that are lost or changed by being split.
BOOST_DATA_TEST_CASE(orders_are_split_into_messages_that_fit, boost::unit_test::data::make(ordersRows), row)
{
    worker_instructions in;
    in.boot = { worker_id("i-1"), 7 };
    in.leaseUntilMs = 99;
    in.acknowledged = 5;
    const auto keyOf = [](std::uint32_t job, std::uint32_t index) {
        return run_key { { submission_id("job" + std::to_string(job)), 0, 0, index }, run_number(1) };
    };
    for (std::uint32_t job = 0; job < row.jobs; ++job) {
        for (std::uint32_t index = 0; index < row.tasks; ++index)
            in.starts.push_back({ keyOf(job, index), payloadOf(job, row.payloadBytes), checkpoint("c"), 100 });
    }
    for (std::uint32_t index = 0; index < row.stops; ++index)
        in.stops.push_back(keyOf(row.jobs, index));
    const auto messages = toMessages(in, 3);
    BOOST_TEST(messages.size() == row.messages);
    std::vector<start_instruction> starts;
    std::vector<run_key> stops;
    for (const auto& each : messages) {
        const auto packed = packMessage(frame_kind::worker_orders, 0, each);
        BOOST_TEST(packed.body.size() <= maxFrameBody(frame_kind::worker_orders));
        std::size_t malformed = 0;
        const auto read = fromMessage(unpackMessage<message::worker_orders>(packed.body).value(), malformed);
        BOOST_TEST(malformed == 0U);
        BOOST_TEST((read.boot == in.boot));
        BOOST_TEST(read.leaseUntilMs == in.leaseUntilMs);
        BOOST_TEST(read.acknowledged == in.acknowledged);
        BOOST_TEST(read.isPartial == (messages.size() > 1));
        starts.insert(starts.end(), read.starts.begin(), read.starts.end());
        stops.insert(stops.end(), read.stops.begin(), read.stops.end());
    }
    BOOST_TEST((stops == in.stops));
    BOOST_REQUIRE(starts.size() == in.starts.size());
    for (std::size_t i = 0; i < starts.size(); ++i) {
        BOOST_TEST((starts[i].run == in.starts[i].run));
        BOOST_TEST((starts[i].payload == in.starts[i].payload));
        BOOST_TEST((starts[i].saved == in.starts[i].saved));
        BOOST_TEST(starts[i].untilMs == in.starts[i].untilMs);
    }
}

// Guards against a report that makes a cut list look whole.
BOOST_AUTO_TEST_CASE(a_report_keeps_that_its_lists_are_incomplete)
{
    for (const bool isComplete : { true, false }) {
        worker_status status;
        status.isComplete = isComplete;
        std::size_t malformed = 0;
        BOOST_TEST(fromMessage(toMessage(status), malformed).isComplete == isComplete);
    }
    auto odd = toMessage(worker_status {});
    odd.running.push_back(std::make_unique<message::listed_taskT>());
    std::size_t malformed = 0;
    BOOST_TEST(!fromMessage(odd, malformed).isComplete);
    BOOST_TEST(malformed == 1U);
}
