#pragma once

#include <functional>
#include <poplardeal/base/metrics.h>
#include <poplardeal/consensus/replica.h>
#include <poplardeal/fleet/settings.h>
#include <poplardeal/jobs/job_table.h>
#include <poplardeal/jobs/planner.h>
#include <poplardeal/jobs/worker_registry.h>
#include <poplardeal/wire/event_loop.h>
#include <poplardeal/wire/messages_generated.h>

namespace poplardeal::detail {

/// The replicated state machine of control.
class job_state_machine final : public state_machine {
public:
    std::string apply(std::uint64_t index, std::string_view payload) override;
    std::string takeSnapshot() const override { return m_table.save(); }
    result<void> installSnapshot(std::string_view bytes) override { return m_table.restore(bytes); }

    const job_table& table() const { return m_table; }

private:
    job_table m_table;
};

/// Reads the answer of `job_state_machine::apply`.
apply_outcome readOutcome(const std::string& answer);

/// Decides while its replica leads: answers calls, places tasks, keeps leases and records ends.
class job_leader {
public:
    /// Sends instructions to the sidecar of a worker; false if it is not connected.
    using instruction_sender = std::function<bool(const worker_id&, std::uint64_t term, const worker_instructions&)>;
    using call_responder = std::function<void(const message::queue_answerT&)>;

    job_leader(event_loop&, const fleet_settings&, job_state_machine&, metrics_registry&);

    void attach(replica&);
    void onInstructions(instruction_sender sender) { m_send = std::move(sender); }

    /// Call every `tickInterval`, leading or not.
    void tick(instant now);
    /// True if this replica may answer for the group at this moment.
    bool leads() const;

    void answerCall(message::queue_callT, const call_responder&);
    void handleReport(const worker_status&);
    /// Answers with an HTTP-like verdict: the outcome of the command, or a failure. `unavailable`: it may have been
    /// recorded; `not_leader`: it was not.
    void propose(job_command_body, std::function<void(result<apply_outcome>)>);

    static constexpr duration tickInterval = std::chrono::milliseconds(50);

private:
    void plan();
    void schedulePlan();
    void applyDecisions(const job_decisions&);
    void proposeStarts(const start_tasks&);
    void recordEnds(const record_ends&);
    void logFinished(const record_ends&, instant proposedAt) const;
    void releaseRuns(const std::vector<released_run>&, const char* cause);
    void sendInstructions(const worker_boot&);
    void submit(const accept_submission&, const call_responder&);
    void cancel(const submission_id&, const call_responder&);
    message::queue_answerT answerStatus(const submission_id&) const;

    event_loop& m_loop;
    const fleet_settings& m_settings;
    job_state_machine& m_stateMachine;
    replica* m_replica { nullptr };
    worker_registry m_workers;
    planner_options m_plannerOptions;
    room_claims m_claims;
    instruction_sender m_send;
    bool m_wasLeading { false };
    std::uint64_t m_epoch { 0 }; ///< Counts terms of office, so that callbacks of an earlier one are told apart.
    std::size_t m_startsInFlight { 0 };
    std::set<run_key> m_pendingReleases; ///< Proposed and not yet answered.
    bool m_planScheduled { false };
    bool m_planWanted { false };
    instant m_plannedAt;
    event_loop::timer m_planTimer;
    counter& m_accepted;
    counter& m_rejected;
    counter& m_starts;
    counter& m_stops;
    counter& m_released;
    timing& m_planTime;
};

} // namespace poplardeal::detail
