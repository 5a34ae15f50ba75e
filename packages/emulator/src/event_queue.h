#pragma once

#include <functional>
#include <poplardeal/base/time.h>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

namespace poplardeal::emulator {

/// Virtual time: actions that run one after the other, each at its time. Actions of one time run in the order in which
/// they were added.
class event_queue {
public:
    using action = std::function<void()>;

    explicit event_queue(instant start)
        : m_now(start)
    {
    }

    instant now() const { return m_now; }

    void at(instant when, action run) { m_events.push({ when, ++m_lastEvent, std::move(run) }); }
    void after(duration wait, action run) { at(m_now + wait, std::move(run)); }

    void every(duration interval, const action& run)
    {
        after(interval, [this, interval, run] {
            run();
            every(interval, run);
        });
    }

    void runUntil(instant end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            auto next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.run();
        }
        m_now = end;
    }

private:
    struct event {
        instant at;
        std::uint64_t number { 0 };
        action run;
        friend bool operator<(const event& a, const event& b)
        {
            return std::tie(b.at, b.number) < std::tie(a.at, a.number);
        }
    };

    instant m_now;
    std::priority_queue<event> m_events;
    std::uint64_t m_lastEvent { 0 };
};

} // namespace poplardeal::emulator
