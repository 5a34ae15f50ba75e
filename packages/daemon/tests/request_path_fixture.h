#pragma once

#include "request/message_forms.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <memory>
#include <poplardeal/daemon/endpoint_sidecar.h>
#include <poplardeal/daemon/entry_role.h>
#include <poplardeal/wire/channel.h>
#include <poplardeal/wire/event_loop.h>
#include <poplardeal/wire/http.h>
#include <poplardeal/wire/message.h>
#include <random>
#include <string>
#include <vector>

namespace poplardeal::test {

inline const address anyPort { "127.0.0.1", 0 };

/// A runner that answers "PATH|BODY" after a random delay, unless `handle` is set.
class fake_runner {
public:
    explicit fake_runner(event_loop& loop, duration maxDelay = std::chrono::milliseconds(4))
        : m_loop(loop)
        , m_maxDelay(maxDelay)
    {
        const auto handler = [this](http_request request, http_responder respond) {
            if (request.path == "/healthz")
                return respond({ 200, {}, "ok" });
            take(std::move(request), std::move(respond));
        };
        m_server = std::move(http_server::open(loop, anyPort, 32 << 20, handler).value());
    }

    address local() const { return m_server->local(); }

    std::map<std::string, int> runs; ///< By path and body.
    int running { 0 };
    int mostRunning { 0 };
    std::function<void(const http_request&, http_responder)> handle;

private:
    void take(http_request request, http_responder respond)
    {
        const auto text = request.path + "|" + request.body;
        ++runs[text];
        mostRunning = std::max(mostRunning, ++running);
        const auto number = ++m_last;
        const auto finish = [this, number, text, respond = std::move(respond), request] {
            --running;
            if (handle)
                handle(request, respond);
            else
                respond({ 200, { { "x-runner", "yes" } }, text });
            m_loop.post([this, number] { m_timers.erase(number); });
        };
        const duration delay(std::uniform_int_distribution<duration::rep>(0, m_maxDelay.count())(m_random));
        m_timers[number] = m_loop.after(delay, finish);
    }

    event_loop& m_loop;
    duration m_maxDelay;
    std::mt19937_64 m_random { 7 };
    std::uint64_t m_last { 0 };
    std::map<std::uint64_t, event_loop::timer> m_timers;
    std::unique_ptr<http_server> m_server;
};

/// Listens for frames and hands them to `handle`.
class fake_peer {
public:
    explicit fake_peer(event_loop& loop)
    {
        m_listener = std::move(listener::open(loop, anyPort, [this](std::unique_ptr<channel> opened) {
            auto* connection = opened.get();
            connection->onFrame([this, connection](const frame& received) {
                frames.push_back(received);
                if (handle)
                    handle(*connection, received);
            });
            connection->onClosed([](const failure&) {});
            connections.push_back(std::move(opened));
        }).value());
    }

    address local() const { return m_listener->local(); }
    int count(frame_kind kind) const { return static_cast<int>(std::ranges::count(frames, kind, &frame::kind)); }

    std::vector<std::unique_ptr<channel>> connections;
    std::vector<frame> frames;
    std::function<void(channel&, const frame&)> handle;

private:
    std::unique_ptr<listener> m_listener;
};

/// A leading control replica: grants claims, frees those settled as not run, acknowledges settlements.
class fake_control : public fake_peer {
public:
    explicit fake_control(event_loop& loop)
        : fake_peer(loop)
    {
        handle = [this](channel& from, const frame& received) {
            if (received.kind == frame_kind::claim)
                from.send(packMessage(frame_kind::claim_answer, received.correlation, answer(received)));
            if (received.kind == frame_kind::settle)
                settle(from, received);
        };
    }

    std::map<std::string, message::claimT> claims;
    std::map<std::string, message::verdict> settled;

private:
    message::claim_answerT answer(const frame& received)
    {
        const auto claim = unpackMessage<message::claim>(received.body).value();
        message::claim_answerT made;
        const auto [held, isNew] = claims.emplace(claim.key, claim);
        made.endpoint = held->second.endpoint;
        made.incarnation = held->second.incarnation;
        made.verdict = settled.contains(claim.key) ? settled[claim.key] : message::verdict::may_have_run;
        made.outcome = held->second.fingerprint != claim.fingerprint ? message::claim_outcome::fingerprint_differs
            : isNew                                                  ? message::claim_outcome::granted
                                                                     : message::claim_outcome::already_claimed;
        return made;
    }

    void settle(channel& from, const frame& received)
    {
        const auto object = unpackMessage<message::settle>(received.body).value();
        const auto held = claims.find(object.key);
        if (held != claims.end() && held->second.request_id == object.request_id) {
            settled[object.key] = object.verdict;
            if (object.verdict == message::verdict::not_run)
                claims.erase(held);
        }
        from.send(packMessage(frame_kind::settle_ack, received.correlation, message::emptyT {}));
    }
};

/// A connection to an entry that speaks as an endpoint sidecar.
class fake_sidecar {
public:
    fake_sidecar(
        event_loop& loop, const address& entry, std::string name, unsigned freeSlots = 8, bool sendsHello = true)
        : m_name(std::move(name))
        , m_dialer(loop, entry, 3)
    {
        m_dialer.onUp([this, freeSlots, sendsHello] {
            message::helloT hello;
            hello.role = message::process_role::endpoint_sidecar;
            hello.name = m_name;
            if (sendsHello)
                m_dialer.send(packMessage(frame_kind::hello, 0, hello));
            announce(m_name, freeSlots);
        });
        m_dialer.onDown([this] { ++downs; });
        m_dialer.onFrame([this](const frame& received) {
            if (received.kind == frame_kind::request && handle)
                handle(received, unpackMessage<message::request>(received.body).value());
        });
        m_dialer.start();
    }

