#pragma once

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <poplardeal/base/failure.h>
#include <string>

namespace poplardeal {

/// Takes the records of a stand-in, for checks of what really ran.
using ledger_sink = std::function<void(const nlohmann::json&)>;

/// Appends each record as one line, written out at once so that it survives a kill. Several processes may append to one
/// file. An empty path gives a sink that drops the records.
result<ledger_sink> openLedger(const std::string& path);

} // namespace poplardeal
