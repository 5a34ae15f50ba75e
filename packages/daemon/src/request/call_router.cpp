#include "request/call_router.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <poplardeal/base/log.h>
#include <utility>

namespace poplardeal::detail {

// Refused by the entry itself, before anything was sent.
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusFingerprint = 422;
constexpr int statusNoRoom = 429;
constexpr int statusBadAnswer = 502;
constexpr int statusNotRun = 503;
constexpr int statusMayHaveRun = 504;
constexpr duration maxOutcomePause = std::chrono::seconds(1);

static membership_settings membershipSettings(const call_router_settings& settings)
{
    membership_settings own;
    own.tracker = settings.name;
    return own;
}

static choice_settings choiceSettings(const call_router_settings& settings)
{
    choice_settings own;
    own.dataCentre = settings.dataCentre;
    return own;
}

call_router::call_router(event_loop& loop, call_router_settings settings, control_links& controls)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_controls(controls)
    , m_members(membershipSettings(m_settings))
    , m_chooser(choiceSettings(m_settings), m_settings.seed)
    , m_budget(m_settings.retries)
    , m_links(loop,
          { .announced = [this](const announcement& report) { announced(report); },
              .left
              = [this](const endpoint_id& id, incarnation process) { m_members.leave(id, process, m_loop.now()); },
              .lost
              = [this](const endpoint_id& id, incarnation process) { m_members.disconnect(id, process, m_loop.now()); },
              .answered = [this](std::uint64_t correlation,
                              const message::responseT& response) { answered(correlation, response); },
              .answerLost = [this](std::uint64_t correlation) { answerLost(correlation); } })
{
    m_expireTimer = m_loop.every(std::chrono::seconds(1), [this] {
        for (const auto& id : m_members.expire(m_loop.now()))
            logEvent(log_level::warning, "endpoint_silent", { { "endpoint", id.value() } });
    });
}

call_router::~call_router() = default;

void call_router::accept(http_request http, const http_responder& respond)
{
    auto read = readCallRequest(std::move(http));
    if (!read) {
        ++m_counts.refused;
        const bool isPath = read.error().code == failure_code::not_found;
        respond(refusalResponse(isPath ? statusNotFound : statusBadRequest, run_verdict::not_run,
            toString(read.error().code), read.error().message));
        return;
    }
    auto accepted = std::make_shared<call>();
    accepted->request = std::move(read.value());
    accepted->bytes = accepted->request.http.body.size();
    if (m_calls.size() >= m_settings.maxCalls || m_bytes + accepted->bytes > m_settings.maxBytes) {
        ++m_counts.refused;
        respond(refusalResponse(statusNoRoom, run_verdict::not_run, "overloaded", "the entry has no room"));
        return;
    }
    const auto now = m_loop.now();
    ++m_counts.accepted;
    accepted->number = ++m_lastNumber;
    accepted->id
        = m_settings.name + "-" + std::to_string(m_settings.incarnation) + "-" + std::to_string(accepted->number);
    accepted->respond = respond;
    accepted->deadline = now + accepted->request.timeout;
    accepted->pause = m_settings.outcomePause;
    accepted->deadlineTimer
        = m_loop.after(accepted->request.timeout, [this, number = accepted->number] { deadlinePassed(number); });
    m_bytes += accepted->bytes;
    m_calls.emplace(accepted->number, accepted);
    m_budget.addRequest(now);
    if (accepted->request.repeat == repeat_rule::claimed)
        claimFor(accepted);
    else
        attempt(accepted);
}

void call_router::whenIdle(std::function<void()> done)
{
    m_onIdle = std::move(done);
    if (m_calls.empty())
        std::exchange(m_onIdle, nullptr)();
}

void call_router::announced(const announcement& report)
{
    const auto now = m_loop.now();
    if (m_members.take(report, now) == announce_result::accepted)
        m_chooser.reported(report, now);
}

void call_router::answered(std::uint64_t correlation, const message::responseT& response)
{
    call::attempt sent;
    const auto held = takeAttempt(correlation, sent);
    if (!held)
        return;
    if (bodyChecksum(response.body) != response.body_checksum) {
        ++m_counts.corruptAnswers;
        m_chooser.finished(sent.endpoint, call_result::failed, sent.sentAt, m_loop.now());
        retryOrEnd(held, run_verdict::may_have_run, statusBadAnswer, "the answer of the endpoint is corrupt");
        return;
    }
    if (sent.isOutcomeQuery)
        takeOutcome(held, response);
    else
        takeAnswer(held, sent, response);
}

void call_router::answerLost(std::uint64_t correlation)
{
    call::attempt sent;
    const auto held = takeAttempt(correlation, sent);
    if (!held)
        return;
    if (sent.isOutcomeQuery) {
        lookUpAgain(held, run_verdict::may_have_run);
        return;
    }
    m_chooser.finished(sent.endpoint, call_result::failed, sent.sentAt, m_loop.now());
    retryOrEnd(held, run_verdict::may_have_run, statusMayHaveRun, "the connection to the endpoint was lost");
}

call_router::call_ref call_router::takeAttempt(std::uint64_t correlation, call::attempt& sent)
{
    const auto number = m_callOfCorrelation.find(correlation);
    if (number == m_callOfCorrelation.end())
        return nullptr;
    const auto found = m_calls.find(number->second);
    m_callOfCorrelation.erase(number);
    if (found == m_calls.end() || !found->second->current)
        return nullptr;
    sent = *found->second->current;
    found->second->current.reset();
    return found->second;
}

/// Sends the request to endpoints until one connection takes it.
void call_router::attempt(const call_ref& held)
{
    const auto now = m_loop.now();
    const bool mayProbe = held->request.repeat == repeat_rule::idempotent;
    while (true) {
        const auto chosen = m_chooser.choose(m_members, held->request.service, held->tried, mayProbe, now);
        if (!chosen)
            break;
        held->tried.insert(*chosen);
        const auto process = m_members.find(*chosen)->last.process;
        nextAttemptId(*held);
        if (sendTo(held, *chosen, process))
            return;
        m_chooser.finished(*chosen, call_result::failed, now, now);
    }
    if (held->lastAnswer)
        return end(held, run_verdict::ran, std::move(*held->lastAnswer));
    endRefused(held, run_verdict::not_run, statusNotRun, "unavailable", "no endpoint can take the request");
}

/// False: nothing was handed to the connection.
bool call_router::sendTo(const call_ref& held, const endpoint_id& endpoint, incarnation process)
{
    const auto now = m_loop.now();
    const auto& request = held->request;
    message::requestT object;
    object.id = held->attemptId;
    object.service = request.service.value();
    object.idempotent = request.repeat == repeat_rule::idempotent;
    object.key = request.key.value();
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(held->deadline - now).count();
    object.timeout_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(left, 1));
    object.priority = request.urgency;
    object.method = request.http.method;
    object.path = request.path;
    object.query = request.http.query;
    object.headers = forwardedHeaders(request.http.headers);
    object.body = toBytes(request.http.body);
    const auto correlation = ++m_lastCorrelation;
    if (!m_links.send(endpoint, process, packMessage(frame_kind::request, correlation, object), object.id))
        return false;
    held->current = call::attempt { endpoint, process, now, correlation, object.id, false };
    m_callOfCorrelation[correlation] = held->number;
    ++held->attempts;
    m_chooser.sent(endpoint, now);
    return true;
}

