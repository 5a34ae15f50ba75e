#include "child_process.h"
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace poplardeal::soak {

child_process::child_process(std::vector<std::string> command, std::string logFile)
    : m_command(std::move(command))
    , m_logFile(std::move(logFile))
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
        ::execv(arguments.front(), arguments.data());
        ::_exit(127);
    }
    ::close(log);
    m_id = id;
    m_isEndAsked = false;
}

void child_process::signal(int number)
{
    if (!isRunning())
        return;
    m_isEndAsked = m_isEndAsked || number == SIGTERM || number == SIGKILL;
    ::kill(m_id, number);
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
