#include <poplardeal/emulator/scenario.h>
#include <tuple>
#include <utility>

namespace poplardeal::emulator {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /// Workers for which the rates below are given.
    constexpr double referenceWorkers = 160;
    constexpr double workspaceSkew = 1.2;
    constexpr double shortUrgentFactor = 3.5; ///< Urgent work then fills half the cluster; a burst exceeds it.
    constexpr double shortOtherFactor = 0.7;

    job_kind urgentGangs(double scale)
    {
        job_kind out;
        out.queue = "urgent";
        out.priority = 0;
        out.jobsPerSecond = 3.4 * scale;
        out.value = 4;
        out.lateValue = 0.8;
        out.meanRunTime = milliseconds(2500);
        out.runTimeSpread = 0.5;
        out.maxRunTime = seconds(8);
        out.taskSpread = 0.3;
        out.estimateError = 0.9;
        out.meanWidth = 5.3;
        out.maxWidth = 32;
        out.memory = mebibytes(61000);
        out.accelerators = { 1, 2, 4, 8, 8 };
        out.gang = true;
        out.failureShare = 0.005;
        out.stretch = 1.5;
        out.allowance = milliseconds(250);
        return out;
    }

    job_kind audits(double scale)
    {
        job_kind out;
        out.queue = "audit";
        out.priority = 1;
        out.jobsPerSecond = 1.08 * scale;
        out.value = 3;
        out.lateValue = 0.3;
        out.meanRunTime = milliseconds(6800);
        out.taskSpread = 0.15;
        out.meanWidth = 13;
        out.maxWidth = 76;
        out.cpu = millicores(52000);
        out.memory = mebibytes(270000);
        out.accelerators = { 1, 2, 4, 8, 8 };
        out.gang = true;
        out.checkpointableShare = 0.45;
        out.failureShare = 0.005;
        out.attempts = 4;
        return out;
    }

    job_kind bulkTasks(double scale)
    {
        job_kind out;
        out.queue = "bulk";
        out.priority = 2;
        out.jobsPerSecond = 0.68 * scale;
        out.value = 1;
        out.lateValue = 0.1;
        out.meanRunTime = milliseconds(9500);
        out.meanWidth = 38;
        out.maxWidth = 230;
        out.cpu = millicores(11000);
        out.memory = mebibytes(46000);
        out.checkpointableShare = 0.45;
        out.failureShare = 0.01;
        out.allowance = seconds(3);
        out.attempts = 2;
        return out;
    }

    scenario named(const char* name, std::size_t workers)
    {
        scenario out;
        out.name = name;
        out.cluster.workers = workers;
        const double scale = static_cast<double>(workers) / referenceWorkers;
        out.kinds = { urgentGangs(scale), audits(scale), bulkTasks(scale) };
        return out;
    }

    /// Smaller workers of uneven speed. The rates are those of a cluster of `unevenReferenceWorkers`.
    scenario uneven(const char* name, std::size_t workers, std::vector<double> speedFactors)
    {
        constexpr double unevenReferenceWorkers = 74;
        scenario out;
        out.name = name;
        out.cluster.workers = workers;
        out.cluster.workersPerRack = 9;
        out.cluster.capacity = { millicores(64000), mebibytes(262144), accelerators(8) };
        out.cluster.speedFactors = std::move(speedFactors);
        const double scale = static_cast<double>(workers) / unevenReferenceWorkers;
        auto urgent = urgentGangs(1);
        urgent.jobsPerSecond = 1.4 * scale;
        urgent.meanRunTime = milliseconds(2100);
        urgent.meanWidth = 5.4;
        urgent.memory = mebibytes(30000);
        urgent.allowance = milliseconds(300);
        auto audit = audits(1);
        audit.jobsPerSecond = 0.8 * scale;
        audit.meanRunTime = milliseconds(5800);
        audit.meanWidth = 7.7;
        audit.cpu = millicores(26000);
        audit.memory = mebibytes(100000);
        auto bulk = bulkTasks(1);
        bulk.jobsPerSecond = 0.35 * scale;
        bulk.meanRunTime = milliseconds(8100);
        bulk.meanWidth = 39;
        bulk.cpu = millicores(7000);
        bulk.memory = mebibytes(23000);
        out.kinds = { urgent, audit, bulk };
        return out;
    }

