#include "leader_link.h"
#include "metrics_server.h"
#include "status_messages.h"
#include <nlohmann/json.hpp>
#include <poplardeal/base/log.h>
#include <poplardeal/fleet/queue_sidecar.h>
#include <poplardeal/wire/message.h>
#include <set>

namespace poplardeal {

namespace {

    constexpr std::chrono::milliseconds busyWait { 400 }; ///< Of a look while tasks run: progress is seen this often.
    constexpr std::chrono::milliseconds idleWait {
        900
    }; ///< Below the time for which a silent worker counts as reachable.
    constexpr duration lookSlack = std::chrono::milliseconds(400); ///< Time for an answer beyond the wait.
    constexpr duration lookPause = std::chrono::milliseconds(150); ///< After a failed look.
    /// A worker on the same machine answers a start or stop within milliseconds or never. Members of a gang wait for
    /// the one whose start is repeated.
    constexpr duration orderTimeout = std::chrono::milliseconds(200);
    constexpr unsigned maxRepeats = 5; ///< Without new orders; these come at least four times a second.
    constexpr unsigned workerConnections = 64;
    constexpr std::size_t maxAnnouncement = std::size_t { 64 } * 1024;
    constexpr duration recordPause = std::chrono::milliseconds(60); ///< While listed ends wait to be recorded.
    constexpr duration reportInterval = std::chrono::milliseconds(250); ///< Of reports that bring nothing new.
    constexpr duration goneReports = std::chrono::seconds(3); ///< The word that a worker is gone is repeated this long.

    struct order_state {
        bool isUnderWay { false };
        bool isUnanswered { false }; ///< An attempt had no answer and may still be carried out.
        bool isAccepted { false };
        bool isRefused { false };
        std::string reason;
        unsigned repeats { 0 }; ///< Since the last orders.
        start_instruction start;
    };

    struct stop_state {
        bool isUnderWay { false };
        bool isAnswered { false };
        unsigned repeats { 0 }; ///< Since the last orders.
        std::uint64_t confirmedBy { 0 }; ///< The first look that began after the answer.
        bool isConfirmed { false }; ///< The run does not exist and will not.
    };

} // namespace

struct queue_sidecar::impl {
    impl(event_loop&, fleet_settings, dialect_functions);

    result<void> open();
    void takeAnnouncement(const http_request&, const http_responder&);
    void adopt(const worker_announcement&);
    void tick();
    void look();
    void takeLists(const http_result&, const worker_boot&, std::uint64_t number);
    void confirmStops(std::uint64_t look);
    bool isListed(const run_key&) const;
    void report();
    void takeOrders(const frame&);
    void startTask(const start_instruction&);
    void sendStart(order_state&);
    void finishStart(const run_key&, const worker_boot&, const http_result&);
    void stopTask(const run_key&);
    void sendStop(const run_key&, stop_state&);
    void finishStop(const run_key&, const worker_boot&, const http_result&);
    address workerAddress() const;

