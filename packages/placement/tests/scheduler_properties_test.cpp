#include "worker_model.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace poplardeal;
using namespace std::chrono_literals;

namespace {

const resources workerCapacity { cores(64), mebibytes(65536), accelerators(8) };

resources amountOf(std::int64_t cpu, std::int64_t accelerator)
{
    return { cores(cpu), mebibytes(cpu * 512), accelerators(accelerator) };
}

job_template jobOf(const std::string& name, std::int64_t tasks, std::int64_t cpu, std::int64_t accelerator,
    scope within, job_priority priority)
{
    return { job_name(name), tasks, amountOf(cpu, accelerator), within, priority, 60s, 1, name };
}

/// Two data centres of two racks with two workers each; two of three workspaces have guarantees.
deployment planOf()
{
    deployment plan;
    for (const auto* name : { "a", "b" }) {
        plan.dataCentres.push_back({ data_centre_name(name), region_name("r"), true });
        for (const auto* rack : { "1", "2" })
            plan.workerPools.push_back(
                { data_centre_name(name), rack_name(name + std::string(rack)), 2, workerCapacity });
    }
    const auto quota = amountOf(512, 64);
    const std::vector<job_template> jobs {
        jobOf("pair", 2, 32, 8, scope::rack, job_priority::guaranteed),
        jobOf("quarter", 1, 8, 2, scope::worker, job_priority::guaranteed),
        jobOf("odd", 2, 4, 3, scope::data_centre, job_priority::borrowed),
        jobOf("wide", 6, 16, 4, scope::anywhere, job_priority::borrowed),
        jobOf("plain", 3, 10, 0, scope::anywhere, job_priority::borrowed),
        jobOf("hurry", 1, 32, 4, scope::anywhere, job_priority::urgent),
    };
    const guaranteed_shape pair { 2, accelerators(8), scope::rack, 1 };
    const guaranteed_shape quarters { 1, accelerators(2), scope::worker, 3 };
    plan.workspaces = { { workspace_name("film"), quota, { pair }, jobs },
        { workspace_name("sound"), quota, { quarters }, jobs }, { workspace_name("guest"), quota, {}, jobs } };
    return plan;
}

/// A scheduler with its workers, driven by random steps. All events are kept for the replay.
class random_run {
public:
    explicit random_run(bool checkRestore)
        : m_checkRestore(checkRestore)
    {
        apply(deployment_changed { planOf() });
        for (std::uint64_t i = 0; i < 8; ++i)
            join(i, 1);
    }

    void step()
    {
        switch (*rc::gen::inRange(0, 16)) {
        case 0:
        case 1:
        case 2:
            return submit();
        case 3:
            return apply(job_cancelled { job_id(*rc::gen::inRange<std::uint64_t>(1, m_nextJob + 1)) });
        case 4:
            return orderDataCentre();
        case 5:
            return changeWorker();
        case 6:
            return advance();
        case 7:
            return repeat();
        case 8:
            return suspect();
        default:
            return report();
        }
    }

    /// Brings everything back into service and ends all other work of a workspace: its guarantee has to be running
    /// within 5.4 s, whoever borrows it at that time.
    void checkReclaim()
    {
        for (const auto* name : { "a", "b" })
            apply(data_centre_ordered { data_centre_name(name), true });
        m_out.clear();
        for (std::uint64_t i = 0; i < 8; ++i)
            join(i, m_instances[i] + 1);
        answerAll(60s);
        for (int i = 0; i < 8; ++i)
            apply(job_submitted { job_id(m_nextJob++), workspace_name("guest"), job_name(i < 6 ? "wide" : "plain") });
        answerAll(60s);
        for (const auto& job : m_scheduler.jobs()) {
            if (job.workspace == workspace_name("film") && !job.endedAt)
                apply(job_cancelled { job.id });
        }
        answerAll(60s);
        const job_id claimant(m_nextJob++);
        apply(job_submitted { claimant, workspace_name("film"), job_name("pair") });
        answerAll(5400ms);
        RC_LOG() << toString(m_scheduler.job(claimant)->phase) << ": " << m_scheduler.job(claimant)->reason << "\n";
        RC_ASSERT(m_scheduler.job(claimant)->phase == job_phase::running);
        RC_ASSERT(m_scheduler.job(claimant)->guaranteed);
        for (const auto& entry : m_scheduler.guarantees())
            RC_ASSERT(std::ssize(entry.blocks) == entry.shape.blocks);
    }

