#include "placement_round.h"

/// How long a step may be kept waiting for the sake of others while there is ample room for it.
namespace poplardeal::detail {

const service_use& placement_round::useOf(const service_name& service)
{
    const auto [found, isNew] = m_use.try_emplace(service);
    auto& use = found->second;
    if (!isNew)
        return use;
    for (const auto& worker : m_workers) {
        if (worker.view->service != service)
            continue;
        use.capacity += worker.view->capacity;
        for (const auto& each : worker.placedRuns)
            use.used += each.need;
    }
    return use;
}

bool placement_round::hasAmpleRoom(const candidate& item)
{
    const auto& step = *item.step;
    if (!step.longRunning) {
        const auto& use = useOf(*item.service);
        const bool isUnderHalf = step.need.accelerator.count() > 0
            ? 2 * use.used.accelerator.count() < use.capacity.accelerator.count()
            : 2 * use.used.cpu.count() < use.capacity.cpu.count();
        if (!isUnderHalf)
            return false;
    }
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

bool placement_round::isOwedRoom(const candidate& item)
{
    const auto since = m_input.heldBack.find({ item.key.job, item.key.occurrence, item.key.step });
    return since != m_input.heldBack.end() && m_input.now - since->second >= m_options.maxHoldBack
        && hasAmpleRoom(item);
}

void placement_round::recordHoldBack(const candidate& item)
{
    const step_key step { item.key.job, item.key.occurrence, item.key.step };
    if (m_decisions.heldBack.contains(step) || !hasAmpleRoom(item)
        || (!item.step->longRunning && item.job->hasActiveUnits()))
        return;
    const auto since = m_input.heldBack.find(step);
    m_decisions.heldBack.emplace(step, since == m_input.heldBack.end() ? m_input.now : since->second);
}

} // namespace poplardeal::detail
