#include "child_process.h"
#include <cerrno>
#include <csignal>
#include <ctime>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace poplardeal::soak {

namespace {

    constexpr duration sharePeriod = std::chrono::milliseconds(100);

    /// Of all threads of the process; 0 if it has ended.
    duration processorTime(pid_t id)
    {
        clockid_t clock {};
        timespec used {};
        if (::clock_getcpuclockid(id, &clock) != 0 || ::clock_gettime(clock, &used) != 0)
            return duration(0);
        return std::chrono::duration_cast<duration>(
            std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec));
    }

} // namespace

child_process::child_process(
    std::vector<std::string> command, std::string logFile, std::vector<std::string> environment)
    : m_command(std::move(command))
    , m_logFile(std::move(logFile))
    , m_environment(std::move(environment))
{
}

child_process::~child_process() { kill(); }

void child_process::start()
{
    if (isRunning())
        return;
    std::vector<char*> arguments;
    for (auto& each : m_command)
        arguments.push_back(each.data());
    arguments.push_back(nullptr);
    std::vector<char*> environment;
    for (auto& each : m_environment)
        environment.push_back(each.data());
    for (char** inherited = environ; *inherited != nullptr; ++inherited)
        environment.push_back(*inherited);
    environment.push_back(nullptr);
    const int log = ::open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t id = log < 0 ? -1 : ::fork();
    if (id < 0)
        throw std::system_error(errno, std::generic_category(), m_command.front());
    if (id == 0) {
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        // A connection of a proxy that a child holds too would stay open after the proxy has closed it.
        ::close_range(STDERR_FILENO + 1, ~0U, 0);
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Nothing goes on if the soak itself is ended.
        ::execve(arguments.front(), arguments.data(), environment.data());
        ::_exit(127);
    }
    ::close(log);
    m_id = id;
    m_isEndAsked = false;
    m_isFrozen = false;
    m_isThrottled = false;
    m_periodEnd = {};
}

void child_process::signal(int number)
{
    if (!isRunning())
        return;
    m_isEndAsked = m_isEndAsked || number == SIGTERM || number == SIGKILL;
    m_isFrozen = number == SIGSTOP || (m_isFrozen && number != SIGCONT);
    ::kill(m_id, number);
}

void child_process::enforceShare(double share, instant now)
{
    if (!isRunning() || m_isFrozen)
        return;
    const auto used = processorTime(m_id);
    if (now >= m_periodEnd) {
        m_periodEnd = now + sharePeriod;
        m_usedBefore = used;
        if (std::exchange(m_isThrottled, false))
            ::kill(m_id, SIGCONT);
    } else if (!m_isThrottled && used - m_usedBefore > sharePeriod * share) {
        m_isThrottled = true;
        ::kill(m_id, SIGSTOP);
    }
}

void child_process::kill()
{
    signal(SIGKILL);
    int status = 0;
    if (m_id != 0 && ::waitpid(m_id, &status, 0) == m_id)
        collected(status);
}

bool child_process::isRunning()
{
    int status = 0;
    if (m_id != 0 && ::waitpid(m_id, &status, WNOHANG) == m_id)
        collected(status);
    return m_id != 0;
}

void child_process::collected(int)
{
    m_id = 0;
    if (!m_isEndAsked)
        ++m_ownEnds;
}

} // namespace poplardeal::soak
