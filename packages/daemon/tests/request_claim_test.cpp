#include "request_path_fixture.h"

using namespace poplardeal;
using namespace poplardeal::test;

namespace {

http_request makeRefund(const std::string& body, const std::string& timeoutMs = "30000")
{
    return makeCall(body, { { "idempotency-key", "refund-1" }, { "x-poplardeal-timeout-ms", timeoutMs } });
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(request_claim, path_fixture)

// Guards against a refund that is paid twice when the caller sends it again, at once or later, through any entry.
BOOST_AUTO_TEST_CASE(resend_gets_the_first_outcome)
{
    fake_control control(loop);
    fake_runner runner(loop, std::chrono::milliseconds(50));
    auto& one = startEntry({ control.local() });
    auto& two = startEntry({ control.local() });
    startSidecar("e1", runner.local(), { one.frameAddress(), two.frameAddress() });
    awaitEndpoints(one, 1);
    awaitEndpoints(two, 1);
    std::vector<http_response> answers;
    for (int i = 0; i < 6; ++i)
        send(i % 2 == 0 ? one : two, makeRefund("20"),
            [&](const http_response& received) { answers.push_back(received); });
    runUntil([&] { return answers.size() == 6; });
    answers.push_back(call(one, makeRefund("20")));
    for (const auto& answer : answers) {
        BOOST_TEST(verdictOf(answer) == "ran");
        BOOST_TEST(answer.body == "/loans|20");
    }
    BOOST_TEST(runner.runs["/loans|20"] == 1);
    runUntil([&] { return control.settled["refund-1"] == message::verdict::ran; });

    const auto other = call(two, makeRefund("21"));
    BOOST_TEST(other.status == 422);
    BOOST_TEST(verdictOf(other) == "not-run");
    BOOST_TEST(runner.runs.size() == 1U);
}

// Guards against a resend that runs again after the endpoint that holds the outcome has gone.
BOOST_AUTO_TEST_CASE(resend_after_loss_of_the_holder_may_have_run)
{
    fake_control control(loop);
    fake_runner runner(loop);
    auto& entry = startEntry({ control.local() });
    startSidecar("far", runner.local(), { entry.frameAddress() }, "msasani");
    auto near = std::make_unique<fake_sidecar>(loop, entry.frameAddress(), "near");
    near->handle = [&](const frame&, const message::requestT&) { loop.post([&] { near.reset(); }); };
    awaitEndpoints(entry, 2);
    BOOST_TEST(verdictOf(call(entry, makeRefund("20"))) == "may-have-run");
    const auto resent = call(entry, makeRefund("20", "700"));
    BOOST_TEST(resent.status == 409);
    BOOST_TEST(verdictOf(resent) == "may-have-run");
    BOOST_TEST(runner.runs.empty());
}

// Guards against a request with a key that runs without a claim, or waits beyond its deadline for one.
BOOST_AUTO_TEST_CASE(without_a_leader_nothing_runs)
{
    fake_peer silent(loop);
    fake_runner runner(loop);
    auto& alone = startEntry();
    auto& entry = startEntry({ silent.local() });
    startSidecar("e1", runner.local(), { alone.frameAddress(), entry.frameAddress() });
    awaitEndpoints(alone, 1);
    awaitEndpoints(entry, 1);
    for (auto* refused : { &alone, &entry }) {
        const auto answer = call(*refused, makeRefund("20", "700"));
        BOOST_TEST(answer.status == 503);
        BOOST_TEST(verdictOf(answer) == "not-run");
    }
    BOOST_TEST(runner.runs.empty());
    BOOST_TEST(verdictOf(call(alone, makeCall("quote"))) == "ran");
}

// Guards against a claim that is given up although another control leads.
BOOST_AUTO_TEST_CASE(claim_finds_the_leader)
{
    fake_peer silent(loop);
    fake_peer follower(loop);
    fake_control leader(loop);
    follower.handle = [&](channel& from, const frame& received) {
        message::claim_answerT answer;
        answer.outcome = message::claim_outcome::refused;
        answer.leader = toString(leader.local());
        if (received.kind == frame_kind::claim)
            from.send(packMessage(frame_kind::claim_answer, received.correlation, answer));
    };
    fake_runner runner(loop);
    auto& entry = startEntry({ silent.local(), follower.local(), leader.local() });
    startSidecar("e1", runner.local(), { entry.frameAddress() });
    awaitEndpoints(entry, 1);
    BOOST_TEST(verdictOf(call(entry, makeRefund("20"))) == "ran");
    BOOST_TEST(silent.count(frame_kind::claim) == 1);
    BOOST_TEST(follower.count(frame_kind::claim) == 1);
    BOOST_TEST(leader.claims.size() == 1U);
}

// Guards against a key that is lost for its caller although the request did not run.
BOOST_AUTO_TEST_CASE(refused_request_frees_its_key)
{
    fake_control control(loop);
    auto runner = std::make_unique<fake_runner>(loop);
    auto& entry = startEntry({ control.local() });
    startSidecar("e1", runner->local(), { entry.frameAddress() });
    awaitEndpoints(entry, 1);
    runner.reset();
    BOOST_TEST(verdictOf(call(entry, makeRefund("20"))) == "not-run");
    runUntil([&] { return control.claims.empty(); });
}

// Guards against a configuration that goes back to an older version, and against requests to a data centre out of
// service.
BOOST_AUTO_TEST_CASE(deployment_in_force_is_the_newest)
{
    fake_control control(loop);
    fake_runner runner(loop);
    auto& entry = startEntry({ control.local() });
    startSidecar("e1", runner.local(), { entry.frameAddress() });
    awaitEndpoints(entry, 1);
    const auto update = [&](std::uint64_t version, std::vector<std::string> out) {
        message::deployment_updateT object;
        object.version = version;
        object.out_of_service = std::move(out);
        const auto before = control.count(frame_kind::deployment_ack);
        control.connections.front()->send(packMessage(frame_kind::deployment_update, 0, object));
        runUntil([&] { return control.count(frame_kind::deployment_ack) > before; });
        return unpackMessage<message::deployment_ack>(control.frames.back().body).value().version;
    };
    BOOST_TEST(update(5, { "kariakoo" }) == 5U);
    const auto refused = call(entry, makeCall("a"));
    BOOST_TEST(verdictOf(refused) == "not-run");
    BOOST_TEST(update(4, {}) == 5U);
    BOOST_TEST(verdictOf(call(entry, makeCall("a"))) == "not-run");
    BOOST_TEST(update(6, {}) == 6U);
    BOOST_TEST(verdictOf(call(entry, makeCall("a"))) == "ran");
}

BOOST_AUTO_TEST_SUITE_END()
