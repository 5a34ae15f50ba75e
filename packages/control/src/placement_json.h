#pragma once

#include <poplardeal/base/json.h>
#include <poplardeal/placement/events.h>

namespace poplardeal {

/// Used in log entries and snapshots; the names of the fields must not change.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(worker_spec, id, instance, dataCentre, rack, capacity)

} // namespace poplardeal
