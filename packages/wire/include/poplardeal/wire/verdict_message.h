#pragma once

#include <poplardeal/base/verdict.h>
#include <poplardeal/wire/message.h>

namespace poplardeal {

message::verdict toMessage(run_verdict);

/// An unknown value counts as may_have_run, which promises nothing.
run_verdict fromMessage(message::verdict);

} // namespace poplardeal
