#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <poplardeal/base/ids.h>
#include <poplardeal/base/time.h>
#include <set>
#include <string>
#include <vector>

namespace poplardeal {

enum class endpoint_state {
    serving,
    draining,
};

/// What an endpoint sidecar reports about itself.
struct announcement {
    endpoint_id endpoint;
    service_name service;
    data_centre_name dataCentre;
    incarnation process; ///< A higher one replaces the earlier process of the same endpoint.
    std::uint64_t sequence { 0 }; ///< Grows with each announcement of one process.
    endpoint_state state { endpoint_state::serving };
    std::uint32_t slots { 0 };
    std::uint32_t freeSlots { 0 };
    std::uint32_t queued { 0 };

    friend bool operator==(const announcement&, const announcement&) = default;
};

struct endpoint_record {
    announcement last;
    instant heardAt;
};

struct membership_settings {
    std::string tracker; ///< Name of the entry; selects its subset of a large service.
    duration forgetAfter { std::chrono::seconds(3) };
    /// How long the incarnation of an absent endpoint is remembered, so that late messages of it are recognised.
    duration rememberFor { std::chrono::minutes(10) };
    std::size_t maxPerService { 100 };
    std::size_t maxKnown { 4096 }; ///< Endpoints present or remembered. When full, new ones are not tracked.
};

enum class announce_result {
    accepted,
    stale, ///< Older incarnation or sequence, or a process that has said goodbye.
    not_tracked, ///< Outside this entry's subset, or the table is full.
};

/// Endpoints known to one entry. It needs nothing but announcements, so it works with control unreachable.
///
///     membership_table table({ .tracker = "entry-1" });
///     table.take(announced, loop.now());
///     for (const auto* record : table.eligible(service_name("booking"), loop.now()))
///         use(record->last);
class membership_table {
public:
    explicit membership_table(membership_settings);

    announce_result take(const announcement&, instant now);

    /// The process has said goodbye. Nothing of this or an earlier incarnation is accepted again.
    void leave(const endpoint_id&, incarnation, instant now);

    /// The connection to the process is lost. A later announcement of the same process readmits it.
    void disconnect(const endpoint_id&, incarnation, instant now);

    /// Replaces the set of data centres whose endpoints get nothing.
    void setOutOfService(std::set<data_centre_name>);

    /// Forgets silent endpoints and returns them. Call it about once a second; `eligible` does not depend on it.
    std::vector<endpoint_id> expire(instant now);

    /// Endpoints of the service that may get requests, ordered by name. Pointers hold until the next change.
    std::vector<const endpoint_record*> eligible(const service_name&, instant now) const;

    /// Null if the endpoint is unknown or forgotten.
    const endpoint_record* find(const endpoint_id&) const;

    std::size_t presentCount(const service_name&) const;
    std::size_t knownCount() const { return m_known.size(); }
    std::vector<const endpoint_record*> present() const;

private:
    struct known_endpoint {
        endpoint_record record;
        bool present { false };
        bool finished { false };
    };

    bool isEligible(const endpoint_record&, instant now) const;
    bool makeRoom(const announcement&, instant now);
    bool makeRoomInService(const announcement&, instant now);
    void setAbsent(const endpoint_id&, known_endpoint&);

    membership_settings m_settings;
    std::map<endpoint_id, known_endpoint> m_known;
    std::map<service_name, std::set<endpoint_id>> m_services;
    std::set<data_centre_name> m_outOfService;
};

/// Weight of an endpoint for a tracker in rendezvous hashing: a tracker keeps the endpoints of highest weight.
std::uint64_t rendezvousWeight(const std::string& tracker, const endpoint_id&);

} // namespace poplardeal
