#pragma once

#include <functional>
#include <memory>
#include <poplardeal/base/failure.h>
#include <poplardeal/fleet/platform_adapter.h>
#include <poplardeal/fleet/settings.h>
#include <poplardeal/wire/event_loop.h>

namespace poplardeal {

/// The process that keeps queues, jobs and workers' runs in a replicated log and, while it leads, decides everything.
class queue_control {
public:
    static result<std::unique_ptr<queue_control>> start(event_loop&, const fleet_settings&, any_platform_adapter);
    ~queue_control();

    /// Hands over leadership, answers what is in flight and calls `done`.
    void stop(std::function<void()> done);
    /// The settings file has changed.
    void reload(const fleet_settings&);
    /// True if the replica stopped because of its disk or data.
    bool failed() const;

private:
    struct impl;
    explicit queue_control(std::unique_ptr<impl>);
    std::unique_ptr<impl> m_impl;
};

} // namespace poplardeal
