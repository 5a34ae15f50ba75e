#include "fake_server.h"
#include "verbs.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <poplardeal/client/client.h>
#include <sstream>

using namespace poplardeal;

namespace {

const std::string smallPlan = "format = 1\nname = \"small\"\n[[region]]\nname = \"coast\"\n"
                              "[[data_centre]]\nname = \"kariakoo\"\nregion = \"coast\"\nin_service = true\n"
                              "[[worker_pool]]\ndata_centre = \"kariakoo\"\nrack = \"r1\"\nworkers = 1\ncores = 8\n"
                              "memory_gib = 8\naccelerators = 8\n";
const std::string guaranteeTooLarge
    = "[[workspace]]\nname = \"w\"\nquota = { cores = 8, memory_gib = 8, accelerators = 16 }\n"
      "[[workspace.guarantee]]\nblocks = 2\nblock_accelerators = 8\nwithin = \"rack\"\n";

/// A file that is removed at the end of the test.
class temporary_file {
public:
    explicit temporary_file(const std::string& text)
    {
        const int descriptor = mkstemp(m_path.data());
        BOOST_REQUIRE(descriptor >= 0);
        close(descriptor);
        std::ofstream(m_path) << text;
    }
    ~temporary_file() { std::remove(m_path.c_str()); }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;
    const std::string& path() const { return m_path; }
    std::string text() const
    {
        std::ostringstream out;
        out << std::ifstream(m_path).rdbuf();
        return out.str();
    }

private:
    std::string m_path = "/tmp/poplardeal-client-test-XXXXXX";
};

struct command_line {
    event_loop loop;
    fake_server server { loop };
    std::ostringstream out;
    std::ostringstream err;

    int run(const std::vector<std::string>& words)
    {
        out.str("");
        err.str("");
        return static_cast<int>(detail::runClient(loop, words, out, err));
    }

