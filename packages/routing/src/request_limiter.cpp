#include <algorithm>
#include <poplardeal/routing/request_limiter.h>

namespace poplardeal {
namespace detail {

    constexpr double runTimeWeight = 0.1;
    // The expected time to the end is taken this much longer: a queue that is filled up to the deadline of its last
    // request finishes everything just too late. Without the margin a load of twice the capacity halved the goodput.
    constexpr double waitMargin = 1.3;
    // A waiting request with less time left than this share of a usual run is not started. The share is below one,
    // because run times differ between requests.
    constexpr double leastRunShare = 0.5;

} // namespace detail

std::string_view toString(refusal reason)
{
    switch (reason) {
    case refusal::queue_full:
        return "queue full";
    case refusal::deadline_passed:
        return "deadline passed while waiting";
    case refusal::wait_too_long:
        return "expected wait passes the deadline";
    case refusal::displaced:
        return "displaced by a more urgent or less served request";
    }
    return "unknown";
}

request_limiter::request_limiter(limiter_settings settings)
    : m_settings(settings)
{
}

limiter_decision request_limiter::submit(const limited_request& request, instant now)
{
    limiter_decision decision;
    if (request.deadline <= now) {
        refuse(decision, request.id, refusal::deadline_passed);
        return decision;
    }
    dropExpired(decision, now);
    if (m_queuedCount == 0 && canStart()) {
        start(decision, request.id, now);
        return decision;
    }
    const auto expected = static_cast<double>(expectedWait(request.urgency).count()) + m_runTime;
    if (now + duration(static_cast<duration::rep>(expected * detail::waitMargin)) > request.deadline) {
        refuse(decision, request.id, refusal::wait_too_long);
        return decision;
    }
    if (!makeRoom(decision, request)) {
        refuse(decision, request.id, refusal::queue_full);
        return decision;
    }
    enqueue(request);
    return decision;
}

limiter_decision request_limiter::finish(std::uint64_t id, instant now)
{
    limiter_decision decision;
    const auto found = m_running.find(id);
    if (found == m_running.end())
        return decision;
    const auto took = static_cast<double>((now - found->second).count());
    m_runTime = m_runTime == 0 ? took : m_runTime + detail::runTimeWeight * (took - m_runTime);
    m_running.erase(found);
    startWaiting(decision, now);
    return decision;
}

limiter_decision request_limiter::tick(instant now)
{
    limiter_decision decision;
    startWaiting(decision, now);
    return decision;
}

bool request_limiter::withdraw(std::uint64_t id)
{
    for (auto& [level, queue] : m_queues) {
        for (auto& group : queue) {
            const auto found = std::ranges::find(group.requests, id, &limited_request::id);
            if (found == group.requests.end())
                continue;
            m_queuedBytes -= found->bytes;
            --m_queuedCount;
            group.requests.erase(found);
            dropEmptyGroups();
            return true;
        }
    }
    return false;
}

bool request_limiter::tryHoldConnection()
{
    if (connectionsHeld() >= m_settings.connections)
        return false;
    ++m_otherConnections;
    return true;
}

void request_limiter::releaseConnection()
{
    if (m_otherConnections > 0)
        --m_otherConnections;
}

duration request_limiter::expectedWait(std::uint8_t urgency) const
{
    unsigned ahead = 0;
    for (const auto& [level, queue] : m_queues) {
        if (level > urgency)
            break;
        for (const auto& group : queue)
            ahead += static_cast<unsigned>(group.requests.size());
    }
    const auto rounds = static_cast<double>(ahead + 1) / static_cast<double>(std::max(m_settings.slots, 1U));
    return duration(static_cast<duration::rep>(rounds * m_runTime));
}

void request_limiter::refuse(limiter_decision& decision, std::uint64_t id, refusal reason) const
{
    decision.refused.push_back({ id, reason });
}

bool request_limiter::canStart() const
{
    return running() < m_settings.slots && connectionsHeld() < m_settings.connections;
}

void request_limiter::start(limiter_decision& decision, std::uint64_t id, instant now)
{
    m_running.emplace(id, now);
    decision.start.push_back(id);
}

void request_limiter::startWaiting(limiter_decision& decision, instant now)
{
    dropExpired(decision, now);
    while (m_queuedCount > 0 && canStart())
        start(decision, takeNext().id, now);
}

void request_limiter::enqueue(const limited_request& request)
{
    auto& queue = m_queues[request.urgency];
    auto group = std::ranges::find(queue, request.group, &group_queue::name);
    if (group == queue.end())
        group = queue.insert(queue.end(), group_queue { request.group, {} });
    const auto later = std::ranges::upper_bound(group->requests, request.deadline, {}, &limited_request::deadline);
    group->requests.insert(later, request);
    ++m_queuedCount;
    m_queuedBytes += request.bytes;
}

bool request_limiter::hasRoom(const limited_request& request) const
{
    const bool hasPlace = running() + m_queuedCount < m_settings.connections;
    return hasPlace && m_queuedBytes + request.bytes <= m_settings.maxQueuedBytes;
}

bool request_limiter::makeRoom(limiter_decision& decision, const limited_request& request)
{
    if (request.bytes > m_settings.maxQueuedBytes)
        return false;
    while (!hasRoom(request)) {
        if (!displaceLessUrgent(decision, request.urgency) && !displaceLargerGroup(decision, request))
            return false;
    }
    return true;
}

bool request_limiter::displaceLessUrgent(limiter_decision& decision, std::uint8_t urgency)
{
    if (m_queues.empty() || m_queues.rbegin()->first <= urgency)
        return false;
    auto& queue = m_queues.rbegin()->second;
    const auto largest
        = std::ranges::max_element(queue, {}, [](const group_queue& group) { return group.requests.size(); });
    dropLast(decision, largest);
    return true;
}

bool request_limiter::displaceLargerGroup(limiter_decision& decision, const limited_request& request)
{
    const auto found = m_queues.find(request.urgency);
    if (found == m_queues.end())
        return false;
    auto& queue = found->second;
    const auto own = std::ranges::find(queue, request.group, &group_queue::name);
    const auto ownSize = own == queue.end() ? 0 : own->requests.size();
    const auto largest
        = std::ranges::max_element(queue, {}, [](const group_queue& group) { return group.requests.size(); });
    // A difference of one would let two groups displace each other forever.
    if (largest == queue.end() || largest->requests.size() <= ownSize + 1)
        return false;
    dropLast(decision, largest);
    return true;
}

void request_limiter::dropLast(limiter_decision& decision, urgency_queue::iterator group)
{
    const auto victim = group->requests.back();
    group->requests.pop_back();
    dropEmptyGroups();
    --m_queuedCount;
    m_queuedBytes -= victim.bytes;
    refuse(decision, victim.id, refusal::displaced);
}

limited_request request_limiter::takeNext()
{
    const auto level = m_queues.begin();
    auto& queue = level->second;
    auto request = queue.front().requests.front();
    queue.front().requests.pop_front();
    if (queue.front().requests.empty())
        queue.pop_front();
    else
        queue.splice(queue.end(), queue, queue.begin());
    if (queue.empty())
        m_queues.erase(level);
    --m_queuedCount;
    m_queuedBytes -= request.bytes;
    return request;
}

void request_limiter::dropExpired(limiter_decision& decision, instant now)
{
    const auto latest = now + duration(static_cast<duration::rep>(m_runTime * detail::leastRunShare));
    for (auto& [level, queue] : m_queues) {
        for (auto& group : queue) {
            while (!group.requests.empty() && group.requests.front().deadline <= latest) {
                const bool isPassed = group.requests.front().deadline <= now;
                refuse(
                    decision, group.requests.front().id, isPassed ? refusal::deadline_passed : refusal::wait_too_long);
                m_queuedBytes -= group.requests.front().bytes;
                --m_queuedCount;
                group.requests.pop_front();
            }
        }
    }
    dropEmptyGroups();
}

void request_limiter::dropEmptyGroups()
{
    for (auto& [level, queue] : m_queues)
        std::erase_if(queue, [](const group_queue& group) { return group.requests.empty(); });
    std::erase_if(m_queues, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace poplardeal
