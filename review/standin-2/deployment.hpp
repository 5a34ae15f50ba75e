// Starts the project's processes with the command of the deploy file, on loopback addresses, and does what the platform
// does: it restarts a process that has ended, and ends one that takes more memory than its machine has.
#pragma once

#include "worker.hpp"
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <random>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

struct deployment_options {
    int controls { 3 };
    int entries { 2 };
    int sidecars { 2 };
    int leaseMs { 6000 };
    int controlMb { 256 };
    int entryMb { 260 };
    int sidecarMb { 128 };
    bool enforcesMemory { false }; ///< A process over the memory of its machine is ended, as on the platform.
};

class deployment {
public:
    deployment(recorder& record, deployment_options options)
        : m_record(record)
        , m_options(options)
        , m_folder(makeFolder())
    {
        // Each machine has an address of its own; the ports are the same on all.
        std::mt19937 random(std::random_device {}());
        const int net = 10 + static_cast<int>(random() % 200);
        const auto ipOf = [net](int kind, int number) {
            return "127." + std::to_string(net) + "." + std::to_string(kind) + "." + std::to_string(number + 1);
        };
        do
            m_port = 20000 + static_cast<int>(random() % 10000);
        while (!areFree(ipOf));
        std::string seeds;
        for (int i = 0; i < m_options.controls; ++i)
            seeds += (i ? ", \"" : "\"") + ipOf(1, i) + ":" + std::to_string(m_port + 1) + "\"";
        for (int i = 0; i < m_options.controls; ++i)
            add("control-" + std::to_string(i), "queue-control", ipOf(1, i), i, m_options.controlMb, seeds);
        for (int i = 0; i < m_options.entries; ++i)
            add("entry-" + std::to_string(i), "queue-entry", ipOf(2, i), i, m_options.entryMb, seeds);
        for (int i = 0; i < m_options.sidecars; ++i)
            add("sidecar-" + std::to_string(i), "queue-sidecar", ipOf(3, i), i, m_options.sidecarMb, seeds);
        for (auto& [name, each] : m_processes)
            spawn(name, each);
        m_watching = std::thread([this] { watch(); });
    }

    ~deployment()
    {
        m_over = true;
        m_watching.join();
        for (auto& [name, each] : m_processes) {
            if (each.pid > 0) {
                ::kill(each.pid, SIGKILL);
                ::waitpid(each.pid, nullptr, 0);
            }
        }
        std::error_code ignored;
        if (std::getenv("KEEP") == nullptr)
            std::filesystem::remove_all(m_folder, ignored);
    }
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    endpoint control(int i) const { return { m_processes.at("control-" + std::to_string(i)).ip, m_port + 1 }; }
    endpoint front(int i) const { return { m_processes.at("entry-" + std::to_string(i)).ip, m_port + 2 }; }
    endpoint ready(int i) const { return { m_processes.at("entry-" + std::to_string(i)).ip, m_port + 3 }; }
    endpoint sidecar(int i) const { return { m_processes.at("sidecar-" + std::to_string(i)).ip, m_port + 1 }; }
    endpoint runner(int i) const { return { m_processes.at("sidecar-" + std::to_string(i)).ip, m_port + 4 }; }
    int entries() const { return m_options.entries; }
    int controls() const { return m_options.controls; }

    void signal(const std::string& name, int number)
    {
        const std::lock_guard guard(m_mutex);
        const auto pid = m_processes.at(name).pid;
        m_record.note("signal " + std::to_string(number) + " to " + name);
        if (pid > 0)
            ::kill(pid, number);
    }

    /// Ends that nobody asked for, by process: crashes, and ends for want of memory.
    std::map<std::string, int> ownEnds()
    {
        const std::lock_guard guard(m_mutex);
        std::map<std::string, int> out;
        for (const auto& [name, each] : m_processes)
            out[name] = each.ownEnds;
        return out;
    }

    int peakMb(const std::string& name)
    {
        const std::lock_guard guard(m_mutex);
        return m_processes.at(name).peakMb;
    }
    int limitMb(const std::string& name) const { return m_processes.at(name).memoryMb; }
    std::vector<std::string> names() const
    {
        std::vector<std::string> out;
        for (const auto& [name, each] : m_processes)
            out.push_back(name);
        return out;
    }

    /// The operator: sends the manifest until it is acknowledged.
    bool apply(const json& manifest)
    {
        for (int attempt = 0; attempt < 100; ++attempt) {
            const auto answer
                = call(control(attempt % m_options.controls), "PUT", "/config", manifest.dump(), {}, 1000);
            if (answer.status == 200) {
                m_record.note("manifest " + manifest.at("version").dump() + " acknowledged");
                return true;
            }
            pause(150);
        }
        return false;
    }

private:
    struct process {
        std::string ip;
        std::string settings;
        int memoryMb { 0 };
        pid_t pid { -1 };
        int ownEnds { 0 };
        int peakMb { 0 };
        steady::time_point restartAt;
    };

