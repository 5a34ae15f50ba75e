#include "limited_process.h"
#include "crowd.h"
#include <array>
#include <chrono>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace poplardeal::soak {

namespace {

    constexpr const char* ownIp = "127.96.7.1";
    constexpr const char* absentControl = "127.96.7.2:7841";
    constexpr std::uint16_t framePort = 7840;
    constexpr std::uint16_t doorPort = 7841;
    constexpr std::uint16_t readyPort = 7842;
    constexpr std::uint16_t metricsPort = 7843;
    constexpr std::array roleNames { "queue-control", "queue-entry", "queue-sidecar" };
    constexpr int startChecks = 1000;
    constexpr auto startCheckInterval = std::chrono::milliseconds(20);

    std::filesystem::path makeFolder()
    {
        auto pattern = (std::filesystem::temp_directory_path() / "client-limits-XXXXXX").string();
        if (::mkdtemp(pattern.data()) == nullptr)
            throw std::runtime_error("no temporary folder");
        return pattern;
    }

    void writeSettings(const std::filesystem::path& folder, process_kind kind)
    {
        const bool isControl = kind == process_kind::control;
        std::ofstream out(folder / "settings.toml");
        out << "role = \"" << roleNames.at(static_cast<std::size_t>(kind)) << "\"\nname = \"limited\"\n"
            << "data_centre = \"east\"\nip = \"" << ownIp << "\"\nframe_port = " << framePort
            << "\nmetrics_port = " << metricsPort << "\nhttp = \"" << toString(limited_process::door())
            << "\"\nready = \"" << toString(limited_process::readyDoor()) << "\"\nseeds = [\""
            << (isControl ? toString(limited_process::door()) : absentControl) << "\"]\nmemory_mb = " << limitedMemoryMb
            << "\nmax_fds = " << limitedDescriptors << "\ndata_folder = \"" << (folder / "data").string()
            << "\"\nbootstrap = true\n";
        std::filesystem::create_directories(folder / "data");
    }

    std::vector<std::string> commandOf(const std::string& daemon, const std::filesystem::path& folder)
    {
        return { daemon, "--settings", (folder / "settings.toml").string() };
    }

} // namespace

address limited_process::door() { return { ownIp, doorPort }; }
address limited_process::readyDoor() { return { ownIp, readyPort }; }
address limited_process::metricsDoor() { return { ownIp, metricsPort }; }
address limited_process::frameDoor() { return { ownIp, framePort }; }

limited_process::limited_process(process_kind kind, const std::string& daemon)
    : m_folder(makeFolder())
    , m_process(commandOf(daemon, m_folder), (m_folder / "log").string(), {})
{
    writeSettings(m_folder, kind);
    m_process.start();
    for (int i = 0; i < startChecks; ++i) {
        if (askOnce(metricsDoor(), "/metrics").starts_with("HTTP/1.1 200"))
            return;
        std::this_thread::sleep_for(startCheckInterval);
    }
    m_process.kill();
    throw std::runtime_error("the process does not listen");
}

limited_process::~limited_process()
{
    m_process.kill();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

std::size_t limited_process::residentBytes() const
{
    std::ifstream file("/proc/" + std::to_string(m_process.id()) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::size_t limited_process::openDescriptors() const
{
    std::error_code error;
    std::filesystem::directory_iterator entries("/proc/" + std::to_string(m_process.id()) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

} // namespace poplardeal::soak
