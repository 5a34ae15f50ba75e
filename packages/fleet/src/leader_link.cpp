#include "leader_link.h"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <poplardeal/base/log.h>
#include <tuple>
#include <xxhash.h>

namespace poplardeal::detail {

namespace {

    constexpr duration leaderProbeInterval = std::chrono::milliseconds(300);
    constexpr duration followerProbeInterval = std::chrono::milliseconds(1500);
    /// A connection without an answer for this long is replaced: new connections may work where it does not. The
    /// timeout tolerates two late probes to the leader; TCP resends a lost packet within 0.4 s.
    constexpr duration leaderSilenceTimeout = std::chrono::milliseconds(800);
    constexpr duration followerSilenceTimeout = std::chrono::milliseconds(4000);
    constexpr duration maxRedialDelay = std::chrono::milliseconds(500);
    constexpr duration relayDelay = std::chrono::milliseconds(100); ///< Gives direct connections time to come up first.
    constexpr duration relayTimeout
        = std::chrono::milliseconds(400); ///< Without an answer, before the next relay is tried.
    constexpr std::size_t maxControls = 16; // The design size has at most 7; the rest are stale seeds.
    constexpr std::size_t maxRelays = 16; // Controls name at most 4.
    constexpr duration refusalLogInterval = std::chrono::seconds(1);

} // namespace

leader_link::leader_link(
    event_loop& loop, const fleet_settings& settings, message::process_role role, std::string relay)
    : m_loop(loop)
    , m_name(settings.name)
    , m_dataCentre(settings.dataCentre)
    , m_framePort(settings.framePort)
    , m_role(role)
    , m_ownRelay(std::move(relay))
    , m_refusalLines(refusalLogInterval)
{
    addSeeds(settings.seeds);
}

void leader_link::start(instant now)
{
    m_leaderLostAt = now;
    for (auto& [controlAddress, each] : m_controls)
        each.at(path_kind::direct).lastReceivedAt = now;
}

void leader_link::addSeeds(const std::vector<address>& seeds)
{
    for (const auto& seed : seeds)
        addControl({ seed.ip, m_framePort }, true);
}

/// Removes the control that has been silent for longest. The leader and controls that answer stay, and a control that
/// only a hint names takes no place of a seed. False if all stay.
bool leader_link::removeStalestControl(bool isForSeed)
{
    const auto mayGo = [&](const auto& item) {
        const auto& paths = item.second.paths;
        const bool isAnswering
            = std::any_of(paths.begin(), paths.end(), [](const path& each) { return each.isAnswering; });
        return !isAnswering && !(m_leader && m_leader->control == item.first) && (isForSeed || !item.second.isSeed);
    };
    const auto rank = [&mayGo](const auto& item) {
        return std::tuple(!mayGo(item), item.second.isSeed, item.second.at(path_kind::direct).lastReceivedAt);
    };
    const auto oldest = std::min_element(
        m_controls.begin(), m_controls.end(), [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); });
    if (!mayGo(*oldest))
        return false;
    for (auto& each : oldest->second.paths)
        closePath(each);
    m_controls.erase(oldest);
    return true;
}

void leader_link::addControl(const address& controlAddress, bool isSeed)
{
    const auto found = m_controls.find(controlAddress);
    if (found != m_controls.end()) {
        found->second.isSeed = found->second.isSeed || isSeed;
        return;
    }
    if (m_controls.size() >= maxControls && !removeStalestControl(isSeed))
        return;
    m_controls[controlAddress].isSeed = isSeed;
    dial(controlAddress, path_kind::direct, controlAddress);
}

void leader_link::closePath(path& controlPath)
{
    if (controlPath.link)
        m_closedLinks.push_back(std::move(controlPath.link));
    controlPath = {};
}

/// `peer` is the control itself or the entry that relays frames to it.
void leader_link::dial(const address& controlAddress, path_kind kind, const address& peer)
{
    auto& controlPath = m_controls.at(controlAddress).at(kind);
    closePath(controlPath);
    controlPath.openedAt = m_loop.now();
    controlPath.lastReceivedAt = controlPath.openedAt;
    const auto seed = XXH3_64bits(m_name.data(), m_name.size()) + ++m_dialCount;
    controlPath.link = std::make_unique<dialer>(m_loop, peer, seed, maxRedialDelay);
    auto* link = controlPath.link.get();
    link->onUp([this, link, controlAddress, kind] { sendHello(*link, controlAddress, kind); });
    link->onDown([this, controlAddress, kind] {
        const auto found = m_controls.find(controlAddress);
        if (found == m_controls.end())
            return;
        found->second.at(kind).leads = false;
        found->second.at(kind).isAnswering = false;
        chooseLeader();
    });
    link->onFrame([this, controlAddress, kind](const frame& received) { handleFrame(controlAddress, kind, received); });
    link->start();
}

void leader_link::sendHello(dialer& link, const address& controlAddress, path_kind kind)
{
    if (kind == path_kind::relayed) {
        message::relay_openT open;
        open.target = toString(controlAddress);
        link.send(packMessage(frame_kind::relay_open, 0, open));
    }
    message::helloT hello;
    hello.role = m_role;
    hello.name = m_name;
    hello.data_centre = m_dataCentre.value();
    hello.protocol = 1;
    hello.relay = m_ownRelay;
    link.send(packMessage(frame_kind::hello, 0, hello));
    link.send(packMessage(frame_kind::control_probe, 0, message::control_probeT {}));
}

void leader_link::handleFrame(const address& from, path_kind kind, const frame& received)
{
    const auto found = m_controls.find(from);
    if (found == m_controls.end())
        return;
    found->second.at(kind).lastReceivedAt = m_loop.now();
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
    applyHint(from, kind, hint.value());
}

