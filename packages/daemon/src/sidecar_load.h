#pragma once

#include "control_session.h"

#include <map>
#include <poplardeal/base/ids.h>
#include <poplardeal/base/units.h>
#include <string>

namespace poplardeal::detail {

struct simulated_worker {
    std::string name;
    std::string dataCentre;
    std::string rack;
    resources capacity;
    double timeScale { 1 }; ///< Real run time divided by declared run time.
};

/// A worker and its sidecar in one object, for load tests of control: it opens a real session and answers orders at
/// once; tasks only take time.
class simulated_sidecar {
public:
    simulated_sidecar(event_loop&, simulated_worker, const std::vector<address>& controls, std::uint64_t seed);

    bool isOnline() const { return m_session.isOpen(); }
    std::uint64_t heldVersion() const { return m_heldVersion; }
    std::uint64_t startedTasks() const { return m_startedTasks; }

private:
    struct running_task {
        duration runTime { 0 };
        event_loop::timer finish;
    };

    control_session::callbacks callbacks();
    void handle(const frame&);
    void prepare(const frame&);
    void requestPermit(const message::task_orderT&);
    void start(const frame& answer);
    void report(const message::task_orderT&, message::report_kind);
    void resend();

    event_loop& m_loop;
    simulated_worker m_worker;
    std::uint64_t m_incarnation;
    control_session m_session;
    std::map<std::uint64_t, running_task> m_tasks; ///< By lease.
    std::map<std::uint64_t, message::task_orderT> m_permits; ///< By correlation.
    std::map<std::uint64_t, frame> m_reports; ///< By correlation, until acknowledged.
    std::uint64_t m_lastCorrelation { 0 };
    std::uint64_t m_heldVersion { 0 };
    std::uint64_t m_startedTasks { 0 };
};

} // namespace poplardeal::detail
