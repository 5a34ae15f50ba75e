#pragma once

#include "promises.h"
#include "soak_cluster.h"
#include "standin_worker.h"
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <set>

namespace poplardeal::soak {

struct soak_options {
    std::uint64_t seed { 1 };
    duration faults { std::chrono::seconds(12) }; ///< Time in which faults are injected.
    /// Also the loss of two disks at a time in a group that has to bear it, replaced controls, all connections silent
    /// at the same time, workers that are silent, leave, or are said to end by a word of an earlier boot, and a loss of
    /// disks at the end.
    bool hasExtraFaults { false };
    bool hasFullDisks { false }; ///< Also disks of controls that take no more bytes for a while, up to all at once.
    cluster_size size;
    std::string daemon;
    std::string controlDaemon; ///< Path of the daemon of controls, which records what it does to its data folder.
    std::filesystem::path folder; ///< Settings, data and logs.
};

struct soak_report {
    std::vector<std::string> broken; ///< Promises, and processes that ended by themselves.
    std::vector<std::string> faults; ///< What was injected, in order.
    std::size_t accepted { 0 };
    std::size_t starts { 0 };
    std::size_t plans { 0 }; ///< Acknowledged.
};

/// Callers, an operator and workers around a cluster whose processes, links and disks fail by a seeded schedule. Checks
/// the promises while it runs, then heals everything and waits until all accepted jobs are completed.
class soak {
public:
    soak(event_loop&, const soak_options&);
    soak_report run();

private:
    struct caller;

    // Load.
    void submitOne();
    void attempt(const std::shared_ptr<caller>&);
    void poll(const std::shared_ptr<caller>&);
    /// Asks until there is an answer, at another entry each time.
    void lookUp(const std::shared_ptr<caller>&, std::size_t attempt);
    bool showAnswer(const std::shared_ptr<caller>&, const http_result&);
    void cancel(const std::shared_ptr<caller>&);
    void putPlan();
    void sendPlan(std::uint64_t version, int attemptsLeft);
    void readPlan();
    void orderDataCentre();
    void sendOrder(const std::string& method, int attemptsLeft);

    // Faults.
    void injectOne();
    void failProcess();
    void failControl();
    void losePower();
    /// Ends the process when something that it wrote is not synced, and starts it again.
    void endInWrite(member&, bool losesPower);
    void losePowerAfterKill(member&);
    /// All controls lose power at the same time, `diskLoser`, if there is one, loses its disk, and perhaps all other
    /// machines go down too.
    void losePowerOfAll(const member* diskLoser);
    void failLink();
    void failWorker();
    void injectExtra();
    void injectWorkerFault();
    void fillDisks();
    void replaceControl();
    void endForGood(member& control, bool isTold, const std::function<void()>& then);
    void waitForEnd(member& control, instant deadline, const std::function<void()>& then);
    void loseAnyDisk();
    void loseAtTheEnd();
    /// Loses two disks at the first moment at which that is allowed, and again later.
    void injectTwoLosses();
    void beginTwoLosses();
    /// Two controls lose their disks, perhaps while all others, or all other machines, lose power.
    void loseTwoDisks(const std::vector<member*>& losers);
    /// Two controls are away with their disks; when they come back, or shortly after, two others lose theirs.
    void loseTwoDisksAfterAbsence();
    /// Ends the controls that are seeds one after the other, so that a leader is often none of them.
    void unseatSeeds();
    void keepAway(member&, duration);
    /// No other disk is lost until a loss of two that takes `time` is over.
    void reserveLoss(duration time);
    std::vector<member*> drawControls(std::size_t count);
    void heal();
    void checkEnd(soak_report&);
    /// Until `deadline`, all controls may vote and the group can spare the losses of the deployment. It is a breach if
    /// that is never so.
    void checkGroup(const std::string& when, instant deadline);
    void readGroup();
    bool isGroupWhole();
    void later(duration, std::function<void()>);
    void startLater(member& each, int leastMs, int mostMs);
    bool mayLoseDisk();
    bool mayLoseTwoDisks();
    /// No disk counts as lost, other than of a control that is a voter again, and no control is being replaced.
    bool isEveryDiskBack();
    member& anyControl();
    bool isWholeRunning();
    void note(const std::string& what);

    bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(m_random) < share; }
    int between(int least, int most) { return std::uniform_int_distribution<int>(least, most)(m_random); }
    /// For the faults of `hasExtraFaults`, which leave the schedule of the others as it is.
    int extraBetween(int least, int most) { return std::uniform_int_distribution<int>(least, most)(m_extraRandom); }
    duration extraTime(int leastMs, int mostMs) { return std::chrono::milliseconds(extraBetween(leastMs, mostMs)); }
    duration workerTime(int leastMs, int mostMs)
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<int>(leastMs, mostMs)(m_workerRandom));
    }
    duration someTime(int leastMs, int mostMs) { return std::chrono::milliseconds(between(leastMs, mostMs)); }
    template <class T> T& oneOf(std::vector<T>& all)
    {
        return all[static_cast<std::size_t>(between(0, static_cast<int>(all.size()) - 1))];
    }
    void wait(duration, const std::function<bool()>& until);
    void waitUntil(instant time)
    {
        wait(time - m_loop.now(), [] { return false; });
    }

    event_loop& m_loop;
    soak_options m_options;
    std::mt19937_64 m_random;
    std::mt19937_64 m_extraRandom;
    std::mt19937_64 m_diskRandom; ///< For `fillDisks`.
    std::mt19937_64 m_workerRandom; ///< For `injectWorkerFault`, which leaves the other schedules as they are.
    promises m_promises;
    soak_cluster m_cluster;
    std::vector<std::unique_ptr<standin_worker>> m_workers;
    http_client m_client;
    instant m_begun;
    instant m_diskLostAt;
    instant m_nextLossAt; ///< When the last replacement, or loss of two disks, is over, at the latest.
    bool m_isLossQuiet { false }; ///< The loss of two disks is the only fault meanwhile, so that a leader can act.
    instant m_quietUntil;
    bool m_areTwoLossesDue { false }; ///< No other disk is lost and no control replaced until then.
    bool m_isHealing { false };
    bool m_isOrderUnderWay { false };
    std::uint64_t m_jobs { 0 };
    std::uint64_t m_plan { 0 };
    std::size_t m_plansAcknowledged { 0 };
    std::vector<std::string> m_faults;
    std::vector<std::shared_ptr<caller>> m_callers; ///< Of accepted jobs.
    std::set<std::string> m_currentPlanAt; ///< Controls that showed the newest plan after healing.
    std::set<std::string> m_votingControls; ///< By their own metrics.
    std::optional<double> m_quorumMargin; ///< As the leader says.
    std::vector<std::string> m_groupFaults;
    std::size_t m_lookedUp { 0 }; ///< Of `m_callers`, at the end.
    std::size_t m_lookUpEntry { 0 };
    std::deque<event_loop::timer> m_timers;
};

} // namespace poplardeal::soak
