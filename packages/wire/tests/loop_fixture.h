#pragma once

#include <boost/test/unit_test.hpp>
#include <functional>
#include <glib.h>
#include <poplardeal/wire/event_loop.h>

namespace poplardeal {

/// A loop that runs until a condition holds. The limit only ends a test that would hang.
struct loop_fixture {
    event_loop loop;

    /// A wrong use of GLib or libsoup ends the test program.
    loop_fixture() { g_log_set_always_fatal(GLogLevelFlags(G_LOG_LEVEL_CRITICAL | G_LOG_FATAL_MASK)); }

    bool runUntil(const std::function<bool()>& done)
    {
        bool expired = false;
        const auto limit = loop.after(std::chrono::seconds(20), [&] {
            expired = true;
            loop.quit();
        });
        const auto poll = loop.every(std::chrono::milliseconds(1), [&] {
            if (done())
                loop.quit();
        });
        if (!done())
            loop.run();
        return !expired;
    }

    /// Lets everything that is due happen.
    void settle(duration time = std::chrono::milliseconds(20))
    {
        const auto end = loop.after(time, [this] { loop.quit(); });
        loop.run();
    }
};

} // namespace poplardeal
