#pragma once

#include "connections.h"
#include "control_context.h"

#include <poplardeal/control/gang_permits.h>
#include <poplardeal/control/worker_sessions.h>

namespace poplardeal::detail {

/// The leader's side of the worker sessions: leases, orders to the sidecars, their reports and start permits.
class worker_service {
public:
    worker_service(control_context&, connections&);

    /// Call on each tick while this replica leads.
    void tick(instant now);
    /// Call when this replica takes over leadership.
    void takeOver(instant now);
    /// Sends the commands that the scheduler has decided since the last call.
    void dispatchCommands();

    void openSession(connection_id, const frame&);
    void renewSession(connection_id, const frame&);
    void takeReport(connection_id, const frame&);
    void answerPermit(connection_id, const frame&);

private:
    void acceptSession(connection_id, std::uint64_t correlation, const worker_spec&, const message::session_openT&);
    void refuseSession(connection_id, std::uint64_t correlation);
    void reconcile(connection_id, const worker_id&, const message::session_openT&);
    void sendCommand(connection&, const placement_command&);
    void resendCommands();
    void proposeDueEvents(instant now);
    void proposeTimePassed();
    void takeUsage(const message::task_reportT&);

    control_context& m_context;
    connections& m_connections;
    worker_sessions m_sessions;
    gang_permits m_permits;
    bool m_timePassedProposed { false };
    instant m_resentAt;
};

} // namespace poplardeal::detail
