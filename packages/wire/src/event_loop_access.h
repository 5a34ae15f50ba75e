#pragma once

#include "gobject_ptr.h"
#include <poplardeal/wire/event_loop.h>

namespace poplardeal::detail {

/// What the other parts of this package need of an event loop beyond its public interface.
struct loop_access {
    static GMainContext* context(const event_loop&);
    /// Cancelled when the loop is destroyed, so that operations still under way release what they hold.
    static GCancellable* shutdown(const event_loop&);
};

} // namespace poplardeal::detail
