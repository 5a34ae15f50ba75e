#pragma once

#include "request/message_forms.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <poplardeal/routing/outcome_table.h>
#include <poplardeal/routing/request_limiter.h>
#include <poplardeal/wire/http.h>
#include <string>
#include <vector>

namespace poplardeal::detail {

/// Who asked for an answer: the connection to one entry, and the correlation of the question on it.
struct asker {
    std::size_t entry { 0 };
    std::uint64_t connection { 0 }; ///< Number of the connection to this entry; an answer to a lost one is dropped.
    std::uint64_t correlation { 0 };
    std::string id; ///< Repeated in the response.
};

struct request_runner_settings {
    service_name service;
    address runner;
    limiter_settings limits;
    outcome_table_settings outcomes;
    /// A request holds its slot until the runner answers or this time is over. The caller's deadline does not end it:
    /// the runner would go on working while the slot counts as free.
    duration runnerTimeout { std::chrono::minutes(10) };
    std::size_t maxWaiters { 1024 }; ///< Questions for the outcome of a request still in flight.
};

struct runner_counts {
    std::uint64_t started { 0 };
    std::uint64_t refused { 0 };
    std::uint64_t repeated { 0 }; ///< Answered from the outcome table.
    std::uint64_t unreachable { 0 };
    std::uint64_t withdrawn { 0 }; ///< Not started, because the entry that sent it had gone.
};

/// The requests of one endpoint sidecar, from the frame to the runner's answer.
class request_runner {
public:
    using answer_function = std::function<void(const asker&, const message::responseT&)>;

    request_runner(event_loop&, request_runner_settings, answer_function);
    ~request_runner();
    request_runner(const request_runner&) = delete;
    request_runner& operator=(const request_runner&) = delete;

    void submit(const asker&, message::requestT);
    void askOutcome(const asker&, const idempotency_key&);
    /// Refuses everything new as not run.
    void refuseNew() { m_isRefusing = true; }
    /// Withdraws waiting requests of a lost connection. Those with a key stay, a repeat of the key gets their outcome.
    void connectionLost(std::size_t entry, std::uint64_t connection);

    /// Called after each change of free slots or of the number of waiting requests, and of `isReachable`.
    void onChange(std::function<void()> handler) { m_onChange = std::move(handler); }

    bool isReachable() const { return m_isReachable; }
    bool isIdle() const { return m_held.empty(); }
    const request_limiter& limiter() const { return m_limiter; }
    const runner_counts& counts() const { return m_counts; }

private:
    struct held_request {
        asker from;
        message::requestT request;
        idempotency_key key; ///< In the outcome table; empty if the request may run twice.
        bool isRunning { false };
    };

    void apply(const limiter_decision&);
    void call(std::uint64_t ticket);
    void answered(std::uint64_t ticket, http_result);
    void refuse(std::uint64_t ticket, refusal);
    void end(std::uint64_t ticket, stored_outcome);
    void answerWaiters(const idempotency_key&, const stored_outcome&);
    bool repeatOutcome(const asker&, const idempotency_key&, instant now);
    void addWaiter(const asker&, const idempotency_key&);
    void reply(const asker&, const stored_outcome&);
    void checkHealth();
    void setReachable(bool);
    void changed();

    event_loop& m_loop;
    request_runner_settings m_settings;
    answer_function m_answer;
    request_limiter m_limiter;
    outcome_table m_outcomes;
    std::uint64_t m_lastTicket { 0 };
    std::map<std::uint64_t, held_request> m_held;
    std::multimap<idempotency_key, asker> m_waiters;
    std::function<void()> m_onChange;
    bool m_isReachable { false };
    bool m_isRefusing { false };
    bool m_isChecking { false };
    runner_counts m_counts;
    event_loop::timer m_healthTimer;
    event_loop::timer m_expiryTimer;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
    http_client m_client;
};

} // namespace poplardeal::detail
