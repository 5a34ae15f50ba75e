#pragma once

#include "gobject_ptr.h"
#include <poplardeal/wire/address.h>

namespace poplardeal::detail {

/// Null if the address is not an IP number.
object_ptr<GSocketAddress> toSocketAddress(const address&);

/// The empty address if `a` is null or not an IP address.
address fromSocketAddress(GSocketAddress* a);

} // namespace poplardeal::detail
