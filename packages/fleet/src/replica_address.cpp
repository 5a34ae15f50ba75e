#include "replica_address.h"
#include <arpa/inet.h>
#include <array>

namespace poplardeal::detail {

replica_id replicaIdFromIp(const std::string& ip)
{
    in_addr parsed {};
    if (::inet_pton(AF_INET, ip.c_str(), &parsed) != 1)
        return replica_id(0);
    return replica_id(ntohl(parsed.s_addr));
}

std::string ipFromReplicaId(replica_id replica)
{
    in_addr raw {};
    raw.s_addr = htonl(replica.value());
    std::array<char, INET_ADDRSTRLEN> text {};
    ::inet_ntop(AF_INET, &raw, text.data(), text.size());
    return text.data();
}

} // namespace poplardeal::detail
