#pragma once

#include "known_controls.h"
#include <array>
#include <optional>
#include <poplardeal/base/metrics.h>
#include <poplardeal/fleet/settings.h>
#include <poplardeal/wire/http.h>
#include <poplardeal/wire/messages_generated.h>
#include <vector>

namespace poplardeal::detail {

/// A control that could not open its data folder. It stays alive, so that its metrics tell the reason, tries again at
/// an interval, and asks the other controls whether one of them leads. It listens for no frames: the group must not
/// count on it.
class folder_refusal {
public:
    folder_refusal(const fleet_settings&, replica_id self, metrics_registry&);

    /// The folder could not be opened.
    void refused(const failure&, instant now);
    /// The folder is open.
    void ended();

    bool isAttemptDue(instant now) const;
    /// True if the last attempt found no room to open the folder. It is intact, and is never set aside for this.
    bool isDiskFull() const { return m_code == failure_code::no_space; }
    /// True if the folder is damaged and another control leads, by a lease that began after this control was refused:
    /// what the folder holds is not needed, and the control may join with an empty one.
    bool maySetAside() const;
    /// Controls to send a probe to now; they answer with a hint. The probes begin `holdOff` after the first refusal.
    std::vector<replica_id> nextProbes(instant now);
    void recordHint(const message::control_hintT&);

    /// For an operator's call.
    static http_response answer();

    static constexpr duration attemptInterval = std::chrono::seconds(5);
    /// Shorter than the silence after which a voter may lose its vote.
    static constexpr duration fullDiskAttemptInterval = std::chrono::milliseconds(500);
    /// Longer than a leader's lease and the loss of its connections: a leader whose lease is newer has a quorum without
    /// this control.
    static constexpr duration holdOff = std::chrono::seconds(2);
    static constexpr duration probeInterval = std::chrono::milliseconds(500);

private:
    void showRefusal(std::optional<failure_code>);

    struct code_gauge {
        failure_code code;
        gauge* value;
    };

    const fleet_settings& m_settings;
    replica_id m_self;
    std::array<code_gauge, 4> m_gauges;
    std::optional<failure_code> m_code;
    instant m_refusedSince;
    instant m_attemptedAt;
    std::optional<instant> m_probedAt;
    known_controls m_known;
    bool m_otherLeads { false };
};

} // namespace poplardeal::detail