/// The addresses in `texts` that this process can connect to, each once. None if there are more than `most`: no control
/// names so many, and they would crowd out good ones.
std::vector<address> leader_link::usableAddresses(
    const std::vector<std::string>& texts, std::size_t most, const address& from, const char* list)
{
    std::vector<address> out;
    bool isOdd = texts.size() > most;
    for (std::size_t i = 0; i < texts.size() && texts.size() <= most; ++i) {
        const auto parsed = parseAddress(texts[i]);
        const bool isUsable = parsed.has_value() && isConnectable(parsed.value());
        isOdd = isOdd || !isUsable;
        if (isUsable && toString(parsed.value()) != m_ownRelay
            && std::find(out.begin(), out.end(), parsed.value()) == out.end())
            out.push_back(parsed.value());
    }
    const auto leftOut = isOdd ? m_refusalLines.admit(m_loop.now()) : std::nullopt;
    if (leftOut)
        logEvent(log_level::warning, "hint_addresses_refused",
            { { "peer", toString(from) }, { "list", list }, { "named", texts.size() }, { "used", out.size() },
                { "left_out", *leftOut } });
    return out;
}

void leader_link::applyHint(const address& from, path_kind kind, const message::control_hintT& hint)
{
    auto& controlPath = m_controls.at(from).at(kind);
    controlPath.isAnswering = true;
    controlPath.leads = hint.leads;
    controlPath.term = hint.term;
    for (const auto& each : usableAddresses(hint.controls, maxControls, from, "controls"))
        addControl(each, false);
    if (!hint.leads)
        m_reportedLeader = hint.leader;
    auto relays = usableAddresses(hint.relays, maxRelays, from, "relays");
    if (!relays.empty())
        m_relays = std::move(relays);
    chooseLeader();
}

void leader_link::chooseLeader()
{
    std::optional<leader_path> best;
    std::uint64_t bestTerm = 0;
    // Direct paths come last, so that they are preferred to relayed ones of the same term.
    for (const auto kind : { path_kind::relayed, path_kind::direct }) {
        for (const auto& [controlAddress, each] : m_controls) {
            const auto& controlPath = each.at(kind);
            if (controlPath.leads && controlPath.link && controlPath.link->isUp() && controlPath.term >= bestTerm) {
                best = leader_path { controlAddress, kind };
                bestTerm = controlPath.term;
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

/// Probes a path; dials it again if it is direct and silent, closes it if it is relayed and silent or not needed.
void leader_link::checkPath(const address& controlAddress, path_kind kind, path& controlPath, instant now)
{
    if (!controlPath.link)
        return;
    const bool leads = m_leader == leader_path { controlAddress, kind };
    if (kind == path_kind::relayed) {
        // A relayed path is closed when another path to a leader is in use.
        const bool isFailing
            = now - controlPath.lastReceivedAt >= (controlPath.isAnswering ? leaderSilenceTimeout : relayTimeout);
        if (isFailing || (m_leader && !leads))
            return closePath(controlPath);
    }
    if (!controlPath.link->isUp()) {
        controlPath.lastReceivedAt = kind == path_kind::direct ? now : controlPath.lastReceivedAt;
        return;
    }
    // Without a direct path to the leader, all controls are probed at the short interval to find one soon.
    const bool isUrgent = leads || !m_leader || isRelayed();
    if (now - controlPath.lastProbeAt >= (isUrgent ? leaderProbeInterval : followerProbeInterval)) {
        controlPath.lastProbeAt = now;
        controlPath.link->send(packMessage(frame_kind::control_probe, 0, message::control_probeT {}));
    }
    if (kind == path_kind::relayed
        || now - controlPath.lastReceivedAt < (leads ? leaderSilenceTimeout : followerSilenceTimeout))
        return;
    logEvent(log_level::warning, "connection_silent",
        { { "peer", toString(controlAddress) },
            { "silent_ms",
                std::chrono::duration_cast<std::chrono::milliseconds>(now - controlPath.lastReceivedAt).count() } });
    dial(controlAddress, kind, controlAddress);
}

void leader_link::tick(instant now)
{
    m_closedLinks.clear();
    for (auto& [controlAddress, each] : m_controls) {
        checkPath(controlAddress, path_kind::direct, each.at(path_kind::direct), now);
        checkPath(controlAddress, path_kind::relayed, each.at(path_kind::relayed), now);
    }
    chooseLeader();
    if (!m_leader && now - m_leaderLostAt >= relayDelay)
        openRelays();
}

/// A control without a working direct path needs a relay if another control reports it as the leader, or if no control
/// answers directly.
bool leader_link::needsRelay(const address& controlAddress, const control& each) const
{
    if (each.at(path_kind::relayed).link || each.at(path_kind::direct).isAnswering)
        return false;
    if (m_reportedLeader == toString(controlAddress))
        return true;
    return std::none_of(m_controls.begin(), m_controls.end(),
        [](const auto& item) { return item.second.at(path_kind::direct).isAnswering; });
}

void leader_link::openRelays()
{
    if (m_relays.empty())
        return;
    const auto offset = XXH3_64bits(m_name.data(), m_name.size());
    for (auto& [controlAddress, each] : m_controls) {
        if (needsRelay(controlAddress, each))
            dial(controlAddress, path_kind::relayed, m_relays[(offset + each.relayAttempts++) % m_relays.size()]);
    }
}

bool leader_link::send(const frame& out)
{
    if (!m_leader)
        return false;
    return m_controls.at(m_leader->control).at(m_leader->via).link->send(out);
}

} // namespace poplardeal::detail
