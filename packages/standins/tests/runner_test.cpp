#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <poplardeal/standins/runner.h>
#include <unistd.h>

using namespace poplardeal;
using nlohmann::json;

namespace {

struct runner_fixture {
    event_loop loop;
    std::vector<json> ledger;
    std::vector<http_response> answers;

    std::unique_ptr<standin_runner> makeRunner(standin_runner_options options)
    {
        options.name = "r1";
        return std::make_unique<standin_runner>(
            loop, std::move(options), [this](const json& record) { ledger.push_back(record); });
    }

    void ask(standin_runner& runner, http_request request)
    {
        runner.handle(std::move(request), [this](http_response response) { answers.push_back(std::move(response)); });
    }

    void runUntilAnswered(std::size_t count)
    {
        const auto poll = loop.every(std::chrono::milliseconds(1), [&] {
            if (answers.size() >= count)
                loop.quit();
        });
        const auto limit = loop.after(std::chrono::seconds(20), [&] { loop.quit(); });
        loop.run();
        BOOST_REQUIRE(answers.size() == count);
    }
};

http_request refund(const std::string& id)
{
    return { "POST", "/refund", "",
        { { "x-poplardeal-request-id", id }, { "idempotency-key", "k-" + id }, { "content-type", "text/plain" } },
        "body of " + id };
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(runners, runner_fixture)

// Guards against a ledger that cannot prove which request ran, and against answers to another request.
BOOST_AUTO_TEST_CASE(requests_are_echoed_and_recorded)
{
    const auto runner = makeRunner({});
    ask(*runner, refund("1"));
    runUntilAnswered(1);
    BOOST_TEST(answers[0].status == 200);
    BOOST_TEST(answers[0].body == "body of 1");
    BOOST_TEST(answers[0].headers["x-standin-runner"] == "r1");
    BOOST_TEST(answers[0].headers["content-type"] == "text/plain");
    BOOST_REQUIRE(ledger.size() == 1);
    BOOST_TEST(ledger[0]["event"] == "run");
    BOOST_TEST(ledger[0]["id"] == "1");
    BOOST_TEST(ledger[0]["key"] == "k-1");
    BOOST_TEST(ledger[0]["body_checksum"] == bodyChecksum("body of 1"));
    ask(*runner, { "GET", "/healthz", "", {}, "" });
    BOOST_TEST(answers.back().status == 200);
    BOOST_TEST(ledger.size() == 1);
}

// Guards against a sidecar fault that stays unseen because the runner takes more than its slots.
BOOST_AUTO_TEST_CASE(requests_over_the_slots_are_breaches)
{
    standin_runner_options options;
    options.slots = 2;
    const auto runner = makeRunner(options);
    for (const auto* id : { "1", "2", "3" })
        ask(*runner, refund(id));
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST(answers[0].status == 503);
    BOOST_TEST(ledger[2]["event"] == "breach");
    BOOST_TEST(ledger[2]["id"] == "3");
    runUntilAnswered(3);
    ask(*runner, refund("4"));
    BOOST_TEST(ledger[3]["event"] == "run");
}

// Guards against a failing runner that looks healthy.
BOOST_AUTO_TEST_CASE(failing_runner_answers_500_at_once)
{
    standin_runner_options options;
    options.failAll = true;
    options.delay = std::chrono::hours(1);
    const auto runner = makeRunner(options);
    ask(*runner, refund("1"));
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST(answers[0].status == 500);
    BOOST_TEST(ledger[0]["event"] == "run");
}

// Guards against records that are lost or overwritten when a program starts again.
BOOST_AUTO_TEST_CASE(ledger_file_is_appended)
{
    const auto path
        = (std::filesystem::temp_directory_path() / ("poplardeal-ledger-" + std::to_string(getpid()))).string();
    for (int i = 0; i < 2; ++i) {
        const auto sink = openLedger(path);
        BOOST_REQUIRE(sink.has_value());
        sink.value()({ { "run", i } });
    }
    std::ifstream file(path);
    std::string first;
    std::string second;
    std::getline(file, first);
    std::getline(file, second);
    BOOST_TEST(first == R"({"run":0})");
    BOOST_TEST(second == R"({"run":1})");
    std::filesystem::remove(path);
    BOOST_TEST(openLedger("/missing-folder/ledger").has_error());
}

BOOST_AUTO_TEST_SUITE_END()
