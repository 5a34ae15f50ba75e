#include "standin_worker.h"

namespace poplardeal::soak {

namespace {

    constexpr std::size_t maxBody = std::size_t { 64 } * 1024;
    constexpr std::size_t maxTasks = 8; ///< Room: one accelerator a task.
    constexpr std::size_t maxListedEnds = 500; ///< The others follow when these are acknowledged.
    constexpr duration beatInterval = std::chrono::milliseconds(300);
    constexpr duration settleInterval = std::chrono::milliseconds(10);
    constexpr duration callTimeout = std::chrono::seconds(1);
    constexpr int shortestRunMs = 100;
    constexpr int longestRunMs = 1500;
    constexpr int longestLatenessMs = 4000;

    std::int64_t toMs(duration d) { return std::chrono::duration_cast<std::chrono::milliseconds>(d).count(); }

} // namespace

standin_worker::standin_worker(event_loop& loop, worker_place place, promises& seen, std::uint64_t seed)
    : m_loop(loop)
    , m_place(std::move(place))
    , m_promises(seen)
    , m_random(seed)
    , m_client(loop, 2)
{
    crash(false);
    listen();
    m_beat = loop.every(beatInterval, [this] { announce(); });
    m_ticks = loop.every(settleInterval, [this] { settle(); });
}

void standin_worker::listen()
{
    m_server = std::move(http_server::open(
        m_loop, m_place.own, maxBody, [this](const http_request& request, const http_responder& respond) {
            if (m_isSilent)
                m_waiting.emplace_back(request, respond);
            else
                serve(request, respond);
        }).value());
}

void standin_worker::setSilent(bool isSilent)
{
    m_isSilent = isSilent;
    if (isSilent)
        return;
    for (const auto& [request, respond] : std::exchange(m_waiting, {}))
        serve(request, respond);
}

void standin_worker::goDown()
{
    if (!m_isDown)
        m_promises.lifeEnded(life(), m_loop.now());
    m_isDown = true;
    m_running.clear();
    m_late.clear();
    m_waiting.clear();
    m_server.reset();
}

void standin_worker::sendDeparture(const std::string& id)
{
    m_client.send(
        m_place.sidecar, { "DELETE", "/instances/" + id, "", {}, "" }, callTimeout, [](const http_result&) {});
}

std::int64_t standin_worker::clockMs() const { return 1 + toMs(m_loop.now() - m_bornAt); }

void standin_worker::crash(bool keepsId)
{
    if (!m_id.empty() && !m_isDown)
        m_promises.lifeEnded(life(), m_loop.now());
    if (std::exchange(m_isDown, false))
        listen();
    m_isSilent = false;
    m_waiting.clear();
    if (!keepsId)
        m_id = m_place.id + "-" + std::to_string(++m_boots);
    m_bornAt = m_loop.now();
    m_bornMs = std::max(toMicros(m_loop.wallClock()) / 1000, m_bornMs + 1);
    m_sequence = 0;
    m_fence = 0;
    m_lastEnd = 0;
    m_leaseEnd = {};
    m_isDraining = false;
    m_running.clear();
    m_over.clear();
    m_ended.clear();
    m_late.clear();
}

void standin_worker::announce()
{
    if (m_isDown)
        return;
    http_request beat { "PUT", "/instances/" + m_id, "", { { "content-type", "application/json" } }, "" };
    nlohmann::json body { { "service", "desk" }, { "addr", toString(m_place.announced) },
        { "zone", m_place.dataCentre }, { "version", "v1" }, { "slots", 8 },
        { "state", m_isDraining ? "draining" : "ready" }, { "cold_left_ms", 0 }, { "seq", ++m_sequence },
        { "born", m_bornMs }, { "clock_ms", clockMs() },
        { "room", { { "cpu", 8000 }, { "mem_mb", 8000 }, { "gpu", maxTasks } } }, { "labels", { "a", m_place.rack } } };
    if (m_isDraining)
        body["drain_remaining_ms"] = 1000;
    beat.body = body.dump();
    m_client.send(m_place.sidecar, beat, callTimeout, [](const http_result&) {});
}

/// Ends what has finished, and everything when the lease is over. Moments are compared, so that a late call changes
/// nothing.
void standin_worker::settle()
{
    const auto now = m_loop.now();
    auto running = m_running;
    for (const auto& [task, each] : running) {
        if (each.endsAt <= now && each.endsAt <= m_leaseEnd)
            end(task, "done");
        else if (m_leaseEnd <= now)
            end(task, "lapsed");
    }
}

void standin_worker::end(const std::string& task, const std::string& how)
{
    const auto found = m_running.find(task);
    m_ended.push_back({ ++m_lastEnd, task, found->second.run, how });
    m_promises.ended(task, life(), how, m_loop.now());
    m_running.erase(found);
}

void standin_worker::extendLease(const nlohmann::json& body)
{
    const auto until = body.value("until_ms", std::int64_t(0));
    if (until == 0)
        return;
    const auto longest = m_loop.now() + longestLease;
    m_leaseEnd = std::max(m_leaseEnd, std::min(longest, m_bornAt + std::chrono::milliseconds(until - 1)));
}

int standin_worker::start(const nlohmann::json& body, std::string& reason)
{
    const auto task = body.at("task").get<std::string>();
    const auto run = body.at("run").get<std::uint32_t>();
    const auto found = m_running.find(task);
    if (found != m_running.end() && found->second.run == run)
        return 200;
    if (run <= m_over[task] || found != m_running.end())
        reason = "old";
    else if (m_running.size() >= maxTasks)
        reason = "room";
    else if (body.value("until_ms", std::int64_t(0)) <= clockMs())
        reason = "late";
    extendLease(body);
    if (!reason.empty())
        return 409;
    std::uniform_int_distribution<int> length(shortestRunMs, longestRunMs);
    m_running[task] = { run, m_loop.now(), m_loop.now() + std::chrono::milliseconds(length(m_random)) };
    m_over[task] = run;
    m_promises.started(task, run, life(), m_place.dataCentre, body.at("spec").get<std::string>(), m_loop.now());
    return 200;
}

void standin_worker::stop(const nlohmann::json& body)
{
    const auto task = body.at("task").get<std::string>();
    const auto run = body.at("run").get<std::uint32_t>();
    m_over[task] = std::max(m_over[task], run);
    const auto found = m_running.find(task);
    if (found != m_running.end() && found->second.run <= run)
        end(task, "stopped");
}

nlohmann::json standin_worker::look(const nlohmann::json& body)
{
    extendLease(body);
    const auto upTo = body.value("acked_upto", std::uint64_t(0));
    std::erase_if(m_ended, [&](const end_row& each) {
        if (each.number <= upTo)
            m_promises.acknowledged(each.task, each.how);
        return each.number <= upTo;
    });
    nlohmann::json out { { "clock_ms", clockMs() }, { "born", m_bornMs } };
    out["running"] = nlohmann::json::array();
    out["ended"] = nlohmann::json::array();
    for (const auto& [task, each] : m_running) {
        const auto whole = std::max<std::int64_t>(toMs(each.endsAt - each.startedAt), 1);
        out["running"].push_back({ task, each.run, "", toMs(m_loop.now() - each.startedAt) * 100 / whole });
    }
    for (const auto& each : m_ended) {
        if (out["ended"].size() == maxListedEnds)
            break;
        out["ended"].push_back({ each.number, each.task, each.run, each.how, "" });
    }
    return out;
}

void standin_worker::serve(const http_request& request, const http_responder& respond)
{
    settle();
    const auto body = nlohmann::json::parse(request.body);
    const auto intended = request.headers.find("poplardeal-expect-instance");
    if (intended != request.headers.end() && intended->second != m_id)
        return respond({ 421, {}, "{}" });
    const bool isOrder = request.path == "/run-start" || request.path == "/run-stop";
    const auto carryOut = [this, path = request.path, body](std::string& reason) {
        const auto fence = body.value("fence", std::uint64_t(0));
        if (fence < m_fence) {
            reason = "fence";
            return 409;
        }
        m_fence = fence;
        if (path == "/run-start")
            return start(body, reason);
        stop(body);
        return 200;
    };
    if (isOrder && std::uniform_real_distribution<double>(0, 1)(m_random) < m_lostShare) {
        std::uniform_int_distribution<int> lateness(0, longestLatenessMs);
        m_unanswered.push_back(respond);
        m_late.push_back(m_loop.after(std::chrono::milliseconds(lateness(m_random)), [this, carryOut] {
            settle();
            std::string ignored; // Nobody waits for the answer of a late order.
            carryOut(ignored);
        }));
        return;
    }
    nlohmann::json out { { "clock_ms", clockMs() }, { "born", m_bornMs } };
    int status = 200;
    if (isOrder) {
        std::string reason;
        status = carryOut(reason);
        if (!reason.empty())
            out["reason"] = reason;
    } else if (body.value("fence", std::uint64_t(0)) < m_fence) {
        status = 409;
        out["reason"] = "fence";
    } else {
        m_fence = body.value("fence", std::uint64_t(0));
        out = look(body);
    }
    respond({ status, { { "content-type", "application/json" } }, out.dump() });
}

} // namespace poplardeal::soak
