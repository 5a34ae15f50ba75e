#pragma once

#include <poplardeal/base/time.h>
#include <poplardeal/deployment/model.h>

namespace poplardeal {

/// Whether workspaces and jobs may be changed at a moment of the wall clock (counted from 1970-01-01 UTC). A deployment
/// that lists no break accepts changes at any time. A break includes its first moment and excludes its last one, and
/// may cross midnight.
bool isInBreak(const deployment&, instant wallClock);

} // namespace poplardeal
