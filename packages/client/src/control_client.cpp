#include "control_client.h"

#include <algorithm>
#include <functional>
#include <optional>

namespace poplardeal::detail {

/// How long one request may take, as a whole and for each attempt.
struct time_limits {
    duration whole;
    duration attempt;
};

static constexpr duration firstDelay = std::chrono::milliseconds(50);
static constexpr duration longestDelay = std::chrono::seconds(1);
/// An order is sent again only if this much time is left for the answer, or a quarter of the whole time if that is
/// less.
static constexpr duration shortestAttempt = std::chrono::seconds(1);
/// Hints followed without a pause. Instances that name each other as leader during an election would otherwise be asked
/// in a tight loop.
static constexpr int maxHintsInRow = 2;

/// The verdict of an answer of control. Both spellings are taken: "not-run" and "not_run".
static std::optional<run_verdict> verdictOf(const nlohmann::json& body)
{
    const auto found = body.find("verdict");
    if (found == body.end() || !found->is_string())
        return std::nullopt;
    auto text = found->get<std::string>();
    std::replace(text.begin(), text.end(), '_', '-');
    return parseRunVerdict(text);
}

static std::string textOf(const nlohmann::json& object, const char* key)
{
    if (!object.is_object())
        return "";
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : "";
}

/// One request to control with its attempts.
class exchange {
public:
    exchange(event_loop& loop, http_client& http, const std::vector<address>& addresses, time_limits limits,
        http_request request, bool isOrder)
        : m_loop(loop)
        , m_http(http)
        , m_addresses(addresses)
        , m_target(addresses.front())
        , m_request(std::move(request))
        , m_isOrder(isOrder)
        , m_attemptTimeout(limits.attempt)
        , m_shortestAttempt(std::min<duration>({ limits.attempt, limits.whole / 4, shortestAttempt }))
        , m_deadline(loop.now() + limits.whole)
    {
    }

    control_answer run()
    {
        m_loop.post([this] { attempt(); });
        m_loop.run();
        return std::move(m_answer);
    }

private:
    void attempt()
    {
        const auto remaining = m_deadline - m_loop.now();
        if (remaining <= duration(0)) {
            giveUp();
            return;
        }
        m_http.send(m_target, m_request, std::min<duration>(remaining, m_attemptTimeout),
            [this](const http_result& result) { take(result); });
    }

    void take(const http_result& result)
    {
        if (result.has_error()) {
            m_mayHaveRun |= result.error().verdict != run_verdict::not_run;
            m_lastFault = toString(m_target) + ": " + result.error().cause.message;
            retryElsewhere();
            return;
        }
        const auto& response = result.value();
        m_answer.status = response.status;
        auto body = nlohmann::json::parse(response.body, nullptr, false);
        if (!body.is_object())
            body = nlohmann::json::object();
        judge(response.status, std::move(body));
    }

    void judge(int status, nlohmann::json body)
    {
        const auto verdict = verdictOf(body);
        noteFault(status, body);
        if (status / 100 == 2) {
            // What was read may hold a verdict of its own, for instance that of a job.
            finish(m_isOrder ? verdict.value_or(run_verdict::ran) : run_verdict::ran, std::move(body));
            return;
        }
        if (status == 421) {
            follow(textOf(body, "leader"));
            return;
        }
        // A server error without the promise "not run" may come after the order was taken in.
        m_mayHaveRun |= status >= 500 && verdict != run_verdict::not_run;
        const bool isTransient = status >= 500 || status == 429;
        if (isTransient)
            retryElsewhere();
        else
            finish(verdict.value_or(m_mayHaveRun ? run_verdict::may_have_run : run_verdict::not_run), std::move(body));
    }

    void noteFault(int status, const nlohmann::json& body)
    {
        const auto error = body.find("error");
        const auto message = error == body.end() ? "" : textOf(*error, "message");
        m_answer.code = error == body.end() ? "" : textOf(*error, "code");
        m_lastFault = toString(m_target) + ": " + (message.empty() ? "HTTP status " + std::to_string(status) : message);
    }

