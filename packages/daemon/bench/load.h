#pragma once

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <poplardeal/wire/event_loop.h>
#include <poplardeal/wire/http.h>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace poplardeal::bench {

/// An event loop on a thread of its own.
class loop_thread {
public:
    loop_thread()
    {
        const auto ready = std::make_shared<std::promise<event_loop*>>();
        m_thread = std::thread([ready] {
            event_loop own;
            ready->set_value(&own);
            own.run();
        });
        m_loop = ready->get_future().get();
    }
    ~loop_thread()
    {
        m_loop->post([loop = m_loop] { loop->quit(); });
        m_thread.join();
    }
    loop_thread(const loop_thread&) = delete;
    loop_thread& operator=(const loop_thread&) = delete;

    event_loop& loop() { return *m_loop; }

    /// Runs a function on the loop's thread and waits for it.
    void run(const std::function<void()>& function)
    {
        // Shared, because the waiting thread may go on while the other is still within set_value.
        const auto done = std::make_shared<std::promise<void>>();
        m_loop->post([done, &function] {
            function();
            done->set_value();
        });
        done->get_future().wait();
    }

private:
    std::thread m_thread;
    event_loop* m_loop { nullptr };
};

/// A runner of 8 slots whose requests take `runTime` each. Beyond 8 at a time it gets slower in proportion, as a
/// processor shared by all of them would.
class model_runner {
public:
    model_runner(event_loop& loop, duration runTime, bool isBlackHole)
        : m_loop(loop)
        , m_runTime(runTime)
    {
        const auto handler = [this, isBlackHole](const http_request& request, const http_responder& respond) {
            if (request.path == "/healthz")
                return respond({ 200, {}, "ok" });
            if (isBlackHole)
                return respond({ 500, {}, "failed" });
            take(respond);
        };
        m_server = std::move(http_server::open(loop, { "127.0.0.1", 0 }, 1 << 20, handler).value());
    }

    address local() const { return m_server->local(); }

private:
    void take(const http_responder& respond)
    {
        if (m_runTime == duration(0))
            return respond({ 200, {}, "done" });
        constexpr int slots = 8;
        const auto share = std::max(1.0, static_cast<double>(++m_running) / slots);
        const auto time = duration(static_cast<duration::rep>(static_cast<double>(m_runTime.count()) * share));
        const auto number = ++m_last;
        m_timers[number] = m_loop.after(time, [this, number, respond] {
            --m_running;
            respond({ 200, {}, "done" });
            m_loop.post([this, number] { m_timers.erase(number); });
        });
    }

    event_loop& m_loop;
    duration m_runTime;
    int m_running { 0 };
    std::uint64_t m_last { 0 };
    std::map<std::uint64_t, event_loop::timer> m_timers;
    std::unique_ptr<http_server> m_server;
};

struct load_result {
    std::uint64_t sent { 0 };
    std::uint64_t good { 0 }; ///< Status 200 within the deadline.
    double seconds { 0 };
    std::vector<double> latencies; ///< Of the good ones, in milliseconds, sorted.

    double goodput() const { return static_cast<double>(good) / seconds; }
    double percentile(double share) const
    {
        if (latencies.empty())
            return 0;
        return latencies[static_cast<std::size_t>(share * static_cast<double>(latencies.size() - 1))];
    }
};

/// Where the next request goes.
using target_function = std::function<address()>;

/// Sends requests at a fixed rate, whatever comes back, as independent callers do.
class open_load {
public:
    open_load(event_loop& loop, double rate, duration length, duration deadline, std::string path,
        target_function target, std::function<void(load_result)> done)
        : m_loop(loop)
        , m_client(loop, 4000)
        , m_rate(rate)
        , m_length(length)
        , m_deadline(deadline)
        , m_path(std::move(path))
        , m_target(std::move(target))
        , m_done(std::move(done))
        , m_begin(loop.now())
    {
        m_tick = loop.every(std::chrono::milliseconds(1), [this] { tick(); });
    }

private:
    void tick()
    {
        const auto elapsed = m_loop.now() - m_begin;
        if (elapsed < m_length) {
            const auto due = m_rate * static_cast<double>(elapsed.count()) / 1e6;
            while (static_cast<double>(m_result.sent) < due)
                send();
            return;
        }
        if (m_inFlight > 0)
            return;
        m_result.seconds = static_cast<double>(m_length.count()) / 1e6;
        std::ranges::sort(m_result.latencies);
        m_tick.cancel();
        m_loop.post([this] { std::exchange(m_done, nullptr)(std::move(m_result)); });
    }

    void send()
    {
        ++m_result.sent;
        ++m_inFlight;
        http_request request;
        request.path = m_path;
        const auto deadlineMs = std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline).count();
        request.headers["x-poplardeal-timeout-ms"] = std::to_string(deadlineMs);
        const auto begin = m_loop.now();
        m_client.send(m_target(), std::move(request), m_deadline * 2, [this, begin](const http_result& answer) {
            --m_inFlight;
            const auto took = m_loop.now() - begin;
            if (!answer || answer.value().status != 200 || took > m_deadline)
                return;
            ++m_result.good;
            m_result.latencies.push_back(static_cast<double>(took.count()) / 1000);
        });
    }

    event_loop& m_loop;
    http_client m_client;
    double m_rate;
    duration m_length;
    duration m_deadline;
    std::string m_path;
    target_function m_target;
    std::function<void(load_result)> m_done;
    instant m_begin;
    event_loop::timer m_tick;
    std::uint64_t m_inFlight { 0 };
    load_result m_result;
};

/// Sends requests one after another: the latency without any queue.
class serial_load {
public:
    serial_load(event_loop& loop, int count, std::string path, address target, std::function<void(load_result)> done)
        : m_loop(loop)
        , m_client(loop, 1)
        , m_left(count)
        , m_path(std::move(path))
        , m_target(std::move(target))
        , m_done(std::move(done))
    {
        next();
    }

private:
    void next()
    {
        const auto begin = m_loop.now();
        http_request request;
        request.path = m_path;
        m_client.send(m_target, std::move(request), std::chrono::seconds(10), [this, begin](const http_result& answer) {
            if (answer && answer.value().status == 200)
                m_result.latencies.push_back(static_cast<double>((m_loop.now() - begin).count()) / 1000);
            if (--m_left > 0)
                return m_loop.post([this] { next(); });
            std::ranges::sort(m_result.latencies);
            m_loop.post([this] { m_done(std::move(m_result)); });
        });
    }

    event_loop& m_loop;
    http_client m_client;
    int m_left;
    std::string m_path;
    address m_target;
    std::function<void(load_result)> m_done;
    load_result m_result;
};

} // namespace poplardeal::bench