    static std::string makeFolder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (::mkdtemp(pattern.data()) == nullptr)
            std::abort();
        return pattern;
    }

    template <class Ip> bool areFree(const Ip& ipOf) const
    {
        for (int kind = 1; kind <= 3; ++kind) {
            for (int i = 0; i < 12; ++i) {
                for (int port = m_port; port < m_port + 6; ++port) {
                    if (!isFree({ ipOf(kind, i), port }))
                        return false;
                }
            }
        }
        return true;
    }

    /// As the template of the deploy file is filled in for a small deployment.
    void add(const std::string& name, const std::string& role, const std::string& ip, int number, int memoryMb,
        const std::string& seeds)
    {
        process fresh;
        fresh.ip = ip;
        fresh.memoryMb = memoryMb;
        fresh.settings = m_folder + "/" + name + ".toml";
        std::ofstream out(fresh.settings);
        const auto port = [this](int offset) { return ":" + std::to_string(m_port + offset) + "\"\n"; };
        out << "role = \"" << role << "\"\nname = \"" << name << "\"\ndata_centre = \"zone-" << number % 3 + 1
            << "\"\nip = \"" << ip << "\"\nframe_port = " << m_port << "\nmetrics_port = " << m_port + 5
            << "\nseeds = [" << seeds << "]\nbootstrap = true\nlease_ms = " << m_options.leaseMs
            << "\nstop_grace_s = 6\ndistance_factor = 3\nuses_expected_times = true\nwork_order = \"value\"\n"
            << "weighs_preemptions = true\nstop_ms = 200\ncheckpoint_interval_s = 0.5\nrestore_ms = 600\n"
            << "gang_ms = 3000\nreclaim_ms = 2700\nnotice_ms = 4500\nmemory_mb = " << memoryMb << "\nmax_fds = 4096\n";
        if (role == "queue-control")
            out << "http = \"" << ip << port(1) << "data_folder = \"" << m_folder << "/" << name << "\"\n";
        else if (role == "queue-entry")
            out << "http = \"" << ip << port(2) << "ready = \"" << ip << port(3);
        else
            out << "http = \"" << ip << port(1) << "worker = \"" << ip << port(4);
        m_processes[name] = fresh;
    }

    void spawn(const std::string& name, process& each)
    {
        const auto log = m_folder + "/" + name + ".log";
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Nothing outlives the test.
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execl("target/bin/poplardeald", "target/bin/poplardeald", "--settings", each.settings.c_str(), nullptr);
            ::_exit(127);
        }
        each.pid = pid;
    }

    static int residentMb(pid_t pid)
    {
        std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
        long total = 0;
        long resident = 0;
        in >> total >> resident;
        return static_cast<int>(resident * (::sysconf(_SC_PAGESIZE) / 1024) / 1024);
    }

    void watch()
    {
        while (!m_over) {
            {
                const std::lock_guard guard(m_mutex);
                for (auto& [name, each] : m_processes)
                    look(name, each);
            }
            pause(2);
        }
    }

    void look(const std::string& name, process& each)
    {
        if (each.pid < 0) {
            if (steady::now() >= each.restartAt) {
                spawn(name, each);
                m_record.note(name + " is started again");
            }
            return;
        }
        int status = 0;
        if (::waitpid(each.pid, &status, WNOHANG) == each.pid) {
            ++each.ownEnds;
            m_record.note(name + " has ended by itself, status " + std::to_string(status));
            each.pid = -1;
            each.restartAt = steady::now() + millis(300);
            return;
        }
        const int resident = residentMb(each.pid);
        each.peakMb = std::max(each.peakMb, resident);
        if (!m_options.enforcesMemory || resident <= each.memoryMb)
            return;
        ::kill(each.pid, SIGKILL);
        ::waitpid(each.pid, nullptr, 0);
        ++each.ownEnds;
        m_record.note(name + " takes " + std::to_string(resident) + " MB of its machine's "
            + std::to_string(each.memoryMb) + " MB and is ended");
        each.pid = -1;
        each.restartAt = steady::now() + millis(300);
    }

    recorder& m_record;
    deployment_options m_options;
    std::string m_folder;
    int m_port { 0 };
    std::mutex m_mutex;
    std::map<std::string, process> m_processes;
    std::atomic<bool> m_over { false };
    std::thread m_watching;
};

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// A manifest with one service and queues of the given priorities, at "/q0/", "/q1/" and so on of one host.
inline json manifestOf(std::uint64_t version, const std::vector<int>& priorities, int attempts = 3)
{
    json out { { "version", version },
        { "services",
            { { { "name", "desk" }, { "health_path", "/health" }, { "max_conns", 64 }, { "protocol", "h1" },
                { "tls", false }, { "enforces_capacity", true }, { "spare", false } } } },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 262144 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } },
        { "tenants",
            { { { "name", "tenant-1" }, { "api_keys", { "key-1" } }, { "priority", 1 },
                { "guaranteed", { { "gpu", 0 } } } } } } };
    for (std::size_t i = 0; i < priorities.size(); ++i)
        out["routes"].push_back({ { "name", "route-" + std::to_string(i) }, { "host", "jobs.example" },
            { "path_prefix", "/q" + std::to_string(i) + "/" }, { "kind", "unsafe" }, { "timeout_ms", 3000 },
            { "target_duration_ms", 1000 }, { "priority", priorities[i] }, { "service", "desk" },
            { "attempts", attempts }, { "stretch", 3.0 }, { "public", false } });
    return out;
}

/// A client's call on a queue, as the pages say it.
inline reply queueCall(const endpoint& front, const std::string& method, const std::string& path,
    const std::string& body = {}, int timeoutMs = 3000)
{
    return call(front, method, path, body,
        { { "Host", "jobs.example" }, { "Authorization", "Bearer key-1" },
            { "Poplardeal-Deadline", std::to_string(timeoutMs) } },
        timeoutMs);
}

} // namespace review
