#pragma once

#include <poplardeal/jobs/job_table.h>
#include <poplardeal/jobs/planner.h>
#include <poplardeal/jobs/worker_registry.h>

/// Builders for tests of the job packages.
namespace poplardeal::test {

inline constexpr std::int64_t wallMs = 1000000;

inline instant at(std::int64_t ms) { return instantFromMicros(ms * 1000); }

inline demand need(std::int64_t accelerator, std::int64_t cpu = 11000)
{
    return { millicores(cpu), mebibytes(20000), accelerators(accelerator) };
}

inline step_spec step(std::uint32_t count, const demand& each, std::int64_t estimateMs = 5000)
{
    step_spec out;
    out.count = count;
    out.need = each;
    out.estimate = std::chrono::milliseconds(estimateMs);
    return out;
}

inline queue_spec queue(const std::string& name, std::uint32_t priority, std::uint32_t attempts = 2)
{
    queue_spec out;
    out.name = queue_name(name);
    out.host = "h.example";
    out.pathPrefix = "/" + name + "/";
    out.service = service_name("desk");
    out.priority = priority;
    out.attempts = attempts;
    out.stretch = 3;
    out.timeout = std::chrono::seconds(3);
    return out;
}

inline queue_plan plan(std::uint64_t version = 1)
{
    queue_plan out;
    out.version = plan_version(version);
    out.queues = { queue("urgent", 0, 3), queue("normal", 1), queue("bulk", 2, 4) };
    out.pools = { { service_name("desk"), true, false } };
    out.workspaces = { { workspace_name("club"), { api_key("k1") }, accelerators(8) },
        { workspace_name("league"), { api_key("k2") }, accelerators(0) } };
    out.document = "{}";
    return out;
}

/// A table with a plan, and short ways to change it.
struct table_fixture {
    job_table table;
    std::int64_t ms { wallMs };

    table_fixture() { apply(accept_plan { plan() }); }

    apply_outcome apply(job_command_body body) { return table.apply({ at(ms), std::move(body) }); }

    apply_outcome submit(const std::string& id, const std::string& queueName, std::vector<step_spec> steps,
        const std::string& workspace = "league")
    {
        submission_spec spec;
        spec.payload = "p";
        spec.steps = std::move(steps);
        return apply(accept_submission { submission_id(id), queue_name(queueName), workspace_name(workspace), spec });
    }

    apply_outcome start(const task_key& task, std::uint32_t run, const worker_boot& worker)
    {
        return apply(start_tasks { { { task, run_number(run), worker, worker.worker.value() + ":1" } } });
    }

    apply_outcome end(const worker_boot& worker, const task_key& task, std::uint32_t run, end_kind kind,
        const std::string& saved = {})
    {
        return apply(record_ends { worker, { { 1, task, run_number(run), kind, checkpoint(saved) } } });
    }

    submission_phase phaseOf(const std::string& id) const { return table.find(submission_id(id))->phase; }
};

inline worker_boot boot(const std::string& id, std::int64_t startedAtMs = 1) { return { worker_id(id), startedAtMs }; }

inline task_key task(const std::string& job, std::uint32_t stepIndex = 0, std::uint32_t index = 0)
{
    return { submission_id(job), 0, stepIndex, index };
}

inline worker_view view(const std::string& id, const std::string& rack, const std::string& dataCentre = "east")
{
    worker_view out;
    out.boot = boot(id);
    out.address = id + ":1";
    out.service = service_name("desk");
    out.dataCentre = data_centre_name(dataCentre);
    out.rack = rack_name(rack);
    out.labels = { worker_label("a"), worker_label(rack) };
    out.capacity = { millicores(128000), mebibytes(262144), accelerators(8) };
    out.isReachable = true;
    return out;
}

} // namespace poplardeal::test
