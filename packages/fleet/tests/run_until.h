#pragma once

#include <boost/test/unit_test.hpp>
#include <poplardeal/wire/event_loop.h>

namespace poplardeal::test {

/// Runs the loop until the condition holds; fails the test if it never does.
template <class Condition> void runUntil(event_loop& loop, Condition condition, const char* message)
{
    constexpr duration timeout = std::chrono::seconds(60); // Far above any expected wait; ends a hanging test.
    const auto startedAt = loop.now();
    auto timer = loop.every(std::chrono::milliseconds(5), [&] {
        if (condition() || loop.now() - startedAt > timeout)
            loop.quit();
    });
    loop.run();
    BOOST_REQUIRE_MESSAGE(condition(), message);
}

} // namespace poplardeal::test
