#pragma once

#include "gobject_ptr.h"
#include <memory>
#include <poplardeal/wire/event_loop.h>
#include <string>

namespace poplardeal::detail {

/// Sends `last` on a stream over `socket`, shuts the sending half, discards what the peer still sends until nothing has
/// come for 2 s, for at most 60 s, and closes. A peer may send its whole request before it reads. Closing a socket with
/// unread bytes at once would reset the connection, and the peer might never see `last`. `held`
/// is released at the end.
void sendAndClose(
    event_loop&, object_ptr<GIOStream>, object_ptr<GSocket> socket, std::string last, std::shared_ptr<void> held);

} // namespace poplardeal::detail
