// A runner as the users' pages describe it (orders = push), beside one sidecar. What its tasks do is set by the test.
#pragma once

#include "net.hpp"
#include <condition_variable>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <vector>

namespace review {

using nlohmann::json;

/// Writes lines with the time since the start of the test.
class recorder {
public:
    explicit recorder(const std::string& path)
        : m_file(std::fopen(path.c_str(), "w"))
        , m_begun(steady::now())
    {
    }
    ~recorder() { std::fclose(m_file); }
    recorder(const recorder&) = delete;
    recorder& operator=(const recorder&) = delete;

    void note(const std::string& line)
    {
        const std::lock_guard guard(m_mutex);
        std::fprintf(m_file, "%8.3f %s\n", seconds(), line.c_str());
        std::fflush(m_file);
    }
    double seconds() const { return std::chrono::duration<double>(steady::now() - m_begun).count(); }

private:
    std::mutex m_mutex;
    std::FILE* m_file;
    steady::time_point m_begun;
};

/// What the tasks of a job do once they run.
struct behaviour {
    int workMs { 1000 }; ///< Until the task ends; negative: it lasts.
    std::string end { "done" };
    int gang { 0 }; ///< Members that work together, of one step; 0: none.
    std::int64_t gpu { 0 }; ///< Room that each task takes.
};

struct run_facts {
    std::string task;
    std::uint32_t run { 0 };
    std::string worker;
    std::string spec;
    double startedAt { 0 };
    double endedAt { -1 };
    std::string how;
};

/// What all runners of a test have in common: the behaviour of jobs, and what has run.
struct world {
    explicit world(recorder& r)
        : record(r)
    {
    }

    recorder& record;
    std::mutex mutex;
    std::map<std::string, behaviour> jobs; ///< By the id of the job.
    std::vector<run_facts> runs;
    /// Members of a gang that are there, by task without index, and run; with the time since which all are.
    struct gang_state {
        std::set<std::string> present;
        std::optional<steady::time_point> wholeSince;
        std::string ended; ///< How the first member ended.
    };
    std::map<std::pair<std::string, std::uint32_t>, gang_state> gangs;

    /// Runs of a job that go on.
    std::size_t runningOf(const std::string& job)
    {
        const std::lock_guard guard(mutex);
        std::size_t out = 0;
        for (const auto& each : runs)
            out += jobOf(each.task) == job && each.endedAt < 0 ? 1 : 0;
        return out;
    }
    std::size_t startsOf(const std::string& job)
    {
        const std::lock_guard guard(mutex);
        std::size_t out = 0;
        for (const auto& each : runs)
            out += jobOf(each.task) == job ? 1 : 0;
        return out;
    }
    std::string workerOf(const std::string& job)
    {
        const std::lock_guard guard(mutex);
        std::string out;
        for (const auto& each : runs)
            out = jobOf(each.task) == job ? each.worker : out;
        return out;
    }
    /// Room in use, in accelerators, on all runners.
    std::int64_t inUse()
    {
        const std::lock_guard guard(mutex);
        std::int64_t out = 0;
        for (const auto& each : runs)
            out += each.endedAt < 0 ? jobs[jobOf(each.task)].gpu : 0;
        return out;
    }

    static std::string jobOf(const std::string& task) { return task.substr(0, task.find('.')); }
    static std::string stepOf(const std::string& task) { return task.substr(0, task.rfind('.')); }
};

struct worker_options {
    std::string service { "desk" };
    std::string zone { "zone-1" };
    std::string kind { "a" };
    std::string rack { "r1-1" };
    std::int64_t cpu { 8000 };
    std::int64_t memory { 16000 };
    std::int64_t gpu { 8 };
    int heartbeatMs { 1500 };
    int leaseMaxMs { 6000 };
    int gangMs { 3000 };
    int stopMs { 100 };
};

/// One life of a runner. Its clock is steady and begins at 1.
class worker {
public:
    worker(world& all, std::string id, endpoint own, endpoint sidecar, worker_options options, std::int64_t bornMs)
        : m_world(all)
        , m_id(std::move(id))
        , m_own(std::move(own))
        , m_sidecar(std::move(sidecar))
        , m_options(std::move(options))
        , m_bornMs(bornMs)
        , m_bornAt(steady::now())
    {
        m_server = std::make_unique<server>(m_own, [this](const request& r) { return serve(r); });
        m_settling = std::thread([this] { settle(); });
        m_beating = std::thread([this] { beat(); });
        m_world.record.note("runner " + m_id + " begins, born " + std::to_string(m_bornMs));
    }