void call_router::claimFor(const call_ref& held)
{
    const auto now = m_loop.now();
    const auto chosen = m_chooser.choose(m_members, held->request.service, held->tried, false, now);
    if (!chosen)
        return endRefused(held, run_verdict::not_run, statusNotRun, "unavailable", "no endpoint can take the request");
    const auto process = m_members.find(*chosen)->last.process;
    message::claimT claim;
    claim.key = held->request.key.value();
    claim.service = held->request.service.value();
    claim.endpoint = chosen->value();
    claim.incarnation = process.value();
    claim.request_id = nextAttemptId(*held);
    claim.fingerprint = held->request.fingerprint;
    held->isClaiming = true;
    held->holdsClaim = true;
    m_controls.claim(
        claim, held->deadline, [this, held, endpoint = *chosen, process](result<message::claim_answerT> answer) {
            claimAnswered(held, endpoint, process, std::move(answer));
        });
}

void call_router::claimAnswered(
    const call_ref& held, const endpoint_id& endpoint, incarnation process, result<message::claim_answerT> answer)
{
    if (!m_calls.contains(held->number))
        return; // Answered at its deadline; that has released the claim.
    held->isClaiming = false;
    if (!answer)
        return endRefused(held, run_verdict::not_run, statusNotRun, "unavailable", answer.error().message);
    switch (answer.value().outcome) {
    case message::claim_outcome::granted:
        // With the claim granted, no earlier request with this key has run.
        held->mayHaveRun = false;
        held->tried.insert(endpoint);
        if (!sendTo(held, endpoint, process))
            retryOrEnd(held, run_verdict::not_run, statusNotRun, "the claimed endpoint has gone");
        return;
    case message::claim_outcome::already_claimed:
        held->holdsClaim = false;
        return repeatedKey(held, answer.value());
    case message::claim_outcome::fingerprint_differs:
        held->holdsClaim = false;
        return endRefused(held, run_verdict::not_run, statusFingerprint, "conflict",
            "the idempotency key was used for another request");
    case message::claim_outcome::refused:
        break;
    }
    endRefused(held, run_verdict::not_run, statusNotRun, "unavailable", answer.value().reason);
}

