#pragma once

#include "leader_model.h"
#include "simulated_worker.h"
#include <poplardeal/emulator/idle_play.h>

namespace poplardeal::emulator {

/// Control and workers of one play of `playIdle`.
class idle_cluster {
public:
    idle_cluster(const idle_scenario&, const planner_options&);
    idle_result run();

private:
    void acceptPlan();
    void addWorkers();
    void submit(std::size_t job);
    void deliver(const worker_instructions&);
    void begin(std::size_t worker, const start_instruction&);
    void end(std::size_t worker, const run_key&, end_kind);
    void stop(std::size_t worker, const run_key&);
    void report(std::size_t worker);
    void lose(std::size_t worker);

    void check();
    void checkUnit(const submission&, const task_key& first, const unit&);
    void checkWait(const task_key& first, bool isKeptWaiting);
    /// Whether so many tasks fit beside what runs on the workers that are up.
    bool hasRoom(const demand& need, std::size_t tasks) const;
    bool isUnderHalfUsed() const;
    bool isSound(const simulated_worker&) const;
    demand freeOn(const simulated_worker&) const;

    idle_scenario m_scenario;
    instant m_start;
    event_queue m_events;
    job_table m_table;
    leader_model m_leader;
    std::vector<simulated_worker> m_workers;
    std::vector<submission_id> m_jobs;
    std::map<task_key, std::optional<instant>>
        m_waiting; ///< Since when a unit waits beside ample room, by its first task.
    idle_result m_result;
};

} // namespace poplardeal::emulator
