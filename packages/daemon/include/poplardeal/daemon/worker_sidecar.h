#pragma once

#include <functional>
#include <memory>
#include <poplardeal/base/failure.h>
#include <poplardeal/wire/event_loop.h>
#include <poplardeal/wire/settings.h>

namespace poplardeal {

/// The process beside a worker: keeps the worker's session with the control leader, carries out its orders over the
/// worker's HTTP API and reports what became of each task. It keeps nothing that the worker cannot tell after a
/// restart.
///
///     auto sidecar = worker_sidecar::start(loop, settings);
///     loop.onTerminate([&] { sidecar.value()->stop([&] { loop.quit(); }); });
class worker_sidecar {
public:
    static result<std::unique_ptr<worker_sidecar>> start(event_loop&, const daemon_settings&);
    ~worker_sidecar();

    /// Planned stop: takes no further orders, delivers the reports that are waiting, says goodbye. Running tasks go on;
    /// a new sidecar that starts within the lease adopts them.
    void stop(std::function<void()> done);

private:
    struct impl;
    explicit worker_sidecar(std::unique_ptr<impl>);
    std::unique_ptr<impl> m_impl;
};

} // namespace poplardeal