/// Asks the endpoint that holds the claim for the outcome of the first request.
void call_router::repeatedKey(const call_ref& held, const message::claim_answerT& claim)
{
    ++m_counts.repeatedKeys;
    held->mayHaveRun = true;
    const auto settled = fromMessage(claim.verdict);
    message::outcome_queryT query;
    query.key = held->request.key.value();
    query.claim = claim.incarnation;
    const endpoint_id endpoint(claim.endpoint);
    const incarnation process(claim.incarnation);
    const auto correlation = ++m_lastCorrelation;
    const auto message = packMessage(frame_kind::outcome_query, correlation, query);
    if (!m_links.send(endpoint, process, message, query.key))
        return lookUpAgain(held, settled);
    held->current = call::attempt { endpoint, process, m_loop.now(), correlation, query.key, true };
    m_callOfCorrelation[correlation] = held->number;
}

/// The first request may still be on its way to its endpoint, or may be released by its entry: claims again after a
/// pause, as long as the caller waits.
void call_router::lookUpAgain(const call_ref& held, run_verdict settled)
{
    if (settled == run_verdict::ran)
        return endRefused(held, run_verdict::ran, statusConflict, "conflict",
            "the request with this key has run; its outcome is no longer held");
    const auto pause = std::exchange(held->pause, std::min<duration>(held->pause * 2, maxOutcomePause));
    if (m_loop.now() + pause >= held->deadline)
        return endRefused(held, run_verdict::may_have_run, statusConflict, "conflict",
            "the outcome of the request with this key is unknown");
    held->pauseTimer = m_loop.after(pause, [this, number = held->number] {
        const auto found = m_calls.find(number);
        if (found != m_calls.end())
            claimFor(call_ref(found->second));
    });
}

void call_router::takeOutcome(const call_ref& held, const message::responseT& response)
{
    const auto verdict = fromMessage(response.verdict);
    const bool isUnknown = response.status == statusUnknownKey && verdict != run_verdict::ran;
    if (isUnknown || verdict == run_verdict::not_run)
        return lookUpAgain(held, run_verdict::may_have_run);
    if (!response.error.empty() || verdict != run_verdict::ran)
        return endRefused(held, verdict == run_verdict::ran ? verdict : run_verdict::may_have_run, statusConflict,
            "conflict", response.error);
    end(held, run_verdict::ran,
        { static_cast<int>(response.status), toHttpHeaders(response.headers), toText(response.body) });
}

static bool isServerError(std::uint32_t status)
{
    constexpr std::array<std::uint32_t, 4> errors { 500, 502, 503, 504 };
    return std::ranges::find(errors, status) != errors.end();
}

void call_router::takeAnswer(const call_ref& held, const call::attempt& sent, const message::responseT& response)
{
    const auto now = m_loop.now();
    const auto verdict = fromMessage(response.verdict);
    if (verdict == run_verdict::not_run) {
        const bool isOverloaded = response.status == statusOverloaded;
        m_chooser.finished(
            sent.endpoint, isOverloaded ? call_result::overloaded : call_result::failed, sent.sentAt, now);
        return retryOrEnd(held, verdict, isOverloaded ? statusNoRoom : statusNotRun, response.error);
    }
    const bool isGood = verdict == run_verdict::ran && response.error.empty() && !isServerError(response.status);
    m_chooser.finished(sent.endpoint, isGood ? call_result::ok : call_result::failed, sent.sentAt, now);
    if (verdict != run_verdict::ran)
        return retryOrEnd(held, verdict, statusMayHaveRun, response.error);
    if (!response.error.empty())
        return endRefused(held, verdict, statusBadAnswer, "internal", response.error);
    http_response answer { static_cast<int>(response.status), toHttpHeaders(response.headers), toText(response.body) };
    if (!isServerError(response.status) || !mayRetry(*held, verdict, now))
        return end(held, verdict, std::move(answer));
    held->mayHaveRun = true;
    held->lastAnswer = std::move(answer);
    attempt(held);
}

