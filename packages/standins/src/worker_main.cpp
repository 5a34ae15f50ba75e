#include "serve.h"
#include <gflags/gflags.h>
#include <iostream>
#include <poplardeal/standins/worker.h>
#include <sstream>

// NOLINTBEGIN(readability-identifier-naming)
DEFINE_string(listen, "127.0.0.1:0", "IP:PORT of the worker HTTP API");
DEFINE_string(name, "", "name in the ledger; the listen address if empty");
DEFINE_int64(cores, 128, "cores");
DEFINE_int64(memory_mib, 262144, "memory in MiB");
DEFINE_int64(accelerators, 8, "accelerators");
DEFINE_double(time_scale, 1, "real run time divided by declared run time");
DEFINE_double(usage_factor, 1, "reported usage divided by declared size");
DEFINE_bool(fail_all, false, "every task fails when it starts");
DEFINE_string(fail_command, "", "tasks with one of these commands fail, separated by commas");
DEFINE_string(checkpoint_folder, "", "folder of checkpoints, shared by workers; memory if empty");
DEFINE_string(ledger, "", "file that gets a JSON line for each start, finish, fail and stop");
// NOLINTEND(readability-identifier-naming)

namespace {

std::set<std::string> splitWords(const std::string& text)
{
    std::set<std::string> words;
    std::istringstream in(text);
    for (std::string word; std::getline(in, word, ',');)
        words.insert(word);
    return words;
}

poplardeal::standin_worker_options optionsFromFlags()
{
    poplardeal::standin_worker_options options;
    options.name = FLAGS_name.empty() ? FLAGS_listen : FLAGS_name;
    options.capacity.cpu = poplardeal::cores(FLAGS_cores);
    options.capacity.memory = poplardeal::mebibytes(FLAGS_memory_mib);
    options.capacity.accelerator = poplardeal::accelerators(FLAGS_accelerators);
    options.timeScale = FLAGS_time_scale;
    options.usageFactor = FLAGS_usage_factor;
    options.failAll = FLAGS_fail_all;
    options.failCommands = splitWords(FLAGS_fail_command);
    options.checkpointFolder = FLAGS_checkpoint_folder;
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    using namespace poplardeal;
    gflags::SetUsageMessage("stand-in of the platform's worker, for tests and the demo");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc > 1 || FLAGS_time_scale <= 0 || FLAGS_cores < 0 || FLAGS_memory_mib < 0 || FLAGS_accelerators < 0) {
        std::cerr << "--time_scale must be above 0, sizes not below 0, and only flags are taken\n";
        return 2;
    }
    auto ledger = openLedger(FLAGS_ledger);
    if (ledger.has_error()) {
        std::cerr << "--ledger: " << ledger.error().message << "\n";
        return 2;
    }
    event_loop loop;
    auto options = optionsFromFlags();
    options.bootId = static_cast<std::uint64_t>(toMicros(loop.wallClock()));
    standin_worker worker(std::move(options), std::move(ledger.value()));
    const auto tick = loop.every(std::chrono::milliseconds(10), [&] { worker.advance(loop.now(), loop.wallClock()); });
    return detail::serve(loop, FLAGS_listen, [&](const http_request& request, const http_responder& respond) {
        respond(worker.handle(request, loop.now(), loop.wallClock()));
    });
}
