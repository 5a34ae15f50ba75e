#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <ostream>
#include <poplardeal/standins/worker.h>
#include <unistd.h>

using namespace poplardeal;
using nlohmann::json;

namespace {

struct worker_fixture {
    standin_worker_options options;
    std::vector<json> ledger;
    std::unique_ptr<standin_worker> worker;
    std::int64_t nowMs { 0 };

    worker_fixture()
    {
        options.name = "w1";
        options.capacity = { cores(16), mebibytes(1000), accelerators(4) };
        reset();
    }

    void reset()
    {
        worker = std::make_unique<standin_worker>(options, [this](const json& record) { ledger.push_back(record); });
    }

    int ask(const std::string& method, const std::string& path, const std::string& body = "")
    {
        const auto now = instantFromMicros(nowMs * 1000);
        return worker->handle({ method, path, "", {}, body }, now, now).status;
    }

    int prepare(const std::string& id, std::vector<int> indexes, int cpus = 4, int memory = 100)
    {
        const json body { { "cores", cpus }, { "memory_mib", memory }, { "accelerators", indexes },
            { "run_time_ms", 1000 }, { "command", "check-photos" } };
        return ask("PUT", "/v1/tasks/" + id, body.dump());
    }

    int act(const std::string& id, const std::string& action) { return ask("POST", "/v1/tasks/" + id + "/" + action); }

