#include <algorithm>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <poplardeal/base/metrics.h>
#include <poplardeal/wire/channel.h>
#include <poplardeal/wire/http.h>

// NOLINTBEGIN(readability-identifier-naming)
DEFINE_string(out, "", "file that gets one JSON line for each figure; standard output if empty");
DEFINE_uint32(frames, 400000, "frames sent one way, and a tenth of it as round trips");
DEFINE_uint32(requests, 20000, "HTTP requests");
// NOLINTEND(readability-identifier-naming)

namespace {

using namespace poplardeal;

/// Ends the program: a bench without its connection has no figure.
[[noreturn]] void stop(const std::string& reason)
{
    std::cerr << "wire_bench: " << reason << "\n";
    std::exit(1);
}

class report {
public:
    explicit report(const std::string& path)
        : m_file(path, std::ios::app)
        , m_out(path.empty() ? std::cout : m_file)
    {
    }

    void add(const std::string& name, double value, const std::string& unit)
    {
        m_out << nlohmann::json { { "name", name }, { "value", value }, { "unit", unit } }.dump() << "\n";
    }

    void addQuantiles(const std::string& name, std::vector<duration> times)
    {
        std::sort(times.begin(), times.end());
        const auto at = [&](double share) {
            return static_cast<double>(
                times[static_cast<std::size_t>(share * static_cast<double>(times.size() - 1))].count());
        };
        add(name + "_p50", at(0.5), "us");
        add(name + "_p99", at(0.99), "us");
    }

    void addRate(const std::string& name, double count, duration time, const std::string& unit)
    {
        add(name, count / std::chrono::duration<double>(time).count(), unit);
    }

private:
    std::ofstream m_file;
    std::ostream& m_out;
};

/// A dialer and the accepted channel in one loop. The accepted side counts, or echoes, what it gets.
struct channel_pair {
    event_loop loop;
    std::unique_ptr<listener> server;
    std::unique_ptr<channel> accepted;
    std::unique_ptr<dialer> client;
    std::size_t received { 0 };
    std::size_t expected { 0 };
    bool echo { false };

    channel_pair()
    {
        auto opened = listener::open(loop, { "127.0.0.1", 0 }, [this](std::unique_ptr<channel> taken) {
            accepted = std::move(taken);
            accepted->onFrame([this](const frame& f) { receive(f); });
        });
        if (opened.has_error())
            stop(opened.error().message);
        server = std::move(opened.value());
        client = std::make_unique<dialer>(loop, server->local(), 1);
        client->onUp([this] { loop.quit(); });
        client->start();
        loop.run();
    }

    void receive(const frame& f)
    {
        ++received;
        if (echo)
            accepted->send(f);
        else if (received == expected)
            loop.quit();
    }

    /// Time to send `count` frames one way, with at most `window` bytes in the queue.
    duration sendAll(std::size_t count, const frame& f)
    {
        received = 0;
        expected = count;
        std::size_t sent = 0;
        const std::size_t window = std::max<std::size_t>(1, std::size_t { 4 } * 1024 * 1024 / (f.body.size() + 1));
        const auto start = loop.now();
        std::function<void()> fill = [&] {
            while (sent < count && sent - received < window && client->send(f))
                ++sent;
            if (sent < count)
                loop.post(fill);
        };
        fill();
        loop.run();
        return loop.now() - start;
    }

    std::vector<duration> roundTrips(std::size_t count, const frame& f)
    {
        std::vector<duration> times;
        echo = true;
        instant start = loop.now();
        client->onFrame([&](const frame&) {
            times.push_back(loop.now() - start);
            if (times.size() == count) {
                loop.quit();
                return;
            }
            start = loop.now();
            client->send(f);
        });
        client->send(f);
        loop.run();
        return times;
    }
};

void benchFrames(report& out)
{
    channel_pair pair;
    const frame small { frame_kind::announce, 1, std::string(100, 'a') };
    const frame large { frame_kind::request, 1, std::string(std::size_t { 1024 } * 1024, 'a') };
    out.addRate("wire_frames_100_bytes", FLAGS_frames, pair.sendAll(FLAGS_frames, small), "frames/s");
    const auto largeFrames = std::max(1u, FLAGS_frames / 1000);
    out.addRate("wire_frames_1_mib", largeFrames, pair.sendAll(largeFrames, large), "MiB/s");
    out.addQuantiles("wire_round_trip_100_bytes", pair.roundTrips(std::max(1u, FLAGS_frames / 10), small));
}

/// An HTTP server that echoes, and a client, in one loop.
struct http_pair {
    event_loop loop;
    std::unique_ptr<http_server> server;
    http_client client { loop, 16 };

    http_pair()
    {
        constexpr std::size_t maxBody = 65536;
        auto opened = http_server::open(
            loop, { "127.0.0.1", 0 }, maxBody, [](http_request request, const http_responder& respond) {
                respond({ 200, {}, std::move(request.body) });
            });
        if (opened.has_error())
            stop(opened.error().message);
        server = std::move(opened.value());
    }

    std::vector<duration> run(std::size_t count, std::size_t parallel, connection_use use)
    {
        std::vector<duration> times;
        std::size_t sent = 0;
        std::function<void()> next = [&] {
            if (sent++ >= count)
                return;
            const auto start = loop.now();
            const http_request request { "POST", "/v1/call", "", {}, std::string(100, 'a') };
            client.send(server->local(), request, std::chrono::seconds(10), use, [&, start](const http_result& got) {
                if (got.has_error())
                    stop(got.error().cause.message);
                times.push_back(loop.now() - start);
                if (times.size() == count)
                    loop.quit();
                next();
            });
        };
        for (std::size_t i = 0; i < parallel; ++i)
            next();
        loop.run();
        return times;
    }
};

void benchHttp(report& out, const std::string& name, connection_use use)
{
    http_pair pair;
    const auto start = pair.loop.now();
    pair.run(FLAGS_requests, 16, use);
    out.addRate("wire_http_" + name + "_16_parallel", FLAGS_requests, pair.loop.now() - start, "requests/s");
    out.addQuantiles("wire_http_" + name + "_latency", pair.run(FLAGS_requests / 4 + 1, 1, use));
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("frames and HTTP requests on loopback, both ends in one thread");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    report out(FLAGS_out);
    benchFrames(out);
    benchHttp(out, "kept", connection_use::kept);
    benchHttp(out, "fresh", connection_use::fresh);
    out.add("wire_bench_peak_cpu", std::chrono::duration<double>(processCpuTime()).count(), "s");
    return 0;
}
