#include "soak.h"
#include <algorithm>

namespace poplardeal::soak {

namespace {

    constexpr int longestLossMs = 3000;
    constexpr duration longestLoss = std::chrono::milliseconds(longestLossMs);
    constexpr duration settleTime = std::chrono::milliseconds(2500); ///< In which faults that have begun end.
    constexpr duration seedStep = std::chrono::milliseconds(700);
    constexpr duration seedAbsence = std::chrono::milliseconds(1200);
    constexpr duration retryInterval = std::chrono::milliseconds(100);

} // namespace

bool soak::mayLoseTwoDisks()
{
    const auto isGroupComplete = m_cluster.controls().size() >= m_options.size.controls;
    return isGroupComplete && isEveryDiskBack()
        && m_loop.now() - m_diskLostAt > longestLoss + m_options.size.catchUpTime();
}

std::vector<member*> soak::drawControls(std::size_t count)
{
    auto out = m_cluster.controls();
    std::shuffle(out.begin(), out.end(), m_extraRandom);
    out.resize(count);
    return out;
}

void soak::keepAway(member& each, duration time)
{
    each.isAbsent = true;
    later(time, [&each] {
        each.isAbsent = false;
        each.start();
    });
}

void soak::reserveLoss(duration time)
{
    m_nextLossAt = m_loop.now() + time + m_options.size.catchUpTime();
    if (m_isLossQuiet)
        m_quietUntil = m_loop.now() + time;
}

void soak::injectTwoLosses()
{
    if (m_isHealing)
        return;
    m_areTwoLossesDue = true;
    if (!mayLoseTwoDisks())
        return later(retryInterval, [this] { injectTwoLosses(); });
    m_isLossQuiet = extraBetween(0, 3) > 0;
    const auto wait = m_isLossQuiet ? settleTime : duration(0);
    m_quietUntil = m_loop.now() + wait;
    later(wait, [this] { beginTwoLosses(); });
}

void soak::beginTwoLosses()
{
    if (m_isHealing)
        return;
    m_areTwoLossesDue = false;
    switch (extraBetween(0, 3)) {
    case 0:
        loseTwoDisks(drawControls(2));
        break;
    case 1:
        unseatSeeds();
        break;
    default:
        loseTwoDisksAfterAbsence();
    }
    // Leaves time for the loss of a single disk, or a replacement.
    later(m_nextLossAt - m_loop.now() + extraTime(0, 8000), [this] { injectTwoLosses(); });
}

void soak::loseTwoDisks(const std::vector<member*>& losers)
{
    const auto power = extraBetween(0, 3);
    const bool isEverywhere = power == 3;
    const bool losesPower = power >= 2;
    const auto away = extraTime(50, longestLossMs);
    m_diskLostAt = m_loop.now();
    reserveLoss(away);
    note("loss of the disks of " + losers[0]->name + " and " + losers[1]->name
        + (isEverywhere      ? ", and of power of all other machines"
                : losesPower ? ", and of power of all other controls"
                             : ""));
    for (auto* each : losers) {
        each->loseDisk();
        keepAway(*each, away);
    }
    if (!losesPower)
        return;
    for (auto* each : isEverywhere ? m_cluster.all() : m_cluster.controls()) {
        if (std::find(losers.begin(), losers.end(), each) != losers.end())
            continue;
        each->losePower(m_extraRandom);
        later(extraTime(50, 2000), [each] { each->start(); });
    }
    for (const auto& worker : m_workers) {
        if (isEverywhere)
            worker->crash(extraBetween(0, 1) == 0);
    }
}

void soak::loseTwoDisksAfterAbsence()
{
    const auto drawn = drawControls(4);
    const auto away = extraTime(1500, 8000);
    const auto delay = extraBetween(0, 2) == 0 ? duration(0) : extraTime(0, 1000);
    note(drawn[0]->name + " and " + drawn[1]->name + " are away with their disks");
    reserveLoss(away + delay + longestLoss);
    for (auto* each : { drawn[0], drawn[1] }) {
        each->kill();
        keepAway(*each, away);
    }
    later(away + delay, [this, losers = std::vector { drawn[2], drawn[3] }] {
        if (!m_isHealing)
            loseTwoDisks(losers);
    });
}

void soak::unseatSeeds()
{
    const auto seeds = m_cluster.seeds();
    const auto total = seedStep * static_cast<int>(seeds.size() - 1) + seedAbsence + extraTime(0, 1000);
    reserveLoss(total + longestLoss);
    for (std::size_t i = 0; i < seeds.size(); ++i) {
        later(seedStep * static_cast<int>(i), [this, each = seeds[i]] {
            note("kill " + each->name + ", a seed");
            each->kill();
            keepAway(*each, seedAbsence);
        });
    }
    later(total, [this] {
        if (!m_isHealing)
            loseTwoDisks(drawControls(2));
    });
}

} // namespace poplardeal::soak
