#include "request/request_runner.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <poplardeal/base/log.h>

namespace poplardeal::detail {

constexpr duration healthPeriod = std::chrono::seconds(1);
constexpr duration healthTimeout = std::chrono::seconds(2);
// How often waiting requests are checked for passed deadlines; a start checks as well.
constexpr duration expiryPeriod = std::chrono::milliseconds(50);

static stored_outcome notRun(std::uint32_t status, std::string_view reason)
{
    return { run_verdict::not_run, status, {}, {}, std::string(reason) };
}

request_runner::request_runner(event_loop& loop, request_runner_settings settings, answer_function answer)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_answer(std::move(answer))
    , m_limiter(m_settings.limits)
    , m_outcomes(m_settings.outcomes)
    , m_client(loop, m_settings.limits.connections)
{
    m_healthTimer = m_loop.every(healthPeriod, [this] { checkHealth(); });
    m_expiryTimer = m_loop.every(expiryPeriod, [this] { apply(m_limiter.tick(m_loop.now())); });
    checkHealth();
}

request_runner::~request_runner() { *m_alive = false; }

void request_runner::submit(const asker& from, message::requestT request)
{
    const auto now = m_loop.now();
    if (request.service != m_settings.service.value())
        return reply(from, notRun(statusUnavailable, "this endpoint does not serve the service"));
    const bool hasRun = !request.key.empty() && repeatOutcome(from, idempotency_key(request.key), now);
    if (hasRun)
        return;
    if (m_isRefusing) {
        ++m_counts.refused;
        return reply(from, notRun(statusUnavailable, "the endpoint is leaving"));
    }
    // A request that must not run twice and has no key is known by its id, in case its frame is delivered again. The
    // prefix keeps ids and callers' keys apart.
    idempotency_key key(request.key);
    if (request.key.empty() && !request.idempotent)
        key = idempotency_key(" " + request.id);
    if (!key.value().empty()) {
        const auto begun = m_outcomes.begin(key, request_id(request.id), now);
        if (begun == outcome_table::begin_result::full)
            return reply(from, notRun(statusOverloaded, "the outcome table is full"));
        if (begun != outcome_table::begin_result::run) {
            repeatOutcome(from, key, now);
            return;
        }
    }
    const auto ticket = ++m_lastTicket;
    limited_request limited { ticket, {}, request.priority, now + std::chrono::milliseconds(request.timeout_ms),
        request.body.size() };
    const auto headers = toHttpHeaders(request.headers);
    const auto caller = headers.find("x-poplardeal-caller");
    limited.group = caller == headers.end() ? "entry " + std::to_string(from.entry) : "caller " + caller->second;
    m_held.emplace(ticket, held_request { from, std::move(request), key, false });
    apply(m_limiter.submit(limited, now));
    changed();
}

void request_runner::askOutcome(const asker& from, const idempotency_key& key)
{
    if (!repeatOutcome(from, key, m_loop.now()))
        reply(from, { run_verdict::may_have_run, statusUnknownKey, {}, {}, "no outcome is held for the key" });
}

void request_runner::connectionLost(std::size_t entry, std::uint64_t connection)
{
    std::vector<std::uint64_t> withdrawn;
    for (const auto& [ticket, held] : m_held) {
        const bool isOfConnection = held.from.entry == entry && held.from.connection == connection;
        if (isOfConnection && !held.isRunning && held.request.key.empty())
            withdrawn.push_back(ticket);
    }
    for (const auto ticket : withdrawn) {
        m_limiter.withdraw(ticket);
        ++m_counts.withdrawn;
        end(ticket, notRun(statusUnavailable, "the connection to the entry was lost"));
    }
    std::erase_if(m_waiters,
        [&](const auto& item) { return item.second.entry == entry && item.second.connection == connection; });
    changed();
}

void request_runner::apply(const limiter_decision& decision)
{
    for (const auto& refused : decision.refused)
        refuse(refused.id, refused.reason);
    for (const auto ticket : decision.start)
        call(ticket);
}

void request_runner::call(std::uint64_t ticket)
{
    auto& held = m_held.at(ticket);
    held.isRunning = true;
    ++m_counts.started;
    http_request request;
    request.method = held.request.method;
    request.path = held.request.path;
    request.query = held.request.query;
    request.headers = toHttpHeaders(held.request.headers);
    request.headers["x-poplardeal-request-id"] = held.request.id;
    request.body = toText(held.request.body);
    held.request.body.clear();
    held.request.body.shrink_to_fit();
    const auto use = held.request.idempotent ? connection_use::kept : connection_use::fresh;
    m_client.send(m_settings.runner, std::move(request), m_settings.runnerTimeout, use,
        [this, ticket, alive = m_alive](http_result answer) {
            if (*alive)
                answered(ticket, std::move(answer));
        });
}

void request_runner::answered(std::uint64_t ticket, http_result answer)
{
    stored_outcome outcome;
    if (!answer) {
        outcome.verdict = answer.error().verdict;
        outcome.status = statusUnavailable;
        outcome.error = "runner: " + answer.error().cause.message;
        if (outcome.verdict == run_verdict::not_run) {
            ++m_counts.unreachable;
            setReachable(false);
        }
    } else if (answer.value().body.size() > maxPayload) {
        outcome = { run_verdict::ran, 502, {}, {}, "the runner's answer is larger than 16 MiB" };
    } else {
        setReachable(true);
        outcome.verdict = run_verdict::ran;
        outcome.status = static_cast<std::uint32_t>(answer.value().status);
        for (const auto& [name, value] : answer.value().headers)
            outcome.headers.emplace_back(name, value);
        outcome.body = std::move(answer.value().body);
    }
    const auto decision = m_limiter.finish(ticket, m_loop.now());
    end(ticket, std::move(outcome));
    apply(decision);
    changed();
}

void request_runner::refuse(std::uint64_t ticket, refusal reason)
{
    ++m_counts.refused;
    end(ticket, notRun(statusOverloaded, toString(reason)));
}

void request_runner::end(std::uint64_t ticket, stored_outcome outcome)
{
    const auto found = m_held.find(ticket);
    if (found == m_held.end())
        return;
    const auto held = std::move(found->second);
    m_held.erase(found);
    reply(held.from, outcome);
    if (held.key.value().empty())
        return;
    answerWaiters(held.key, outcome);
    // Without a key nobody can ask for the outcome again; the table needs only to know that the request has run.
    if (held.request.key.empty()) {
        outcome.body.clear();
        outcome.headers.clear();
    }
    m_outcomes.finish(held.key, request_id(held.request.id), std::move(outcome), m_loop.now());
}

void request_runner::answerWaiters(const idempotency_key& key, const stored_outcome& outcome)
{
    const auto [first, last] = m_waiters.equal_range(key);
    for (auto it = first; it != last; ++it)
        reply(it->second, outcome);
    m_waiters.erase(first, last);
}

/// False if nothing is known of the key.
bool request_runner::repeatOutcome(const asker& from, const idempotency_key& key, instant now)
{
    switch (m_outcomes.find(key, now)) {
    case outcome_table::state::unknown:
        return false;
    case outcome_table::state::in_flight:
        addWaiter(from, key);
        return true;
    case outcome_table::state::finished:
        ++m_counts.repeated;
        reply(from, *m_outcomes.outcome(key, now));
        return true;
    }
    return false;
}

void request_runner::addWaiter(const asker& from, const idempotency_key& key)
{
    if (m_waiters.size() >= m_settings.maxWaiters)
        return reply(from, { run_verdict::may_have_run, statusOverloaded, {}, {}, "too many wait for outcomes" });
    m_waiters.emplace(key, from);
}

void request_runner::reply(const asker& to, const stored_outcome& outcome)
{
    message::responseT response;
    response.id = to.id;
    response.verdict = toMessage(outcome.verdict);
    response.status = outcome.status;
    response.headers = fromPairs(outcome.headers);
    response.body = toBytes(outcome.body);
    response.body_checksum = bodyChecksum(response.body);
    response.error = outcome.error;
    m_answer(to, response);
}

void request_runner::checkHealth()
{
    if (m_isChecking || !m_limiter.tryHoldConnection())
        return;
    m_isChecking = true;
    http_request request;
    request.path = "/healthz";
    m_client.send(
        m_settings.runner, std::move(request), healthTimeout, [this, alive = m_alive](const http_result& answer) {
            if (!*alive)
                return;
            m_isChecking = false;
            m_limiter.releaseConnection();
            // A runner that is slow to answer is busy, not gone: its slots tell.
            const bool isGone = !answer && answer.error().verdict == run_verdict::not_run;
            const bool isGood = answer && answer.value().status < 500;
            if (isGone || isGood)
                setReachable(isGood);
            apply(m_limiter.tick(m_loop.now()));
        });
}

void request_runner::setReachable(bool isReachable)
{
    if (m_isReachable == isReachable)
        return;
    m_isReachable = isReachable;
    logEvent(isReachable ? log_level::info : log_level::warning,
        isReachable ? "runner_reachable" : "runner_unreachable", { { "runner", toString(m_settings.runner) } });
    changed();
}

void request_runner::changed()
{
    if (m_onChange)
        m_onChange();
}

} // namespace poplardeal::detail
