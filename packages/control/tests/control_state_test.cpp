#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <poplardeal/control/control_state.h>
#include <rapidcheck.h>

using namespace poplardeal;
using nlohmann::json;

namespace {

const std::string planText = R"(format = 1
name = "test"

[[region]]
name = "north"

[[data_centre]]
name = "a"
region = "north"
in_service = true

[[data_centre]]
name = "b"
region = "north"
in_service = true

[[worker_pool]]
data_centre = "a"
rack = "a-r1"
workers = 2
cores = 64
memory_gib = 128
accelerators = 8

[[worker_pool]]
data_centre = "b"
rack = "b-r1"
workers = 2
cores = 64
memory_gib = 128
accelerators = 8

[[workspace]]
name = "film"
quota = { cores = 256, memory_gib = 512, accelerators = 32 }

[[workspace.job]]
name = "render"
tasks = 2
cores = 8
memory_gib = 16
accelerators = 8
within = "rack"
priority = "guaranteed"
run_time_s = 60
max_restarts = 3
command = "render"
)";

std::string withBreak(const std::string& start)
{
    return planText + "\n[[break]]\nstart = \"" + start + "\"\nminutes = 30\n";
}

/// A state with a clock of its own; each entry is applied one second after the one before.
struct fixture {
    control_state state;
    instant now = instantFromMicros(1'000'000);
    std::uint64_t index { 0 };

    json apply(const control_command& command)
    {
        now += std::chrono::seconds(1);
        return json::parse(state.apply(++index, encodeControlEntry({ now, command })));
    }

    json applyPlan(const std::string& id, std::uint64_t base, const std::string& text = planText)
    {
        return apply(apply_deployment { { order_id(id), operator_name("amina") }, deployment_version(base), text });
    }

    json orderDataCentre(const std::string& id, const std::string& name, bool inService)
    {
        return apply(order_data_centre { { order_id(id), operator_name("juma") }, data_centre_name(name), inService });
    }

    json submit(const std::string& id)
    {
        return apply(
            submit_job { { order_id(id), operator_name("amina") }, workspace_name("film"), job_name("render") });
    }
};

claim_key claimOf(const std::string& key, const std::string& request, std::uint64_t fingerprint)
{
    return { service_name("desk"), idempotency_key(key), endpoint_id("runner-1"), incarnation(1), request_id(request),
        fingerprint };
}

// Values of "outcome" in the answer to a claim.
constexpr int granted = 0;
constexpr int alreadyClaimed = 1;
constexpr int fingerprintDiffers = 2;

} // namespace

BOOST_FIXTURE_TEST_SUITE(control_state_suite, fixture)

// Guards against two operators with equal base versions who both believe that their plan is in force.
BOOST_AUTO_TEST_CASE(one_of_two_racing_operators_wins)
{
    BOOST_TEST(applyPlan("first", 0).at("version") == 1);
    const auto lost = applyPlan("second", 0, withBreak("05:00"));
    BOOST_TEST(lost.at("verdict") == "not-run");
    BOOST_TEST(lost.at("status") == 409);
    BOOST_TEST(lost.at("version") == 1);
    BOOST_TEST(!lost.at("difference").get<std::string>().empty());
    BOOST_TEST(state.version().value() == 1U);
}

// Guards against a second effect of an order that was resent after its answer was lost.
BOOST_AUTO_TEST_CASE(resent_order_gets_the_first_answer)
{
    applyPlan("plan", 0);
    const auto first = submit("submit-1");
    BOOST_TEST(first.at("verdict") == "ran");
    BOOST_TEST(submit("submit-1") == first);
    BOOST_TEST(submit("submit-2").at("id") != first.at("id"));
    BOOST_TEST(state.placement().jobs().size() == 2U);
}

BOOST_AUTO_TEST_CASE(order_id_with_other_content_is_refused)
{
    applyPlan("plan", 0);
    orderDataCentre("x", "a", false);
    const auto refused = orderDataCentre("x", "b", false);
    BOOST_TEST(refused.at("verdict") == "not-run");
    BOOST_TEST(refused.at("status") == 409);
    BOOST_TEST(state.current()->dataCentres[1].inService);
}

// Guards against a plan, written before a data centre was taken out, that brings it back by accident.
BOOST_AUTO_TEST_CASE(data_centre_order_makes_older_plans_stale)
{
    applyPlan("plan", 0);
    BOOST_TEST(orderDataCentre("out", "a", false).at("version") == 2);
    BOOST_TEST(applyPlan("stale", 1).at("status") == 409);
    BOOST_TEST(!state.current()->dataCentres[0].inService);
}

struct refused_row {
    const char* name;
    std::string text;
    int status;
};
std::ostream& operator<<(std::ostream& out, const refused_row& row) { return out << row.name; }

