#include <cstdio>
#include <gflags/gflags.h>
#include <iostream>
#include <poplardeal/emulator/emulator.h>
#include <poplardeal/emulator/fault_play.h>

using namespace poplardeal;
using namespace poplardeal::emulator;

DEFINE_uint64(workers, 160, "workers of the cluster");
DEFINE_uint64(seeds, 4, "plays of each scenario, with seeds from 1 on");
DEFINE_double(load, 1, "factor of the arrival rates of all queues");
DEFINE_int64(stop_latency_ms, 400, "planner_options::stopLatency");
DEFINE_int64(stop_ms, 200, "longest time of a stop; a worker takes a quarter of it at least");
DEFINE_int64(checkpoint_ms, 1000, "interval of checkpoints");
DEFINE_int64(restore_ms, 600, "time to restore a checkpoint");
DEFINE_bool(states_timing, false, "the planner gets these times as settings, instead of its defaults");
DEFINE_bool(weighs_preemptions, false, "planner_options::weighsPreemptions");
DEFINE_double(max_preemption_cost, 3, "planner_options::maxPreemptionCost");
DEFINE_bool(uses_expected_times, false, "planner_options::usesExpectedTimes");
DEFINE_string(work_order, "deadline", "planner_options::order: deadline or value");
DEFINE_uint64(faults, 0, "instead of load patterns, plays this many seeds of random faults");
DEFINE_uint64(fault_workers, 3, "fault_scenario::workers");
DEFINE_uint64(fault_jobs, 8, "fault_scenario::jobs");
DEFINE_uint64(faults_per_play, 6, "fault_scenario::faults");
DEFINE_uint64(first_seed, 1, "seed of the first play of faults");
DEFINE_string(scenario, "", "name of one scenario; empty: all of them");

