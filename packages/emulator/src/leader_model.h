#pragma once

#include "event_queue.h"
#include <memory>
#include <poplardeal/jobs/planner.h>
#include <poplardeal/jobs/worker_registry.h>
#include <set>

namespace poplardeal::emulator {

struct leader_statistics {
    std::size_t starts { 0 };
    std::size_t stops { 0 };
    std::size_t plans { 0 };
    duration planTime { 0 }; ///< Processor time of all plans.
    duration longestPlan { 0 };
};

/// What the control that leads does with reports and with the decisions of the planner, in virtual time.
class leader_model {
public:
    using send_function = std::function<void(std::uint64_t term, const worker_instructions&)>;
    using stop_function = std::function<void(const planned_stop&)>;
    /// Called with the ends that have just been recorded.
    using ends_function = std::function<void(const record_ends&)>;

    /// `commitDelay`: from a proposal to its answer.
    leader_model(
        event_queue&, job_table&, const planner_options&, lease_options, duration commitDelay, std::uint64_t term);

    void onSend(send_function function) { m_send = std::move(function); }
    void onStop(stop_function function) { m_stopped = std::move(function); }
    void onEndsRecorded(ends_function function) { m_endsRecorded = std::move(function); }

    /// From now on nothing that this leader proposed is answered. What is under way commits if `commits`.
    void depose(bool commits);

    void schedulePlan();
    void plan();
    void handleReport(const worker_status&);
    void recordContact(const worker_id& id) { m_registry.recordContact(id, m_events.now()); }
    void releaseExpired() { release(m_registry.expiredRuns(m_table, m_events.now())); }

    const leader_statistics& statistics() const { return m_statistics; }

private:
    enum class standing : std::uint8_t {
        leads,
        deposed_commits, ///< Its last proposals still commit, without an answer.
        deposed,
    };

    /// Applies the command once it is committed; `done` is called only if this still leads.
    void propose(job_command_body, std::function<void(apply_outcome)> done);
    void proposeStarts(const start_tasks&);
    void release(const std::vector<released_run>&);
    void sendInstructions(const worker_boot&);

    event_queue& m_events;
    job_table& m_table;
    planner_options m_options;
    duration m_commitDelay;
    std::uint64_t m_term;
    worker_registry m_registry;
    capacity_claims m_claims;
    held_back_units m_heldBack;
    std::size_t m_startsInFlight { 0 };
    bool m_isPlanScheduled { false };
    std::set<run_key> m_pendingReleases;
    std::shared_ptr<standing> m_standing; ///< Outlives this object in proposals.
    send_function m_send;
    stop_function m_stopped;
    ends_function m_endsRecorded;
    leader_statistics m_statistics;
};

} // namespace poplardeal::emulator
