#pragma once

#include <poplardeal/base/time.h>
#include <string>
#include <sys/types.h>
#include <vector>

namespace poplardeal::soak {

/// A process that this one has started. Signals go to its id only.
class child_process {
public:
    /// Output of all lives is appended to `logFile`. `environment`: NAME=VALUE, in addition to that of this process.
    child_process(std::vector<std::string> command, std::string logFile, std::vector<std::string> environment);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Throws `std::system_error` if no process can be made.
    void start();
    /// Does nothing if the process has ended.
    void signal(int number);
    /// SIGKILL, and waits for the end.
    void kill();
    /// Collects the exit status if the process has ended since.
    bool isRunning();
    /// 0 if it does not run.
    pid_t id() const { return m_id; }
    /// Call every few milliseconds. The process runs until it has used its share of a core in a tenth of a second, and
    /// then not at all for the rest of that time.
    void enforceShare(double share, instant now);
    /// Ends of lives that no signal of this class asked for.
    int ownEnds() const { return m_ownEnds; }

private:
    void collected(int status);

    std::vector<std::string> m_command;
    std::string m_logFile;
    std::vector<std::string> m_environment;
    pid_t m_id { 0 };
    bool m_isEndAsked { false };
    bool m_isFrozen { false }; ///< By a signal of the caller.
    bool m_isThrottled { false };
    instant m_periodEnd;
    duration m_usedBefore { 0 }; ///< Processor time of this life when the period began.
    int m_ownEnds { 0 };
};

} // namespace poplardeal::soak