    void checkReplay() const
    {
        scheduler second;
        for (const auto& [event, now] : m_events)
            second.apply(event, now);
        RC_ASSERT(second.digest() == m_scheduler.digest());
    }

private:
    void apply(const placement_event& event)
    {
        m_events.emplace_back(event, m_now);
        auto commands = m_scheduler.apply(event, m_now);
        m_model.execute(commands);
        check();
        if (m_checkRestore) {
            auto restored = scheduler::restore(m_scheduler.save());
            RC_ASSERT(restored.has_value());
            RC_ASSERT(restored.value().digest() == m_scheduler.digest());
            m_scheduler = std::move(restored).value();
        }
    }

    static data_centre_name dataCentreOf(const worker_id& worker)
    {
        return data_centre_name(worker < worker_id("w4") ? "a" : "b");
    }

    worker_spec specOf(std::uint64_t index, std::uint64_t instance) const
    {
        const std::string dataCentre = index < 4 ? "a" : "b";
        const std::string rack = dataCentre + (index % 4 < 2 ? "1" : "2");
        return { worker_id("w" + std::to_string(index)), incarnation(instance), data_centre_name(dataCentre),
            rack_name(rack), workerCapacity };
    }

    void join(std::uint64_t index, std::uint64_t instance)
    {
        m_instances[index] = instance;
        m_model.join(specOf(index, instance));
        apply(worker_joined { specOf(index, instance) });
    }

    void submit()
    {
        static const char* const names[] = { "pair", "quarter", "odd", "wide", "plain", "hurry" };
        static const char* const owners[] = { "film", "sound", "guest" };
        apply(job_submitted { job_id(m_nextJob++), workspace_name(owners[*rc::gen::inRange(0, 3)]),
            job_name(names[*rc::gen::inRange(0, 6)]) });
    }

    void orderDataCentre()
    {
        const auto name = data_centre_name(*rc::gen::inRange(0, 2) == 0 ? "a" : "b");
        const auto inService = *rc::gen::inRange(0, 3) != 0;
        if (inService)
            m_out.erase(name);
        else
            m_out.insert(name);
        apply(data_centre_ordered { name, inService });
    }

    void changeWorker()
    {
        const auto index = *rc::gen::inRange<std::uint64_t>(0, 8);
        const auto spec = specOf(index, m_instances[index]);
        if (*rc::gen::inRange(0, 2) == 0)
            return join(index, m_instances[index] + 1);
        m_model.lose(spec.id);
        apply(worker_lost { spec.id, spec.instance });
    }

    void suspect()
    {
        const auto index = *rc::gen::inRange<std::uint64_t>(0, 8);
        const auto spec = specOf(index, m_instances[index]);
        if (*rc::gen::inRange(0, 2) == 0)
            apply(worker_suspected { spec.id, spec.instance });
        else
            apply(worker_recovered { spec.id, spec.instance });
    }

    void advance()
    {
        m_now += std::chrono::milliseconds(*rc::gen::inRange(1, 8000));
        apply(time_passed {});
    }

    void repeat()
    {
        const auto index = *rc::gen::inRange<std::size_t>(0, m_events.size());
        const auto event = m_events[index].first;
        // Orders of state are not repeated here: control gives each of them an id and filters resends.
        if (std::holds_alternative<task_reported>(event) || std::holds_alternative<worker_lost>(event))
            apply(event);
    }

    void report()
    {
        auto& tasks = m_model.tasks();
        if (tasks.empty())
            return;
        auto chosen = std::next(tasks.begin(), *rc::gen::inRange<std::ptrdiff_t>(0, std::ssize(tasks)));
        auto& task = chosen->second;
        const auto id = task.order.task;
        const auto lease = chosen->first;
        const auto luck = *rc::gen::inRange(0, 10);
        const auto send = [&](task_report_kind kind, bool ends) {
            if (ends)
                tasks.erase(lease);
            apply(task_reported { id, lease, kind, "" });
        };
        if (task.leaving)
            return send(task.started ? task_report_kind::stopped : task_report_kind::released, true);
        if (!task.startIssued)
            return luck == 0 ? send(task_report_kind::prepare_refused, true) : send(task_report_kind::prepared, false);
        if (!task.started) {
            if (!m_scheduler.mayStart(id, lease))
                return;
            RC_ASSERT(!m_out.contains(dataCentreOf(task.order.worker)));
            m_model.everStarted.insert(id.job);
            task.started = true;
            return send(task_report_kind::started, false);
        }
        if (task.checkpointWanted) {
            task.checkpointWanted = false;
            return send(task_report_kind::checkpointed, false);
        }
        send(luck < 2 ? task_report_kind::failed : task_report_kind::finished, true);
    }

