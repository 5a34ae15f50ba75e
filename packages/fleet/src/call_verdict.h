#pragma once

#include <poplardeal/wire/message.h>

namespace poplardeal::detail {

/// The answer that a client may be given after `attempts` times that its call was sent to a control. A refusal of the
/// last attempt says nothing of an earlier one, which a former leader may have recorded.
message::queue_answerT verdictOf(message::queue_answerT answer, message::queue_verb, unsigned attempts);

/// Whether a repeated call may find the state changed by its first attempt.
bool changesState(message::queue_verb);

} // namespace poplardeal::detail
