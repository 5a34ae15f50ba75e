#pragma once

#include "discarded_work.h"
#include "interference_report.h"
#include "workspace_metrics.h"
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

/// The replicated state machine of control: applies committed commands to the job table.
class job_state_machine final : public state_machine {
public:
    /// The answer is one byte, an `apply_outcome`. A payload that cannot be decoded is `refused`.
    std::string apply(std::uint64_t index, std::string_view payload) override;
    std::string takeSnapshot() const override { return m_table.save(); }
    result<void> installSnapshot(std::string_view bytes) override { return m_table.restore(bytes); }

    const job_table& table() const { return m_table; }

private:
    job_table m_table;
};

/// Decodes the answer of `job_state_machine::apply`.
apply_outcome readOutcome(const std::string& answer);

/// Runs the scheduler while its replica leads the group: answers calls on queues, places tasks, grants leases to
/// workers and records the ends of runs.
class job_leader {
public:
    /// Sends instructions to the sidecar of a worker; false if it is not connected.
    using instruction_sender = std::function<bool(const worker_id&, std::uint64_t term, const worker_instructions&)>;
    using call_responder = std::function<void(const message::queue_answerT&)>;

    job_leader(event_loop&, const fleet_settings&, job_state_machine&, metrics_registry&);

    /// Sets the replica; call once before everything else.
    void attach(replica&);
    void onInstructions(instruction_sender sender) { m_send = std::move(sender); }

    /// Call every `tickInterval`, on the leader and on followers.
    void tick(instant now);
    /// True while this replica holds the leader lease: it may answer calls and grant leases.
    bool leads() const;

    /// Answers a client's call on a queue, at once or when its command is committed.
    void answerCall(message::queue_callT, const call_responder&);
    /// Processes a sidecar's report. Ignored unless this replica leads.
    void handleReport(const worker_status&);
    /// A sidecar was heard that has reported this worker.
    void recordContact(const worker_id&);
    /// Proposes a command and answers with its outcome once it is applied here. Failures: `unavailable` if the command
    /// may have been or may still be recorded, `not_leader` if it was not and will not be.
    void propose(job_command_body, std::function<void(result<apply_outcome>)>);

    static constexpr duration tickInterval = std::chrono::milliseconds(50);

private:
    void plan();
    /// Plans after a short delay, so that events close to each other share a plan.
    void schedulePlan();
    /// Updates the metrics of the workers' speeds.
    void showSpeeds(const std::map<worker_id, worker_view>&);
    void applyDecisions(const job_decisions&);
    void proposeStarts(const start_tasks&);
    void recordEnds(const record_ends&);
    void logFinished(const record_ends&, instant proposedAt) const;
    void releaseRuns(const std::vector<released_run>&, const char* cause);
    /// Sends outstanding orders in the next turn of the loop, so that changes of this turn share a message.
    void scheduleInstructions(const worker_boot&);
    void sendInstructions();
    void answerReport(const worker_boot&);
    /// Proposes the beginning of jobs that workers have been seen to run.
    void recordBegins();
    submission_phase shownPhase(const submission&) const;
    /// Whether the workspace's jobs, and what all others may need, leave room for a job of this footprint.
    bool admits(const workspace_name&, std::size_t bytes) const;
    void submit(const accept_submission&, const call_responder&);
    void cancel(const submission_id&, const call_responder&);
    message::queue_answerT answerStatus(const submission_id&) const;

    event_loop& m_loop;
    const fleet_settings& m_settings;
    job_state_machine& m_stateMachine;
    replica* m_replica { nullptr };
    worker_registry m_workers;
    planner_options m_plannerOptions;
    capacity_claims m_claims;
    held_back_units m_heldBack;
    instruction_sender m_send;
    std::set<worker_boot> m_instructionsDue;
    event_loop::timer m_instructionTimer;
    bool m_wasLeading { false };
    std::uint64_t m_epoch { 0 }; ///< Incremented when leadership begins or ends; older callbacks are ignored.
    std::size_t m_startsInFlight { 0 }; ///< Proposals not yet answered.
    std::set<run_key> m_pendingReleases; ///< Runs whose release is proposed and not yet answered.
    bool m_planScheduled { false };
    bool m_planWanted { false };
    instant m_plannedAt;
    event_loop::timer m_planTimer;
    counter& m_accepted;
    counter& m_rejected;
    counter& m_starts;
    counter& m_stops;
    counter& m_released;
    discarded_work m_discarded;
    timing& m_planTime;
    gauge& m_heldBackSteps;
    gauge& m_avoidedWorkers;
    gauge& m_measuredWorkers;
    gauge& m_leastSlowness;
    gauge& m_mostSlowness;
    workspace_metrics m_workspaceMetrics;
    interference_report m_interferenceReport;
    std::size_t m_maxFootprint; ///< Of all jobs, in bytes.
    std::map<workspace_name, std::size_t> m_proposedFootprints; ///< Of jobs that are proposed and not yet recorded.
    std::size_t m_proposedFootprint { 0 }; ///< Sum of `m_proposedFootprints`.
    gauge& m_jobBytes;
    counter& m_overLimit;
    gauge& m_limitedUnits;
    instant m_beginsRecordedAt;
    instant m_metricsAt; ///< Last update of `m_workspaceMetrics`.
};

} // namespace poplardeal::detail
