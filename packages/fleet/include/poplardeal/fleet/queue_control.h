#pragma once

#include <functional>
#include <memory>
#include <poplardeal/base/failure.h>
#include <poplardeal/fleet/platform_adapter.h>
#include <poplardeal/fleet/settings.h>
#include <poplardeal/wire/event_loop.h>

namespace poplardeal {

/// A control process: a replica of the log that holds queues, jobs and workers' runs. While it leads the group, it
/// answers clients and operators, places tasks and grants leases.
class queue_control {
public:
    /// Opens the data folder and starts listening. Fails if an address cannot be bound or the data folder is locked.
    /// If the folder cannot be opened for another reason, the process takes no part in the group: it serves metrics,
    /// answers operators with 503, and tries again every few seconds. While
    /// another control leads, it sets the files of a damaged folder aside and joins like one that has lost its disk.
    static result<std::unique_ptr<queue_control>> start(event_loop&, const fleet_settings&, any_platform_adapter);
    ~queue_control();

    /// Transfers leadership, waits for HTTP requests in flight and calls `done`, at the latest shortly before the grace
    /// period of the settings ends.
    void stop(std::function<void()> done);
    /// Applies changed settings. Only new seeds take effect without a restart.
    void reload(const fleet_settings&);
    /// True if the replica stopped because of its disk or data, or could not open its data folder.
    bool failed() const;

private:
    struct impl;
    explicit queue_control(std::unique_ptr<impl>);
    std::unique_ptr<impl> m_impl;
};

} // namespace poplardeal
