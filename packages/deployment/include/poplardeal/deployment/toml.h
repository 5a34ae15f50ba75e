#pragma once

#include <poplardeal/base/failure.h>
#include <poplardeal/deployment/model.h>
#include <string>
#include <string_view>

namespace poplardeal {

/// Reads a deployment. `source` names the text in errors, for instance the file. Unknown keys, wrong types, wrong
/// units, doubled names and references to unknown names are refused with `invalid_argument` and "SOURCE:LINE:COLUMN:
/// KEY: reason".
result<deployment> parseDeployment(std::string_view toml, std::string_view source);

/// Prints a deployment. The same deployment gives the same bytes; `parseDeployment` gives the deployment back.
std::string printDeployment(const deployment&);

} // namespace poplardeal
