#pragma once

#include <map>
#include <poplardeal/base/ids.h>
#include <poplardeal/base/time.h>
#include <poplardeal/placement/events.h>
#include <vector>

namespace poplardeal {

/// Times of the worker session lease. The sidecar counts its lease from the moment it sent the renewal, control from
/// the moment it received it, so control's view always ends later.
struct session_times {
    duration lease { std::chrono::seconds(15) };
    /// Added before a worker counts as lost. Covers differences of clock rates and the time to stop tasks.
    duration margin { std::chrono::seconds(5) };
    /// Without a renewal for this long nothing new is placed on the worker.
    duration suspectAfter { std::chrono::seconds(8) };
};

/// The session leases of all workers, held in the memory of the control leader.
class worker_sessions {
public:
    explicit worker_sessions(session_times = {});

    /// Forgets everything and gives each known worker a whole lease. Call on taking over leadership: an earlier leader
    /// may have renewed a lease just before it lost leadership.
    void takeOver(const std::vector<std::pair<worker_id, incarnation>>& known, instant now);

    void open(const worker_id&, incarnation, instant now);

    /// False if there is no open session of this incarnation; the sidecar has to open one.
    bool renew(const worker_id&, incarnation, instant now);

    /// State changes that are due: `worker_suspected`, `worker_recovered` and `worker_lost`, each reported once.
    std::vector<placement_event> collectDue(instant now);

    /// Reports the changes again that were not replicated.
    void forgetReported(const worker_id&);

    duration lease() const { return m_times.lease; }

private:
    enum class reported_state {
        online,
        suspected,
        lost,
    };
    struct session {
        incarnation instance;
        instant renewedAt;
        reported_state reported { reported_state::online };
    };

    session_times m_times;
    std::map<worker_id, session> m_sessions;
};

} // namespace poplardeal
