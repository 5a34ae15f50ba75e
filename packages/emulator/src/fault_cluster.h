#pragma once

#include "leader_model.h"
#include "worker_model.h"
#include <functional>
#include <memory>
#include <optional>
#include <poplardeal/emulator/fault_play.h>
#include <random>

namespace poplardeal::emulator {

/// A machine with a worker and its sidecar.
struct emulated_machine {
    worker_id id;
    std::string address;
    std::optional<worker_model> worker; ///< Empty while it is down.
    double clockRate { 1 };
    std::int64_t lastBootMs { 0 };
    std::uint64_t announcements { 0 };

    std::optional<worker_agent> agent; ///< Empty while the sidecar is down.
    std::uint64_t process { 0 }; ///< Number of the sidecar's process.
    instant frozenUntil; ///< The sidecar stands still; what arrives waits.
    instant cutUntil; ///< From the leader.
    instant heldUpUntil; ///< Messages to and from the leader take long, overtake each other and come twice.
    instant silentUntil; ///< The worker takes no calls.
    instant lateUntil; ///< Orders to the worker are carried out late or their answers are lost.
    double lateShare { 0 };
};

/// Control, sidecars and workers of one play of faults.
class fault_cluster {
public:
    fault_cluster(const fault_scenario&, std::uint64_t seed);
    fault_result run();

private:
    using action = event_queue::action;

    double draw();
    duration draw(duration from, duration to);
    std::size_t drawIndex(std::size_t size) { return static_cast<std::size_t>(draw() * static_cast<double>(size)); }

    void acceptPlan();
    void scheduleJobs();
    void scheduleFaults();
    void beginFault();
    void silence(emulated_machine&);
    void note(const std::string& fault, const emulated_machine* = nullptr);
    void violate(const std::string& what, const task_key&);

    // Control.
    void elect();
    void loseLeader(duration outage);
    void deliver(const worker_instructions&, std::uint64_t term);
    void submit(std::size_t job);

    // Sidecars.
    void startProcess(emulated_machine&);
    /// Runs the action in the machine's present sidecar process, once it does not stand still.
    void inProcess(emulated_machine&, duration wait, action);
    void carryOut(emulated_machine&);
    void report(emulated_machine&);
    void sendReport(const emulated_machine&, const worker_status&);
    template <class Reply, class Execute> void call(emulated_machine&, Reply unanswered, Execute);
    void send(emulated_machine&, const start_order&);
    void send(emulated_machine&, const stop_order&);
    /// A poll on its way through a worker.
    struct poll_call {
        poll_request request;
        worker_boot boot; ///< That the sidecar knows.
        worker_boot answering; ///< That took the call: another one of the same id, perhaps.
        std::uint64_t process { 0 }; ///< Of the sidecar.
        instant latest; ///< When it is answered whatever has happened.
    };

    void probe(emulated_machine&, const probe_request&);
    void poll(emulated_machine&);
    void answerPoll(emulated_machine&, const poll_call&);

    // Workers.
    void bootWorker(emulated_machine&);
    void loseWorker(emulated_machine&, bool isAnnounced);
    void announce(emulated_machine&, duration wait, bool isGone = false);
    start_result begin(emulated_machine&, const start_order&);
    void checkStart(const emulated_machine&, const run_key&);
    void checkRecordedEnds();
    void checkOutcome();

    /// A start after an unrecorded end `done`; a violation if the end is recorded later.
    struct suspicion {
        std::size_t machine { 0 };
        worker_boot boot;
        std::uint64_t end { 0 };
        task_key task;
    };

    fault_scenario m_scenario;
    std::mt19937_64 m_random;
    instant m_start;
    event_queue m_events;
    lease_options m_leases;
    job_table m_table;
    planner_options m_options;
    std::unique_ptr<leader_model> m_leader; ///< Empty between two leaders.
    std::vector<std::unique_ptr<leader_model>> m_deposed;
    std::uint64_t m_term { 0 };
    std::vector<emulated_machine> m_machines;
    std::vector<accept_submission> m_jobs;
    std::map<task_key, task_behaviour> m_behaviours;
    std::vector<suspicion> m_suspicions;
    std::map<task_key, std::uint32_t> m_failures; ///< Seen by workers that are gone.
    fault_result m_result;
};

} // namespace poplardeal::emulator