/// After an attempt without an answer for the caller.
void call_router::retryOrEnd(const call_ref& held, run_verdict last, int status, std::string_view reason)
{
    if (mayRetry(*held, last, m_loop.now())) {
        held->mayHaveRun = held->mayHaveRun || last != run_verdict::not_run;
        if (held->request.repeat != repeat_rule::claimed)
            return attempt(held);
        // The next attempt has its own claim, so that a late repeat of this settlement cannot release it.
        settle(*held, run_verdict::not_run);
        return claimFor(held);
    }
    if (held->lastAnswer)
        return end(held, run_verdict::ran, std::move(*held->lastAnswer));
    const auto* code = last == run_verdict::not_run ? "unavailable" : "timed_out";
    endRefused(held, last, status, status == statusNoRoom ? "overloaded" : code, reason);
}

bool call_router::mayRetry(const call& held, run_verdict last, instant now)
{
    const bool isIdempotent = held.request.repeat == repeat_rule::idempotent;
    if (held.request.repeat == repeat_rule::single || !isRetrySafe(last, isIdempotent))
        return false;
    if (held.attempts >= m_settings.maxAttempts || now >= held.deadline)
        return false;
    const auto others = m_members.eligible(held.request.service, now);
    const bool hasOther = std::ranges::any_of(
        others, [&](const endpoint_record* record) { return !held.tried.contains(record->last.endpoint); });
    if (!hasOther)
        return false;
    if (!m_budget.tryRetry(now)) {
        ++m_counts.retriesDenied;
        return false;
    }
    ++m_counts.retries;
    return true;
}

void call_router::deadlinePassed(std::uint64_t number)
{
    const auto found = m_calls.find(number);
    if (found == m_calls.end())
        return;
    const auto held = found->second;
    if (held->current) {
        const auto sent = *held->current;
        m_links.abandon(sent.correlation);
        m_callOfCorrelation.erase(sent.correlation);
        held->current.reset();
        if (!sent.isOutcomeQuery)
            m_chooser.finished(sent.endpoint, call_result::late, sent.sentAt, m_loop.now());
        held->mayHaveRun = true;
    }
    if (held->lastAnswer)
        return end(held, run_verdict::ran, std::move(*held->lastAnswer));
    endRefused(held, run_verdict::not_run, held->mayHaveRun ? statusMayHaveRun : statusNotRun, "timed_out",
        "no answer before the deadline");
}

void call_router::endRefused(
    const call_ref& held, run_verdict verdict, int status, std::string_view code, std::string_view reason)
{
    if (verdict == run_verdict::not_run && held->mayHaveRun) {
        verdict = run_verdict::may_have_run;
        status = status == statusConflict ? status : statusMayHaveRun;
    }
    end(held, verdict, refusalResponse(status, verdict, code, reason));
}

void call_router::end(const call_ref& held, run_verdict verdict, http_response response)
{
    // A claim whose answer is still awaited may be granted later, but nothing is sent under it.
    if (held->holdsClaim)
        settle(*held, held->isClaiming ? run_verdict::not_run : verdict);
    if (verdict == run_verdict::ran)
        ++m_counts.ran;
    else if (verdict == run_verdict::not_run)
        ++m_counts.notRun;
    else
        ++m_counts.mayHaveRun;
    response.headers["x-poplardeal-verdict"] = toString(verdict);
    response.headers["x-poplardeal-request-id"] = held->id;
    m_bytes -= held->bytes;
    m_calls.erase(held->number);
    held->deadlineTimer.cancel();
    held->pauseTimer.cancel();
    held->respond(std::move(response));
    if (m_calls.empty() && m_onIdle)
        std::exchange(m_onIdle, nullptr)();
}

void call_router::settle(const call& held, run_verdict verdict)
{
    message::settleT object;
    object.key = held.request.key.value();
    object.service = held.request.service.value();
    object.request_id = held.attemptId;
    object.verdict = toMessage(verdict);
    m_controls.settle(object);
}

/// Each attempt has its own id, so that neither an answer nor a settlement of one can be taken for another.
std::string call_router::nextAttemptId(call& held) const
{
    held.attemptId = held.id + "." + std::to_string(++held.lastAttemptId);
    return held.attemptId;
}

} // namespace poplardeal::detail
