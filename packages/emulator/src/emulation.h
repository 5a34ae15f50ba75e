#pragma once

#include "job_source.h"
#include "leader_model.h"
#include "simulated_worker.h"
#include <poplardeal/emulator/emulator.h>

namespace poplardeal::emulator {

/// One play of a scenario.
class emulation {
public:
    emulation(const scenario&, const planner_options&, std::uint64_t seed);
    emulation_result run();

private:
    void after(duration wait, event_queue::action run) { m_events.after(wait, std::move(run)); }
    instant now() const { return m_events.now(); }

    void acceptPlan();
    void addWorkers();
    void scheduleDisturbance(const disturbance&);
    std::vector<std::size_t> drawWorkers(double share);

    // The leader.
    apply_outcome apply(job_command_body);
    void submit(const emulated_job&);
    void deliver(const worker_instructions&);
    void noteFinished(const submission_id&);
    void noteStop(const planned_stop&);
    void noteAccepted(const submission_id&);
    void noteBegun(const task_key&);

    // The workers.
    simulated_worker* findWorker(const worker_boot&);
    void scheduleReport(std::size_t worker, duration wait);
    void carryOut(std::size_t worker, const worker_instructions&);
    void startRun(std::size_t worker, const start_instruction&);
    void stopRun(std::size_t worker, const run_key&);
    void beginWork(std::size_t worker, const task_key&);
    void beginGang(const submission&, const run_key&);
    void endRun(std::size_t worker, const run_key&, end_kind);
    void loseRuns(std::size_t worker);
    /// Uniform in [0, 1); depends on the seed and the run alone, so that plays under other options meet the same
    /// events.
    double drawFor(const run_key&, std::uint64_t purpose) const;
    void countWaste(const simulated_run&, double savedShare, waste_reason);

    waste_reason wasteReason(const run_key&) const;
    kind_result resultOf(const emulated_job&) const;
    emulation_result summarize() const;

    const scenario& m_load;
    std::uint64_t m_seed;
    std::mt19937_64 m_random;
    instant m_start;
    event_queue m_events;

    job_table m_table;
    leader_model m_leader;

    std::vector<emulated_job> m_jobs;
    std::map<submission_id, std::size_t> m_jobIndex;
    std::map<submission_id, instant> m_finished;
    std::map<run_key, stop_reason> m_stopReasons;
    duration m_reclaimTime; ///< In which a guaranteed job must have begun.
    std::map<submission_id, instant> m_reclaimBy; ///< Of guaranteed jobs whose tasks have not all begun.
    std::set<task_key> m_begunTasks; ///< Of jobs in `m_reclaimBy`.
    std::vector<simulated_worker> m_workers;
    std::map<worker_id, std::size_t> m_workerIndex;
    emulation_result m_result;
};

} // namespace poplardeal::emulator