    /// A crash: nothing runs any more, nothing is said.
    ~worker()
    {
        {
            const std::lock_guard guard(m_mutex);
            m_over = true;
            for (const auto& [task, each] : m_running)
                finishFacts(task, each.run, "crashed");
        }
        m_changed.notify_all();
        m_settling.join();
        m_beating.join();
        m_server.reset();
        m_world.record.note("runner " + m_id + " is gone");
    }
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    void drain()
    {
        const std::lock_guard guard(m_mutex);
        m_state = "draining";
    }
    /// Says that it ends, as a runner that leaves does.
    void leave()
    {
        const auto answer = call(m_sidecar, "DELETE", "/instances/" + m_id, {}, {}, 1000);
        m_world.record.note("DELETE of runner " + m_id + " -> " + std::to_string(answer.status));
    }
    const std::string& id() const { return m_id; }

private:
    static constexpr int startupMs = 600; ///< Of a lasting task.

    struct live {
        std::uint32_t run { 0 };
        steady::time_point startedAt;
        behaviour does;
        std::optional<steady::time_point> stopAt;
    };
    struct ended_run {
        std::uint64_t number;
        std::string task;
        std::uint32_t run;
        std::string how;
    };

    std::int64_t clockMs() const { return 1 + std::chrono::duration_cast<millis>(steady::now() - m_bornAt).count(); }

    void extendLease(const json& body)
    {
        const auto until = body.value("until_ms", std::int64_t { 0 });
        const auto longest = clockMs() + m_options.leaseMaxMs;
        m_leaseUntil = std::max(m_leaseUntil, std::min(until, longest));
    }

    void finishFacts(const std::string& task, std::uint32_t run, const std::string& how)
    {
        const std::lock_guard guard(m_world.mutex);
        for (auto& each : m_world.runs) {
            if (each.task == task && each.run == run && each.worker == m_id && each.endedAt < 0) {
                each.endedAt = m_world.record.seconds();
                each.how = how;
            }
        }
        m_world.record.note("run " + task + " #" + std::to_string(run) + " on " + m_id + " ends " + how);
    }

    void end(const std::string& task, const std::string& how)
    {
        const auto found = m_running.find(task);
        const auto run = found->second.run;
        const bool isGang = found->second.does.gang > 0;
        m_ended.push_back({ ++m_lastEnd, task, run, how });
        m_highest[task] = std::max(m_highest[task], run);
        m_running.erase(found);
        finishFacts(task, run, how);
        if (isGang) {
            const std::lock_guard guard(m_world.mutex);
            auto& gang = m_world.gangs[{ world::stepOf(task), run }];
            if (gang.ended.empty())
                gang.ended = how;
        }
        m_changed.notify_all();
    }

    /// Ends what is due. Called with the lock held.
    void settleOnce()
    {
        const auto now = steady::now();
        const auto copy = m_running;
        for (const auto& [task, each] : copy) {
            if (each.stopAt && now >= *each.stopAt) {
                end(task, "stopped");
                continue;
            }
            if (clockMs() >= m_leaseUntil) {
                end(task, "lapsed");
                continue;
            }
            auto begun = std::optional(each.startedAt);
            if (each.does.gang > 0) {
                const std::lock_guard guard(m_world.mutex);
                auto& gang = m_world.gangs[{ world::stepOf(task), each.run }];
                gang.present.insert(task);
                if (!gang.wholeSince && static_cast<int>(gang.present.size()) == each.does.gang)
                    gang.wholeSince = now;
                begun = gang.wholeSince;
                if (!gang.ended.empty())
                    m_due.emplace_back(task, gang.ended == "done" ? "done" : "broken");
            }
            if (!begun && now - each.startedAt >= millis(m_options.gangMs))
                m_due.emplace_back(task, "alone");
            else if (begun && each.does.workMs >= 0 && now - *begun >= millis(each.does.workMs))
                m_due.emplace_back(task, each.does.end);
        }
        for (const auto& [task, how] : std::exchange(m_due, {})) {
            if (m_running.contains(task))
                end(task, how);
        }
    }

    void settle()
    {
        std::unique_lock lock(m_mutex);
        while (!m_over) {
            settleOnce();
            lock.unlock();
            pause(5);
            lock.lock();
        }
    }

    void beat()
    {
        std::unique_lock lock(m_mutex);
        while (!m_over) {
            json body { { "service", m_options.service }, { "addr", m_own.text() }, { "zone", m_options.zone },
                { "version", "v1" }, { "slots", 8 }, { "state", m_state }, { "cold_left_ms", 0 },
                { "seq", ++m_sequence }, { "born", m_bornMs }, { "clock_ms", clockMs() },
                { "labels", { m_options.kind, m_options.rack } },
                { "room", { { "cpu", m_options.cpu }, { "mem_mb", m_options.memory }, { "gpu", m_options.gpu } } } };
            if (m_state == "draining")
                body["drain_remaining_ms"] = 2000;
            lock.unlock();
            const auto answer = call(m_sidecar, "PUT", "/instances/" + m_id, body.dump(), {}, 1000);
            lock.lock();
            const auto next = answer.status / 100 == 2 ? m_options.heartbeatMs : 200;
            const auto state = m_state;
            m_changed.wait_for(lock, millis(next), [&] { return m_over || m_state != state; });
        }
    }

