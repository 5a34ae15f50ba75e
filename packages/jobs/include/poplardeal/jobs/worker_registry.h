#pragma once

#include <map>
#include <poplardeal/jobs/failure_attribution.h>
#include <poplardeal/jobs/job_table.h>
#include <poplardeal/jobs/planner.h>
#include <poplardeal/jobs/progress_speeds.h>
#include <set>
#include <string>
#include <vector>

namespace poplardeal {

/// A run that does not exist and will not: its start was refused, no earlier attempt is unanswered and the worker's
/// complete lists do not show it, or the worker has confirmed a stop and lists neither the run nor its end.
struct refused_run {
    run_key run;
    std::string reason;
};

/// What a sidecar reports about its worker.
struct worker_status {
    worker_boot boot;
    std::string address; ///< Where the worker listens; two boots there cannot exist at the same time.
    service_name service;
    data_centre_name dataCentre;
    rack_name rack;
    std::vector<worker_label> labels;
    demand capacity;
    bool isDraining { false };
    duration drainLeft { 0 };
    bool isGone { false }; ///< The boot has ended; nothing of it runs any more. `clockMs` is the last that it showed.
    std::int64_t clockMs { 0 }; ///< Worker's clock when the lists were made.
    bool hasLists { false };
    bool isComplete { true }; ///< False if the lists may lack runs: then no run is known to be absent.
    std::vector<live_task> running;
    std::vector<task_end> ended;
    std::vector<refused_run> refused;
};

struct start_instruction {
    run_key run;
    std::string payload;
    checkpoint saved;
    std::int64_t untilMs { 0 }; ///< Worker's clock; after it the worker refuses the start.
};

/// Everything that is outstanding for a worker boot.
struct worker_instructions {
    worker_boot boot;
    std::int64_t leaseUntilMs { 0 }; ///< Worker's clock.
    std::uint64_t acknowledged { 0 }; ///< Ends up to this number are recorded.
    std::vector<start_instruction> starts;
    std::vector<run_key> stops;
    bool isPartial { false }; ///< There are more; what is missing here is not withdrawn.
};

struct lease_options {
    duration length { std::chrono::seconds(6) }; ///< Longest lease that workers accept; from the settings.
    double minimumClockRate { 0.98 }; ///< Rate of a worker's clock at the least; platform figure.
    duration margin { std::chrono::milliseconds(400) }; ///< Scheduling delay of worker and leader on top of the bound.
    duration startWindow { std::chrono::milliseconds(1500) }; ///< Time in which an ordered start may be carried out.
    duration reachableTimeout { std::chrono::milliseconds(2500) }; ///< Workers silent for longer get no new starts.
    /// A worker whose sidecar was not heard for this long gets no new starts, though its runs go on. Sidecars are heard
    /// at least every 300 ms.
    duration silenceTimeout { std::chrono::milliseconds(700) };
    duration renewalInterval { std::chrono::milliseconds(1000) }; ///< Between renewals without other instructions.
    duration refusalPause { std::chrono::milliseconds(300) }; ///< After a refused start; two reports take as long.
    /// The platform may carry out a start without an answer this much later.
    duration longestOrderDelay { std::chrono::seconds(12) };
};

/// What a report asks the leader to record.
struct report_effects {
    record_ends ends; ///< Not recorded and not yet proposed.
    std::vector<released_run> released;
    bool changesCapacity { false }; ///< The worker is new or drains, may be used again, or refuses a run.
};

/// The leader's knowledge of workers: reports, leases and outstanding orders. Nothing of it is replicated; a new leader
/// learns it from the next reports, and assumes until then that every lease was granted at the moment it took over.
class worker_registry {
public:
    explicit worker_registry(lease_options);

    /// Forgets everything: this replica has just become the leader.
    void startLeadership(instant now);

    report_effects report(const worker_status&, const job_table&, instant now);
    /// The worker's sidecar was heard.
    void recordContact(const worker_id&, instant now);
    /// Ends up to a number have been recorded, or their proposal failed (`recorded` false) and they are due again.
    void didFinishRecordingEnds(const worker_boot&, std::uint64_t upTo, bool recorded);

    void didOrderStart(const task_start&, instant now);
    void didOrderStop(const planned_stop&, const job_table&, instant now);

    /// Orders for a boot, with a lease counted from its last report. Nothing if the boot is not the current one.
    std::optional<worker_instructions> instructionsFor(const worker_boot&, const job_table&, instant now);
    /// The same as an answer to a report: nothing as long as there are no orders and the last renewal is recent.
    std::optional<worker_instructions> answerTo(const worker_boot&, const job_table&, instant now);

    /// Runs whose leases are certain to have expired.
    std::vector<released_run> expiredRuns(const job_table&, instant now);

