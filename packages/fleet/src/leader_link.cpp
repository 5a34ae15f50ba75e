#include "leader_link.h"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <poplardeal/base/log.h>
#include <xxhash.h>

namespace poplardeal::detail {

namespace {

    constexpr duration leaderProbeInterval = std::chrono::milliseconds(300);
    constexpr duration followerProbeInterval = std::chrono::milliseconds(1500);
    /// A connection without an answer for this long is replaced: it may have gone silent while new ones work. Two
    /// probes to the leader may be late; a lost packet is sent again within 0.4 s.
    constexpr duration leaderSilence = std::chrono::milliseconds(800);
    constexpr duration followerSilence = std::chrono::milliseconds(4000);
    constexpr duration longestRedial = std::chrono::milliseconds(500);
    constexpr duration relayDelay = std::chrono::milliseconds(100); ///< Time for a direct connection to come up first.
    constexpr duration relayPatience = std::chrono::milliseconds(400); ///< Then the next relay is tried.
    constexpr std::size_t maxControls = 16; // The design size sets at most 7 aside; the rest are stale seeds.

} // namespace

leader_link::leader_link(
    event_loop& loop, const fleet_settings& settings, message::process_role role, std::string relay)
    : m_loop(loop)
    , m_name(settings.name)
    , m_dataCentre(settings.dataCentre)
    , m_framePort(settings.framePort)
    , m_role(role)
    , m_relay(std::move(relay))
{
    addSeeds(settings.seeds);
}

void leader_link::start(instant now)
{
    m_leaderLostAt = now;
    for (auto& [frames, each] : m_controls)
        each.at(path_kind::direct).heardAt = now;
}

void leader_link::addSeeds(const std::vector<address>& seeds)
{
    for (const auto& seed : seeds)
        add({ seed.ip, m_framePort }, true);
}

/// Forgets the control that has been silent for longest and does not lead.
void leader_link::makeRoom()
{
    const auto rank = [this](const auto& item) {
        const bool isLeader = m_leader && m_leader->control == item.first;
        return std::pair(isLeader, item.second.at(path_kind::direct).heardAt);
    };
    const auto oldest = std::min_element(
        m_controls.begin(), m_controls.end(), [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); });
    for (auto& each : oldest->second.paths)
        retire(each);
    m_controls.erase(oldest);
}

void leader_link::add(const address& frames, bool isSeed)
{
    const auto found = m_controls.find(frames);
    if (found != m_controls.end()) {
        found->second.isSeed = found->second.isSeed || isSeed;
        return;
    }
    if (m_controls.size() >= maxControls)
        makeRoom();
    m_controls[frames].isSeed = isSeed;
    dial(frames, path_kind::direct, frames);
}

void leader_link::retire(path& way)
{
    if (way.link)
        m_retired.push_back(std::move(way.link));
    way = {};
}

/// `peer` is the control itself or the entry that passes frames on to it.
void leader_link::dial(const address& frames, path_kind kind, const address& peer)
{
    auto& way = m_controls.at(frames).at(kind);
    retire(way);
    way.openedAt = m_loop.now();
    way.heardAt = way.openedAt;
    const auto seed = XXH3_64bits(m_name.data(), m_name.size()) + ++m_dials;
    way.link = std::make_unique<dialer>(m_loop, peer, seed, longestRedial);
    auto* link = way.link.get();
    link->onUp([this, link, frames, kind] { greet(*link, frames, kind); });
    link->onDown([this, frames, kind] {
        const auto found = m_controls.find(frames);
        if (found == m_controls.end())
            return;
        found->second.at(kind).leads = false;
        found->second.at(kind).isAnswering = false;
        chooseLeader();
    });
    link->onFrame([this, frames, kind](const frame& received) { handle(frames, kind, received); });
    link->start();
}

void leader_link::greet(dialer& link, const address& frames, path_kind kind)
{
    if (kind == path_kind::relayed) {
        message::relay_openT open;
        open.target = toString(frames);
        link.send(packMessage(frame_kind::relay_open, 0, open));
    }
    message::helloT hello;
    hello.role = m_role;
    hello.name = m_name;
    hello.data_centre = m_dataCentre.value();
    hello.protocol = 1;
    hello.relay = m_relay;
    link.send(packMessage(frame_kind::hello, 0, hello));
    link.send(packMessage(frame_kind::control_probe, 0, message::control_probeT {}));
}

void leader_link::handle(const address& from, path_kind kind, const frame& received)
{
    const auto found = m_controls.find(from);
    if (found == m_controls.end())
        return;
    found->second.at(kind).heardAt = m_loop.now();
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
    takeHint(from, kind, hint.value());
}