    int start(const json& body, std::string& reason)
    {
        const auto task = body.at("task").get<std::string>();
        const auto run = body.at("run").get<std::uint32_t>();
        const auto known = m_running.find(task);
        if (known != m_running.end() && known->second.run == run)
            return 200;
        const auto refuse = [&](const char* why) {
            reason = why;
            return 409;
        };
        extendLease(body);
        if (run <= m_highest[task])
            return refuse("old");
        if (clockMs() >= m_leaseUntil)
            return refuse("late");
        live fresh { run, steady::now(), {}, {} };
        std::int64_t used = 0;
        for (const auto& [name, each] : m_running)
            used += each.does.gpu;
        {
            const std::lock_guard guard(m_world.mutex);
            fresh.does = m_world.jobs[world::jobOf(task)];
            if (used + fresh.does.gpu > m_options.gpu)
                return refuse("room");
            m_world.runs.push_back(
                { task, run, m_id, body.value("spec", std::string()), m_world.record.seconds(), -1, "" });
        }
        m_running[task] = fresh;
        m_world.record.note("run " + task + " #" + std::to_string(run) + " starts on " + m_id);
        return 200;
    }

    void stop(const json& body)
    {
        const auto task = body.at("task").get<std::string>();
        const auto run = body.at("run").get<std::uint32_t>();
        m_highest[task] = std::max(m_highest[task], run);
        const auto found = m_running.find(task);
        if (found != m_running.end() && found->second.run <= run && !found->second.stopAt)
            found->second.stopAt = steady::now() + millis(m_options.stopMs);
    }

    json lists() const
    {
        json out { { "clock_ms", clockMs() }, { "born", m_bornMs } };
        out["running"] = json::array();
        out["ended"] = json::array();
        for (const auto& [task, each] : m_running) {
            const auto ran = std::chrono::duration_cast<millis>(steady::now() - each.startedAt).count();
            // A lasting task is at work after a short startup.
            const std::int64_t lasting = ran < startupMs ? 0 : 100;
            const auto percent
                = each.does.workMs > 0 ? std::min<std::int64_t>(99, ran * 100 / each.does.workMs) : lasting;
            out["running"].push_back({ task, each.run, "", percent, 0 });
        }
        for (const auto& each : m_ended) {
            if (out["ended"].size() < 500)
                out["ended"].push_back({ each.number, each.task, each.run, each.how, "" });
        }
        return out;
    }

    reply serve(const request& in)
    {
        const auto intended = in.headers.find("poplardeal-expect-instance");
        if (intended != in.headers.end() && intended->second != m_id)
            return { 421, json { { "clock_ms", clockMs() } }.dump(), {}, true };
        const auto body = json::parse(in.body, nullptr, false);
        if (!body.is_object())
            return { 400, "{}", {}, true };
        std::unique_lock lock(m_mutex);
        if (m_over)
            return {};
        const auto fence = body.value("fence", std::uint64_t { 0 });
        if (fence < m_fence)
            return { 409, json { { "clock_ms", clockMs() }, { "reason", "fence" } }.dump(), {}, true };
        m_fence = fence;
        settleOnce();
        if (in.path == "/run-start") {
            std::string reason;
            const int status = start(body, reason);
            json out { { "clock_ms", clockMs() } };
            if (status != 200)
                out["reason"] = reason;
            return { status, out.dump(), {}, true };
        }
        if (in.path == "/run-stop") {
            stop(body);
            return { 200, json { { "clock_ms", clockMs() } }.dump(), {}, true };
        }
        if (in.path != "/hold")
            return { 404, "{}", {}, true };
        extendLease(body);
        const auto acked = body.value("acked_upto", std::uint64_t { 0 });
        std::erase_if(m_ended, [acked](const auto& each) { return each.number <= acked; });
        m_changed.wait_for(lock, millis(body.value("wait_ms", 0)), [this] { return m_over || !m_ended.empty(); });
        if (m_over)
            return {};
        return { 200, lists().dump(), {}, true };
    }

    world& m_world;
    std::string m_id;
    endpoint m_own;
    endpoint m_sidecar;
    worker_options m_options;
    std::int64_t m_bornMs;
    steady::time_point m_bornAt;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_over { false };
    std::string m_state { "ready" };
    std::uint64_t m_sequence { 0 };
    std::uint64_t m_fence { 0 };
    std::uint64_t m_lastEnd { 0 };
    std::int64_t m_leaseUntil { 0 };
    std::map<std::string, live> m_running;
    std::map<std::string, std::uint32_t> m_highest;
    std::vector<ended_run> m_ended;
    std::vector<std::pair<std::string, std::string>> m_due;
    std::unique_ptr<server> m_server;
    std::thread m_settling;
    std::thread m_beating;
};

} // namespace review
