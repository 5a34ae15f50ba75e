#pragma once

#include "connections.h"
#include "control_context.h"
#include "peer_links.h"

#include <poplardeal/wire/http.h>

namespace poplardeal::detail {

/// The HTTP API of control for operators. Orders and reads are answered by the leader only; a follower names the
/// leader.
class operator_api {
public:
    operator_api(control_context&, const connections&, const peer_links&, std::string process, replica_id self);

    void handle(const http_request&, const http_responder&);

    static constexpr std::size_t maxBody = std::size_t { 1024 } * 1024;

private:
    void handlePost(const http_request&, const http_responder&);
    void handleGet(const http_request&, const http_responder&);
    void order(const control_command&, const http_responder&);
    http_response notLeader() const;
    http_response showDeployment(const std::string& query) const;
    http_response showStatus() const;
    http_response showMetrics() const;
    http_response showJob(const std::string& id) const;
    http_response showJobs() const;

    control_context& m_context;
    const connections& m_connections;
    const peer_links& m_peers;
    std::string m_process;
    replica_id m_self;
};

/// JSON form of a job as operators get it.
nlohmann::json toJson(const job_status&);

} // namespace poplardeal::detail