void leader_link::takeHint(const address& from, path_kind kind, const message::control_hintT& hint)
{
    auto& way = m_controls.at(from).at(kind);
    way.isAnswering = true;
    way.leads = hint.leads;
    way.term = hint.term;
    for (const auto& text : hint.controls) {
        const auto parsed = parseAddress(text);
        if (parsed.has_value())
            add(parsed.value(), false);
    }
    if (!hint.leads)
        m_namedLeader = hint.leader;
    std::vector<address> relays;
    for (const auto& text : hint.relays) {
        const auto parsed = parseAddress(text);
        if (parsed.has_value() && text != m_relay)
            relays.push_back(parsed.value());
    }
    if (!relays.empty())
        m_relays = std::move(relays);
    chooseLeader();
}

void leader_link::chooseLeader()
{
    std::optional<choice> best;
    std::uint64_t bestTerm = 0;
    // The direct path comes last, so that it wins over a relayed one of the same term.
    for (const auto kind : { path_kind::relayed, path_kind::direct }) {
        for (const auto& [frames, each] : m_controls) {
            const auto& way = each.at(kind);
            if (way.leads && way.link && way.link->isUp() && way.term >= bestTerm) {
                best = choice { frames, kind };
                bestTerm = way.term;
            }
        }
    }
    if (best == m_leader && (!best || bestTerm == m_term))
        return;
    if (m_leader && !best)
        m_leaderLostAt = m_loop.now();
    m_leader = best;
    if (best)
        m_term = bestTerm;
    logEvent(best ? log_level::info : log_level::warning, best ? "leader_found" : "leader_lost",
        { { "leader", best ? toString(best->control) : "" }, { "term", m_term }, { "relayed", isRelayed() } });
    if (m_onLeaderChanged)
        m_onLeaderChanged();
}

/// Probes one path and replaces it when it is silent.
void leader_link::tend(const address& frames, path_kind kind, path& way, instant now)
{
    if (!way.link)
        return;
    const bool leads = m_leader == choice { frames, kind };
    if (kind == path_kind::relayed) {
        // A relayed path serves only until there is a better one.
        const bool isFailing = now - way.heardAt >= (way.isAnswering ? leaderSilence : relayPatience);
        if (isFailing || (m_leader && !leads))
            return retire(way);
    }
    if (!way.link->isUp()) {
        way.heardAt = kind == path_kind::direct ? now : way.heardAt;
        return;
    }
    // Without a direct leader every control is asked often, so that one is found soon.
    const bool isUrgent = leads || !m_leader || isRelayed();
    if (now - way.probedAt >= (isUrgent ? leaderProbeInterval : followerProbeInterval)) {
        way.probedAt = now;
        way.link->send(packMessage(frame_kind::control_probe, 0, message::control_probeT {}));
    }
    if (kind == path_kind::relayed || now - way.heardAt < (leads ? leaderSilence : followerSilence))
        return;
    logEvent(log_level::warning, "connection_silent",
        { { "peer", toString(frames) },
            { "silent_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - way.heardAt).count() } });
    dial(frames, kind, frames);
}

void leader_link::tick(instant now)
{
    m_retired.clear();
    for (auto& [frames, each] : m_controls) {
        tend(frames, path_kind::direct, each.at(path_kind::direct), now);
        tend(frames, path_kind::relayed, each.at(path_kind::relayed), now);
    }
    chooseLeader();
    if (!m_leader && now - m_leaderLostAt >= relayDelay)
        openRelays();
}

/// A control is worth a relay if another one says that it leads, or if none can be reached directly.
bool leader_link::wantsRelay(const address& frames, const control& each) const
{
    if (each.at(path_kind::relayed).link || each.at(path_kind::direct).isAnswering)
        return false;
    if (m_namedLeader == toString(frames))
        return true;
    return std::none_of(m_controls.begin(), m_controls.end(),
        [](const auto& item) { return item.second.at(path_kind::direct).isAnswering; });
}

void leader_link::openRelays()
{
    if (m_relays.empty())
        return;
    const auto offset = XXH3_64bits(m_name.data(), m_name.size());
    for (auto& [frames, each] : m_controls) {
        if (wantsRelay(frames, each))
            dial(frames, path_kind::relayed, m_relays[(offset + each.relayTries++) % m_relays.size()]);
    }
}

bool leader_link::send(const frame& out)
{
    if (!m_leader)
        return false;
    return m_controls.at(m_leader->control).at(m_leader->via).link->send(out);
}

} // namespace poplardeal::detail
