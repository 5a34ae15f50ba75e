#include "leader_link.h"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <poplardeal/base/log.h>
#include <xxhash.h>

namespace poplardeal::detail {

namespace {

    constexpr duration leaderProbeInterval = std::chrono::milliseconds(500);
    constexpr duration followerProbeInterval = std::chrono::milliseconds(1500);
    /// A connection without an answer for this long is replaced: it may have gone silent while new ones work.
    constexpr duration leaderSilence = std::chrono::milliseconds(1200);
    constexpr duration followerSilence = std::chrono::milliseconds(4000);
    constexpr duration longestRedial = std::chrono::milliseconds(500);
    constexpr std::size_t maxControls = 16; // The design size sets at most 7 aside; the rest are stale seeds.

} // namespace

leader_link::leader_link(event_loop& loop, const fleet_settings& settings, message::process_role role)
    : m_loop(loop)
    , m_name(settings.name)
    , m_dataCentre(settings.dataCentre)
    , m_framePort(settings.framePort)
    , m_role(role)
{
    addSeeds(settings.seeds);
}

void leader_link::start(instant now)
{
    for (auto& [frames, each] : m_controls)
        each.heardAt = now;
}

void leader_link::addSeeds(const std::vector<address>& seeds)
{
    for (const auto& seed : seeds)
        add({ seed.ip, m_framePort }, true);
}

void leader_link::add(const address& frames, bool isSeed)
{
    const auto found = m_controls.find(frames);
    if (found != m_controls.end()) {
        found->second.isSeed = found->second.isSeed || isSeed;
        return;
    }
    if (m_controls.size() >= maxControls) {
        // Makes room by forgetting the control that has been silent for longest and does not lead.
        const auto oldest
            = std::min_element(m_controls.begin(), m_controls.end(), [this](const auto& a, const auto& b) {
                  return std::pair(m_leader == a.first, a.second.heardAt)
                      < std::pair(m_leader == b.first, b.second.heardAt);
              });
        m_retired.push_back(std::move(oldest->second.link));
        m_controls.erase(oldest);
    }
    auto& each = m_controls[frames];
    each.isSeed = isSeed;
    each.heardAt = m_loop.now();
    dial(frames, each);
}

void leader_link::dial(const address& frames, control& each)
{
    const auto seed = XXH3_64bits(m_name.data(), m_name.size()) + ++m_dials;
    each.link = std::make_unique<dialer>(m_loop, frames, seed, longestRedial);
    auto* link = each.link.get();
    link->onUp([this, link] {
        message::helloT hello;
        hello.role = m_role;
        hello.name = m_name;
        hello.data_centre = m_dataCentre.value();
        hello.protocol = 1;
        link->send(packMessage(frame_kind::hello, 0, hello));
        link->send(packMessage(frame_kind::control_probe, 0, message::control_probeT {}));
    });
    link->onDown([this, frames] {
        const auto found = m_controls.find(frames);
        if (found == m_controls.end())
            return;
        found->second.leads = false;
        chooseLeader();
    });
    link->onFrame([this, frames](const frame& received) { handle(frames, received); });
    link->start();
}

void leader_link::handle(const address& from, const frame& received)
{
    const auto found = m_controls.find(from);
    if (found == m_controls.end())
        return;
    found->second.heardAt = m_loop.now();
    if (received.kind != frame_kind::control_hint) {
        if (m_onFrame)
            m_onFrame(received);
        return;
    }
    const auto hint = unpackMessage<message::control_hint>(received.body);
    if (hint.has_error()) {
        logEvent(log_level::warning, "message_refused", { { "kind", "control_hint" }, { "peer", toString(from) } });
        return;
    }
    takeHint(from, hint.value());
}

void leader_link::takeHint(const address& from, const message::control_hintT& hint)
{
    auto& each = m_controls.at(from);
    each.leads = hint.leads;
    each.term = hint.term;
    for (const auto& text : hint.controls) {
        const auto parsed = parseAddress(text);
        if (parsed.has_value())
            add(parsed.value(), false);
    }
    chooseLeader();
}

void leader_link::chooseLeader()
{
    std::optional<address> best;
    std::uint64_t bestTerm = 0;
    for (const auto& [frames, each] : m_controls) {
        if (each.leads && each.link->isUp() && each.term >= bestTerm) {
            best = frames;
            bestTerm = each.term;
        }
    }
    if (best == m_leader && (!best || bestTerm == m_term))
        return;
    m_leader = best;
    if (best)
        m_term = bestTerm;
    logEvent(best ? log_level::info : log_level::warning, best ? "leader_found" : "leader_lost",
        { { "leader", best ? toString(*best) : "" }, { "term", m_term } });
    if (m_onLeaderChanged)
        m_onLeaderChanged();
}

void leader_link::tick(instant now)
{
    m_retired.clear();
    const auto probe = packMessage(frame_kind::control_probe, 0, message::control_probeT {});
    for (auto& [frames, each] : m_controls) {
        const bool leads = m_leader == frames;
        if (!each.link->isUp()) {
            each.heardAt = now;
            continue;
        }
        // Without a leader every control is asked often, so that a new one is found soon.
        const auto interval = leads || !m_leader ? leaderProbeInterval : followerProbeInterval;
        if (now - each.probedAt >= interval) {
            each.probedAt = now;
            each.link->send(probe);
        }
        if (now - each.heardAt < (leads ? leaderSilence : followerSilence))
            continue;
        logEvent(log_level::warning, "connection_silent",
            { { "peer", toString(frames) },
                { "silent_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - each.heardAt).count() } });
        each.leads = false;
        each.heardAt = now;
        m_retired.push_back(std::move(each.link));
        dial(frames, each);
    }
    chooseLeader();
}

bool leader_link::send(const frame& out)
{
    if (!m_leader)
        return false;
    return m_controls.at(*m_leader).link->send(out);
}

} // namespace poplardeal::detail
