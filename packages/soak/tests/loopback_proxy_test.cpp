#include "loopback_proxy.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <poplardeal/wire/event_loop.h>
#include <poplardeal/wire/http.h>

using namespace poplardeal;
using namespace poplardeal::soak;

namespace {

/// An HTTP server behind a proxy.
struct proxy_fixture {
    event_loop loop;
    std::unique_ptr<http_server> server = std::move(
        http_server::open(loop, { "127.0.0.1", 0 }, 1024, [](const http_request&, const http_responder& respond) {
            respond({ 200, {}, "ok" });
        }).value());
    loopback_proxy proxy { { "127.0.0.1", 0 }, server->local() };
    http_client client { loop, 2 };

    /// Status of a call, 0 without an answer in time.
    int call(duration timeout)
    {
        std::optional<int> status;
        client.send(proxy.local(), {}, timeout, connection_use::kept, [&](const http_result& result) {
            status = result.has_value() ? result.value().status : 0;
            loop.quit();
        });
        while (!status)
            loop.run();
        return *status;
    }
};

constexpr duration longTime = std::chrono::seconds(30);
constexpr duration shortTime = std::chrono::milliseconds(200);

} // namespace

// Guards against a proxy that changes nothing, so that the soak tests nothing.
BOOST_DATA_TEST_CASE_F(
    proxy_fixture, held_bytes_arrive_when_the_mode_ends, boost::unit_test::data::make({ 0, 1, 2 }), row)
{
    const std::array modes { link_mode::hold, link_mode::hold_requests, link_mode::hold_answers };
    BOOST_TEST(call(longTime) == 200);
    proxy.setMode(modes[static_cast<std::size_t>(row)]);
    BOOST_TEST(call(shortTime) == 0);
    proxy.setMode(link_mode::pass);
    BOOST_TEST(call(longTime) == 200);
}

// Guards against silent connections that come back, or a proxy that no longer takes new ones.
BOOST_FIXTURE_TEST_CASE(silent_connections_stay_silent_and_new_ones_work, proxy_fixture)
{
    BOOST_TEST(call(longTime) == 200);
    proxy.silence();
    BOOST_TEST(call(shortTime) == 0);
    BOOST_TEST(call(longTime) == 200);
}

// Guards against resets that leave connections open.
BOOST_FIXTURE_TEST_CASE(a_reset_ends_calls_under_way, proxy_fixture)
{
    BOOST_TEST(call(longTime) == 200);
    proxy.setMode(link_mode::hold);
    const auto timer = loop.after(shortTime, [this] { proxy.reset(); });
    BOOST_TEST(call(longTime) == 0);
}