    /// With the address of the fake server and a short timeout.
    int order(std::vector<std::string> words)
    {
        words.insert(words.end(), { "--control", server.addressText(), "--timeout", "0.5" });
        return run(words);
    }
    int call(std::vector<std::string> words)
    {
        words.insert(words.end(), { "--entry", server.addressText(), "--timeout", "0.5" });
        return run(words);
    }
};

struct bad_row {
    std::vector<std::string> words;
    std::string message;
};
std::ostream& operator<<(std::ostream& o, const bad_row& row) { return o << row.message; }

const bad_row badRows[] = {
    { {}, "Usage: poplardeal VERB" },
    { { "aply" }, "unknown verb \"aply\"" },
    { { "check" }, "too few arguments: needs FILE" },
    { { "check", "a", "b" }, "unexpected argument \"b\"" },
    { { "check", "a", "--watch" }, "unknown option --watch" },
    { { "status", "-x" }, "unknown option -x" },
    { { "status", "--flagfile", "x" }, "unknown option --flagfile" },
    { { "status", "--control" }, "--control needs a value" },
    { { "status", "--control", "localhost:1" }, "--control:" },
    { { "status", "--timeout", "soon" }, "\"soon\" is no value for --timeout" },
    { { "status", "--timeout", "0" }, "--timeout must be above 0" },
    { { "status" }, "no control address: give --control" },
    { { "call", "desk", "/x" }, "no entry address: give --entry" },
    { { "call", "desk", "x", "--entry", "127.0.0.1:1" }, "must start with /" },
    { { "cancel", "first", "--control", "127.0.0.1:1" }, "is no job number" },
    { { "submit", "a/b", "c", "--control", "127.0.0.1:1" }, "is no name" },
    { { "data-centre", "off", "a", "--control", "127.0.0.1:1" }, "must be out or in" },
    { { "apply", "/nonexistent.toml", "--control", "127.0.0.1:1" }, "/nonexistent.toml: cannot be opened" },
    { { "timeline", "/nonexistent.log" }, "/nonexistent.log: cannot be opened" },
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(command, command_line)

// Guards against bad input that is run, or that ends without saying what is wrong.
BOOST_DATA_TEST_CASE_F(command_line, bad_input_ends_with_2, badRows, row)
{
    unsetenv("POPLARDEAL_CONTROL");
    unsetenv("POPLARDEAL_ENTRY");
    BOOST_TEST(run(row.words) == 2);
    BOOST_TEST_INFO(err.str());
    BOOST_TEST(err.str().find(row.message) != std::string::npos);
    BOOST_TEST(out.str().empty());
}

// Guards against an option of one verb without help, and against built-in options of the library in the help.
BOOST_AUTO_TEST_CASE(each_verb_has_help_with_an_example)
{
    BOOST_TEST(run({ "--help" }) == 0);
    for (const auto& verb : detail::allVerbs()) {
        BOOST_TEST(out.str().find("  " + std::string(verb.name)) != std::string::npos);
    }
    for (const auto& verb : detail::allVerbs()) {
        BOOST_TEST(run({ std::string(verb.name), "--help" }) == 0);
        BOOST_TEST(out.str().find("poplardeal " + std::string(verb.name)) != std::string::npos);
        BOOST_TEST(out.str().find("Example:") != std::string::npos);
        BOOST_TEST(out.str().find("--flagfile") == std::string::npos);
        for (const auto flag : verb.flags)
            BOOST_TEST(out.str().find("--" + std::string(flag) + " ") != std::string::npos);
    }
}

// Guards against addresses of the environment that are ignored, and against options kept from an earlier command line.
BOOST_AUTO_TEST_CASE(environment_gives_the_addresses)
{
    server.answer = always(200, { { "verdict", "ran" }, { "id", 17 } });
    setenv("POPLARDEAL_CONTROL", server.addressText().c_str(), 1);
    BOOST_TEST(run({ "submit", "checks", "photo", "--json", "--order-id=x1" }) == 0);
    BOOST_TEST(nlohmann::json::parse(out.str())["id"] == 17);
    BOOST_TEST(run({ "submit", "checks", "photo" }) == 0);
    unsetenv("POPLARDEAL_CONTROL");
    BOOST_TEST(out.str() == "job 17 is accepted; see poplardeal status 17\n");
    BOOST_TEST(server.body(0)["order_id"] == "x1");
    BOOST_TEST(server.body(1)["order_id"] != "x1");
    BOOST_TEST(!server.body(1)["order_id"].get<std::string>().empty());
}

// Guards against a deployment that is called feasible though its guarantees do not fit.
BOOST_AUTO_TEST_CASE(check_tells_whether_guarantees_fit)
{
    const temporary_file good(smallPlan);
    BOOST_TEST(run({ "check", good.path() }) == 0);
    const temporary_file infeasible(smallPlan + guaranteeTooLarge);
    BOOST_TEST(run({ "check", infeasible.path() }) == 2);
    BOOST_TEST(err.str().find("w") != std::string::npos);
    const temporary_file broken("format = 1\nnme = \"small\"\n");
    BOOST_TEST(run({ "check", broken.path() }) == 2);
    BOOST_TEST(err.str().find(broken.path() + ":2:1: nme: unknown key") != std::string::npos);
}

// Guards against an apply that overwrites a deployment its author never saw.
BOOST_AUTO_TEST_CASE(apply_names_the_version_in_force_after_a_lost_race)
{
    const temporary_file file(smallPlan);
    server.answer = always(409,
        { { "verdict", "not-run" }, { "version", 12 },
            { "error", { { "code", "conflict" }, { "message", "lost" } } } });
    BOOST_TEST(order({ "apply", file.path(), "--base", "11" }) == 1);
    BOOST_TEST(err.str().find("--base 12") != std::string::npos);
    BOOST_TEST(server.body(0)["base_version"] == 11);
    BOOST_TEST(server.body(0)["toml"] == smallPlan);
}

// Guards against a resend of an apply that is another order because its base has moved.
BOOST_AUTO_TEST_CASE(lost_apply_names_order_id_and_base)
{
    const temporary_file file(smallPlan);
    server.answer = [](const http_request& request) -> std::optional<http_response> {
        if (request.method == "POST")
            return std::nullopt;
        return jsonResponse(200, { { "version", 4 }, { "toml", smallPlan } });
    };
    BOOST_TEST(order({ "apply", file.path(), "--order_id", "x1" }) == 3);
    BOOST_TEST(err.str().find("--order_id x1 --base 4") != std::string::npos);
}

// Guards against an old file that brings back a data centre which was taken out.
BOOST_AUTO_TEST_CASE(apply_without_base_leaves_a_data_centre_out)
{
    auto inForce = smallPlan;
    inForce.replace(inForce.find("in_service = true"), 17, "in_service = false");
    const temporary_file file(smallPlan);
    server.answer = always(200, { { "verdict", "ran" }, { "version", 4 }, { "toml", inForce } });
    BOOST_TEST(order({ "apply", file.path() }) == 1);
    BOOST_TEST(err.str().find("kariakoo") != std::string::npos);
    BOOST_TEST(server.requests.size() == 1u);
    BOOST_TEST(order({ "apply", file.path(), "--base", "4" }) == 0);
    BOOST_TEST(server.body(1)["base_version"] == 4);
}

// Guards against a difference that is shown against the wrong side.
BOOST_AUTO_TEST_CASE(diff_shows_changes_from_the_version_in_force)
{
    auto inForce = smallPlan;
    inForce.replace(inForce.find("workers = 1"), 11, "workers = 2");
    const temporary_file file(smallPlan);
    server.answer = always(200, { { "version", 4 }, { "toml", inForce } });
    BOOST_TEST(order({ "diff", file.path() }) == 0);
    BOOST_TEST(out.str() == "changed worker pool of rack \"r1\" in \"kariakoo\": workers 2 -> 1\n");
    BOOST_TEST(err.str().find("--base 4") != std::string::npos);
}

// Guards against a version that is not passed on.
BOOST_AUTO_TEST_CASE(show_asks_for_the_version)
{
    server.answer
        = always(200, { { "version", 3 }, { "operator", "asha" }, { "time_us", 1'000'000 }, { "toml", smallPlan } });
    BOOST_TEST(order({ "show", "--version", "3" }) == 0);
    BOOST_TEST(server.requests[0].query == "version=3");
    BOOST_TEST(out.str() == "# version 3 by asha at 1970-01-01T00:00:01Z\n" + smallPlan);
}

struct ended_row {
    std::string phase;
    std::string verdict;
    int code;
};
std::ostream& operator<<(std::ostream& o, const ended_row& row) { return o << row.phase << " " << row.verdict; }

const ended_row endedRows[] = {
    { "succeeded", "ran", 0 },
    { "failed", "ran", 3 },
    { "cancelled", "not-run", 1 },
    { "cancelled", "may-have-run", 3 },
    { "refused", "not-run", 1 },
};

// Guards against a job that ran and is reported as if it had not.
BOOST_DATA_TEST_CASE_F(command_line, submit_waits_for_the_end, endedRows, row)
{
    server.answer = [&](const http_request& request) {
        if (request.method == "POST")
            return jsonResponse(200, { { "verdict", "ran" }, { "id", 17 } });
        const bool isEnded = server.requests.size() > 2;
        return jsonResponse(200,
            { { "id", 17 }, { "phase", isEnded ? row.phase : "running" },
                { "verdict", isEnded ? row.verdict : "not-run" } });
    };
    BOOST_TEST(order({ "submit", "checks", "photo", "--wait" }) == row.code);
    BOOST_TEST(server.requests.size() == 3u);
    BOOST_TEST(out.str().find(row.phase) != std::string::npos);
}

// Guards against orders that reach the wrong path.
BOOST_AUTO_TEST_CASE(orders_have_their_paths)
{
    server.answer = always(200, { { "verdict", "ran" } });
    BOOST_TEST(order({ "cancel", "17", "--operator", "asha" }) == 0);
    BOOST_TEST(order({ "data-centre", "out", "ubungo" }) == 0);
    BOOST_TEST(server.requests[0].path == "/v1/jobs/17/cancel");
    BOOST_TEST(server.body(0)["operator"] == "asha");
    BOOST_TEST(server.requests[1].path == "/v1/data-centres/ubungo");
    BOOST_TEST(server.body(1)["state"] == "out");
}

// Guards against values of a status that end the client because they are missing or of another type.
BOOST_AUTO_TEST_CASE(status_copes_with_missing_values)
{
    server.answer = [](const http_request& request) {
        if (request.path == "/v1/jobs")
            return jsonResponse(
                200, { { "jobs", { { { "id", 17 }, { "phase", "waiting" }, { "accepted_at_us", "x" } }, 5 } } });
        return jsonResponse(
            200, { { "role", "leader" }, { "workers", "none" }, { "data_centres", { { { "name", "a" } } } } });
    };
    BOOST_TEST(order({ "status" }) == 0);
    BOOST_TEST(out.str().find("17") != std::string::npos);
    BOOST_TEST(order({ "status", "--json" }) == 0);
    BOOST_TEST(nlohmann::json::parse(out.str())["jobs"][0]["phase"] == "waiting");
}

struct call_row {
    std::string verdict;
    int status;
    int code;
};
std::ostream& operator<<(std::ostream& o, const call_row& row) { return o << row.verdict << " " << row.status; }

const call_row callRows[] = {
    { "ran", 200, 0 },
    { "ran", 404, 0 },
    { "not-run", 503, 1 },
    { "may-have-run", 504, 3 },
    { "", 502, 3 },
};

// Guards against an exit code that promises more than the verdict does.
BOOST_DATA_TEST_CASE_F(command_line, call_ends_with_the_verdict, callRows, row)
{
    server.answer = [&](const http_request&) {
        http_response response { row.status, {}, "body" };
        if (!row.verdict.empty())
            response.headers["x-poplardeal-verdict"] = row.verdict;
        return response;
    };
    BOOST_TEST(call({ "call", "desk", "/a%20b?c=%20d", "--method", "POST", "--data", "x", "--key", "k1" }) == row.code);
    BOOST_TEST(out.str() == "body");
    const auto& request = server.requests.at(0);
    BOOST_TEST(request.method == "POST");
    BOOST_TEST(request.path == "/v1/call/desk/a b");
    BOOST_TEST(request.query == "c=%20d");
    BOOST_TEST(request.body == "x");
    BOOST_TEST(request.headers.at("idempotency-key") == "k1");
}

struct resend_row {
    std::vector<std::string> flags;
    std::size_t requests;
    int code;
};
std::ostream& operator<<(std::ostream& o, const resend_row& row) { return o << row.requests << " at the second entry"; }

const resend_row resendRows[] = {
    { {}, 1, 0 },
    { { "--key", "k1" }, 1, 0 },
    { { "--non_idempotent" }, 0, 3 },
    { { "--non_idempotent", "--key", "k1" }, 1, 0 },
};

// Guards against a non-idempotent request that is sent twice.
BOOST_DATA_TEST_CASE_F(command_line, lost_call_is_resent_only_if_safe, resendRows, row)
{
    fake_server second(loop);
    server.answer = [](const http_request&) {
        return http_response { 504, { { "x-poplardeal-verdict", "may-have-run" } }, "" };
    };
    second.answer = [](const http_request&) {
        return http_response { 200, { { "x-poplardeal-verdict", "ran" } }, "" };
    };
    std::vector<std::string> words { "call", "desk", "/x", "--entry",
        server.addressText() + "," + second.addressText() };
    words.insert(words.end(), row.flags.begin(), row.flags.end());
    BOOST_TEST(run(words) == row.code);
    BOOST_TEST(second.requests.size() == row.requests);
}

// Guards against a "not run" of a later entry that hides an earlier request which may have run.
BOOST_AUTO_TEST_CASE(later_refusal_does_not_hide_a_lost_call)
{
    fake_server second(loop);
    server.answer = [](const http_request&) {
        return http_response { 504, { { "x-poplardeal-verdict", "may-have-run" } }, "" };
    };
    second.answer = [](const http_request&) {
        return http_response { 503, { { "x-poplardeal-verdict", "not-run" } }, "" };
    };
    BOOST_TEST(run({ "call", "desk", "/x", "--entry", server.addressText() + "," + second.addressText() }) == 3);
}

BOOST_AUTO_TEST_SUITE_END()
