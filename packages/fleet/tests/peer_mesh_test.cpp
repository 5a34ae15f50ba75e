#include "peer_mesh.h"
#include "replica_address.h"
#include "run_until.h"
#include <poplardeal/wire/message.h>

using namespace poplardeal;
using namespace poplardeal::detail;
using namespace poplardeal::test;

namespace {

constexpr std::uint16_t port = 24220;

} // namespace

// Guards against a group that cannot elect a leader because replicas keep sending into connections that no longer
// deliver but were not closed (seen with soak seed 42000).
BOOST_AUTO_TEST_CASE(a_silent_connection_to_a_peer_is_replaced)
{
    event_loop loop;
    std::vector<std::unique_ptr<channel>> links;
    std::size_t votes = 0;
    const auto server = std::move(listener::open(loop, { "127.0.0.22", port }, [&](std::unique_ptr<channel> link) {
        auto* each = link.get();
        const bool isSilent = links.empty();
        each->onFrame([&votes, each, isSilent](const frame& received) {
            if (isSilent)
                return;
            votes += received.kind == frame_kind::raft ? 1 : 0;
            if (received.kind == frame_kind::control_probe)
                each->send(packMessage(frame_kind::control_hint, 0, message::control_hintT {}));
        });
        each->onClosed([](const failure&) {});
        links.push_back(std::move(link));
    }).value());
    fleet_settings settings;
    settings.name = "control-1";
    settings.framePort = port;
    peer_mesh mesh(loop, settings, replicaIdFromIp("127.0.0.21"));
    const auto timer = loop.every(std::chrono::milliseconds(25), [&] {
        mesh.send(replicaIdFromIp("127.0.0.22"), { frame_kind::raft, 0, "vote" }, loop.now());
        mesh.tick(loop.now());
    });
    runUntil(
        loop, [&] { return votes > 100; }, "messages arrive on a new connection");
    // The second connection answers probes, so it is not replaced.
    BOOST_TEST(links.size() == 2U);
}
