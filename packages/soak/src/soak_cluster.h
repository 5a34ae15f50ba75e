#pragma once

#include "child_process.h"
#include "disk_image.h"
#include "loopback_proxy.h"
#include <filesystem>
#include <memory>
#include <poplardeal/wire/address.h>
#include <string>
#include <string_view>
#include <vector>

namespace poplardeal::soak {

/// How many processes a soak runs, and where.
struct cluster_size {
    std::uint32_t controls { 3 };
    std::uint32_t entries { 2 };
    std::uint32_t sidecars { 4 };
    std::uint32_t spares { 3 }; ///< Controls that may replace others.
    /// Processes have the shares of a core, and entries the links, of the platform's grown deployments.
    bool isLimited { false };
    std::uint32_t network { 30 }; ///< All addresses are in 127.NETWORK.0.0/16, so that soaks can run side by side.

    /// Controls that may lose their disks at once, as on the platform.
    std::size_t toleratedLosses() const
    {
        constexpr std::uint32_t groupOfTwoLosses = 5;
        return controls >= groupOfTwoLosses ? 2 : 1;
    }

    /// As on the platform, where groups of five are those of its grown deployments. A control whose disk was lost
    /// counts as lost until this time after it is back.
    duration catchUpTime() const { return std::chrono::seconds(toleratedLosses() == 2 ? 6 : 4); }
};

/// One process of the system, with the proxies before its sockets. Others only know its advertised address.
struct member {
    std::string name;
    std::string advertisedIp;
    std::string ownIp;
    std::filesystem::path data; ///< Of a control.
    double share { 1 }; ///< Of a core.
    std::unique_ptr<child_process> process;
    std::vector<std::unique_ptr<loopback_proxy>> proxies;
    std::unique_ptr<disk_image> disk; ///< Of a control.
    std::filesystem::path fullMark; ///< While it exists, the disk of a control takes no more bytes.
    std::filesystem::path log;
    std::uintmax_t logBytesAtLoss { 0 }; ///< When the disk was lost.
    std::string diskFault; ///< The folder of a control that had ended was not as recorded.
    bool isStarted { false };
    bool hasToJoin { false }; ///< A spare control: no voter before the group has taken it in.
    bool isAbsent { false }; ///< Down for a given time, whatever else would start it.
    bool isRetired { false }; ///< The machine is gone for good.

    bool isActive() const { return isStarted && !isRetired; }
    void setMode(link_mode);
    /// Does nothing for a machine that is absent or gone.
    void start();
    /// A signal that may end a process that has just started.
    void signal(int number);
    /// Ends the process only; what it wrote stays.
    void kill();
    /// Ends the process and takes from its folder what was not synced, also by earlier processes.
    void losePower(std::mt19937_64& random);
    /// Ends the process and empties its folder.
    void loseDisk();
    /// The disk of a control takes no more bytes, or takes them again.
    void setDiskFull(bool isFull) const;
    /// Since it lost its disk or was first started.
    bool hasLogged(std::string_view event) const;
    /// Whether a control has been brought up to date since it lost its disk or, if it is a spare, was started.
    bool mayVote() const;
};

/// The real daemons as separate processes on loopback addresses.
class soak_cluster {
public:
    /// `controlDaemon`: the daemon that records what it does to its folder. `seed`: of the time that syncs take.
    soak_cluster(const cluster_size&, const std::string& daemon, std::filesystem::path folder,
        const std::string& controlDaemon, std::uint64_t seed);

    /// Starts every process. Only the first start may form the group.
    void start();

    /// The controls that take part: replaced ones and unused spares do not.
    std::vector<member*> controls();
    /// The controls that settings written now name.
    std::vector<member*> seeds();
    std::vector<member>& entries() { return m_entries; }
    std::vector<member>& sidecars() { return m_sidecars; }
    /// The controls that take part, the entries and the sidecars.
    std::vector<member*> all();
    bool hasSpare() const { return m_startedSpares < m_size.spares; }
    /// Starts a spare control with an empty disk. Needs `hasSpare`.
    void startSpare();
    /// Ends the process of a control whose machine is gone for good. The settings of the others name other seeds.
    void retire(member&);
    address operatorAddress(const member& control) const { return { control.advertisedIp, operatorPort }; }
    address metricsAddress(const member& control) const { return { control.advertisedIp, metricsPort }; }
    address frontAddress(std::size_t entry) const { return { m_entries[entry].advertisedIp, frontPort }; }
    address workerAddress(std::size_t sidecar) const { return { m_sidecars[sidecar].ownIp, workerPort }; }
    /// Where the sidecar reaches its worker.
    address announcedWorkerAddress(std::size_t sidecar) const
    {
        return { m_sidecars[sidecar].advertisedIp, workerPort };
    }
    /// Call every few milliseconds if the size is limited.
    void enforceShares(instant now);
    /// Open connections between all machines and to the workers never pass anything again; new ones work.
    void silenceAll();
    address sidecarAddress(std::size_t sidecar) const { return { m_sidecars[sidecar].ownIp, operatorPort }; }

    static constexpr std::uint16_t framePort = 7000;
    static constexpr std::uint16_t operatorPort = 7001;
    static constexpr std::uint16_t frontPort = 7002;
    static constexpr std::uint16_t readyPort = 7003;
    static constexpr std::uint16_t workerPort = 7004;
    static constexpr std::uint16_t metricsPort = 7005; ///< Of controls.

private:
    member make(const std::string& role, std::uint32_t number, std::uint32_t host);
    void writeSettings(const member&, const std::string& role, bool bootstrap);
    void writeAllSettings(bool bootstrap);

    cluster_size m_size;
    std::string m_daemon;
    std::filesystem::path m_folder;
    std::string m_controlDaemon;
    std::uint64_t m_seed;
    std::vector<member> m_controls; ///< With the spares, which come last.
    std::uint32_t m_startedSpares { 0 };
    std::vector<member> m_entries;
    std::vector<member> m_sidecars;
    std::vector<std::unique_ptr<loopback_proxy>> m_workerProxies; ///< By sidecar.
};

} // namespace poplardeal::soak
