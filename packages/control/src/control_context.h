#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <poplardeal/base/failure.h>
#include <poplardeal/consensus/replica.h>
#include <poplardeal/control/control_command.h>
#include <poplardeal/control/control_state.h>
#include <poplardeal/wire/address.h>
#include <poplardeal/wire/event_loop.h>

namespace poplardeal::detail {

/// What the parts of a control replica share.
struct control_context {
    event_loop& loop;
    control_state state;
    std::unique_ptr<replica> member;
    bool stopping { false };
    std::function<std::optional<address>()> leaderFrames; ///< Where sidecars and entries reach the leader.
    std::function<std::optional<address>()> leaderHttp; ///< Where operators reach the leader.

    /// True while this replica may answer for the whole group.
    bool leads() const { return member->holdsLeaderLease(loop.now()); }

    /// Replicates a command. `done` gets the JSON answer of the state, `not_leader` (will not be applied) or
    /// `unavailable` (may be applied).
    void propose(const control_command&, std::function<void(result<nlohmann::json>)> done);
};

} // namespace poplardeal::detail
