#pragma once

#include <functional>
#include <memory>
#include <poplardeal/base/failure.h>
#include <poplardeal/fleet/platform_adapter.h>
#include <poplardeal/fleet/settings.h>
#include <poplardeal/wire/event_loop.h>

namespace poplardeal {

/// The process beside one worker: hears its announcements, reports its lists to the control that leads, and carries out
/// that control's orders. It extends the worker's lease only as the leader says.
class queue_sidecar {
public:
    static result<std::unique_ptr<queue_sidecar>> start(event_loop&, const fleet_settings&, any_platform_adapter);
    ~queue_sidecar();

    void stop(std::function<void()> done);
    void reload(const fleet_settings&);

private:
    struct impl;
    explicit queue_sidecar(std::unique_ptr<impl>);
    std::unique_ptr<impl> m_impl;
};

} // namespace poplardeal
