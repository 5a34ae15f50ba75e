#pragma once

#include <functional>
#include <poplardeal/wire/http.h>
#include <string>

namespace poplardeal::detail {

/// Serves on the address until SIGTERM or SIGINT, then finishes the requests in flight. Prints "listening on ADDRESS".
/// Returns the exit code: 0, or 2 if it cannot listen.
int serve(event_loop&, const std::string& listen, std::function<void(http_request, http_responder)> handler);

} // namespace poplardeal::detail
