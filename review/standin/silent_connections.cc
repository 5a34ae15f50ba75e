// Case: the open connections to the runners go silent for good, without a reset; new ones work.
#include "harness.hpp"

using namespace review;

int main(int argc, char** argv)
{
    const auto setup = setUp(argc, argv);
    cluster_options size;
    cluster system(size, setup.daemon, setup.folder);
    if (!system.start() || !system.putPlan(planText(1), 20000))
        finish(2);
    sleepMs(3000);
    const auto submit = [&](int n, int tasks, int cpu, int lengthMs) {
        const json step { { "count", tasks }, { "cpu", cpu }, { "mem_mb", 100 }, { "est_ms", lengthMs } };
        const auto spec = "ms=" + std::to_string(lengthMs) + ".." + std::to_string(lengthMs + 500);
        const json job { { "spec", spec }, { "steps", { step } } };
        if (clientCall(system, size.entries, "POST", "/jobs/" + jobId(n), job.dump(), 10000).status != 200)
            finish(2);
    };
    constexpr int shortTasks = 600;
    submit(0, shortTasks, 600, 500); // About 200 starts for each runner.
    for (int i = 0; i < 100 && history.count("done") < shortTasks; ++i)
        sleepMs(100);
    constexpr int longJobs = 3;
    constexpr int longTasks = 6;
    for (int i = 1; i <= longJobs; ++i)
        submit(i, longTasks, 20000, 40000);
    const auto trafficEndAt = nowMs();
    sleepMs(2000);
    for (const auto& each : system.workers)
        record.line("%s has %zu runs", each->options.name.c_str(), each->runningCount());
    if (history.count("done") != shortTasks || history.count("") < shortTasks + longJobs * longTasks)
        finish(2);
    sleepMs(4000);
    if (setup.trouble) {
        for (const auto& each : system.workers)
            each->silenceOpenConnections();
    }
    // LOST, later than `finish_s` after the end of the traffic: for 3 s a job has nothing running while a task's turn
    // has come. At most 18 tasks of 20 cores are there for three runners of 128 cores.
    constexpr std::int64_t finishMs = 14000;
    std::map<std::string, std::int64_t> lastRunAt;
    std::int64_t longest = 0;
    bool isBroken = false;
    std::size_t done = 0;
    while (nowMs() < trafficEndAt + 85000 && done < longJobs * longTasks) {
        std::map<std::string, int> running;
        std::map<std::string, std::set<std::string>> doneTasks;
        for (const auto& each : history.all()) {
            const auto job = each.task.substr(0, 16);
            running[job] += each.how.empty() ? 1 : -1;
            if (each.how == "done")
                doneTasks[job].insert(each.task);
        }
        done = 0;
        for (int i = 1; i <= longJobs; ++i) {
            const auto job = jobId(i);
            done += doneTasks[job].size();
            if (running[job] > 0 || doneTasks[job].size() == longTasks || !lastRunAt.contains(job))
                lastRunAt[job] = nowMs();
            longest = std::max(longest, nowMs() - lastRunAt[job]);
            if (nowMs() - std::max(lastRunAt[job], trafficEndAt + finishMs) > 3000 && !isBroken) {
                isBroken = true;
                record.line("BROKEN LOST: nothing of job %s has run for 3 s", job.c_str());
            }
        }
        sleepMs(50);
    }
    record.line("%zu of %d long tasks done, %zu runs lapsed; a job had nothing running for up to %lld ms", done,
        longJobs * longTasks, history.count("lapsed"), static_cast<long long>(longest));
    if (!setup.trouble && done < longJobs * longTasks)
        finish(2);
    finish(isBroken ? 1 : 0);
}
