#pragma once

#include <functional>
#include <memory>
#include <poplardeal/base/failure.h>
#include <poplardeal/wire/address.h>
#include <poplardeal/wire/event_loop.h>
#include <poplardeal/wire/settings.h>

namespace poplardeal {

/// An entry: takes callers' requests by HTTP and passes each to an endpoint sidecar.
///
///     auto entry = entry_role::start(loop, settings);
///     loop.onTerminate([&] { entry.value()->stop([&] { loop.quit(); }); });
///     loop.run();
class entry_role {
public:
    /// `io_error` if one of the two addresses cannot be bound.
    static result<std::unique_ptr<entry_role>> start(event_loop&, const daemon_settings&);
    ~entry_role();
    entry_role(const entry_role&) = delete;
    entry_role& operator=(const entry_role&) = delete;

    /// Graceful stop: `GET /healthz` turns 503 while requests are still taken, then no more connections are taken, and
    /// `done` is called when the last request in flight is answered.
    void stop(std::function<void()> done);

    address httpAddress() const;
    address frameAddress() const; ///< Where endpoint sidecars dial.

private:
    struct impl;
    explicit entry_role(std::unique_ptr<impl>);
    std::unique_ptr<impl> m_impl;
};

} // namespace poplardeal
