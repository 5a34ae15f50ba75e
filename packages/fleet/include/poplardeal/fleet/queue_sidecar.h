#pragma once

#include <functional>
#include <memory>
#include <poplardeal/base/failure.h>
#include <poplardeal/fleet/platform_adapter.h>
#include <poplardeal/fleet/settings.h>
#include <poplardeal/wire/event_loop.h>

namespace poplardeal {

/// The process beside one worker. It receives the worker's announcements, reports its running and ended tasks to the
/// leading control and executes that control's orders. It renews the worker's lease only as far as the leader grants.
class queue_sidecar {
public:
    /// Opens the listeners and starts to look for the leader. Fails if an address cannot be bound.
    static result<std::unique_ptr<queue_sidecar>> start(event_loop&, const fleet_settings&, any_platform_adapter);
    ~queue_sidecar();

    /// Calls `done` before it returns. The worker keeps running, and its lease stays valid until it expires.
    void stop(std::function<void()> done);
    /// Adds the seeds of the new settings; ignores their other members.
    void reload(const fleet_settings&);

private:
    struct impl;
    explicit queue_sidecar(std::unique_ptr<impl>);
    std::unique_ptr<impl> m_impl;
};

} // namespace poplardeal
