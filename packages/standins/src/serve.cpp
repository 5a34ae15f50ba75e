#include "serve.h"
#include <iostream>

namespace poplardeal::detail {

int serve(event_loop& loop, const std::string& listen, std::function<void(http_request, http_responder)> handler)
{
    constexpr std::size_t maxBody = std::size_t { 16 } * 1024 * 1024;
    const auto local = parseAddress(listen);
    if (local.has_error()) {
        std::cerr << "--listen: " << local.error().message << "\n";
        return 2;
    }
    const auto opened = http_server::open(loop, local.value(), maxBody, std::move(handler));
    if (opened.has_error()) {
        std::cerr << opened.error().message << "\n";
        return 2;
    }
    auto& server = *opened.value();
    std::cout << "listening on " << toString(server.local()) << std::endl;
    event_loop::timer drain;
    loop.onTerminate([&] {
        server.stopListening();
        drain = loop.every(std::chrono::milliseconds(5), [&] {
            if (server.inFlight() == 0)
                loop.quit();
        });
    });
    loop.run();
    return 0;
}

} // namespace poplardeal::detail
