#pragma once

#include "connections.h"
#include "control_context.h"

namespace poplardeal::detail {

/// Claims of idempotency keys: entries ask for them before a non-idempotent request is sent, and settle them
/// afterwards.
class request_claims {
public:
    request_claims(control_context&, connections&);

    void claim(connection_id, const frame&);
    void settle(connection_id, const frame&);

private:
    void refuse(connection_id, std::uint64_t correlation, const std::string& reason);

    control_context& m_context;
    connections& m_connections;
};

} // namespace poplardeal::detail
