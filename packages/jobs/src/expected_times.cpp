#include "placement_round.h"
#include <cmath>

/// Placement by the expected end of a unit on the very set of its workers (`planner_options::usesExpectedTimes`).
namespace poplardeal::detail {

namespace {

    /// Sets whose speeds differ by less than this are equally good: estimates are that inaccurate.
    constexpr double equalSpeedRatio = 1.1;
    /// Share of the objective in which work has to end by its estimates if it takes slow workers to leave the others
    /// free: run times are only known to about a quarter.
    constexpr double patientShare = 0.75;
    constexpr double slowWorkerBonus = 0.5; // In units of `freeShare`, where one free accelerator of eight counts 0.25.

    double seconds(duration d) { return std::chrono::duration<double>(d).count(); }

    /// Workers with free capacity for a number of members each.
    struct slot_range {
        double slowness { 1 };
        std::size_t slots { 0 };
    };

    template <class Quantity> std::size_t timesIn(Quantity need, Quantity free, std::size_t limit)
    {
        if (need.count() <= 0)
            return limit;
        return std::min(limit, static_cast<std::size_t>(std::max<std::int64_t>(0, free.count() / need.count())));
    }

    /// Slowness of the slowest member on the fastest set; nothing if there are too few slots. Sorted by slowness.
    std::optional<double> fastestSet(const std::vector<slot_range>& sorted, std::size_t members)
    {
        std::size_t slots = 0;
        for (const auto& each : sorted) {
            slots += each.slots;
            if (slots >= members)
                return each.slowness;
        }
        return std::nullopt;
    }

