#pragma once

#include <poplardeal/deployment/model.h>
#include <string>
#include <string_view>

namespace poplardeal::detail {

/// "HH:MM" of a time since midnight.
std::string clockText(std::chrono::minutes sinceMidnight);

/// The text in double quotes.
std::string quoted(std::string_view);

/// The text as a TOML basic string, on one line.
std::string tomlString(std::string_view);

/// Why a text is no valid name; empty if it is one.
std::string nameFault(std::string_view);

} // namespace poplardeal::detail
