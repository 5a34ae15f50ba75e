#pragma once

#include "scenario.h"

#include <bit>
#include <map>
#include <poplardeal/placement/scheduler.h>
#include <queue>
#include <set>

namespace poplardeal::bench {

struct measurements {
    double meanCompletion { 0 };
    double p99Completion { 0 };
    double unfinished { 0 };
    double fragmentation { 0 };
    double changeWork { 0 };
    double breaches { 0 };
    double partialGangs { 0 };
    double lateStarts { 0 };
    double decisionP50 { 0 };
    double decisionP99 { 0 };
    double decisionMax { 0 };
    double stateBytes { 0 };
    double runningTasks { 0 }; ///< Most at the same time.
};

/// Workers in virtual time. They prepare in 50 ms, checkpoint in 300 ms, stop in 200 ms, and save progress on their own
/// every hour.
class simulation {
public:
    simulation(scheduler& subject, const scenario& input);
    measurements run();

private:
    enum class action {
        submit,
        cancel,
        centre_out,
        centre_in,
        worker_silent,
        worker_gone,
        worker_back,
        prepared,
        start,
        finish,
        fail,
        checkpoint,
        autosave,
        stop,
        release,
        sample,
    };
    struct entry {
        instant at;
        std::uint64_t sequence;
        action kind;
        std::uint64_t subject;
        bool operator>(const entry& other) const { return std::tie(at, sequence) > std::tie(other.at, other.sequence); }
    };
    struct held_task {
        prepare_task order;
        std::size_t worker { 0 };
        bool running { false };
        instant startedAt;
        duration saved { 0 }; ///< Progress of the gang when this attempt started.
        duration progress { 0 }; ///< Saved by this task.
    };
    struct job_record {
        const submission* input { nullptr };
        const job_template* spec { nullptr };
        duration saved { 0 };
        std::uint32_t attempt { 0 };
        std::map<std::uint32_t, duration> taskProgress;
        bool expectsGuarantee { false };
        bool hasStarted { false };
        std::size_t runningTasks { 0 };
        std::optional<instant> endedAt;
        bool cancelled { false };
    };
    struct worker_state {
        worker_spec spec;
        bool silent { false };
        bool gone { false };
        std::uint64_t accelerators { 0 };
    };

    void schedule(instant at, action kind, std::uint64_t subject) { m_queue.push({ at, m_sequence++, kind, subject }); }
    void apply(const placement_event& event);
    void execute(const std::vector<placement_command>& commands);
    void perform(const entry& due);
    void performTask(action kind, std::uint64_t lease);
    void startTask(std::uint64_t lease, held_task& task);
    void report(const held_task& task, task_report_kind kind);
    void endTask(std::uint64_t lease, task_report_kind kind);
    void drop(std::uint64_t lease);
    void saveProgress(held_task& task);
    bool expectsGuarantee(const submission& input) const;
    void sample();
    bool isInService(const data_centre_name& name) const { return !m_outSince.contains(name); }
    bool isFaulty(std::size_t worker) const;
    measurements summarize();

    scheduler& m_subject;
    const scenario& m_input;
    instant m_now;
    std::priority_queue<entry, std::vector<entry>, std::greater<>> m_queue;
    std::uint64_t m_sequence { 0 };
    std::vector<worker_state> m_workers;
    std::map<worker_id, std::size_t> m_workerIndex;
    std::map<std::uint64_t, held_task> m_tasks;
    std::map<std::uint64_t, job_record> m_jobs;
    std::map<data_centre_name, instant> m_outSince;
    std::vector<double> m_decisions;
    measurements m_result;
    double m_fragmentationSum { 0 };
    double m_fragmentationTime { 0 };
    double m_changeUsed { 0 };
    double m_changeLost { 0 };
    double m_changeCapacity { 0 };
    std::size_t m_running { 0 };
};

} // namespace poplardeal::bench