    /// The slowest set of workers of about the same speed, none slower than `limit`.
    std::optional<slowness_range> slowestEvenSet(
        const std::vector<slot_range>& sorted, std::size_t members, double limit)
    {
        std::size_t slots = 0;
        auto slowest = sorted.rbegin();
        for (auto each = sorted.rbegin(); each != sorted.rend(); ++each) {
            if (each->slowness > limit) {
                slowest = std::next(each);
                continue;
            }
            slots += each->slots;
            while (slowest != each && slowest->slowness > each->slowness * equalSpeedRatio)
                slots -= (slowest++)->slots;
            if (slots >= members)
                return slowness_range { each->slowness, slowest->slowness };
        }
        return std::nullopt;
    }

} // namespace

std::size_t slotsIn(const demand& need, const demand& free, std::size_t limit)
{
    limit = timesIn(need.cpu, free.cpu, limit);
    limit = timesIn(need.memory, free.memory, limit);
    return timesIn(need.accelerator, free.accelerator, limit);
}

double placement_round::slownessOf(const worker_boot& worker) const
{
    const auto found = findWorker(worker.worker);
    return found ? at(*found).slowness : 1;
}

duration placement_round::expectedRunTime(const submission& job, const step_spec& step) const
{
    return m_options.usesExpectedTimes ? m_input.table.ordinaryRunTime(job, step)
                                       : m_input.table.expectedRunTime(job, step);
}

double placement_round::slownessOfSet(const member_placement& placement) const
{
    double out = 0;
    for (const auto number : placement)
        out = std::max(out, at(number).slowness);
    return out;
}

/// How slow workers may be for the unit to end in time, if it starts now.
double placement_round::slownessLimit(const candidate& item) const
{
    const auto& times = timesOf(*item.job, item.key.occurrence);
    const double path = std::max(seconds(times.criticalPaths[item.key.step]), 0.001);
    const auto objective = times.objective * (item.deadlineStatus == deadline_status::on_time ? 1 : 3);
    const double spent = seconds(m_input.wallClock - times.objectiveStart);
    const double share = item.job->priority == 0 ? 1 : patientShare;
    return std::max(0.0, seconds(objective) * share - spent) / path;
}

bool placement_round::isFastEnough(const candidate& item, worker_number number) const
{
    return at(number).slowness <= slownessLimit(item);
}

/// Subtracted from the score of a worker for a unit that tolerates a slow one. Work that can wait measures unknown
/// workers.
double placement_round::patientBonus(const round_worker& worker) const
{
    if (!m_options.usesExpectedTimes)
        return worker.isSlow ? slowWorkerBonus : 0;
    const double certainty = worker.view->speed.certainty;
    return slowWorkerBonus * (1 - certainty + std::log(worker.slowness) / std::log(1.3) * certainty);
}

std::vector<worker_number> placement_round::workersWithin(
    const candidate& item, std::optional<rack_number> rack, const slowness_range& range) const
{
    auto out = eligibleWorkers(item, rack, worker_filter::all);
    std::erase_if(out, [&](worker_number number) {
        return at(number).slowness < range.fastest || at(number).slowness > range.slowest;
    });
    return out;
}

std::optional<member_placement> placement_round::findExpectedPlacement(const candidate& item) const
{
    const bool isPatient = item.job->priority > 0;
    const double limit = slownessLimit(item);
    const auto need = reservedDemand(*item.step);
    const std::size_t members = memberCount(*item.step);
    const std::size_t perWorker = item.step->maxPerWorker > 0 ? item.step->maxPerWorker : members;
    std::optional<rack_number> bestRack;
    std::optional<slowness_range> best;
    bool isBestEven = false;
    for (const auto& rack : placementScopes(item)) {
        std::vector<slot_range> ranges;
        const auto& eligible = eligibleWorkers(item);
        for (const auto number : rack ? eligible.byRack[rack->value()] : eligible.all) {
            const auto& worker = at(number);
            if ((respectsReservations(item) && isReserved(item, worker)) || !mayTakeRun(item, worker))
                continue;
            if (const auto slots = slotsIn(need, worker.free, perWorker); slots > 0)
                ranges.push_back({ worker.slowness, slots });
        }
        std::sort(ranges.begin(), ranges.end(),
            [](const slot_range& a, const slot_range& b) { return a.slowness < b.slowness; });
        if (const auto even = isPatient ? slowestEvenSet(ranges, members, limit) : std::nullopt) {
            if (!isBestEven || even->fastest > best->fastest * equalSpeedRatio) {
                best = even;
                bestRack = rack;
            }
            isBestEven = true;
            continue;
        }
        const auto slowest = fastestSet(ranges, members);
        if (slowest && !isBestEven && (!best || *slowest * equalSpeedRatio < best->slowest)) {
            best = slowness_range { 0, *slowest * equalSpeedRatio };
            bestRack = rack;
        }
    }
    if (!best)
        return std::nullopt;
    return packMembers(item, workersWithin(item, bestRack, *best), respectsReservations(item));
}

bool placement_round::waitsForFasterWorkers(const candidate& item, const member_placement& placement, bool mayPreempt)
{
    if (!m_options.usesExpectedTimes || item.job->priority > 0 || item.deadlineStatus != deadline_status::on_time
        || m_decisions.claims.contains(item.key) || item.isOwedRoom)
        return false;
    const double limit = slownessLimit(item);
    const double slowness = slownessOfSet(placement);
    if (slowness <= limit)
        return false;
    const auto slots = earliestStarts(item, worker_filter::fast);
    if (!slots.empty() && m_reservations < m_options.maxReservations) {
        double later = 0;
        for (const auto& [startsAt, number] : slots)
            later = std::max(later, at(number).slowness);
        const auto run = seconds(item.estimatedRunTime);
        const double wait = seconds(slots.back().first - m_input.now);
        if (wait + run * later <= run * limit) {
            ++m_reservations;
            reserveWorkers(slots);
            return true;
        }
    }
    if (!mayPreempt)
        return false;
    preemptFor(item, worker_filter::fast);
    return m_decisions.claims.contains(item.key);
}

} // namespace poplardeal::detail