    event_loop& loop;
    fleet_settings settings;
    dialect_functions dialect;
    metrics_registry metrics;
    detail::leader_link controls;
    http_client client;
    std::optional<worker_status> worker;
    std::uint64_t sequence { 0 };
    instant announcedAt;
    instant goneAt;
    std::int64_t leaseUntilMs { 0 };
    std::uint64_t acknowledged { 0 };
    std::uint64_t term { 0 };
    bool looking { false };
    instant lookAgainAt;
    std::uint32_t failedLooks { 0 };
    std::map<run_key, order_state> starts;
    std::map<run_key, stop_state> stops;
    std::uint64_t looks { 0 };
    std::uint64_t lastEnd { 0 }; ///< Highest number of an end seen.
    instant reportedAt;
    std::unique_ptr<http_server> http;
    std::unique_ptr<http_server> metricsHttp;
    event_loop::timer timer;
    event_loop::timer linkTimer;
    counter& unanswered;
};

queue_sidecar::impl::impl(event_loop& eventLoop, fleet_settings given, dialect_functions functions)
    : loop(eventLoop)
    , settings(std::move(given))
    , dialect(std::move(functions))
    , controls(eventLoop, settings, message::process_role::worker_sidecar)
    , client(eventLoop, workerConnections)
    , unanswered(
          metrics.getCounter("poplardeal_worker_calls_unanswered_total", "Calls to the worker without an answer"))
{
    controls.onFrame([this](const frame& received) {
        if (received.kind == frame_kind::worker_orders)
            takeOrders(received);
    });
    controls.onLeaderChanged([this] { report(); });
}

result<void> queue_sidecar::impl::open()
{
    BOOST_OUTCOME_TRY(serving,
        http_server::open(
            loop, settings.http, maxAnnouncement, [this](const http_request& request, const http_responder& respond) {
                takeAnnouncement(request, respond);
            }));
    http = std::move(serving);
    BOOST_OUTCOME_TRY(exposed, detail::serveMetrics(loop, settings, metrics));
    metricsHttp = std::move(exposed);
    controls.start(loop.now());
    timer = loop.every(std::chrono::milliseconds(50), [this] { tick(); });
    linkTimer = loop.every(detail::leader_link::tickInterval, [this] { controls.tick(loop.now()); });
    return success();
}

void queue_sidecar::impl::takeAnnouncement(const http_request& request, const http_responder& respond)
{
    const auto announced = dialect.readAnnouncement(request);
    if (announced.has_error()) {
        logEvent(log_level::warning, "announcement_refused",
            { { "path", request.path }, { "reason", announced.error().message } });
        const int status = announced.error().code == failure_code::not_found ? 404 : 400;
        return respond({ status, {}, announced.error().message + "\n" });
    }
    adopt(announced.value());
    respond({ 200, { { "content-type", "application/json" } }, "{}" });
}

void queue_sidecar::impl::adopt(const worker_announcement& announced)
{
    const auto& status = announced.status;
    const bool sameId = worker && worker->boot.worker == status.boot.worker;
    if (status.isGone) {
        if (!sameId)
            return;
        logEvent(log_level::info, "worker_gone", { { "worker", worker->boot.worker.value() } });
        worker->isGone = true;
        worker->hasLists = false;
        goneAt = loop.now();
        return report();
    }
    // A late announcement of an earlier boot changes nothing.
    if (sameId
        && (status.boot.startedAtMs < worker->boot.startedAtMs
            || (status.boot == worker->boot && announced.sequence <= sequence)))
        return;
    if (worker && !sameId && status.boot.startedAtMs < worker->boot.startedAtMs)
        return;
    const bool isNewBoot = !worker || worker->boot != status.boot;
    const bool changed = isNewBoot || worker->isDraining != status.isDraining;
    if (isNewBoot) {
        logEvent(log_level::info, "worker_announced",
            { { "worker", status.boot.worker.value() }, { "started_at_ms", status.boot.startedAtMs },
                { "service", status.service.value() }, { "rack", status.rack.value() } });
        leaseUntilMs = 0;
        acknowledged = 0;
        starts.clear();
        stops.clear();
        failedLooks = 0;
        lastEnd = 0;
    }
    sequence = announced.sequence;
    announcedAt = loop.now();
    auto merged = status;
    if (!isNewBoot) {
        merged.running = worker->running;
        merged.ended = worker->ended;
        merged.clockMs = worker->clockMs;
    }
    worker = std::move(merged);
    worker->hasLists = false;
    if (changed)
        report();
    lookAgainAt = {};
}

void queue_sidecar::impl::tick()
{
    if (!worker)
        return;
    if (worker->isGone) {
        if (loop.now() - goneAt > goneReports)
            worker.reset();
        else
            report();
        return;
    }
    if (!looking && loop.now() >= lookAgainAt)
        look();
}

address queue_sidecar::impl::workerAddress() const
{
    const auto announced = parseAddress(worker->address);
    return announced.has_value() ? announced.value() : settings.worker;
}

void queue_sidecar::impl::look()
{
    looking = true;
    const auto number = ++looks;
    const bool busy = !worker->running.empty() || !starts.empty();
    look_request request;
    request.leaseUntilMs = leaseUntilMs;
    // A restarted sidecar has no orders yet, but its worker refuses terms below the last one that it has seen.
    request.fence = std::max(term, controls.term());
    request.acknowledged = acknowledged;
    // The first look answers at once, so that a new worker is known without delay.
    request.wait = worker->clockMs == 0 ? std::chrono::milliseconds(0) : busy ? busyWait : idleWait;
    client.send(workerAddress(), dialect.lookRequest(worker->boot, request), request.wait + lookSlack,
        connection_use::kept,
        [this, number, boot = worker->boot](const http_result& result) { takeLists(result, boot, number); });
}

bool queue_sidecar::impl::isListed(const run_key& run) const
{
    const auto is = [&run](const auto& each) { return each.task == run.task && each.run == run.run; };
    return std::any_of(worker->running.begin(), worker->running.end(), is)
        || std::any_of(worker->ended.begin(), worker->ended.end(), is);
}

/// A run whose stop was answered before a look began, and that the look does not list, was never there: the worker
/// refuses it from the stop on.
void queue_sidecar::impl::confirmStops(std::uint64_t look)
{
    for (auto& [run, state] : stops)
        state.isConfirmed = state.isConfirmed || (state.isAnswered && look >= state.confirmedBy && !isListed(run));
}

void queue_sidecar::impl::takeLists(const http_result& result, const worker_boot& boot, std::uint64_t number)
{
    looking = false;
    if (!worker || worker->boot != boot || worker->isGone)
        return;
    if (result.has_error() || result.value().status != 200) {
        lookAgainAt = loop.now() + lookPause;
        if (failedLooks++ == 0)
            logEvent(log_level::warning, "worker_lost",
                { { "worker", boot.worker.value() },
                    { "reason",
                        result.has_error() ? result.error().cause.message
                                           : "status " + std::to_string(result.value().status) } });
        return;
    }
    auto lists = dialect.readLists(result.value());
    if (lists.has_error()) {
        lookAgainAt = loop.now() + lookPause;
        logEvent(log_level::warning, "lists_refused",
            { { "worker", boot.worker.value() }, { "reason", lists.error().message } });
        return;
    }
    if (lists.value().startedAtMs && *lists.value().startedAtMs != boot.startedAtMs) {
        // Another boot answers; its own announcement will say more.
        lookAgainAt = loop.now() + lookPause;
        return;
    }
    if (std::exchange(failedLooks, 0) > 0)
        logEvent(log_level::info, "worker_regained", { { "worker", boot.worker.value() } });
    worker->clockMs = lists.value().clockMs;
    worker->running = std::move(lists.value().running);
    worker->ended = std::move(lists.value().ended);
    worker->hasLists = true;
    confirmStops(number);
    const auto highest = worker->ended.empty() ? 0 : worker->ended.back().number;
    const bool isNew = worker->ended.empty() || highest > lastEnd;
    lastEnd = std::max(lastEnd, highest);
    if (isNew || loop.now() - reportedAt >= reportInterval)
        report();
    // A look answers at once while it has ends to list.
    if (worker->ended.empty())
        look();
    else
        lookAgainAt = loop.now() + recordPause;
}

void queue_sidecar::impl::report()
{
    if (!worker || !controls.hasLeader())
        return;
    auto status = *worker;
    for (const auto& [run, state] : starts) {
        if (state.isRefused)
            status.refused.push_back({ run, state.reason });
    }
    for (const auto& [run, state] : stops) {
        if (state.isConfirmed)
            status.refused.push_back({ run, "stopped before its start" });
    }
    reportedAt = loop.now();
    controls.send(packMessage(frame_kind::worker_report, 0, detail::toMessage(status)));
}

void queue_sidecar::impl::takeOrders(const frame& received)
{
    const auto message = unpackMessage<message::worker_orders>(received.body);
    if (message.has_error() || !worker || worker->isGone)
        return;
    std::size_t malformed = 0;
    const auto orders = detail::fromMessage(message.value(), malformed);
    // Orders of an earlier leader, or for an earlier boot, have no force.
    if (message.value().term < term || orders.boot != worker->boot)
        return;
    term = message.value().term;
    leaseUntilMs = std::max(leaseUntilMs, orders.leaseUntilMs);
    if (orders.acknowledged > acknowledged) {
        acknowledged = orders.acknowledged;
        lookAgainAt = {};
    }
    std::set<run_key> outstanding;
    for (const auto& start : orders.starts)
        outstanding.insert(start.run);
    std::erase_if(
        starts, [&](const auto& item) { return !item.second.isUnderWay && !outstanding.contains(item.first); });
    const std::set<run_key> stopping(orders.stops.begin(), orders.stops.end());
    std::erase_if(stops, [&](const auto& item) { return !item.second.isUnderWay && !stopping.contains(item.first); });
    for (const auto& stop : orders.stops)
        stopTask(stop);
    for (const auto& start : orders.starts)
        startTask(start);
}

void queue_sidecar::impl::startTask(const start_instruction& start)
{
    auto& state = starts[start.run];
    if (state.isUnderWay || state.isAccepted || state.isRefused)
        return;
    if (worker->isDraining && !state.isUnanswered) {
        state.isRefused = true;
        state.reason = "draining";
        return report();
    }
    state.start = start;
    state.repeats = 0;
    sendStart(state);
}

void queue_sidecar::impl::sendStart(order_state& state)
{
    state.isUnderWay = true;
    client.send(workerAddress(), dialect.startRequest(worker->boot, state.start, term), orderTimeout,
        connection_use::kept, [this, run = state.start.run, boot = worker->boot](const http_result& result) {
            finishStart(run, boot, result);
        });
}

void queue_sidecar::impl::finishStart(const run_key& run, const worker_boot& boot, const http_result& result)
{
    const auto found = starts.find(run);
    if (!worker || worker->boot != boot || found == starts.end())
        return;
    auto& state = found->second;
    state.isUnderWay = false;
    if (result.has_error()) {
        unanswered.add();
        state.isUnanswered = state.isUnanswered || result.error().verdict != run_verdict::not_run;
        logEvent(log_level::warning, "start_unanswered",
            { { "job", run.task.job.value() }, { "task", toString(run.task) }, { "run", run.run.value() },
                { "reason", result.error().cause.message } });
        // The same run may be ordered any number of times; the worker takes it once.
        if (state.repeats++ < maxRepeats && !stops.contains(run))
            sendStart(state);
        return;
    }
    const auto [outcome, reason] = dialect.readStartResult(result.value());
    state.isAccepted = outcome == start_result::accepted;
    // While an attempt is unanswered the run may still begin; then only the end of its start window is certain.
    state.isRefused = outcome != start_result::accepted && !state.isUnanswered;
    state.reason = reason;
    if (!state.isAccepted)
        logEvent(log_level::warning, "start_refused_by_worker",
            { { "job", run.task.job.value() }, { "task", toString(run.task) }, { "run", run.run.value() },
                { "reason", reason }, { "certain", state.isRefused } });
    if (state.isRefused)
        report();
}

void queue_sidecar::impl::stopTask(const run_key& run)
{
    auto& state = stops[run];
    if (state.isUnderWay || state.isAnswered)
        return;
    state.repeats = 0;
    sendStop(run, state);
}

void queue_sidecar::impl::sendStop(const run_key& run, stop_state& state)
{
    state.isUnderWay = true;
    client.send(workerAddress(), dialect.stopRequest(worker->boot, run, term), orderTimeout, connection_use::kept,
        [this, run, boot = worker->boot](const http_result& result) { finishStop(run, boot, result); });
}

void queue_sidecar::impl::finishStop(const run_key& run, const worker_boot& boot, const http_result& result)
{
    const auto found = stops.find(run);
    if (!worker || worker->boot != boot || found == stops.end())
        return;
    found->second.isUnderWay = false;
    if (result.has_error()) {
        unanswered.add();
        if (found->second.repeats++ < maxRepeats)
            sendStop(run, found->second);
        return;
    }
    found->second.isAnswered = result.value().status == 200;
    found->second.confirmedBy = looks + 1;
    if (!found->second.isAnswered)
        logEvent(log_level::warning, "stop_refused_by_worker",
            { { "job", run.task.job.value() }, { "task", toString(run.task) }, { "run", run.run.value() },
                { "status", result.value().status } });
}

result<std::unique_ptr<queue_sidecar>> queue_sidecar::start(
    event_loop& loop, const fleet_settings& settings, dialect_functions dialect)
{
    auto state = std::make_unique<impl>(loop, settings, std::move(dialect));
    BOOST_OUTCOME_TRYV(state->open());
    return std::unique_ptr<queue_sidecar>(new queue_sidecar(std::move(state)));
}

queue_sidecar::queue_sidecar(std::unique_ptr<impl> state)
    : m_impl(std::move(state))
{
}

queue_sidecar::~queue_sidecar() = default;

// The worker and its lease go on without the sidecar.
void queue_sidecar::stop(std::function<void()> done) { std::exchange(done, nullptr)(); }

void queue_sidecar::reload(const fleet_settings& settings) { m_impl->controls.addSeeds(settings.seeds); }

} // namespace poplardeal
