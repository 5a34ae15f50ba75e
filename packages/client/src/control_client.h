#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <poplardeal/base/time.h>
#include <poplardeal/base/verdict.h>
#include <poplardeal/wire/address.h>
#include <poplardeal/wire/event_loop.h>
#include <poplardeal/wire/http.h>
#include <string>
#include <vector>

namespace poplardeal::detail {

/// What became of a request to control. `ran` means done: `body` is the answer. Otherwise `message` says why not and
/// what to do next.
struct control_answer {
    run_verdict verdict { run_verdict::not_run };
    int status { 0 }; ///< HTTP status of the last answer; 0 if there was none.
    nlohmann::json body;
    std::string code; ///< Failure code of a refusal, for instance "conflict".
    std::string message;
};

/// Talks to the control instances: finds the leader, follows its address, and sends again after a lost answer, which is
/// safe as the order keeps its id. Calls run the loop until the answer is there.
class control_client {
public:
    /// An election takes about 1.5 s, so that several attempts fit into the default timeout of an order.
    static constexpr duration defaultAttemptTimeout = std::chrono::seconds(5);

    /// `addresses` must not be empty. An attempt without an answer counts as lost after `attemptTimeout`, and the
    /// request as a whole after `timeout`. An order that has certainly not run is not sent again when hardly any time
    /// is left for its answer, which would turn "not run" into "may have run".
    control_client(
        event_loop&, std::vector<address> addresses, duration timeout, duration attemptTimeout = defaultAttemptTimeout);

    /// Sends an order. `body` holds its `order_id`.
    control_answer order(const std::string& path, const nlohmann::json& body);

    /// Reads. A failed read never gives `may_have_run`.
    control_answer read(const std::string& path, const std::string& query = "");

private:
    event_loop& m_loop;
    http_client m_http;
    std::vector<address> m_addresses;
    duration m_timeout;
    duration m_attemptTimeout;
};

} // namespace poplardeal::detail
