#include "soak_cluster.h"
#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iterator>
#include <thread>
#include <utility>

namespace poplardeal::soak {

constexpr auto openCheckInterval = std::chrono::milliseconds(20);
constexpr int openChecks = 3000;
/// In log entries. With the first ones, segments and snapshots are replaced and removed many times in a run.
constexpr std::array snapshotIntervals { 10, 100, 4000 };
constexpr double controlShare = 0.4;
constexpr double entryShare = 0.12;
constexpr double sidecarShare = 0.15;
constexpr std::size_t entryBytesPerSecond = 250'000; // 2 Mbit/s

void member::setMode(link_mode mode)
{
    for (const auto& each : proxies)
        each->setMode(mode);
}

void member::start()
{
    if (isRetired || isAbsent)
        return;
    isStarted = true;
    process->start();
}

void member::signal(int number)
{
    if (!disk)
        return process->signal(number);
    process->signal(SIGCONT);
    const auto held = disk->holdOperations();
    process->signal(number);
}

void member::kill()
{
    if (!disk)
        return process->kill();
    process->signal(SIGCONT);
    const auto held = disk->holdOperations();
    process->kill();
    disk->update();
    if (diskFault.empty())
        diskFault = disk->difference();
}

void member::losePower(std::mt19937_64& random)
{
    kill();
    if (disk)
        disk->losePower(random);
}

void member::loseDisk()
{
    kill();
    disk->wipe();
    logBytesAtLoss = std::filesystem::file_size(log);
}

void member::setDiskFull(bool isFull) const
{
    if (isFull)
        std::ofstream mark(fullMark);
    else
        std::filesystem::remove(fullMark);
}

bool member::hasLogged(std::string_view event) const
{
    std::ifstream in(log);
    in.seekg(static_cast<std::streamoff>(logBytesAtLoss));
    return std::string(std::istreambuf_iterator<char>(in), {}).find(event) != std::string::npos;
}

bool member::mayVote() const { return (logBytesAtLoss == 0 && !hasToJoin) || hasLogged("replica_may_vote"); }

soak_cluster::soak_cluster(const cluster_size& size, const std::string& daemon, std::filesystem::path folder,
    const std::string& controlDaemon, std::uint64_t seed)
    : m_size(size)
    , m_daemon(daemon)
    , m_folder(std::move(folder))
    , m_controlDaemon(controlDaemon)
    , m_seed(seed)
{
    std::uint32_t host = 0;
    for (std::uint32_t i = 0; i < size.controls; ++i)
        m_controls.push_back(make("queue-control", i, ++host));
    for (std::uint32_t i = 0; i < size.entries; ++i)
        m_entries.push_back(make("queue-entry", i, ++host));
    for (std::uint32_t i = 0; i < size.sidecars; ++i)
        m_sidecars.push_back(make("queue-sidecar", i, ++host));
    for (std::uint32_t i = 0; i < size.spares; ++i)
        m_controls.push_back(make("queue-control", size.controls + i, ++host));
    for (std::size_t i = 0; i < m_sidecars.size(); ++i)
        m_workerProxies.push_back(std::make_unique<loopback_proxy>(announcedWorkerAddress(i), workerAddress(i)));
}

member soak_cluster::make(const std::string& role, std::uint32_t number, std::uint32_t host)
{
    member out;
    out.name = role + "-" + std::to_string(number + 1);
    const auto network = "127." + std::to_string(m_size.network) + ".";
    out.advertisedIp = network + "1." + std::to_string(host);
    out.ownIp = network + "2." + std::to_string(host);
    const auto settings = (m_folder / (out.name + ".toml")).string();
    const bool isControl = role == "queue-control";
    std::vector<std::string> environment;
    std::vector<std::string> command { isControl ? m_controlDaemon : m_daemon, "--settings", settings };
    if (isControl) {
        out.data = m_folder / out.name;
        const auto record = m_folder / (out.name + ".record");
        out.disk = std::make_unique<disk_image>(out.data, record);
        out.fullMark = record.string() + ".full";
        environment = { "POPLARDEAL_SOAK_FOLDER=" + out.data.string(), "POPLARDEAL_SOAK_RECORD=" + record.string(),
            "POPLARDEAL_SOAK_SEED=" + std::to_string(m_seed * 100 + number) };
    }
    std::vector<std::uint16_t> ports;
    if (role != "queue-sidecar")
        ports = { framePort, isControl ? operatorPort : frontPort };
    for (const auto port : ports)
        out.proxies.push_back(
            std::make_unique<loopback_proxy>(address { out.advertisedIp, port }, address { out.ownIp, port }));
    if (m_size.isLimited) {
        const bool isEntry = role == "queue-entry";
        out.share = isControl ? controlShare : isEntry ? entryShare : sidecarShare;
        for (const auto& proxy : out.proxies)
            proxy->setRate(isEntry ? entryBytesPerSecond : 0);
    }
    out.log = m_folder / (out.name + ".log");
    out.process = std::make_unique<child_process>(std::move(command), out.log.string(), std::move(environment));
    return out;
}

void soak_cluster::writeSettings(const member& each, const std::string& role, bool bootstrap)
{
    std::ofstream out(m_folder / (each.name + ".toml"));
    const auto port = role == "queue-entry" ? frontPort : operatorPort;
    out << "role = \"" << role << "\"\nname = \"" << each.name << "\"\ndata_centre = \"east\"\nip = \""
        << each.advertisedIp << "\"\nlisten_ip = \"" << each.ownIp << "\"\nframe_port = " << framePort << "\nhttp = \""
        << toString(address { each.ownIp, port }) << "\"\nready = \"" << toString(address { each.ownIp, readyPort })
        << "\"\nlease_ms = 3000\nstop_grace_s = 4\n";
    if (!each.data.empty())
        out << "data_folder = \"" << each.data.string() << "\"\nbootstrap = " << (bootstrap ? "true" : "false")
            << "\nmetrics_port = " << metricsPort << "\ntolerated_losses = " << m_size.toleratedLosses()
            << "\nsnapshot_every = " << snapshotIntervals[m_seed % snapshotIntervals.size()] << "\n";
    out << "seeds = [";
    const char* separator = "";
    for (const auto* seed : seeds())
        out << std::exchange(separator, ", ") << '"' << toString(operatorAddress(*seed)) << '"';
    out << "]\n";
}

std::vector<member*> soak_cluster::seeds()
{
    constexpr std::size_t maxSeeds = 3; // As on the platform.
    std::vector<member*> out;
    for (std::size_t i = 0; i < m_controls.size() && out.size() < maxSeeds; ++i) {
        const bool isInitial = i < m_size.controls;
        if (!m_controls[i].isRetired && (isInitial || m_controls[i].isStarted))
            out.push_back(&m_controls[i]);
    }
    return out;
}

void soak_cluster::writeAllSettings(bool bootstrap)
{
    for (const auto& each : m_controls)
        writeSettings(each, "queue-control", bootstrap);
    for (const auto& each : m_entries)
        writeSettings(each, "queue-entry", false);
    for (const auto& each : m_sidecars)
        writeSettings(each, "queue-sidecar", false);
}

void soak_cluster::start()
{
    writeAllSettings(true);
    std::vector<member*> controls;
    for (std::size_t i = 0; i < m_size.controls; ++i)
        controls.push_back(&m_controls[i]);
    for (auto* each : controls) {
        std::filesystem::create_directories(each->data);
        each->start();
    }
    for (auto* group : { &m_entries, &m_sidecars }) {
        for (auto& each : *group)
            each.start();
    }
    // The settings are read at the start; those for later starts must not form a second group.
    const auto isOpen = [](const member* each) { return each->hasLogged("replica_opened"); };
    for (int i = 0; i < openChecks && !std::all_of(controls.begin(), controls.end(), isOpen); ++i)
        std::this_thread::sleep_for(openCheckInterval);
    writeAllSettings(false);
}

void soak_cluster::startSpare()
{
    auto& spare = m_controls.at(m_size.controls + m_startedSpares++);
    std::filesystem::create_directories(spare.data);
    spare.hasToJoin = true;
    spare.start();
}

void soak_cluster::retire(member& control)
{
    control.kill();
    control.isRetired = true;
    writeAllSettings(false);
}

void soak_cluster::enforceShares(instant now)
{
    for (const auto* each : all())
        each->process->enforceShare(each->share, now);
}

void soak_cluster::silenceAll()
{
    for (const auto* each : all()) {
        for (const auto& proxy : each->proxies)
            proxy->silence();
    }
    for (const auto& proxy : m_workerProxies)
        proxy->silence();
}

std::vector<member*> soak_cluster::controls()
{
    std::vector<member*> out;
    for (auto& each : m_controls) {
        if (each.isActive())
            out.push_back(&each);
    }
    return out;
}

std::vector<member*> soak_cluster::all()
{
    auto out = controls();
    for (auto* group : { &m_entries, &m_sidecars }) {
        for (auto& each : *group)
            out.push_back(&each);
    }
    return out;
}

} // namespace poplardeal::soak
