#include "sidecar_load.h"

#include <cstdio>
#include <gflags/gflags.h>
#include <poplardeal/wire/event_loop.h>
#include <sstream>

// NOLINTBEGIN(readability-identifier-naming)
DEFINE_string(controls, "", "frame addresses of the controls, separated by commas");
DEFINE_int64(count, 100, "simulated workers");
DEFINE_string(data_centres, "a", "names, separated by commas; workers are spread over them");
DEFINE_int64(per_rack, 20, "workers in a rack");
DEFINE_int64(cores, 128, "cores of each worker");
DEFINE_int64(memory_mib, 262144, "memory of each worker in MiB");
DEFINE_int64(accelerators, 8, "accelerators of each worker");
DEFINE_double(time_scale, 1, "real run time divided by declared run time");
// NOLINTEND(readability-identifier-naming)

namespace {

using namespace poplardeal;

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');)
        parts.push_back(part);
    return parts;
}

std::vector<address> readControls()
{
    std::vector<address> controls;
    for (const auto& text : split(FLAGS_controls)) {
        const auto parsed = parseAddress(text);
        if (parsed.has_value())
            controls.push_back(parsed.value());
    }
    return controls;
}

detail::simulated_worker describe(std::int64_t index, const std::vector<std::string>& dataCentres)
{
    const auto places = static_cast<std::int64_t>(dataCentres.size());
    const auto& dataCentre = dataCentres[static_cast<std::size_t>(index % places)];
    const auto rack = dataCentre + "-r" + std::to_string(index / places / FLAGS_per_rack + 1);
    return { "w" + std::to_string(index), dataCentre, rack,
        { cores(FLAGS_cores), mebibytes(FLAGS_memory_mib), accelerators(FLAGS_accelerators) }, FLAGS_time_scale };
}

/// One line each 200 ms on standard output: workers online, the lowest deployment version held, tasks started so far.
void printState(const std::vector<std::unique_ptr<detail::simulated_sidecar>>& sidecars, instant wallClock)
{
    std::size_t online = 0;
    std::uint64_t lowest = sidecars.front()->heldVersion();
    std::uint64_t started = 0;
    for (const auto& sidecar : sidecars) {
        online += sidecar->isOnline();
        lowest = std::min(lowest, sidecar->heldVersion());
        started += sidecar->startedTasks();
    }
    std::printf("{\"time_us\":%lld,\"online\":%zu,\"version\":%llu,\"started\":%llu}\n",
        static_cast<long long>(toMicros(wallClock)), online, static_cast<unsigned long long>(lowest),
        static_cast<unsigned long long>(started));
    std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("many simulated workers with their sidecars in one process, for load tests of control");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto controls = readControls();
    const auto dataCentres = split(FLAGS_data_centres);
    if (controls.empty() || dataCentres.empty() || FLAGS_count < 1 || FLAGS_per_rack < 1) {
        std::fprintf(stderr, "--controls, --data_centres, --count and --per_rack must be given and valid\n");
        return 2;
    }
    event_loop loop;
    std::vector<std::unique_ptr<detail::simulated_sidecar>> sidecars;
    for (std::int64_t i = 0; i < FLAGS_count; ++i)
        sidecars.push_back(std::make_unique<detail::simulated_sidecar>(
            loop, describe(i, dataCentres), controls, static_cast<std::uint64_t>(i) * 10));
    const auto print = loop.every(std::chrono::milliseconds(200), [&] { printState(sidecars, loop.wallClock()); });
    loop.onTerminate([&] { loop.quit(); });
    loop.run();
    return 0;
}
