#pragma once

#include <poplardeal/base/ids.h>
#include <poplardeal/wire/messages_generated.h>
#include <vector>

namespace poplardeal::detail {

/// Controls that others have named in their hints, for a control that is no member and whose seeds may not know, or may
/// not be, the one that leads.
class known_controls {
public:
    /// Returns true if a control is new. A hint that names more than `maxKnown` is ignored, and so are addresses that
    /// no process can listen at.
    bool record(const message::control_hintT&);
    /// The latest ones, at most `maxKnown`; the one named last is at the end.
    const std::vector<replica_id>& list() const { return m_known; }

    /// Two memberships of different age, with their leaders.
    static constexpr std::size_t maxKnown = 20;

private:
    bool recordOne(const std::string& address);

    std::vector<replica_id> m_known;
};

} // namespace poplardeal::detail