    /// Jobs of which a worker has listed a task, as far as the table does not know it.
    const std::set<submission_id>& begunJobs() const { return m_begun; }
    /// Forgets the jobs whose beginning the table knows by now, or that have ended.
    void eraseRecordedBegins(const job_table&);
    /// Whether the runs of this boot may be under way: it is reachable, or has had no time to report to this leader.
    bool mayBeAtWork(const worker_boot&, instant now) const;

    /// Refreshes `isReachable`, `isSilent`, `avoidUntil`, `slowness` and `speed`; call before planning.
    const std::map<worker_id, worker_view>& workerViews(const job_table&, instant now);
    const std::set<run_key>& stoppingRuns() const { return m_stopping; }

    /// Longest time for which a report may be held up on its way.
    static constexpr duration departureRetention { std::chrono::seconds(60) };

private:
    struct session {
        std::string address;
        std::int64_t clockMs { 0 };
        instant clockReceivedAt; ///< Leader's clock when `clockMs` arrived.
        instant lastTimelyReportAt; ///< Last report that was not held up on its way.
        instant lastContactAt; ///< When the sidecar was last heard.
        std::int64_t grantedUntilMs { 0 };
        std::uint64_t lastProposedEnd { 0 };
        std::uint64_t acknowledged { 0 };
        std::uint64_t acknowledgedSent { 0 }; ///< In the last instructions.
        instant instructedAt; ///< When the last instructions were made.
        bool hasLists { false };
        std::map<run_key, std::int64_t> startUntilMs;
        instant refusedUntil; ///< End of the pause after a refused start.
        /// Runs ordered from an earlier boot of this id that never listed them. A worker cannot tell for which boot of
        /// its id an order was meant, so this boot has to refuse them by a stop before they are over.
        std::set<run_key> inheritedRuns;
    };

    struct departure {
        std::int64_t startedAtMs { 0 };
        std::int64_t clockMs { 0 }; ///< Worker's clock when it last answered.
        instant heardAt;
    };

    void updateWorker(const worker_status&, instant now);
    std::vector<run_key> strayRuns(const worker_boot&, const job_table&) const;
    bool hasOrders(const worker_boot&, const session&, const job_table&, instant now) const;
    void eraseWorker(const worker_id&);
    void eraseAddress(const std::string&, const worker_id&);
    void recordDeparture(const worker_status&, instant now);
    bool hasDeparted(const worker_status&) const;
    bool hasAnsweredSince(const worker_status& gone) const;
    void eraseSuperseded(const worker_status&);
    std::vector<released_run> releaseRunsOf(const worker_boot&, const job_table&) const;
    std::vector<released_run> releaseSuperseded(
        const worker_boot& earlier, const worker_status&, const job_table&, std::set<run_key>& inheritedRuns) const;
    bool hasListed(const worker_boot&, const run_key&) const;
    released_run makeRelease(const run_key&, const worker_boot&, const job_table&) const;
    void updateRunning(const worker_status&, worker_view&, instant now) const;
    void updateSlowness(const job_table&);
    void updateSpeeds(const job_table&);
    void attributeEnds(const record_ends&, const job_table&, instant now);
    void updateAvoided(instant now);
    std::int64_t estimatedClockMs(const session&, instant now) const;
    instant latestLeaseEnd(const session&) const;
    void eraseFinishedRuns(const job_table&);
    void eraseLateStarts(instant now);
    void eraseLateStart(const worker_boot&, const run_key&);
    void awaitRefusals(const worker_boot&, const std::vector<released_run>&, instant now);
    void inheritRefusals(const worker_boot& later);
    bool mayStartLate(const worker_boot& boot) const { return m_lateStarts.contains(boot); }

    lease_options m_options;
    instant m_leadershipStartedAt;
    std::map<worker_id, worker_view> m_views;
    std::map<worker_id, session> m_sessions;
    /// Boots that have ended. Reports that they made before may arrive after that.
    std::map<worker_id, departure> m_departures;
    std::map<std::string, std::set<worker_id>> m_workersByAddress; ///< Of the sessions.
    std::set<run_key> m_stopping;
    std::set<run_key> m_givenUp; ///< Their leases are over; the release is about to be recorded.
    /// Runs that were given up with their lease and were never listed: the start may be carried out once the worker has
    /// a lease again. It gets none before it refuses them. With the time after which no start is carried out any more.
    std::map<worker_boot, std::map<run_key, instant>> m_lateStarts;
    std::set<submission_id>
        m_begun; ///< Jobs of which a worker has listed a task and whose beginning may not be recorded.
    failure_attribution m_failures;
    progress_speeds m_progressSpeeds;
    instant m_slownessUpdatedAt; ///< When the speeds of workers were last brought up to date.
};

} // namespace poplardeal
