// Measures the time to estimate the speeds of 1,400 workers with 11,200 running tasks. Prints JSON lines.

#include <cstdio>
#include <ctime>
#include <poplardeal/jobs/progress_speeds.h>

using namespace poplardeal;

namespace {

constexpr std::uint32_t workerCount = 1400;
constexpr std::uint32_t jobCount = 280;
constexpr std::uint32_t tasksPerJob = 40;
constexpr std::uint32_t runsPerWorker = jobCount * tasksPerJob / workerCount;
constexpr int repetitions = 20;

worker_boot numbered(std::size_t number) { return { worker_id("i-0123456789ab" + std::to_string(number)), 1 }; }

double processorMs()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

template <class Action> void measure(const char* name, Action action)
{
    double best = 1e9;
    for (int i = 0; i < repetitions; ++i) {
        const double begin = processorMs();
        action();
        best = std::min(best, processorMs() - begin);
    }
    std::printf("{\"measured\":\"%s\",\"ms\":%.3f}\n", name, best);
}

void submitJobs(job_table& table, instant at)
{
    queue_plan plan;
    plan.version = plan_version(1);
    queue_spec queue;
    queue.name = queue_name("q");
    queue.host = "h";
    queue.service = service_name("s");
    queue.timeout = std::chrono::seconds(3);
    plan.queues = { queue };
    plan.pools = { { service_name("s"), true, false } };
    plan.workspaces = { { workspace_name("w"), { api_key("k") }, accelerators(0) } };
    table.apply({ at, accept_plan { plan } });
    for (std::uint32_t j = 0; j < jobCount; ++j) {
        submission_spec spec;
        spec.steps.resize(1);
        spec.steps[0].count = tasksPerJob;
        spec.steps[0].estimate = std::chrono::seconds(5);
        table.apply({ at,
            accept_submission { submission_id("j" + std::to_string(j)), queue.name, workspace_name("w"), spec } });
    }
}

} // namespace

int main()
{
    const auto now = instantFromMicros(1'000'000'000);
    job_table table;
    submitJobs(table, now);
    std::map<worker_id, worker_view> views;
    for (std::uint32_t w = 0; w < workerCount; ++w) {
        auto& view = views[numbered(w).worker];
        view.boot = numbered(w);
        for (std::uint32_t i = 0; i < runsPerWorker; ++i) {
            const auto number = w + i * workerCount;
            const task_key task { submission_id("j" + std::to_string(number % jobCount)), 0, 0, number / jobCount };
            view.running[task] = { run_number(1), {}, 50, 0, now, now + std::chrono::seconds(3 + w % 3),
                now + std::chrono::seconds(3 + w % 3) };
        }
    }
    measure("samples of 11,200 new runs", [&] { progress_speeds().update(table, views); });
    progress_speeds speeds;
    speeds.update(table, views);
    measure("samples of 11,200 known runs", [&] { speeds.update(table, views); });
    measure("estimates of 1,400 workers", [&] {
        for (auto& [id, view] : views)
            view.speed = combine(table.speedHistory().model().find(view.boot), speeds.model().find(view.boot));
    });
    speed_model model;
    std::vector<worker_boot> members;
    for (std::size_t w = 0; w < 8; ++w)
        members.push_back(numbered(w));
    measure("1,000 samples of gangs of 8", [&] {
        for (int i = 0; i < 1000; ++i)
            model.observe(members, 0.1, 0.1);
    });
}
