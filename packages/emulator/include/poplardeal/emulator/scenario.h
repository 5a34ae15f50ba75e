#pragma once

#include <cstdint>
#include <optional>
#include <poplardeal/jobs/model.h>
#include <string>
#include <vector>

namespace poplardeal::emulator {

/// Workers of one service. All have the same capacity; a share of them takes longer for the same work.
struct cluster_shape {
    std::size_t workers { 72 };
    std::size_t workersPerRack { 8 };
    demand capacity { millicores(128000), mebibytes(524288), accelerators(8) };
    double slowShare { 1.0 / 3 };
    double slowness { 1.3 }; ///< Run time on a slow worker relative to the others.
    /// If not empty, each worker's factor on run times is drawn from these with equal chances; the two values above
    /// then do not count.
    std::vector<double> speedFactors;
    duration commitDelay { std::chrono::milliseconds(9) }; ///< From a proposal to its answer.
    duration networkDelay { std::chrono::milliseconds(1) }; ///< One way, between control and a worker.
    duration busyReportInterval { std::chrono::milliseconds(800) };
    duration idleReportInterval { std::chrono::milliseconds(900) };
    duration minStopTime { std::chrono::milliseconds(50) }; ///< From a stop to the end of the run, at least.
    duration maxStopTime { std::chrono::milliseconds(200) };
    duration restoreTime { std::chrono::milliseconds(600) }; ///< Of a checkpoint.
    duration checkpointInterval { std::chrono::seconds(1) };
    bool savesOnStop { true }; ///< A stop makes a checkpoint; otherwise the last periodic one is what remains.
};

/// Jobs of one queue. Times and widths are log-normal with the given mean; `spread` is the standard deviation of the
/// logarithm.
struct job_kind {
    std::string queue;
    std::uint32_t priority { 0 };
    double jobsPerSecond { 1 };
    double value { 1 }; ///< Of a job of mean size that ends within its objective.
    double lateValue { 0.3 }; ///< Of one that takes up to three objectives.
    duration meanRunTime { std::chrono::seconds(5) };
    double runTimeSpread { 0.3 };
    duration maxRunTime { std::chrono::seconds(11) };
    double taskSpread { 0.3 }; ///< Of the tasks of one job.
    double longTaskShare { 0 }; ///< Of tasks that take `longTaskFactor` times as long as the others.
    double longTaskFactor { 7 };
    double estimateError { 0.2 }; ///< Spread of declared by true run time.
    double meanWidth { 5 };
    double widthSpread { 0.8 };
    std::uint32_t maxWidth { 32 };
    millicores cpu { 15000 };
    mebibytes memory { 30000 };
    std::vector<std::int64_t> accelerators { 1 }; ///< Each task's, drawn with equal chances.
    bool gang { false };
    double rackLocalShare { 0 };
    double checkpointableShare { 0 };
    double failureShare { 0 }; ///< Of runs of a task.
    double stretch { 3 };
    duration allowance { std::chrono::seconds(1) };
    std::uint32_t attempts { 3 };
};

enum class disturbance_kind : std::uint8_t {
    burst, ///< `queue` gets `factor` times as many jobs, of all workspaces or of `workspace`.
    workers_cut_off, ///< A share of the workers hears nothing and is not heard; their tasks go on.
    workers_leave, ///< A share of the workers drains for `length` and goes.
    workers_crash, ///< A share of the workers stops without notice and comes back empty after `length`.
};

struct disturbance {
    disturbance_kind kind { disturbance_kind::burst };
    duration at { 0 }; ///< From the start.
    duration length { 0 };
    std::string queue; ///< Empty: all queues.
    double factor { 1 };
    double share { 0 };
    std::optional<std::size_t> workspace {}; ///< Index of the only workspace that sends more.
};

/// A load on a cluster. Together with a seed it determines all jobs, run times and disturbances.
struct scenario {
    std::string name;
    cluster_shape cluster;
    std::vector<job_kind> kinds;
    std::vector<disturbance> disturbances;
    duration length { std::chrono::seconds(34) }; ///< In which jobs arrive; open jobs then get `settleTime`.
    duration settleTime { std::chrono::seconds(25) };
    std::size_t workspaces { 10 };
    double workspaceSkew { 0 }; ///< Workspace i sends a share in proportion to (i + 1)^-skew of the jobs; 0: equal.
    /// Of all accelerators, in equal parts to the workspaces, for jobs of priority 0.
    double guaranteedShare { 0.6 };
};

/// The scenarios that tests and the command line know, by name. Each is one pattern of heavy load:
///
/// - `steady`: urgent gangs, audits and bulk tasks fill the cluster;
/// - `urgent-burst`: twice as many urgent gangs of whole workers for 6 s;
/// - `cut-off`: workers are silent for a while, three times;
/// - `short-notice`: workers leave at short notice in the middle of a burst;
/// - `bulk-burst`: three times as many bulk tasks for 6 s before an urgent burst;
/// - `uneven`: smaller workers of speeds that differ by a factor of up to 2.5, under moderate load;
/// - `uneven-long`: the same with bursts, and with some tasks that take 7 times as long as the others;
/// - `uneven-mild`: the same bursts on workers whose speeds differ by a factor of up to 1.6.
/// - `hard-burst`: bulk and urgent bursts while workers of 32 cores leave at short notice. Stops save nothing.
/// - `shortage`: workspaces of uneven size, and urgent and bulk bursts at once, so that urgent work is short of room;
/// - `one-workspace-burst`: workspaces of uneven size, of which one sends four times its share for 6 s.
std::vector<scenario> standardScenarios(std::size_t workers);

} // namespace poplardeal::emulator
