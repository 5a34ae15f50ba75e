#pragma once

#include "promises.h"
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <poplardeal/wire/event_loop.h>
#include <poplardeal/wire/http.h>
#include <random>
#include <vector>

namespace poplardeal::soak {

/// Where a stand-in worker listens and where its sidecar does.
struct worker_place {
    std::string id;
    std::string dataCentre;
    std::string rack;
    address own;
    address announced; ///< Where the sidecar reaches it.
    address sidecar;
};

/// A stand-in for the platform's worker: it guards its room, keeps leases and fences, ends its tasks by itself, lists
/// ends until they are acknowledged, and can crash, leave, be silent, leave calls unanswered and carry out starts late.
class standin_worker {
public:
    standin_worker(event_loop&, worker_place, promises&, std::uint64_t seed);

    /// Everything that runs is gone; a new boot answers at the same address, under the same id or another.
    void crash(bool keepsId);
    /// A share of the starts and stops gets no answer and is carried out up to 4 s later.
    void loseOrders(double share) { m_lostShare = share; }
    void setDraining(bool isDraining) { m_isDraining = isDraining; }
    /// Calls wait until the end of the silence; what runs goes on.
    void setSilent(bool isSilent);
    /// Everything that runs is gone and nothing listens, until `crash` begins another boot.
    void goDown();
    /// Sends the word that the worker of an id ends.
    void sendDeparture(const std::string& id);
    const std::string& id() const { return m_id; }

    /// The platform's longest lease in the settings that the soak writes.
    static constexpr duration longestLease { std::chrono::milliseconds(3000) };

private:
    struct running_task {
        std::uint32_t run { 0 };
        instant startedAt;
        instant endsAt;
    };
    struct end_row {
        std::uint64_t number { 0 };
        std::string task;
        std::uint32_t run { 0 };
        std::string how;
    };

    void listen();
    void announce();
    void settle();
    void end(const std::string& task, const std::string& how);
    void serve(const http_request&, const http_responder&);
    int start(const nlohmann::json&, std::string& reason);
    void stop(const nlohmann::json&);
    nlohmann::json look(const nlohmann::json&);
    void extendLease(const nlohmann::json&);
    std::int64_t clockMs() const;
    std::string life() const { return m_place.id + "/" + m_id + "/" + std::to_string(m_bornMs); }

    event_loop& m_loop;
    worker_place m_place;
    promises& m_promises;
    std::mt19937_64 m_random;
    http_client m_client;
    std::string m_id;
    std::int64_t m_bornMs { 0 };
    instant m_bornAt;
    std::uint64_t m_boots { 0 };
    std::uint64_t m_sequence { 0 };
    std::uint64_t m_fence { 0 };
    std::uint64_t m_lastEnd { 0 };
    instant m_leaseEnd;
    bool m_isDraining { false };
    bool m_isSilent { false };
    bool m_isDown { false };
    double m_lostShare { 0 };
    std::map<std::string, running_task> m_running;
    std::map<std::string, std::uint32_t> m_over; ///< Highest run that was started, stopped or has ended, by task.
    std::vector<end_row> m_ended;
    std::vector<http_responder> m_unanswered;
    std::vector<std::pair<http_request, http_responder>> m_waiting; ///< Until the silence ends.
    std::vector<event_loop::timer> m_late;
    std::unique_ptr<http_server> m_server;
    event_loop::timer m_beat;
    event_loop::timer m_ticks;
};

} // namespace poplardeal::soak
