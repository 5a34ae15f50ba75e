#include "control_context.h"

namespace poplardeal::detail {

void control_context::propose(const control_command& command, std::function<void(result<nlohmann::json>)> done)
{
    auto payload = encodeControlEntry({ loop.wallClock(), command });
    member->propose(std::move(payload), loop.now(), [done = std::move(done)](result<std::string> answer) {
        if (answer.has_error())
            done(answer.error());
        else
            done(nlohmann::json::parse(answer.value()));
    });
}

} // namespace poplardeal::detail
