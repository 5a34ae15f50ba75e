#pragma once

#include <functional>
#include <map>
#include <memory>
#include <poplardeal/base/failure.h>
#include <poplardeal/wire/address.h>
#include <poplardeal/wire/channel.h>
#include <poplardeal/wire/event_loop.h>
#include <vector>

namespace poplardeal::detail {

/// Passes frames on between processes that cannot reach a control themselves and that control. Each connection begins
/// with `relay_open`; all later frames go unchanged in both directions until one side closes.
class relay_host {
public:
    /// Only addresses for which `isControl` holds are dialed.
    relay_host(event_loop&, std::function<bool(const address&)> isControl);

    /// `io_error` if the address cannot be bound.
    result<void> open(const address& own);
    address local() const { return m_listener->local(); }
    std::size_t openCount() const { return m_pipes.size(); }

    /// More are refused. An entry serves a share of the instances that are cut off at the same time.
    static constexpr std::size_t maxPipes = 512;
    /// Frames that wait for the onward connection; more close the pipe.
    static constexpr std::size_t maxWaiting = 64;
    /// An onward connection that takes longer is given up.
    static constexpr duration dialLimit = std::chrono::seconds(1);

private:
    struct pipe {
        std::unique_ptr<channel> caller;
        std::unique_ptr<dialer> onward;
        std::vector<frame> waiting;
        event_loop::timer dialTimer;
    };

    void accept(std::unique_ptr<channel>);
    void handle(std::uint64_t number, frame);
    void connect(std::uint64_t number, pipe&, const address& target);
    void close(std::uint64_t number, const char* reason);

    event_loop& m_loop;
    std::function<bool(const address&)> m_isControl;
    std::map<std::uint64_t, pipe> m_pipes;
    std::uint64_t m_lastPipe { 0 };
    std::unique_ptr<listener> m_listener;
};

} // namespace poplardeal::detail
