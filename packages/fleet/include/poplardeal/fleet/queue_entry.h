#pragma once

#include <functional>
#include <memory>
#include <poplardeal/base/failure.h>
#include <poplardeal/fleet/platform_adapter.h>
#include <poplardeal/fleet/settings.h>
#include <poplardeal/wire/event_loop.h>

namespace poplardeal {

/// The process that accepts clients' calls on queues and forwards them to the leading control. It keeps no state that
/// an answer depends on. Without a leader it refuses calls immediately.
class queue_entry {
public:
    /// Opens the listeners and starts to look for the leader. Fails if an address cannot be bound.
    static result<std::unique_ptr<queue_entry>> start(event_loop&, const fleet_settings&, any_platform_adapter);
    ~queue_entry();

    /// Reports not ready, keeps serving until the load balancer sends nothing new, and then calls `done`.
    void stop(std::function<void()> done);
    /// Adds the seeds of the new settings; ignores their other members.
    void reload(const fleet_settings&);

private:
    struct impl;
    explicit queue_entry(std::unique_ptr<impl>);
    std::unique_ptr<impl> m_impl;
};

} // namespace poplardeal