    json task(const std::string& id)
    {
        const auto now = instantFromMicros(nowMs * 1000);
        const auto listed = json::parse(worker->handle({ "GET", "/v1/tasks", "", {}, "" }, now, now).body);
        for (const auto& one : listed["tasks"]) {
            if (one["id"] == id)
                return one;
        }
        return {};
    }
};

struct prepare_row {
    const char* name;
    std::vector<int> indexes;
    int cpus;
    int memory;
    int status;
};
std::ostream& operator<<(std::ostream& out, const prepare_row& row) { return out << row.name; }

const prepare_row prepareRows[] = {
    { "all that is free", { 0, 3 }, 12, 900, 201 },
    { "held accelerator", { 0, 1 }, 1, 1, 409 },
    { "too many cores", { 0 }, 13, 1, 409 },
    { "too much memory", { 0 }, 1, 901, 409 },
    { "unknown accelerator", { 4 }, 1, 1, 400 },
    { "accelerator listed twice", { 0, 0 }, 1, 1, 400 },
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(workers, worker_fixture)

// Guards against a stand-in that hides a scheduler fault by holding the same resources twice.
BOOST_DATA_TEST_CASE_F(worker_fixture, prepare_refuses_what_is_held, prepareRows, row)
{
    BOOST_REQUIRE(prepare("1.0.1", { 1, 2 }) == 201);
    BOOST_TEST(prepare("2.0.1", row.indexes, row.cpus, row.memory) == row.status);
    BOOST_TEST(prepare("1.0.1", { 1, 2 }) == 200);
    BOOST_TEST(prepare("1.0.1", { 1 }) == 409);
    BOOST_TEST(ask("DELETE", "/v1/tasks/1.0.1") == 200);
    BOOST_TEST(prepare("3.0.1", { 1, 2 }) == 201);
}

// Guards against tasks that go on after control may have started them elsewhere.
BOOST_AUTO_TEST_CASE(tasks_stop_when_the_lease_expires)
{
    BOOST_REQUIRE(prepare("1.0.1.7", { 0 }) == 201);
    BOOST_TEST(ask("POST", "/v1/lease", R"({"lease_ms": 500})") == 200);
    BOOST_TEST(act("1.0.1.7", "start") == 200);
    BOOST_TEST(ask("DELETE", "/v1/tasks/1.0.1.7") == 409);
    nowMs += 499;
    BOOST_TEST(task("1.0.1.7")["state"] == "running");
    nowMs += 1;
    BOOST_TEST(task("1.0.1.7")["state"] == "stopped");
    BOOST_REQUIRE(prepare("2.0.1.8", { 0 }) == 201);
    BOOST_TEST(act("2.0.1.8", "start") == 409);
    BOOST_TEST(ask("POST", "/v1/lease", R"({"lease_ms": "long"})") == 400);
}

// Guards against tasks that end early, late, twice or without a record.
BOOST_AUTO_TEST_CASE(task_runs_for_its_scaled_time)
{
    options.timeScale = 0.1;
    reset();
    BOOST_TEST(act("1.0.1", "start") == 404);
    BOOST_REQUIRE(prepare("1.0.1", { 0 }) == 201);
    BOOST_TEST(act("1.0.1", "start") == 200);
    BOOST_TEST(act("1.0.1", "start") == 200);
    nowMs = 99;
    BOOST_TEST(task("1.0.1")["state"] == "running");
    BOOST_TEST(task("1.0.1")["usage"]["cores"] == 4);
    nowMs = 101;
    BOOST_TEST(task("1.0.1")["state"] == "finished");
    BOOST_TEST(act("1.0.1", "start") == 409);
    BOOST_TEST(prepare("2.0.1", { 0 }) == 201);
    BOOST_REQUIRE(ledger.size() == 2);
    BOOST_TEST(ledger[0]["event"] == "start");
    BOOST_TEST(ledger[1]["event"] == "finish");
    BOOST_TEST(ledger[1]["task"] == "1.0.1");
    BOOST_TEST(ledger[1]["wall_us"] == 101000);
}

// Guards against work that is lost or gained over a checkpoint, also on another worker.
BOOST_AUTO_TEST_CASE(checkpoint_keeps_progress_for_the_next_attempt)
{
    const auto folder = std::filesystem::temp_directory_path() / ("poplardeal-checkpoints-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    options.checkpointFolder = folder.string();
    reset();
    BOOST_REQUIRE(prepare("1.0.1", { 0 }) == 201);
    BOOST_TEST(act("1.0.1", "checkpoint") == 409);
    act("1.0.1", "start");
    nowMs = 400;
    BOOST_TEST(act("1.0.1", "checkpoint") == 200);
    nowMs = 700;
    BOOST_TEST(act("1.0.1", "stop") == 200);
    BOOST_TEST(task("1.0.1")["state"] == "stopped");
    reset();
    BOOST_REQUIRE(prepare("1.0.2", { 0 }) == 201);
    BOOST_TEST(task("1.0.2")["progress_ms"] == 400);
    act("1.0.2", "start");
    nowMs = 1299;
    BOOST_TEST(task("1.0.2")["state"] == "running");
    nowMs = 1301;
    BOOST_TEST(task("1.0.2")["state"] == "finished");
    std::filesystem::remove_all(folder);
}

// Guards against a throttle without effect.
BOOST_AUTO_TEST_CASE(throttled_task_runs_at_half_speed)
{
    prepare("1.0.1", { 0 });
    act("1.0.1", "start");
    nowMs = 200;
    BOOST_TEST(act("1.0.1", "throttle") == 200);
    nowMs = 400;
    BOOST_TEST(task("1.0.1")["progress_ms"] == 300);
}

// Guards against a failing worker that reports success.
BOOST_AUTO_TEST_CASE(chosen_commands_fail)
{
    options.failCommands = { "check-photos" };
    reset();
    prepare("1.0.1", { 0 });
    act("1.0.1", "start");
    BOOST_TEST(task("1.0.1")["state"] == "failed");
    BOOST_TEST(ledger.back()["event"] == "fail");
}

struct request_row {
    const char* method;
    const char* path;
    const char* body;
    int status;
};
std::ostream& operator<<(std::ostream& out, const request_row& row) { return out << row.method << ' ' << row.path; }

const request_row requestRows[] = {
    { "GET", "/v1/capacity", "", 200 },
    { "GET", "/", "", 404 },
    { "PUT", "/v1/tasks/", "{}", 404 },
    { "PUT", "/v1/tasks/../x", "{}", 404 },
    { "PUT", "/v1/tasks/1", "{", 400 },
    { "PUT", "/v1/tasks/1", R"({"cores":-1,"memory_mib":1,"accelerators":[],"run_time_ms":1,"command":""})", 400 },
    { "PUT", "/v1/tasks/1", R"({"cores":1,"memory_mib":1,"accelerators":[],"run_time_ms":1})", 400 },
    { "POST", "/v1/tasks/known/resume", "", 404 },
    { "POST", "/v1/tasks/unknown/start", "", 404 },
    { "DELETE", "/v1/tasks/unknown", "", 404 },
    { "PATCH", "/v1/tasks/known", "", 405 },
};

// Guards against malformed requests that change state or end the program.
BOOST_DATA_TEST_CASE_F(worker_fixture, malformed_requests_are_refused, requestRows, row)
{
    BOOST_REQUIRE(prepare("known", {}) == 201);
    BOOST_TEST(ask(row.method, row.path, row.body) == row.status);
    BOOST_TEST(task("known")["state"] == "prepared");
    BOOST_TEST(task("1").is_null());
}

BOOST_AUTO_TEST_SUITE_END()
