#include "relay_host.h"
#include "run_until.h"
#include <poplardeal/wire/message.h>

using namespace poplardeal;
using namespace poplardeal::detail;
using namespace poplardeal::test;

namespace {

/// A control that echoes frames, an entry's relay host, and a caller.
struct relay_fixture {
    event_loop loop;
    std::vector<std::unique_ptr<channel>> accepted;
    bool isClosed { false };
    std::unique_ptr<listener> control;
    relay_host host { loop, [this](const address& each) { return control && each == control->local(); } };
    std::unique_ptr<dialer> caller;
    std::vector<frame> received;
    std::size_t ups { 0 };

    relay_fixture()
    {
        control = std::move(listener::open(loop, { "127.0.0.1", 0 }, [this](std::unique_ptr<channel> link) {
            auto* each = link.get();
            each->onFrame([each](const frame& f) { each->send(f); });
            each->onClosed([this](const failure&) { isClosed = true; });
            accepted.push_back(std::move(link));
        }).value());
        BOOST_REQUIRE(host.open({ "127.0.0.1", 0 }).has_value());
        caller = std::make_unique<dialer>(loop, host.local(), 1);
        caller->onUp([this] { ++ups; });
        caller->onFrame([this](frame f) { received.push_back(std::move(f)); });
        caller->start();
        runUntil(
            loop, [this] { return caller->isUp(); }, "the caller reaches the relay");
    }

    void ask(const std::string& target) const
    {
        message::relay_openT open;
        open.target = target;
        caller->send(packMessage(frame_kind::relay_open, 0, open));
    }
};

} // namespace

// Guards against frames that are lost or changed while the onward connection is still being made.
BOOST_FIXTURE_TEST_CASE(frames_go_both_ways_in_order, relay_fixture)
{
    ask(toString(control->local()));
    for (std::uint64_t i = 1; i <= 20; ++i)
        caller->send({ frame_kind::queue_call, i, "body " + std::to_string(i) });
    runUntil(
        loop, [this] { return received.size() == 20; }, "all frames come back");
    for (std::uint64_t i = 1; i <= 20; ++i) {
        BOOST_TEST(received[i - 1].correlation == i);
        BOOST_TEST(received[i - 1].body == "body " + std::to_string(i));
    }
}

// Guards against connections that stay open towards a control whose other side is gone.
BOOST_FIXTURE_TEST_CASE(both_sides_close_together, relay_fixture)
{
    ask(toString(control->local()));
    caller->send({ frame_kind::queue_call, 1, "x" });
    runUntil(
        loop, [this] { return received.size() == 1; }, "the pipe is open");
    caller.reset();
    runUntil(
        loop, [this] { return isClosed; }, "the control sees the end");
    BOOST_TEST(host.connectionCount() == 0U);
}

// Guards against an entry that dials any address that it is told.
BOOST_FIXTURE_TEST_CASE(only_controls_are_dialed, relay_fixture)
{
    ask("127.0.0.1:1");
    runUntil(
        loop, [this] { return ups >= 2; }, "the relay closes the connection and the caller dials again");
    BOOST_TEST(accepted.empty());
}

// Guards against a caller that waits for a control that does not answer.
BOOST_FIXTURE_TEST_CASE(a_pipe_to_a_dead_control_is_closed, relay_fixture)
{
    const auto gone = control->local();
    control.reset();
    relay_host other(loop, [&gone](const address& each) { return each == gone; });
    BOOST_REQUIRE(other.open({ "127.0.0.1", 0 }).has_value());
    bool isDown = false;
    dialer late(loop, other.local(), 2);
    late.onUp([&] {
        message::relay_openT open;
        open.target = toString(gone);
        late.send(packMessage(frame_kind::relay_open, 0, open));
    });
    late.onDown([&] { isDown = true; });
    late.start();
    runUntil(
        loop, [&] { return isDown; }, "the relay gives up");
}
