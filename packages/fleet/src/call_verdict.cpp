#include "call_verdict.h"

namespace poplardeal::detail {

bool changesState(message::queue_verb verb)
{
    return verb == message::queue_verb::submit || verb == message::queue_verb::cancel;
}

message::queue_answerT verdictOf(message::queue_answerT answer, message::queue_verb verb, unsigned attempts)
{
    // A cancelled or unknown job is known to be so, whatever became of earlier attempts.
    const bool isRefusal
        = answer.outcome != message::queue_outcome::accepted && answer.outcome != message::queue_outcome::unknown_job;
    if (attempts > 1 && changesState(verb) && isRefusal)
        answer.outcome = message::queue_outcome::uncertain;
    return answer;
}

} // namespace poplardeal::detail
