// Case: a runner that leaves is cut off while its DELETE is on its way, ends, and starts again under its id. The DELETE
// arrives after the new life has registered. TROUBLE=0: the DELETE arrives before the runner ends.
#include "harness.hpp"

using namespace review;

int main(int argc, char** argv)
{
    const auto setup = setUp(argc, argv);
    cluster_options size;
    size.workers = 5; // One of five is the share of `srv_cut`, 0.2.
    cluster system(size, setup.daemon, setup.folder);
    if (!system.start() || !system.putPlan(planText(1), 20000))
        finish(2);
    sleepMs(3000);
    auto& leaving = *system.workers[0];
    const auto id = leaving.id();
    const auto sendLeave = [&] {
        const auto answer = call(leaving.options.sidecar, "DELETE", "/instances/" + id, "", 1000);
        record.line("DELETE /instances/%s arrives at the sidecar: %d", id.c_str(), answer.status);
    };
    leaving.drain();
    sleepMs(2500); // `drain_ms`, and a little longer.
    const auto cutAt = nowMs();
    record.line("%s sends its DELETE", leaving.options.name.c_str());
    if (!setup.trouble)
        sendLeave();
    else
        record.line("%s is cut off for 5 s; the DELETE is held up", leaving.options.name.c_str());
    sleepMs(1500);
    leaving.crash(); // It ends anyway.
    while (nowMs() < cutAt + 5000)
        sleepMs(5);
    leaving.restart(id);
    sleepMs(500);
    // Three tasks fit on a runner, so that all five runners get some and two places are left.
    const json step { { "count", 13 }, { "cpu", 40000 }, { "mem_mb", 1000 }, { "est_ms", 9000 } };
    const json job { { "spec", "ms=9000..9500" }, { "steps", { step } } };
    if (clientCall(system, size.entries, "POST", "/jobs/" + jobId(0), job.dump(), 10000).status != 200)
        finish(2);
    const auto until = nowMs() + 2000;
    while (nowMs() < until && leaving.runningCount() == 0)
        sleepMs(5);
    if (setup.trouble && leaving.runningCount() == 0)
        finish(2); // The new life isn't used: nothing to show.
    while (nowMs() < cutAt + 7500)
        sleepMs(5);
    if (setup.trouble)
        sendLeave(); // Sent again by TCP after the cut.
    const auto end = nowMs() + 45000;
    std::string state;
    while (nowMs() < end && state.find("completed") == std::string::npos) {
        sleepMs(500);
        state = clientCall(system, size.entries, "GET", "/jobs/" + jobId(0), "", 6000).body;
    }
    sleepMs(1000);
    const int breaks = countTwice();
    record.line("job %s; %zu starts of 13 tasks; %d breaks of TWICE", state.c_str(), history.count(""), breaks);
    if (!setup.trouble && state.find("completed") == std::string::npos)
        finish(2);
    finish(breaks > 0 ? 1 : 0);
}
