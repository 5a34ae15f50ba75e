#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <poplardeal/base/failure.h>
#include <poplardeal/wire/address.h>
#include <poplardeal/wire/event_loop.h>
#include <poplardeal/wire/settings.h>

namespace poplardeal {

/// The process beside one endpoint: announces it to all entries, and calls its runner within slots and connections.
///
///     auto sidecar = endpoint_sidecar::start(loop, settings);
///     loop.onTerminate([&] { sidecar.value()->stop([&] { loop.quit(); }); });
///     loop.run();
class endpoint_sidecar {
public:
    /// `invalid_argument` if the settings are those of another role, `io_error` if `http` cannot be bound.
    static result<std::unique_ptr<endpoint_sidecar>> start(event_loop&, const daemon_settings&);
    ~endpoint_sidecar();
    endpoint_sidecar(const endpoint_sidecar&) = delete;
    endpoint_sidecar& operator=(const endpoint_sidecar&) = delete;

    /// Graceful stop: announces draining, finishes the requests that run and wait, says goodbye to each entry, then
    /// calls `done`.
    void stop(std::function<void()> done);

    /// Where health, status and metrics are served; nothing if the settings name no address for it.
    std::optional<address> httpAddress() const;

private:
    struct impl;
    explicit endpoint_sidecar(std::unique_ptr<impl>);
    std::unique_ptr<impl> m_impl;
};

} // namespace poplardeal
