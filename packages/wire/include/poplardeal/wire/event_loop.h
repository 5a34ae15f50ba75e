#pragma once

#include <functional>
#include <memory>
#include <poplardeal/base/time.h>

namespace poplardeal {

namespace detail {
    struct loop_access;
}

/// The main loop of a process. All tasks run on its thread; other threads may only call `post`. Channels, servers and
/// clients must be destroyed before their loop, and a loop on the thread that made it.
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    void run();
    void quit();

    /// Runs a function on the loop's thread soon. Safe from any thread.
    void post(std::function<void()>);

    /// A timer that ends when its handle is destroyed.
    class timer {
    public:
        timer();
        ~timer();
        timer(timer&&) noexcept;
        timer& operator=(timer&&) noexcept;
        void cancel();

    private:
        friend class event_loop;
        struct impl;
        std::unique_ptr<impl> m_impl;
    };
    [[nodiscard]] timer after(duration, std::function<void()>);
    [[nodiscard]] timer every(duration, std::function<void()>);

    /// Calls the function on the loop's thread when the process gets SIGTERM or SIGINT.
    void onTerminate(std::function<void()>);
    /// Calls the function on the loop's thread at SIGHUP. Without it the signal ends the process.
    void onReload(std::function<void()>);

    /// Steady clock of this machine that also counts the time of a suspension; for leases and timeouts. Read afresh at
    /// each call.
    instant now() const;
    /// Wall clock, from 1970-01-01 UTC; for records only.
    instant wallClock() const;

private:
    friend struct detail::loop_access;
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace poplardeal
