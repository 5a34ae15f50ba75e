#include "scenarios.h"
#include "simulation.h"

#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <poplardeal/placement/admission.h>
#include <poplardeal/placement/baseline.h>

DEFINE_string(out, "placement.jsonl", "File for the results, one JSON object a line");
DEFINE_string(scale, "all", "tz-coast, bg-south, two-years or all");
DEFINE_uint64(seed, 20261204, "Seed of the scenarios");

namespace poplardeal::bench {

static void writeLine(std::ostream& out, const std::string& scale, const std::string& name, const std::string& unit,
    double value, std::optional<double> baseline)
{
    nlohmann::ordered_json line { { "name", name }, { "value", value }, { "unit", unit } };
    line["baseline"] = baseline ? nlohmann::ordered_json(*baseline) : nlohmann::ordered_json();
    const auto hasRatio = baseline && *baseline != 0;
    line["ratio"] = hasRatio ? nlohmann::ordered_json(value / *baseline) : nlohmann::ordered_json();
    line["seed"] = FLAGS_seed;
    line["scale"] = scale;
    out << line.dump() << std::endl;
    std::cout << line.dump() << std::endl;
}

static measurements measure(scheduler subject, const scenario& input) { return simulation(subject, input).run(); }

static void compare(std::ostream& out, const scenario& input)
{
    if (const auto admitted = admit(input.plan); !admitted)
        std::cerr << input.scale << ": " << admitted.error().message << "\n";
    const auto own = measure(scheduler(), input);
    const auto base = measure(makeFirstFitFifo(), input);
    const auto line = [&](const char* name, const char* unit, double measurements::*field) {
        writeLine(out, input.scale, std::string("placement.") + name, unit, own.*field, base.*field);
    };
    line("completion_time_mean", "s", &measurements::meanCompletion);
    line("completion_time_p99", "s", &measurements::p99Completion);
    line("unfinished_jobs", "1", &measurements::unfinished);
    line("fragmentation", "1", &measurements::fragmentation);
    line("work_during_change", "1", &measurements::changeWork);
    line("guarantee_breaches", "1", &measurements::breaches);
    line("partial_gangs", "1", &measurements::partialGangs);
    line("late_starts", "1", &measurements::lateStarts);
    line("decision_p50", "us", &measurements::decisionP50);
    line("decision_p99", "us", &measurements::decisionP99);
    line("decision_max", "us", &measurements::decisionMax);
    line("state", "B", &measurements::stateBytes);
    line("running_tasks_max", "1", &measurements::runningTasks);
}

/// Time for all submissions of a day, one after the other, on an empty cluster.
static void coldStart(std::ostream& out, const scenario& input)
{
    scheduler subject;
    const auto now = instantFromMicros(1'000'000);
    subject.apply(deployment_changed { input.plan }, now);
    for (const auto& worker : input.workers)
        subject.apply(worker_joined { worker }, now);
    const auto begin = std::chrono::steady_clock::now();
    const auto count = std::min<std::size_t>(input.submissions.size(), 2700);
    for (std::size_t i = 0; i < count; ++i) {
        const auto& job = input.submissions[i];
        subject.apply(job_submitted { job.id, job.workspace, job.job }, now);
    }
    const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - begin;
    writeLine(out, input.scale, "placement.cold_2700_jobs", "s", taken.count(), std::nullopt);
}

static int runAll()
{
    std::ofstream out(FLAGS_out);
    if (!out) {
        std::cerr << "cannot write " << FLAGS_out << "\n";
        return 2;
    }
    const auto wanted = [](const std::string& scale) { return FLAGS_scale == "all" || FLAGS_scale == scale; };
    if (wanted("tz-coast"))
        compare(out, makeToday("tz-coast", { "kariakoo", "msasani", "ubungo" }, 1.0, FLAGS_seed));
    if (wanted("bg-south"))
        compare(out, makeToday("bg-south", { "plovdiv", "pazardzhik", "asenovgrad" }, 2.0, FLAGS_seed + 1));
    if (wanted("two-years")) {
        const auto input = makeTwoYears(FLAGS_seed + 2);
        coldStart(out, input);
        compare(out, input);
    }
    return 0;
}

} // namespace poplardeal::bench

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return poplardeal::bench::runAll();
}
