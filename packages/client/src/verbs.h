#pragma once

#include "arguments.h"

namespace poplardeal::detail {

exit_code runCheck(invocation&);
exit_code runDiff(invocation&);
exit_code runApply(invocation&);
exit_code runShow(invocation&);
exit_code runSubmit(invocation&);
exit_code runStatus(invocation&);
exit_code runCancel(invocation&);
exit_code runCall(invocation&);
exit_code runDataCentre(invocation&);
exit_code runTimeline(invocation&);

/// All verbs in the order of the help.
const std::vector<verb>& allVerbs();

/// `poplardeal::runClient` on a loop of the caller.
exit_code runClient(event_loop&, const std::vector<std::string>& words, std::ostream& out, std::ostream& err);

} // namespace poplardeal::detail
