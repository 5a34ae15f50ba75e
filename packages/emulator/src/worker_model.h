#pragma once

#include <map>
#include <poplardeal/jobs/worker_agent.h>
#include <set>
#include <vector>

namespace poplardeal::emulator {

/// What a task does when it runs.
struct task_behaviour {
    duration runTime { 0 };
    std::uint32_t failures { 0 }; ///< The first runs of the task fail.
};

/// A worker as the platform's pages describe it: a fence, a lease on a clock of its own, numbered ends, and starts that
/// are refused once their run is stopped or over. Calls take effect at once.
class worker_model {
public:
    /// The clock runs at `clockRate` seconds a second and shows 0 at `bornAt`. A poll lists at most `listedEnds` ends.
    worker_model(worker_boot, double clockRate, std::size_t slots, std::size_t listedEnds, duration longestLease,
        instant bornAt);

    const worker_boot& boot() const { return m_boot; }
    std::int64_t clockMs(instant now) const;

    start_result start(const start_order&, const task_behaviour&, instant now);
    bool stop(const stop_order&, instant now);
    poll_result poll(const poll_request&, instant now);

    /// Ends what is due by `now`.
    void advance(instant now);

    bool runs(const task_key& task) const { return m_running.contains(task); }
    /// Tasks that have ended `done` here. An end does not count any more once the lease has lapsed before the end was
    /// acknowledged.
    const std::map<task_key, std::uint64_t>& doneTasks() const { return m_done; }
    std::uint64_t acknowledged() const { return m_acknowledged; }
    std::size_t unrecordedEnds() const { return m_ended.size(); }

    /// Runs of a task that have ended `failed`.
    std::uint32_t failuresOf(const task_key&) const;

private:
    struct active_run {
        run_number run;
        instant beganAt;
        instant endsAt;
        end_kind endsAs { end_kind::done };
    };

    void end(const task_key&, end_kind);
    bool hasFence(std::uint64_t term);
    void extendLease(std::int64_t untilMs, instant now);

    worker_boot m_boot;
    double m_clockRate;
    std::size_t m_slots;
    std::size_t m_listedEnds;
    duration m_longestLease;
    instant m_bornAt;
    std::uint64_t m_fence { 0 };
    std::int64_t m_leaseUntilMs { 0 };
    std::map<task_key, active_run> m_running;
    std::map<task_key, run_number> m_closed; ///< The highest run of a task that is over or refused.
    std::vector<task_end> m_ended;
    std::map<task_key, std::uint64_t> m_done; ///< Number of the end.
    std::map<task_key, std::uint32_t> m_failures;
    std::uint64_t m_lastEnd { 0 };
    std::uint64_t m_acknowledged { 0 };
};

} // namespace poplardeal::emulator
