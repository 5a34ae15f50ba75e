#pragma once

#include <functional>
#include <memory>
#include <poplardeal/base/failure.h>
#include <poplardeal/fleet/platform_adapter.h>
#include <poplardeal/fleet/settings.h>
#include <poplardeal/wire/event_loop.h>

namespace poplardeal {

/// The process that takes clients' calls on queues and passes them to the control that leads. It keeps no state that an
/// answer depends on; without a leader it refuses at once.
class queue_entry {
public:
    static result<std::unique_ptr<queue_entry>> start(event_loop&, const fleet_settings&, any_platform_adapter);
    ~queue_entry();

    /// Reports itself not ready, goes on serving until the load balancer has noticed, and calls `done`.
    void stop(std::function<void()> done);
    void reload(const fleet_settings&);

private:
    struct impl;
    explicit queue_entry(std::unique_ptr<impl>);
    std::unique_ptr<impl> m_impl;
};

} // namespace poplardeal
