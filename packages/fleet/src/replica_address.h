#pragma once

#include <poplardeal/base/ids.h>
#include <poplardeal/wire/address.h>
#include <string>

namespace poplardeal::detail {

/// The number of a replica is its IPv4 address, so that a member of the group can be reached without a list. The number
/// 0 stands for an address that is not IPv4.
replica_id replicaIdFromIp(const std::string& ip);
std::string ipFromReplicaId(replica_id);

} // namespace poplardeal::detail
