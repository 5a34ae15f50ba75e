#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <poplardeal/standins/runner.h>
#include <xxhash.h>

namespace poplardeal {
namespace detail {

    static std::string headerOf(const http_request& request, const std::string& name)
    {
        const auto found = request.headers.find(name);
        return found == request.headers.end() ? "" : found->second;
    }

} // namespace detail

std::string bodyChecksum(const std::string& body)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(XXH3_64bits(body.data(), body.size())));
    return text;
}

struct standin_runner::impl {
    impl(event_loop& l, standin_runner_options o, ledger_sink sink)
        : loop(l)
        , options(std::move(o))
        , ledger(std::move(sink))
    {
    }

    void record(const char* event, const http_request& request) const
    {
        ledger({
            { "event", event },
            { "runner", options.name },
            { "id", detail::headerOf(request, "x-poplardeal-request-id") },
            { "key", detail::headerOf(request, "idempotency-key") },
            { "method", request.method },
            { "path", request.path },
            { "body_checksum", bodyChecksum(request.body) },
            { "wall_us", toMicros(loop.wallClock()) },
        });
    }

    http_response responseTo(http_request request) const
    {
        http_response response;
        response.status = options.failAll ? 500 : 200;
        response.headers["x-standin-runner"] = options.name;
        response.headers["x-standin-checksum"] = bodyChecksum(request.body);
        if (request.headers.contains("content-type"))
            response.headers["content-type"] = request.headers["content-type"];
        response.body = std::move(request.body);
        return response;
    }

    void run(http_request request, const http_responder& respond)
    {
        record("run", request);
        auto response = responseTo(std::move(request));
        if (options.failAll) {
            respond(std::move(response));
            return;
        }
        const auto number = ++lastNumber;
        running[number] = loop.after(options.delay, [this, number, respond, response = std::move(response)] {
            const auto ended = running.extract(number);
            respond(response);
        });
    }

    event_loop& loop;
    standin_runner_options options;
    ledger_sink ledger;
    std::uint64_t lastNumber { 0 };
    std::map<std::uint64_t, event_loop::timer> running;
};

standin_runner::standin_runner(event_loop& loop, standin_runner_options options, ledger_sink ledger)
    : m_impl(std::make_unique<impl>(loop, std::move(options), std::move(ledger)))
{
}

standin_runner::~standin_runner() = default;

void standin_runner::handle(http_request request, const http_responder& respond)
{
    if (request.method == "GET" && request.path == "/healthz") {
        respond({ 200, {}, "ok\n" });
        return;
    }
    if (m_impl->running.size() >= m_impl->options.slots) {
        m_impl->record("breach", request);
        respond({ 503, { { "x-standin-runner", m_impl->options.name } }, "all slots are taken\n" });
        return;
    }
    m_impl->run(std::move(request), respond);
}

} // namespace poplardeal
