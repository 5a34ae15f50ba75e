#pragma once

#include <nlohmann/json.hpp>
#include <poplardeal/consensus/raft_node.h>

namespace poplardeal::detail {

/// Fields of the log line `election_failed`: the voters by their replies, and the votes that were needed.
nlohmann::json electionFields(const failed_campaign&);

} // namespace poplardeal::detail
