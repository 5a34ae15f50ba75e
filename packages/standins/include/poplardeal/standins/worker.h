#pragma once

#include <memory>
#include <poplardeal/base/time.h>
#include <poplardeal/base/units.h>
#include <poplardeal/standins/ledger.h>
#include <poplardeal/wire/http.h>
#include <set>
#include <string>

namespace poplardeal {

struct standin_worker_options {
    std::string name;
    resources capacity { cores(128), mebibytes(262144), accelerators(8) };
    double timeScale { 1 }; ///< Real run time divided by declared run time.
    double usageFactor { 1 }; ///< Reported usage divided by declared size.
    bool failAll { false };
    std::set<std::string> failCommands; ///< Tasks with these commands fail.
    std::uint64_t bootId { 1 }; ///< Grows with every restart.
    std::string checkpointFolder; ///< Shared by workers, so that a task resumes elsewhere; empty: memory only.
};

/// The platform's worker program as the worker HTTP API of the design page describes it. Tasks do nothing but take
/// time.
///
/// - `GET /v1/capacity`: {cores, memory_mib, accelerators, boot_id}
/// - `POST /v1/lease` {lease_ms}: all tasks stop by themselves when the last lease has expired.
/// - `PUT /v1/tasks/ID` {cores, memory_mib, accelerators: [index], run_time_ms, command}: 201, or 409 if the resources
/// or
///   an accelerator index are held, or the id is known with other content; a repetition gives 200.
/// - `POST /v1/tasks/ID/start|stop|checkpoint|throttle`: 200, or 409 in a state that does not allow it.
/// - `DELETE /v1/tasks/ID`: 200, or 409 while the task runs.
/// - `GET /v1/tasks`: {tasks: [{id, state, cores, memory_mib, accelerators, run_time_ms, command, progress_ms,
///   checkpoint_ms, throttled, usage: {cores, memory_mib}}]}
///
/// A task resumes at its last checkpoint; ids JOB.INDEX.ATTEMPT.LEASE of one JOB.INDEX share it. A throttled
/// task runs at half speed. Prepared and running tasks hold their resources.
class standin_worker {
public:
    standin_worker(standin_worker_options, ledger_sink);
    ~standin_worker();
    standin_worker(const standin_worker&) = delete;
    standin_worker& operator=(const standin_worker&) = delete;

    /// `now` drives the tasks, `wallClock` is put into ledger records.
    http_response handle(const http_request&, instant now, instant wallClock);

    /// Ends the tasks whose time has come.
    void advance(instant now, instant wallClock);

    /// Ledger records are {event: start | finish | fail | stop, worker, task, command, accelerators, progress_ms,
    /// wall_us}.
    static constexpr std::size_t maxTasks = 4096;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace poplardeal