    void announce(const std::string& name, unsigned freeSlots)
    {
        announcement report { endpoint_id(name), service_name("desk"), data_centre_name("kariakoo"), incarnation(1),
            ++m_sequence, endpoint_state::serving, 8, freeSlots, 0 };
        m_dialer.send(packMessage(frame_kind::announce, 0, detail::toMessage(report)));
    }

    void respond(std::uint64_t correlation, const std::string& id, const std::string& body, std::uint64_t checksumError)
    {
        message::responseT response;
        response.id = id;
        response.verdict = message::verdict::ran;
        response.status = 200;
        response.body = detail::toBytes(body);
        response.body_checksum = detail::bodyChecksum(response.body) + checksumError;
        m_dialer.send(packMessage(frame_kind::response, correlation, response));
    }

    int downs { 0 };
    std::function<void(const frame&, const message::requestT&)> handle;

private:
    std::string m_name;
    std::uint64_t m_sequence { 0 };
    dialer m_dialer;
};

struct path_fixture {
    /// Runs the loop until `isDone`. A test that waits for ever fails after a minute.
    void runUntil(const std::function<bool()>& isDone)
    {
        bool isStuck = false;
        const auto check = loop.every(std::chrono::milliseconds(1), [&] {
            if (isDone())
                loop.quit();
        });
        const auto guard = loop.after(std::chrono::minutes(1), [&] {
            isStuck = true;
            loop.quit();
        });
        loop.run();
        BOOST_REQUIRE(!isStuck);
    }

    void runFor(duration time)
    {
        const auto end = loop.after(time, [&] { loop.quit(); });
        loop.run();
    }

    entry_role& startEntry(const std::vector<address>& controls = {})
    {
        daemon_settings settings;
        settings.role = daemon_role::entry;
        settings.name = "entry-" + std::to_string(entries.size() + 1);
        settings.dataCentre = data_centre_name("kariakoo");
        settings.entry.emplace();
        settings.entry->http = anyPort;
        settings.entry->listen = anyPort;
        settings.entry->controls = controls;
        entries.push_back(std::move(entry_role::start(loop, settings).value()));
        return *entries.back();
    }

    endpoint_sidecar& startSidecar(const std::string& name, const address& runner,
        const std::vector<address>& entryFrames, const std::string& dataCentre = "kariakoo")
    {
        daemon_settings settings;
        settings.role = daemon_role::sidecar;
        settings.name = name;
        settings.dataCentre = data_centre_name(dataCentre);
        settings.sidecar.emplace();
        settings.sidecar->beside = sidecar_kind::endpoint;
        settings.sidecar->service = service_name("desk");
        settings.sidecar->target = runner;
        settings.sidecar->entries = entryFrames;
        settings.sidecar->http = anyPort;
        sidecars.push_back(std::move(endpoint_sidecar::start(loop, settings).value()));
        return *sidecars.back();
    }

    void send(const entry_role& entry, http_request request, std::function<void(http_response)> done)
    {
        client.send(entry.httpAddress(), std::move(request), std::chrono::minutes(1), [=](http_result answer) {
            BOOST_REQUIRE(answer.has_value());
            done(std::move(answer.value()));
        });
    }

    http_response call(const entry_role& entry, http_request request)
    {
        std::optional<http_response> answer;
        send(entry, std::move(request), [&](http_response received) { answer = std::move(received); });
        runUntil([&] { return answer.has_value(); });
        return *answer;
    }

    /// Runs until the entry lists so many endpoints that may get requests.
    void awaitEndpoints(const entry_role& entry, std::size_t count)
    {
        std::size_t seen = count + 1;
        while (seen != count) {
            const auto status = call(entry, { "GET", "/v1/status", {}, {}, {} }).body;
            seen = 0;
            for (auto at = status.find("serving"); at != std::string::npos; at = status.find("serving", at + 1))
                ++seen;
        }
    }

    double metric(const entry_role& entry, const std::string& name)
    {
        const auto text = call(entry, { "GET", "/metrics", {}, {}, {} }).body;
        const auto at = text.find("\n" + name + " ");
        BOOST_REQUIRE(at != std::string::npos);
        return std::stod(text.substr(at + name.size() + 2));
    }

    event_loop loop;
    http_client client { loop, 1000 };
    std::vector<std::unique_ptr<entry_role>> entries;
    std::vector<std::unique_ptr<endpoint_sidecar>> sidecars;
};

inline http_request makeCall(const std::string& body, http_headers headers = {})
{
    return { "POST", "/v1/call/desk/loans", {}, std::move(headers), body };
}

inline std::string verdictOf(const http_response& response)
{
    const auto found = response.headers.find("x-poplardeal-verdict");
    return found == response.headers.end() ? "none" : found->second;
}

} // namespace poplardeal::test
