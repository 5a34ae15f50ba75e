// Case: a core machine is replaced as planned: the successor starts, has its `catch_up_s`, then the old one gets
// SIGTERM. 2 s later another one loses its disk right after it has acknowledged a manifest.
#include "harness.hpp"

using namespace review;

int main(int argc, char** argv)
{
    const auto setup = setUp(argc, argv);
    constexpr std::int64_t catchUpMs = 4000;
    constexpr std::int64_t recoverMs = 12000;
    // For comparison only: a longer pause between the two.
    const char* more = std::getenv("MORE_MS");
    const std::int64_t pauseMs = 2000 + (more != nullptr ? std::atoi(more) : 0);
    cluster_options size;
    size.spares = 1;
    size.leaseMs = 6000;
    cluster system(size, setup.daemon, setup.folder);
    if (!system.start() || !system.putPlan(planText(1), 20000))
        finish(2);
    sleepMs(3000);
    constexpr int jobs = 5;
    const auto submit = [&](int n) {
        const json job { { "spec", "ms=800..1200" },
            { "steps", { { { "count", 2 }, { "cpu", 2000 }, { "mem_mb", 200 }, { "est_ms", 1000 } } } } };
        return clientCall(system, size.entries, "POST", "/jobs/" + jobId(n), job.dump(), 4000).status == 200;
    };
    for (int i = 0; i < jobs; ++i) {
        if (!submit(i))
            finish(2);
    }
    sleepMs(2000);
    const int leader = system.leader();
    if (leader < 0)
        finish(2);
    const int gone = (leader + 1) % size.controls;
    const int wiped = (leader + 2) % size.controls;
    if (setup.trouble)
        system.startProcess(*system.controls[static_cast<std::size_t>(size.controls)], false);
    sleepMs(catchUpMs + 2000);
    if (setup.trouble) {
        auto& old = *system.controls[static_cast<std::size_t>(gone)];
        old.signal(SIGTERM);
        for (int i = 0; i < 60 && old.isRunning(); ++i)
            sleepMs(100);
        old.killNow();
        record.line("%s is gone for good", old.name.c_str());
        system.operatorList[static_cast<std::size_t>(gone)] = size.controls;
    }
    const auto goneAt = nowMs();
    while (nowMs() < goneAt + pauseMs)
        sleepMs(1);
    // The machine that acknowledges the change loses its disk.
    const auto answer = call(system.control(wiped), "PUT", "/config", planText(2), 2000);
    record.line("operator PUT /config version 2 at %s: %d", system.control(wiped).text().c_str(), answer.status);
    if (answer.status != 200)
        finish(2);
    if (setup.trouble) {
        system.loseDisk(wiped);
        sleepMs(1000);
        system.startProcess(*system.controls[static_cast<std::size_t>(wiped)], false);
    }
    const auto backAt = nowMs();
    record.line("all machines are back");
    while (nowMs() < backAt + recoverMs + 3000)
        sleepMs(50);

    int served = 0;
    constexpr int asked = 4;
    for (int i = 0; i < asked; ++i)
        served += submit(100 + i) ? 1 : 0;
    const auto trafficEndAt = nowMs();
    const int version = system.readVersion(10000);
    constexpr std::int64_t finishMs = 14000;
    while (nowMs() < trafficEndAt + finishMs)
        sleepMs(50);
    int known = 0;
    for (int i = 0; i < jobs; ++i)
        known += clientCall(system, size.entries, "GET", "/jobs/" + jobId(i), "", 4000).status == 200 ? 1 : 0;
    record.line("%lld ms after all are back: %d of %d requests served; manifest read back: version %d of 2; %d of %d "
                "accepted jobs known",
        static_cast<long long>(nowMs() - backAt), served, asked, version, known, jobs);
    const bool isHeld = served * 4 >= asked && version == 2 && known == jobs;
    if (!setup.trouble && !isHeld)
        finish(2);
    finish(isHeld ? 0 : 1);
}
