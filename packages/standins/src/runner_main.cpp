#include "serve.h"
#include <gflags/gflags.h>
#include <iostream>
#include <poplardeal/standins/runner.h>

// NOLINTBEGIN(readability-identifier-naming)
DEFINE_string(listen, "127.0.0.1:0", "IP:PORT of the runner");
DEFINE_string(name, "", "name in responses and the ledger; the listen address if empty");
DEFINE_uint32(slots, 8, "requests at a time");
DEFINE_uint32(delay_ms, 0, "time that one request takes");
DEFINE_bool(fail_all, false, "every request gets 500 at once");
DEFINE_string(ledger, "", "file that gets a JSON line for each request run and each breach of the slots");
// NOLINTEND(readability-identifier-naming)

int main(int argc, char** argv)
{
    using namespace poplardeal;
    gflags::SetUsageMessage("stand-in of the platform's runner, for tests and the demo");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc > 1) {
        std::cerr << "only flags are taken\n";
        return 2;
    }
    auto ledger = openLedger(FLAGS_ledger);
    if (ledger.has_error()) {
        std::cerr << "--ledger: " << ledger.error().message << "\n";
        return 2;
    }
    standin_runner_options options;
    options.name = FLAGS_name.empty() ? FLAGS_listen : FLAGS_name;
    options.slots = FLAGS_slots;
    options.delay = std::chrono::milliseconds(FLAGS_delay_ms);
    options.failAll = FLAGS_fail_all;
    event_loop loop;
    standin_runner runner(loop, std::move(options), std::move(ledger.value()));
    return detail::serve(loop, FLAGS_listen,
        [&](http_request request, const http_responder& respond) { runner.handle(std::move(request), respond); });
}
