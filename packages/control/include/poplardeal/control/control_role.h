#pragma once

#include <functional>
#include <memory>
#include <poplardeal/base/failure.h>
#include <poplardeal/wire/event_loop.h>
#include <poplardeal/wire/settings.h>

namespace poplardeal {

/// One control replica: member of the Raft group, server of the operators' HTTP API, and, while it leads, the
/// counterpart of all sidecars and entries.
class control_role {
public:
    /// `locked` if another process holds the data folder, `corrupt` if its content is damaged, `io_error` if an address
    /// cannot be bound.
    static result<std::unique_ptr<control_role>> start(event_loop&, const daemon_settings&);
    ~control_role();

    /// Planned stop: hands over leadership, answers the requests in flight, then calls `done`.
    void stop(std::function<void()> done);

    /// True once the replica has stopped for good because of its disk; the loop was ended and the process should exit
    /// with an error.
    bool failed() const;

private:
    struct impl;
    explicit control_role(std::unique_ptr<impl>);
    std::unique_ptr<impl> m_impl;
};

} // namespace poplardeal
