#pragma once

#include <map>
#include <poplardeal/placement/scheduler.h>
#include <set>
#include <stdexcept>
#include <tuple>
#include <vector>

namespace poplardeal {

/// Workers as the scheduler's commands shape them, with the checks that a real worker would fail on. Throws
/// `std::logic_error` if a command breaks a rule.
class worker_model {
public:
    struct held_task {
        prepare_task order;
        bool startIssued { false };
        bool started { false };
        bool checkpointWanted { false };
        bool leaving { false };
    };

    void join(const worker_spec& spec)
    {
        lose(spec.id);
        m_capacity[spec.id] = spec.capacity;
    }

    void lose(const worker_id& id)
    {
        m_capacity.erase(id);
        std::erase_if(m_tasks, [&](const auto& entry) { return entry.second.order.worker == id; });
    }

    void execute(const std::vector<placement_command>& commands)
    {
        std::map<std::pair<job_id, std::uint32_t>, std::set<std::uint32_t>> starts;
        for (const auto& command : commands) {
            std::visit([this](const auto& order) { take(order); }, command);
            if (const auto* start = std::get_if<start_task>(&command))
                starts[{ start->task.job, start->task.attempt }].insert(start->task.index);
        }
        for (const auto& [gang, indexes] : starts)
            lastStarts[gang.first] = indexes.size();
    }

    std::map<lease_id, held_task>& tasks() { return m_tasks; }
    const std::map<worker_id, resources>& workers() const { return m_capacity; }

    /// Number of tasks whose start was issued in one step, for each job.
    std::map<job_id, std::size_t> lastStarts;
    std::set<job_id> everStarted;

private:
    void take(const start_task& order)
    {
        change(order.lease, [](auto& task) { task.startIssued = true; });
    }
    void take(const checkpoint_task& order)
    {
        change(order.lease, [](auto& task) { task.checkpointWanted = true; });
    }
    void take(const stop_task& order)
    {
        change(order.lease, [](auto& task) { task.leaving = true; });
    }
    void take(const release_task& order)
    {
        change(order.lease, [](auto& task) { task.leaving = true; });
    }
    void take(const throttle_task&) { }

    void take(const prepare_task& order)
    {
        const auto capacity = m_capacity.find(order.worker);
        if (capacity == m_capacity.end())
            throw std::logic_error("a task was prepared on a worker that is gone");
        auto sum = order.amount;
        std::set<std::uint32_t> indexes(order.acceleratorIndexes.begin(), order.acceleratorIndexes.end());
        for (const auto& [lease, task] : m_tasks) {
            if (task.order.worker != order.worker)
                continue;
            sum += task.order.amount;
            for (const auto index : task.order.acceleratorIndexes) {
                if (!indexes.insert(index).second)
                    throw std::logic_error("two tasks hold the same accelerator");
            }
        }
        if (!sum.fitsIn(capacity->second))
            throw std::logic_error("a worker is overcommitted");
        m_tasks[order.lease] = { order };
    }

    template <class Change> void change(lease_id lease, Change&& apply)
    {
        const auto found = m_tasks.find(lease);
        if (found != m_tasks.end())
            apply(found->second);
    }

    std::map<worker_id, resources> m_capacity;
    std::map<lease_id, held_task> m_tasks;
};

} // namespace poplardeal
