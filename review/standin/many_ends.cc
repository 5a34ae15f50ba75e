// Case: more ends than a runner lists at once (500) wait for their acknowledgement while the leading control is dead.
#include "harness.hpp"

using namespace review;

int main(int argc, char** argv)
{
    const auto setup = setUp(argc, argv);
    cluster_options size;
    size.entries = 2;
    size.workers = 3;
    cluster system(size, setup.daemon, setup.folder);
    if (!system.start() || !system.putPlan(planText(1), 20000))
        finish(2);
    sleepMs(3000); // The runners' heartbeats.

    constexpr int jobs = 8;
    constexpr int tasks = 100;
    // All runs end within 0.4 s: the length of a run depends on when its job was handed in.
    const auto firstSentAt = nowMs();
    for (int i = 0; i < jobs; ++i) {
        const auto late = nowMs() - firstSentAt;
        const auto from = 8000 - late;
        const json job { { "spec", "ms=" + std::to_string(from) + ".." + std::to_string(from + 400) },
            { "steps", { { { "count", tasks }, { "cpu", 200 }, { "mem_mb", 200 }, { "est_ms", 8000 } } } } };
        const auto answer = clientCall(system, size.entries, "POST", "/jobs/" + jobId(i), job.dump(), 10000);
        if (answer.status != 200)
            finish(2);
        sleepMs(100);
    }
    while (nowMs() < firstSentAt + 7000)
        sleepMs(10);
    std::size_t most = 0;
    for (const auto& each : system.workers) {
        record.line("%s has %zu runs", each->options.name.c_str(), each->runningCount());
        most = std::max(most, each->runningCount());
    }
    if (history.all().size() < jobs * tasks || most < 600)
        finish(2); // Not all tasks run where the case needs them.

    while (nowMs() < firstSentAt + 8000)
        sleepMs(5);
    int killed = -1;
    if (setup.trouble) {
        killed = system.leader();
        if (killed < 0)
            finish(2);
        system.controls[static_cast<std::size_t>(killed)]->killNow();
    }
    for (int i = 0; i < 35; ++i) {
        std::size_t waiting = 0;
        for (const auto& each : system.workers)
            waiting = std::max(waiting, each->unnotedEnds());
        if (i % 3 == 0)
            record.line("most ends that wait at one runner: %zu", waiting);
        sleepMs(100);
    }
    if (killed >= 0)
        system.startProcess(*system.controls[static_cast<std::size_t>(killed)], false);

    int completed = 0;
    for (int i = 0; i < jobs; ++i) {
        const auto until = nowMs() + 30000;
        while (nowMs() < until) {
            const auto answer = clientCall(system, size.entries, "GET", "/jobs/" + jobId(i), "", 10000);
            if (answer.status == 200 && answer.body.find("completed") != std::string::npos) {
                ++completed;
                break;
            }
            sleepMs(300);
        }
    }
    sleepMs(2000); // The last acknowledgements.
    const int breaks = countTwice();
    std::size_t starts = 0;
    for (const auto& each : history.all())
        starts += each.how.empty() ? 1 : 0;
    record.line("%d of %d jobs completed; %d tasks, %zu starts, %d breaks of TWICE", completed, jobs, jobs * tasks,
        starts, breaks);
    if (!setup.trouble && completed < jobs)
        finish(2);
    finish(breaks > 0 ? 1 : 0);
}