    void follow(const std::string& leader)
    {
        const auto hint = parseAddress(leader);
        if (hint.has_error() || hint.value() == m_target) {
            retryElsewhere();
            return;
        }
        m_target = hint.value();
        if (m_hintsInRow++ >= maxHintsInRow)
            return retryLater();
        if (wouldLoseCertainty(m_deadline - m_loop.now()))
            return giveUp();
        attempt();
    }

    void retryElsewhere()
    {
        m_next = (m_next + 1) % m_addresses.size();
        m_target = m_addresses[m_next];
        retryLater();
    }

    void retryLater()
    {
        m_hintsInRow = 0;
        const auto remaining = m_deadline - m_loop.now();
        // All other addresses are tried at once before the first pause.
        const auto delay = ++m_failures < m_addresses.size() ? duration(0) : m_delay;
        if (delay > duration(0))
            m_delay = std::min(m_delay * 2, longestDelay);
        if (wouldLoseCertainty(remaining - delay))
            return giveUp();
        m_timer = m_loop.after(std::clamp<duration>(remaining, duration(0), delay), [this] { attempt(); });
    }

    /// Whether an order that has certainly not run would be sent with too little time left for its answer.
    bool wouldLoseCertainty(duration left) const { return m_isOrder && !m_mayHaveRun && left < m_shortestAttempt; }

    void finish(run_verdict verdict, nlohmann::json body)
    {
        const bool isRead = !m_isOrder && verdict == run_verdict::may_have_run;
        m_answer.verdict = isRead ? run_verdict::not_run : verdict;
        m_answer.body = std::move(body);
        if (m_answer.verdict != run_verdict::ran)
            m_answer.message = m_lastFault;
        m_loop.quit();
    }

    void giveUp()
    {
        const bool mayHaveRun = m_isOrder && m_mayHaveRun;
        m_answer.verdict = mayHaveRun ? run_verdict::may_have_run : run_verdict::not_run;
        m_answer.code = toString(mayHaveRun ? failure_code::timed_out : failure_code::unavailable);
        m_answer.message = (mayHaveRun ? "the answer was lost (" : "no control instance took it (")
            + (m_lastFault.empty() ? "no answer in time" : m_lastFault) + ")";
        m_loop.quit();
    }

    event_loop& m_loop;
    http_client& m_http;
    const std::vector<address>& m_addresses;
    address m_target;
    http_request m_request;
    bool m_isOrder;
    duration m_attemptTimeout;
    duration m_shortestAttempt;
    instant m_deadline;
    std::size_t m_next { 0 };
    std::size_t m_failures { 0 };
    int m_hintsInRow { 0 };
    duration m_delay { firstDelay };
    bool m_mayHaveRun { false };
    std::string m_lastFault;
    control_answer m_answer;
    event_loop::timer m_timer;
};

control_client::control_client(
    event_loop& loop, std::vector<address> addresses, duration timeout, duration attemptTimeout)
    : m_loop(loop)
    , m_http(loop, 1)
    , m_addresses(std::move(addresses))
    , m_timeout(timeout)
    , m_attemptTimeout(attemptTimeout)
{
}

control_answer control_client::order(const std::string& path, const nlohmann::json& body)
{
    http_request request;
    request.method = "POST";
    request.path = path;
    request.headers["content-type"] = "application/json";
    request.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return exchange(m_loop, m_http, m_addresses, { m_timeout, m_attemptTimeout }, std::move(request), true).run();
}

control_answer control_client::read(const std::string& path, const std::string& query)
{
    http_request request;
    request.path = path;
    request.query = query;
    return exchange(m_loop, m_http, m_addresses, { m_timeout, m_attemptTimeout }, std::move(request), false).run();
}

} // namespace poplardeal::detail
