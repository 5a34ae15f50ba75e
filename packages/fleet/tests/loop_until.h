#pragma once

#include <boost/test/unit_test.hpp>
#include <poplardeal/wire/event_loop.h>

namespace poplardeal::test {

/// Runs the loop until the condition holds; fails the test if it never does.
template <class Condition> void runUntil(event_loop& loop, Condition condition, const char* what)
{
    constexpr duration limit = std::chrono::seconds(60); // Far beyond any of the waits; only ends a broken run.
    const auto begun = loop.now();
    auto poll = loop.every(std::chrono::milliseconds(5), [&] {
        if (condition() || loop.now() - begun > limit)
            loop.quit();
    });
    loop.run();
    BOOST_REQUIRE_MESSAGE(condition(), what);
}

} // namespace poplardeal::test
