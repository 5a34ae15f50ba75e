#include <poplardeal/wire/verdict_message.h>

namespace poplardeal {

message::verdict toMessage(run_verdict verdict)
{
    switch (verdict) {
    case run_verdict::not_run:
        return message::verdict::not_run;
    case run_verdict::ran:
        return message::verdict::ran;
    case run_verdict::may_have_run:
        break;
    }
    return message::verdict::may_have_run;
}

run_verdict fromMessage(message::verdict verdict)
{
    switch (verdict) {
    case message::verdict::not_run:
        return run_verdict::not_run;
    case message::verdict::ran:
        return run_verdict::ran;
    case message::verdict::may_have_run:
        break;
    }
    return run_verdict::may_have_run;
}

} // namespace poplardeal
