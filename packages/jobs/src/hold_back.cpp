#include "placement_round.h"

/// How long a step may be kept waiting for the sake of others while there is ample room for it.
namespace poplardeal::detail {

namespace {

    constexpr duration longestRoomGap = std::chrono::milliseconds(500); ///< Which doesn't end a wait beside ample room.

} // namespace

void capacity_use::add(const round_worker& worker)
{
    capacity += worker.view->capacity;
    for (const auto& each : worker.placedRuns)
        used += each.need;
}

bool capacity_use::isUnderHalf(const demand& need) const
{
    if (need.accelerator.count() > 0)
        return 2 * used.accelerator.count() < capacity.accelerator.count();
    return 2 * used.cpu.count() < capacity.cpu.count();
}

const service_use& placement_round::useOf(const service_name& service)
{
    const auto [found, isNew] = m_use.try_emplace(service);
    auto& use = found->second;
    if (!isNew)
        return use;
    for (const auto& worker : m_workers) {
        if (worker.view->service != service || !worker.view->isReachable || worker.view->isSilent)
            continue;
        use.heard.add(worker);
        if (worker.view->avoidUntil <= m_input.now)
            use.trusted.add(worker);
    }
    return use;
}

bool placement_round::hasAmpleRoom(const candidate& item)
{
    const auto& step = *item.step;
    if (!step.longRunning && !useOf(*item.service).isUnderHalf(step.need))
        return false;
    // Room only shrinks within a round.
    if (m_crampedStep == item.step && m_crampedOccurrence == item.key.occurrence)
        return false;
    auto widest = item;
    widest.usesAvoided = true;
    const auto need = reservedDemand(step);
    const std::size_t wanted = 2 * std::size_t { memberCount(step) };
    const std::size_t perWorker = step.maxPerWorker > 0 ? step.maxPerWorker : wanted;
    std::size_t slots = 0;
    for (const auto number : eligibleWorkers(widest).all) {
        slots += slotsIn(need, at(number).free, perWorker);
        if (slots >= wanted)
            return true;
    }
    m_crampedStep = item.step;
    m_crampedOccurrence = item.key.occurrence;
    return false;
}

unit_key placement_round::holdBackKey(const candidate& item)
{
    auto out = item.key;
    if (!item.step->longRunning)
        out.unit = 0;
    return out;
}

bool placement_round::isOwedRoom(const candidate& item)
{
    const auto known = m_input.heldBack.find(holdBackKey(item));
    return known != m_input.heldBack.end() && m_input.now - known->second.since >= m_options.maxHoldBack
        && hasAmpleRoom(item);
}

void placement_round::recordHoldBack(const candidate& item)
{
    const auto key = holdBackKey(item);
    if (m_decisions.heldBack.contains(key) || !hasAmpleRoom(item)
        || (!item.step->longRunning && item.job->hasActiveUnits()))
        return;
    const auto known = m_input.heldBack.find(key);
    m_decisions.heldBack[key] = { known == m_input.heldBack.end() ? m_input.now : known->second.since, m_input.now };
}

/// A run that begins and fails at once takes the room for a moment only.
void placement_round::keepRecentHoldBacks()
{
    for (const auto& [key, known] : m_input.heldBack) {
        if (m_input.now - known.seenAt <= longestRoomGap && !m_placed.contains(key))
            m_decisions.heldBack.emplace(key, known);
    }
}

} // namespace poplardeal::detail
