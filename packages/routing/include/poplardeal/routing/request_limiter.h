#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <poplardeal/base/time.h>
#include <string>
#include <string_view>
#include <vector>

namespace poplardeal {

struct limiter_settings {
    unsigned slots { 8 }; ///< Requests that the runner works on at the same time.
    unsigned connections { 64 }; ///< Bound on connections to the runner, and on requests running or waiting.
    std::size_t maxQueuedBytes { std::size_t { 64 } * 1024 * 1024 }; ///< Of the bodies of waiting requests.
};

struct limited_request {
    std::uint64_t id { 0 }; ///< Chosen by the owner, unique among the requests held.
    std::string group; ///< Waiting requests of the same urgency are served group by group in turn.
    std::uint8_t urgency { 1 }; ///< 0 is the most urgent.
    instant deadline;
    std::size_t bytes { 0 };
};

enum class refusal {
    queue_full,
    deadline_passed,
    wait_too_long, ///< It would not be done before its deadline.
    displaced, ///< A more urgent request, or one of a group with fewer requests, took its place.
};

std::string_view toString(refusal);

struct refused_request {
    std::uint64_t id { 0 };
    refusal reason { refusal::queue_full };

    friend bool operator==(const refused_request&, const refused_request&) = default;
};

/// What the owner is to do: start these requests, answer those as not run.
struct limiter_decision {
    std::vector<std::uint64_t> start;
    std::vector<refused_request> refused;
};

/// Keeps the requests of one runner within its slots and connections.
///
///     auto decision = limiter.submit({ .id = 7, .group = "desk", .deadline = deadline }, now);
///     for (auto id : decision.start)
///         call(id); // and limiter.finish(id, later) when the runner is done with it
class request_limiter {
public:
    explicit request_limiter(limiter_settings = {});

    limiter_decision submit(const limited_request&, instant now);
    /// The runner is done with a started request.
    limiter_decision finish(std::uint64_t id, instant now);
    /// Takes a waiting request out without a refusal. False if it does not wait.
    bool withdraw(std::uint64_t id);
    /// Refuses waiting requests whose deadline has passed or is too near for a run.
    limiter_decision tick(instant now);

    /// A connection for something else than a request, for instance a health check. False if there is none.
    bool tryHoldConnection();
    void releaseConnection();

    unsigned running() const { return static_cast<unsigned>(m_running.size()); }
    unsigned queued() const { return m_queuedCount; }
    unsigned connectionsHeld() const { return running() + m_otherConnections; }
    unsigned freeSlots() const { return m_settings.slots - running(); }
    std::size_t queuedBytes() const { return m_queuedBytes; }

    /// Expected time until a request of this urgency that arrives now is started.
    duration expectedWait(std::uint8_t urgency) const;

private:
    struct group_queue {
        std::string name;
        std::list<limited_request> requests; ///< Earliest deadline first.
    };
    using urgency_queue = std::list<group_queue>; ///< The group at the front is served next.

    void refuse(limiter_decision&, std::uint64_t id, refusal) const;
    bool canStart() const;
    void start(limiter_decision&, std::uint64_t id, instant now);
    void startWaiting(limiter_decision&, instant now);
    void enqueue(const limited_request&);
    bool hasRoom(const limited_request&) const;
    bool makeRoom(limiter_decision&, const limited_request&);
    bool displaceLessUrgent(limiter_decision&, std::uint8_t urgency);
    bool displaceLargerGroup(limiter_decision&, const limited_request&);
    void dropLast(limiter_decision&, urgency_queue::iterator group);
    limited_request takeNext();
    void dropEmptyGroups();
    void dropExpired(limiter_decision&, instant now);

    limiter_settings m_settings;
    std::map<std::uint64_t, instant> m_running; ///< Start times.
    std::map<std::uint8_t, urgency_queue> m_queues;
    unsigned m_queuedCount { 0 };
    std::size_t m_queuedBytes { 0 };
    unsigned m_otherConnections { 0 };
    double m_runTime { 0 }; ///< Moving average in microseconds; 0 before the first request is done.
};

} // namespace poplardeal