    /// Workers answer every order within 100 ms; nothing fails and nothing finishes.
    void answerAll(duration length)
    {
        for (const auto end = m_now + length; m_now < end;) {
            m_now += 100ms;
            apply(time_passed {});
            const auto tasks = m_model.tasks();
            for (const auto& [lease, task] : tasks)
                answer(lease, task);
        }
    }

    void answer(lease_id lease, const worker_model::held_task& task)
    {
        const auto id = task.order.task;
        const auto send = [&](task_report_kind kind) { apply(task_reported { id, lease, kind, "" }); };
        if (task.leaving) {
            m_model.tasks().erase(lease);
            return send(task.started ? task_report_kind::stopped : task_report_kind::released);
        }
        if (!task.startIssued)
            return send(task_report_kind::prepared);
        if (!task.started && m_scheduler.mayStart(id, lease)) {
            m_model.everStarted.insert(id.job);
            m_model.tasks().at(lease).started = true;
            return send(task_report_kind::started);
        }
        if (task.checkpointWanted) {
            m_model.tasks().at(lease).checkpointWanted = false;
            return send(task_report_kind::checkpointed);
        }
    }

    void check()
    {
        const auto jobs = m_scheduler.jobs();
        std::map<job_id, const job_status*> byId;
        for (const auto& job : jobs)
            byId[job.id] = &job;
        for (const auto& [job, count] : m_model.lastStarts)
            RC_ASSERT(count == tasksOf(*byId.at(job)));
        m_model.lastStarts.clear();
        for (const auto& job : jobs) {
            if (job.endedAt && job.verdict == run_verdict::not_run)
                RC_ASSERT(!m_model.everStarted.contains(job.id));
        }
        checkGuarantees(jobs);
    }

    static std::size_t tasksOf(const job_status& job)
    {
        static const auto jobs = planOf().workspaces[0].jobs;
        for (const auto& spec : jobs) {
            if (spec.name == job.job)
                return static_cast<std::size_t>(spec.tasks);
        }
        return 0;
    }

    /// A reservation may hold tasks of its owner and tasks that can be stopped, nothing else.
    void checkGuarantees(const std::vector<job_status>& jobs)
    {
        std::map<std::pair<worker_id, std::uint32_t>, workspace_name> reserved;
        for (const auto& entry : m_scheduler.guarantees()) {
            for (const auto& block : entry.blocks) {
                RC_ASSERT(m_model.workers().contains(block.worker));
                RC_ASSERT(std::ssize(block.acceleratorIndexes) == entry.shape.blockAccelerators.count());
                for (const auto index : block.acceleratorIndexes)
                    RC_ASSERT(reserved.emplace(std::pair(block.worker, index), entry.workspace).second);
            }
        }
        for (const auto& job : jobs) {
            if (!job.guaranteed)
                continue;
            for (const auto& task : job.tasks) {
                for (const auto index : task.acceleratorIndexes) {
                    const auto owner = reserved.find({ task.worker, index });
                    RC_ASSERT(owner != reserved.end());
                    RC_ASSERT(owner->second == job.workspace);
                }
            }
        }
    }

    scheduler m_scheduler;
    worker_model m_model;
    std::vector<std::pair<placement_event, instant>> m_events;
    std::map<std::uint64_t, std::uint64_t> m_instances;
    std::set<data_centre_name> m_out;
    instant m_now { 1'000'000us };
    std::uint64_t m_nextJob { 1 };
    bool m_checkRestore;
};

} // namespace

BOOST_AUTO_TEST_SUITE(scheduler_properties)

// Guards against overlapping accelerators, overcommitted workers, partial gangs, guarantees that cannot be taken back,
// false "not run" verdicts, and state that depends on anything but the events.
BOOST_AUTO_TEST_CASE(rules_hold_under_random_events)
{
    BOOST_TEST(rc::check("rules hold", [] {
        random_run run(false);
        const auto steps = *rc::gen::inRange(0, 250);
        for (int i = 0; i < steps; ++i)
            run.step();
        run.checkReclaim();
        run.checkReplay();
    }));
}

// Guards against state that is lost by a snapshot: the run goes on from the restored copy after every event.
BOOST_AUTO_TEST_CASE(restored_state_behaves_like_the_original)
{
    BOOST_TEST(rc::check("restore", [] {
        random_run run(true);
        const auto steps = *rc::gen::inRange(0, 60);
        for (int i = 0; i < steps; ++i)
            run.step();
        run.checkReplay();
    }));
}

BOOST_AUTO_TEST_SUITE_END()