const refused_row refusedRows[] = {
    { "not toml", "format = ", 400 },
    { "unknown key", planText + "\nextra = 1\n", 400 },
    { "guarantee larger than the pools",
        planText + "\n[[workspace.guarantee]]\nblocks = 3\nblock_accelerators = 8\nwithin = \"rack\"\ncount = 1\n",
        422 },
};

// Guards against a refused plan that leaves a trace.
BOOST_DATA_TEST_CASE_F(fixture, bad_plan_changes_nothing, refusedRows, row)
{
    applyPlan("plan", 0);
    const auto answer = applyPlan("bad", 1, row.text);
    BOOST_TEST(answer.at("verdict") == "not-run");
    BOOST_TEST_CONTEXT(answer.dump()) { BOOST_TEST(answer.at("status") == row.status); }
    BOOST_TEST(state.version().value() == 1U);
}

// The test's clock stands a few seconds after midnight, so that a break at 12:00 is closed.
BOOST_AUTO_TEST_CASE(jobs_change_only_in_the_break_and_data_centres_at_any_time)
{
    applyPlan("plan", 0, withBreak("12:00"));
    BOOST_TEST(applyPlan("outside", 1).at("verdict") == "not-run");
    BOOST_TEST(orderDataCentre("out", "a", false).at("verdict") == "ran");
    now += std::chrono::hours(12) + std::chrono::minutes(5);
    BOOST_TEST(applyPlan("inside", 2).at("verdict") == "ran");
}

// Guards against a second run of a non-idempotent request.
BOOST_AUTO_TEST_CASE(key_is_claimed_once_until_it_is_known_not_to_have_run)
{
    BOOST_TEST(apply(claimOf("k", "r1", 7)).at("outcome") == granted);
    BOOST_TEST(apply(claimOf("k", "r1", 7)).at("outcome") == granted);
    BOOST_TEST(apply(claimOf("k", "r2", 7)).at("outcome") == alreadyClaimed);
    BOOST_TEST(apply(claimOf("k", "r3", 8)).at("outcome") == fingerprintDiffers);
    apply(settle_key { service_name("desk"), idempotency_key("k"), request_id("r2"), run_verdict::not_run });
    BOOST_TEST(apply(claimOf("k", "r2", 7)).at("outcome") == alreadyClaimed);
    apply(settle_key { service_name("desk"), idempotency_key("k"), request_id("r1"), run_verdict::not_run });
    BOOST_TEST(apply(claimOf("k", "r2", 7)).at("outcome") == granted);
    apply(settle_key { service_name("desk"), idempotency_key("k"), request_id("r2"), run_verdict::ran });
    apply(settle_key { service_name("desk"), idempotency_key("k"), request_id("r2"), run_verdict::not_run });
    BOOST_TEST(apply(claimOf("k", "r4", 7)).at("outcome") == alreadyClaimed);
}

BOOST_AUTO_TEST_CASE(damaged_entry_and_snapshot_change_nothing)
{
    applyPlan("plan", 0);
    const auto before = state.digest();
    BOOST_TEST(json::parse(state.apply(++index, "\xff\x00garbage")).at("verdict") == "not-run");
    BOOST_TEST(state.installSnapshot("garbage").has_error());
    BOOST_TEST(state.digest() == before);
}

// Guards against replicas that differ: one replays all entries, one starts from a snapshot taken in the middle.
BOOST_AUTO_TEST_CASE(replay_and_snapshot_give_the_same_state)
{
    rc::check([](const std::vector<std::uint8_t>& choices, std::uint8_t snapshotAt) {
        fixture whole;
        fixture resumed;
        whole.applyPlan("plan", 0);
        resumed.applyPlan("plan", 0);
        worker_spec spec { worker_id("w1"), incarnation(1), data_centre_name("a"), rack_name("a-r1"),
            { cores(64), mebibytes(131072), accelerators(8) } };
        std::size_t step = 0;
        for (const auto choice : choices) {
            if (step++ == snapshotAt % (choices.size() + 1)) {
                const auto saved = resumed.state.takeSnapshot();
                RC_ASSERT(resumed.state.installSnapshot(saved).has_value());
            }
            const auto id = std::to_string(choice);
            for (auto* replica : { &whole, &resumed }) {
                spec.instance = incarnation(1 + choice / 64);
                switch (choice % 5) {
                case 0:
                    replica->submit("s" + id);
                    break;
                case 1:
                    replica->orderDataCentre("d" + id, choice % 2 ? "a" : "b", choice % 3 == 0);
                    break;
                case 2:
                    replica->apply(observe_placement { worker_joined { spec } });
                    break;
                case 3:
                    replica->apply(claimOf(std::to_string(choice % 4), id, 1));
                    break;
                default:
                    replica->apply(cancel_job { { order_id("c" + id), operator_name("amina") }, job_id(choice % 7) });
                }
            }
        }
        RC_ASSERT(whole.state.digest() == resumed.state.digest());
    });
}

BOOST_AUTO_TEST_SUITE_END()