namespace {

/// Means over the plays of one scenario.
struct summary {
    double worth { 0 };
    double worstSeconds { 0 };
    double worstWorkspaces { 0 };
    double worstQueue { 0 };
    std::map<std::string, kind_result> kinds; ///< Of all plays together, as one has few of the largest jobs.
    std::map<std::string, kind_result> largest;
    double wastedShare { 0 };
    std::array<double, wasteReasons> wastedByReason {}; ///< As shares of all work.
    double preemptions { 0 };
    double repeatedPreemptions { 0 };
    double reclaims { 0 };
    double lateReclaims { 0 };
    double planMilliseconds { 0 };
    double longestPlanMilliseconds { 0 };
    std::map<std::string, double> byQueue;
    std::size_t doubleRuns { 0 };
};

double milliseconds(duration d) { return std::chrono::duration<double, std::milli>(d).count(); }

void add(summary& out, const emulation_result& result, double weight)
{
    out.worth += weight * result.worth();
    out.worstSeconds += weight * result.worstSeconds;
    const double work = std::max(result.usefulWork + result.wastedWork, 1.0);
    out.wastedShare += weight * result.wastedWork / work;
    for (std::size_t i = 0; i < wasteReasons; ++i)
        out.wastedByReason[i] += weight * result.wastedByReason[i] / work;
    out.preemptions += weight * static_cast<double>(result.preemptions);
    out.repeatedPreemptions += weight * static_cast<double>(result.repeatedPreemptions);
    out.reclaims += weight * static_cast<double>(result.reclaims);
    out.lateReclaims += weight * static_cast<double>(result.lateReclaims);
    out.worstWorkspaces += weight * result.worstWorkspaces();
    out.worstQueue += weight * result.worstQueue();
    for (const auto& [queue, kind] : result.byQueue)
        out.kinds[queue] += kind;
    for (const auto& [queue, kind] : result.largestByQueue)
        out.largest[queue] += kind;
    out.planMilliseconds += weight * milliseconds(result.planTime) / static_cast<double>(result.plans);
    out.longestPlanMilliseconds = std::max(out.longestPlanMilliseconds, milliseconds(result.longestPlan));
    out.doubleRuns += result.doubleRuns;
    for (const auto& [queue, kind] : result.byQueue)
        out.byQueue[queue] += weight * kind.worth();
}

void print(const std::string& name, const summary& out)
{
    std::printf("%-19s %6.3f %6.3f %6.3f %6.3f %7.2f %6.3f %8.2f %8.2f", name.c_str(), out.worth, out.worstSeconds,
        out.worstWorkspaces, out.worstQueue, largestServed(out.kinds, out.largest), out.wastedShare,
        out.planMilliseconds, out.longestPlanMilliseconds);
    for (const auto& [queue, worth] : out.byQueue)
        std::printf("  %s %.3f", queue.c_str(), worth);
    std::printf("  preemptions %.0f repeated %.0f", out.preemptions, out.repeatedPreemptions);
    for (std::size_t i = 0; i < wasteReasons; ++i)
        std::printf("  %s %.3f", std::string(toString(static_cast<waste_reason>(i))).c_str(), out.wastedByReason[i]);
    std::printf("  reclaims %.0f reclaims_late %.2f", out.reclaims, out.lateReclaims);
    std::printf("%s\n", out.doubleRuns > 0 ? "  DOUBLE RUNS" : "");
}

/// Plays seeds of random faults and prints those that break a promise. The exit code is 1 if there are any.
int playSeeds(std::uint64_t first, std::uint64_t count)
{
    fault_scenario scenario;
    scenario.workers = FLAGS_fault_workers;
    scenario.jobs = FLAGS_fault_jobs;
    scenario.faults = FLAGS_faults_per_play;
    std::size_t broken = 0;
    std::size_t starts = 0;
    for (auto seed = first; seed < first + count; ++seed) {
        const auto result = playFaults(scenario, seed);
        starts += result.starts;
        if (result.violations.empty())
            continue;
        ++broken;
        std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
        for (const auto& violation : result.violations)
            std::printf("  BROKEN %s\n", violation.c_str());
        for (const auto& fault : result.faults)
            std::printf("  fault  %s\n", fault.c_str());
    }
    std::printf("%llu plays, %zu runs begun, %zu plays broke a promise\n", static_cast<unsigned long long>(count),
        starts, broken);
    return broken > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("plays load patterns against the planner in virtual time");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_faults > 0)
        return playSeeds(FLAGS_first_seed, FLAGS_faults);
    std::printf("%-19s %6s %6s %6s %6s %7s %6s %8s %8s  worth by queue\n", "scenario", "worth", "worst", "w-wksp",
        "w-queue", "largest", "wasted", "plan ms", "max ms");
    bool isKnown = false;
    planner_options options;
    options.stopLatency = std::chrono::milliseconds(FLAGS_stop_latency_ms);
    options.maxPreemptionCost = FLAGS_max_preemption_cost;
    options.usesExpectedTimes = FLAGS_uses_expected_times;
    options.weighsPreemptions = FLAGS_weighs_preemptions;
    if (FLAGS_states_timing) {
        options.timing.stop = std::chrono::milliseconds(FLAGS_stop_ms);
        options.timing.checkpointInterval = std::chrono::milliseconds(FLAGS_checkpoint_ms);
        options.timing.restore = std::chrono::milliseconds(FLAGS_restore_ms);
    }
    if (FLAGS_work_order != "deadline" && FLAGS_work_order != "value") {
        std::cerr << "unknown order '" << FLAGS_work_order << "'\n";
        return 2;
    }
    options.order.order = FLAGS_work_order == "value" ? work_order::value : work_order::deadline;
    summary all;
    double largest = 0;
    std::size_t count = 0;
    for (auto load : standardScenarios(FLAGS_workers)) {
        if (!FLAGS_scenario.empty() && FLAGS_scenario != load.name)
            continue;
        isKnown = true;
        for (auto& kind : load.kinds)
            kind.jobsPerSecond *= FLAGS_load;
        load.cluster.minStopTime = std::chrono::milliseconds(FLAGS_stop_ms) / 4;
        load.cluster.maxStopTime = std::chrono::milliseconds(FLAGS_stop_ms);
        load.cluster.checkpointInterval = std::chrono::milliseconds(FLAGS_checkpoint_ms);
        load.cluster.restoreTime = std::chrono::milliseconds(FLAGS_restore_ms);
        summary out;
        for (std::uint64_t seed = 1; seed <= FLAGS_seeds; ++seed)
            add(out, emulate(load, options, seed), 1.0 / static_cast<double>(FLAGS_seeds));
        print(load.name, out);
        ++count;
        all.worth += out.worth;
        all.worstSeconds += out.worstSeconds;
        all.worstWorkspaces += out.worstWorkspaces;
        all.worstQueue += out.worstQueue;
        largest += largestServed(out.kinds, out.largest);
        all.wastedShare += out.wastedShare;
    }
    const double scenarios = std::max<double>(1, static_cast<double>(count));
    std::printf("%-19s %6.4f %6.4f %6.4f %6.4f %7.3f %6.4f\n", "mean", all.worth / scenarios,
        all.worstSeconds / scenarios, all.worstWorkspaces / scenarios, all.worstQueue / scenarios, largest / scenarios,
        all.wastedShare / scenarios);
    if (!isKnown)
        std::cerr << "unknown scenario '" << FLAGS_scenario << "'\n";
    return isKnown ? 0 : 2;
}
