#pragma once

#include "connection/endpoint_links.h"
#include "process/control_links.h"
#include "request/call.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <poplardeal/routing/endpoint_choice.h>
#include <poplardeal/routing/membership.h>
#include <poplardeal/routing/retry.h>
#include <string>

namespace poplardeal::detail {

struct call_router_settings {
    std::string name; ///< Of the entry; part of every request id.
    data_centre_name dataCentre;
    std::uint64_t seed { 0 };
    std::uint64_t incarnation { 0 }; ///< Tells request ids of one process from those of an earlier one.
    std::size_t maxCalls { 4096 };
    std::size_t maxBytes { std::size_t { 128 } * 1024 * 1024 }; ///< Of the bodies of all requests in flight.
    unsigned maxAttempts { 3 };
    retry_budget_settings retries;
    duration outcomePause { std::chrono::milliseconds(100) }; ///< Before a repeated key is looked up again; doubles.
};

struct call_counts {
    std::uint64_t accepted { 0 };
    std::uint64_t refused { 0 }; ///< Never accepted: bad request, or no room.
    std::uint64_t ran { 0 };
    std::uint64_t notRun { 0 };
    std::uint64_t mayHaveRun { 0 };
    std::uint64_t retries { 0 };
    std::uint64_t retriesDenied { 0 }; ///< By the budget.
    std::uint64_t corruptAnswers { 0 };
    std::uint64_t repeatedKeys { 0 };
};

/// Takes callers' requests through choice, claim, attempts and answer.
class call_router {
public:
    call_router(event_loop&, call_router_settings, control_links&);
    ~call_router();
    call_router(const call_router&) = delete;
    call_router& operator=(const call_router&) = delete;

    void accept(http_request, const http_responder&);
    void addConnection(std::unique_ptr<channel> connection) { m_links.add(std::move(connection)); }
    void setOutOfService(const std::set<data_centre_name>& names) { m_members.setOutOfService(names); }
    void closeConnections() { m_links.closeAll(); }

    /// Calls once there is no request in flight.
    void whenIdle(std::function<void()>);

    std::size_t inFlight() const { return m_calls.size(); }
    const call_counts& counts() const { return m_counts; }
    const endpoint_links& links() const { return m_links; }
    const membership_table& members() const { return m_members; }
    const endpoint_chooser& chooser() const { return m_chooser; }

private:
    using call_ref = std::shared_ptr<call>;

    void announced(const announcement&);
    void answered(std::uint64_t correlation, const message::responseT&);
    void answerLost(std::uint64_t correlation);
    call_ref takeAttempt(std::uint64_t correlation, call::attempt&);

    void attempt(const call_ref&);
    bool sendTo(const call_ref&, const endpoint_id&, incarnation);
    void claimFor(const call_ref&);
    void claimAnswered(const call_ref&, const endpoint_id&, incarnation, result<message::claim_answerT>);
    void repeatedKey(const call_ref&, const message::claim_answerT&);
    void lookUpAgain(const call_ref&, run_verdict settled);
    void takeOutcome(const call_ref&, const message::responseT&);
    void takeAnswer(const call_ref&, const call::attempt&, const message::responseT&);
    void retryOrEnd(const call_ref&, run_verdict last, int status, std::string_view reason);
    bool mayRetry(const call&, run_verdict last, instant now);
    void deadlinePassed(std::uint64_t number);
    void end(const call_ref&, run_verdict, http_response);
    void endRefused(const call_ref&, run_verdict, int status, std::string_view code, std::string_view reason);
    void settle(const call&, run_verdict);
    std::string nextAttemptId(call&) const;

    event_loop& m_loop;
    call_router_settings m_settings;
    control_links& m_controls;
    membership_table m_members;
    endpoint_chooser m_chooser;
    retry_budget m_budget;
    std::uint64_t m_lastNumber { 0 };
    std::uint64_t m_lastCorrelation { 0 };
    std::map<std::uint64_t, call_ref> m_calls;
    std::map<std::uint64_t, std::uint64_t> m_callOfCorrelation;
    std::size_t m_bytes { 0 };
    call_counts m_counts;
    std::function<void()> m_onIdle;
    event_loop::timer m_expireTimer;
    endpoint_links m_links;
};

} // namespace poplardeal::detail
