// Measures reading, printing and comparing a deployment of the size expected in two years. Every control replica does
// all three for each configuration change. Writes JSON lines.

#include <algorithm>
#include <chrono>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <poplardeal/deployment/diff.h>
#include <poplardeal/deployment/toml.h>

DEFINE_string(out, "", "File to which the JSON lines are appended; standard output if empty");
DEFINE_uint64(seed, 20261204, "Recorded with the results; the input does not depend on it");
DEFINE_double(scale, 1, "Factor on the number of repetitions");

namespace poplardeal::bench {

using steady = std::chrono::steady_clock;

static constexpr int dataCentres = 5;
static constexpr int racks = 467; ///< 1,400 workers, three to a rack.
static constexpr int workspaces = 350;
static constexpr int jobsPerWorkspace = 6;

static void addPlaces(deployment& plan)
{
    plan.regions = { { region_name("tz-coast") }, { region_name("bg-south") } };
    for (int i = 0; i < dataCentres; ++i)
        plan.dataCentres.push_back(
            { data_centre_name("dc" + std::to_string(i)), plan.regions[static_cast<std::size_t>(i % 2)].name, true });
    for (int i = 0; i < racks; ++i) {
        const auto& place = plan.dataCentres[static_cast<std::size_t>(i % dataCentres)].name;
        plan.workerPools.push_back({ place, rack_name(place.value() + "-r" + std::to_string(i)), 3,
            { cores(128), mebibytes(262'144), accelerators(8) } });
    }
}

static workspace makeWorkspace(int number)
{
    workspace made;
    made.name = workspace_name("workspace-" + std::to_string(number));
    made.quota = { cores(512), mebibytes(1'048'576), accelerators(32) };
    made.guarantees = { { 2, accelerators(8), scope::rack, 1 }, { 1, accelerators(2), scope::worker, 2 } };
    for (int i = 0; i < jobsPerWorkspace; ++i) {
        job_template job;
        job.name = job_name("job-" + std::to_string(i));
        job.tasks = 2;
        job.perTask = { cores(32), mebibytes(65'536), accelerators(8) };
        job.runTime = std::chrono::minutes(10);
        job.command = "run-job --number " + std::to_string(i);
        made.jobs.push_back(job);
    }
    return made;
}

static deployment makeDeployment()
{
    deployment plan;
    plan.name = "two-years";
    addPlaces(plan);
    for (int i = 0; i < workspaces; ++i)
        plan.workspaces.push_back(makeWorkspace(i));
    return plan;
}

/// Median of the time of one call, in milliseconds.
template <class Call> static double medianMillis(Call call)
{
    constexpr double baseRepetitions = 20;
    std::vector<double> samples(static_cast<std::size_t>(std::max(1.0, baseRepetitions * FLAGS_scale)));
    for (auto& sample : samples) {
        const auto start = steady::now();
        call();
        sample = std::chrono::duration<double, std::milli>(steady::now() - start).count();
    }
    std::sort(samples.begin(), samples.end());
    return samples[samples.size() / 2];
}

static void report(std::ostream& out, const char* name, double value, const char* unit)
{
    const nlohmann::ordered_json line { { "name", std::string("deployment.") + name }, { "value", value },
        { "unit", unit }, { "baseline", nullptr }, { "ratio", nullptr }, { "seed", FLAGS_seed },
        { "scale", "two-years" } };
    out << line.dump() << std::endl;
}

static bool run(std::ostream& out)
{
    const auto plan = makeDeployment();
    const auto text = printDeployment(plan);
    const auto read = parseDeployment(text, "bench");
    if (read.has_error()) {
        std::cerr << read.error().message << "\n";
        return false;
    }
    auto changed = plan;
    changed.workspaces.back().jobs.back().tasks = 4;
    report(out, "text", static_cast<double>(text.size()), "B");
    report(out, "parse_p50", medianMillis([&] { return parseDeployment(text, "bench").has_value(); }), "ms");
    report(out, "print_p50", medianMillis([&] { return printDeployment(plan).size(); }), "ms");
    report(out, "difference_p50", medianMillis([&] { return difference(plan, changed).size(); }), "ms");
    return difference(plan, changed).size() == 1;
}

} // namespace poplardeal::bench

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_out.empty())
        return poplardeal::bench::run(std::cout) ? 0 : 1;
    std::ofstream file(FLAGS_out, std::ios::app);
    return poplardeal::bench::run(file) ? 0 : 1;
}
