#pragma once

#include <cstdint>
#include <map>
#include <poplardeal/base/time.h>
#include <set>
#include <string>
#include <vector>

namespace poplardeal::soak {

/// What callers, operators and workers have seen, and which promises that breaks. Each function takes the present time.
class promises {
public:
    // Callers.
    /// `steps`: tasks of each step. A step begins when all tasks of the one before are done.
    void sent(const std::string& job, const std::string& payload, const std::vector<std::uint32_t>& steps);
    void accepted(const std::string& job, instant now);
    /// An attempt had no answer, or one that leaves it open.
    void unclear(const std::string& job);
    /// The client stops after every attempt had an answer. Unless one left it open, the job was rejected.
    void gaveUp(const std::string& job);
    void cancelAsked(const std::string& job);
    void cancelled(const std::string& job, instant now);
    void shown(const std::string& job, int status, const std::string& state);

    // Operators.
    void planAcknowledged(std::uint64_t version, instant now);
    /// `askedAt`: when the call was sent.
    void planRead(std::uint64_t version, instant askedAt);
    void dataCentreOut(const std::string& name, instant now);
    void dataCentreIn(const std::string& name);

    // Workers. `life` names one boot of a worker.
    void started(const std::string& task, std::uint32_t run, const std::string& life, const std::string& dataCentre,
        const std::string& payload, instant now);
    void ended(const std::string& task, const std::string& life, const std::string& how, instant now);
    /// The end has been taken note of by the scheduler.
    void acknowledged(const std::string& task, const std::string& how);
    /// All runs of a life are over.
    void lifeEnded(const std::string& life, instant now);

    /// Call often while nothing disturbs the system, which has been so since `calmSince`: an open job with nothing
    /// running for `idleLimit` is a breach, once for each job.
    void checkIdleJobs(instant calmSince, instant now);

    /// Jobs that were accepted, not cancelled and not shown as completed.
    std::vector<std::string> openJobs() const;
    const std::vector<std::string>& broken() const { return m_broken; }
    /// The newest plan that was acknowledged.
    std::uint64_t plan() const { return m_plan; }
    std::size_t acceptedCount() const { return m_acceptedCount; }
    std::size_t startCount() const { return m_starts; }

    /// From the acknowledgement of a plan until no other plan may be read; from a data centre order until nothing
    /// more starts there; from a cancellation until nothing more starts.
    static constexpr duration planLag { std::chrono::milliseconds(2000) };
    static constexpr duration evacuationLag { std::chrono::milliseconds(5000) };
    /// Longest time for which a job has nothing running while the next task could run.
    static constexpr duration idleLimit { std::chrono::milliseconds(3000) };
    static constexpr duration cancelLag { std::chrono::milliseconds(3000) };

private:
    struct job_record {
        std::string payload;
        std::vector<std::uint32_t> steps;
        std::set<std::string> running; ///< Tasks.
        instant idleSince;
        bool wasIdle { false }; ///< For longer than `idleLimit`.
        bool wasUnclear { false };
        bool isRejected { false };
        bool hasStarted { false };
        bool isAccepted { false };
        bool isCancelAsked { false };
        bool isCancelled { false };
        bool isCompleted { false };
        instant cancelledAt;
    };
    struct task_record {
        std::map<std::string, std::uint32_t> runs; ///< By life.
        bool isNoted { false }; ///< An end `done` was acknowledged.
    };

    void breach(const std::string& what) { m_broken.push_back(what); }
    std::string jobOf(const std::string& task) const { return task.substr(0, task.find('.')); }
    bool isWhole(const std::string& job) const;
    bool hasTurn(const std::string& task) const;
    void runEnded(const std::string& task, instant now);

    std::map<std::string, job_record> m_jobs;
    std::map<std::string, task_record> m_tasks;
    std::map<std::string, std::set<std::string>> m_doneTasks; ///< By job.
    std::map<std::string, instant> m_out;
    std::uint64_t m_plan { 0 };
    instant m_planAt;
    std::vector<std::string> m_broken;
    std::size_t m_acceptedCount { 0 };
    std::size_t m_starts { 0 };
};

} // namespace poplardeal::soak
