#include "simulated_worker.h"
#include <algorithm>
#include <cmath>

namespace poplardeal::emulator {

namespace {

    double seconds(duration d) { return std::chrono::duration<double>(d).count(); }

} // namespace

double simulated_run::progress(instant now) const
{
    if (!workBeganAt)
        return resumedFrom;
    const double worked = std::max(0.0, seconds(now - *workBeganAt - restoreTime));
    return std::min(1.0, resumedFrom + worked / seconds(fullTime));
}

double simulated_run::savedShare(instant now, duration checkpointInterval) const
{
    if (!isCheckpointable)
        return 0;
    const double perInterval = seconds(checkpointInterval) / seconds(fullTime);
    return resumedFrom + std::floor((progress(now) - resumedFrom) / perInterval) * perInterval;
}

worker_status simulated_worker::status(instant now, duration checkpointInterval)
{
    constexpr double percent = 100;
    worker_status out;
    out.boot = boot;
    out.address = address;
    out.service = service_name("desk");
    out.dataCentre = data_centre_name("east");
    out.rack = rack;
    out.capacity = capacity;
    out.isDraining = isDraining();
    out.drainLeft = isDraining() ? leavesAt - now : duration::zero();
    out.clockMs = toMicros(now) / 1000;
    out.hasLists = true;
    for (auto& [task, run] : running) {
        const auto saved = run.savedShare(now, checkpointInterval);
        run.reportedShare = saved;
        out.running.push_back(
            { task, run.run, saved > 0 ? encodeProgress(saved) : checkpoint(), percent * run.progress(now) });
    }
    out.ended = ended;
    for (const auto& run : refusing)
        out.refused.push_back({ run, "stopped before its start" });
    return out;
}

checkpoint encodeProgress(double share) { return checkpoint(std::to_string(share)); }

double decodeProgress(const checkpoint& saved) { return saved.value().empty() ? 0 : std::stod(saved.value()); }

} // namespace poplardeal::emulator