    scenario unevenBursts(const char* name, std::size_t workers, std::vector<double> speedFactors)
    {
        auto out = uneven(name, workers, std::move(speedFactors));
        out.disturbances = { { disturbance_kind::burst, seconds(5), seconds(6), "bulk", 3, 0 },
            { disturbance_kind::burst, seconds(14), seconds(6), "urgent", 2, 0 } };
        return out;
    }

    /// Bursts on workers whose memory and cores are full before their accelerators, and which leave at short notice.
    scenario hardBurst(std::size_t workers)
    {
        auto out = named("hard-burst", workers);
        out.cluster.capacity = { millicores(32000), mebibytes(65536), accelerators(8) };
        out.cluster.savesOnStop = false;
        const std::vector<std::pair<millicores, mebibytes>> needs { { millicores(3700), mebibytes(9800) },
            { millicores(13000), mebibytes(19000) }, { millicores(2800), mebibytes(7400) } };
        for (std::size_t i = 0; i < needs.size(); ++i)
            std::tie(out.kinds[i].cpu, out.kinds[i].memory) = needs[i];
        out.disturbances = { { disturbance_kind::burst, seconds(4), seconds(6), "bulk", 2.5, 0 },
            { disturbance_kind::burst, seconds(8), seconds(6), "urgent", 1.8, 0 },
            { disturbance_kind::workers_leave, seconds(10), seconds(2), "", 1, 0.08 },
            { disturbance_kind::burst, seconds(20), seconds(6), "urgent", 1.8, 0 },
            { disturbance_kind::workers_leave, seconds(22), seconds(2), "", 1, 0.08 } };
        return out;
    }

    /// Workspaces of uneven size, and little room beside urgent work.
    scenario namedShort(const char* name, std::size_t workers)
    {
        auto out = named(name, workers);
        out.workspaceSkew = workspaceSkew;
        for (auto& kind : out.kinds)
            kind.jobsPerSecond *= kind.priority == 0 ? shortUrgentFactor : shortOtherFactor;
        return out;
    }

} // namespace

std::vector<scenario> standardScenarios(std::size_t workers)
{
    std::vector<scenario> out;
    out.push_back(named("steady", workers));

    auto burst = named("urgent-burst", workers);
    burst.disturbances = { { disturbance_kind::burst, seconds(6), seconds(6), "urgent", 2, 0 },
        { disturbance_kind::burst, seconds(18), seconds(4), "urgent", 2.5, 0 } };
    out.push_back(burst);

    auto cut = named("cut-off", workers);
    for (const auto at : { seconds(4), seconds(14), seconds(24) })
        cut.disturbances.push_back({ disturbance_kind::workers_cut_off, at, milliseconds(2500), "", 1, 0.2 });
    out.push_back(cut);

    auto leaving = named("short-notice", workers);
    leaving.disturbances = { { disturbance_kind::burst, seconds(4), seconds(6), "urgent", 2, 0 },
        { disturbance_kind::workers_leave, seconds(6), seconds(2), "", 1, 0.15 },
        { disturbance_kind::workers_crash, seconds(16), seconds(4), "", 1, 0.1 } };
    out.push_back(leaving);

    auto bulk = named("bulk-burst", workers);
    bulk.disturbances = { { disturbance_kind::burst, seconds(3), seconds(6), "bulk", 3, 0 },
        { disturbance_kind::burst, seconds(12), seconds(6), "urgent", 2, 0 } };
    out.push_back(bulk);

    out.push_back(uneven("uneven", workers, { 0.7, 0.7, 1.7 }));

    auto longTasks = unevenBursts("uneven-long", workers, { 0.7, 0.7, 1.7 });
    for (auto& kind : longTasks.kinds)
        kind.longTaskShare = kind.gang ? 0 : 0.03;
    longTasks.settleTime = seconds(130);
    out.push_back(longTasks);

    out.push_back(unevenBursts("uneven-mild", workers, { 0.8, 1.0, 1.25 }));
    out.push_back(hardBurst(workers));

    auto shortage = namedShort("shortage", workers);
    for (const auto at : { seconds(5), seconds(19) }) {
        shortage.disturbances.push_back({ disturbance_kind::burst, at, seconds(6), "urgent", 1.8, 0 });
        shortage.disturbances.push_back({ disturbance_kind::burst, at, seconds(6), "bulk", 2.5, 0 });
    }
    out.push_back(shortage);

    auto single = namedShort("one-workspace-burst", workers);
    single.disturbances = { { disturbance_kind::burst, seconds(8), seconds(6), "", 4, 0, 1 } };
    out.push_back(single);
    return out;
}

} // namespace poplardeal::emulator
