#pragma once

#include <poplardeal/base/ids.h>
#include <poplardeal/wire/address.h>
#include <string>

namespace poplardeal::detail {

/// The id of a replica is its IPv4 address as a number in host byte order, so that members can be reached without a
/// list of addresses. 0 if `ip` is not an IPv4 address.
replica_id replicaIdFromIp(const std::string& ip);
/// The IPv4 address of a replica in dotted notation.
std::string ipFromReplicaId(replica_id);

} // namespace poplardeal::detail
