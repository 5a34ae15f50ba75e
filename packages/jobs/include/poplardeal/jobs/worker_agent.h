#pragma once

#include <map>
#include <optional>
#include <poplardeal/jobs/worker_registry.h>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace poplardeal {

/// What a worker announces about itself to its sidecar.
struct worker_announcement {
    worker_status status; ///< Without the lists of running and ended tasks.
    std::uint64_t sequence { 0 }; ///< Increases with each announcement of the same boot.
};

/// Renews a worker's lease, acknowledges ends and asks for the lists of running and ended tasks.
struct poll_request {
    std::int64_t leaseUntilMs { 0 }; ///< Worker's clock; 0 leaves the lease unchanged.
    std::uint64_t fence { 0 }; ///< Leader's term; the worker refuses terms below the highest one it has seen.
    std::uint64_t acknowledged { 0 }; ///< Ends up to this number are recorded.
    std::chrono::milliseconds wait { 0 }; ///< Longest time that the worker may hold back its answer.
};

/// A worker's answer to a poll: its clock and its running and ended tasks.
struct poll_result {
    std::int64_t clockMs { 0 }; ///< Worker's clock when the lists were made.
    std::optional<std::int64_t>
        startedAtMs; ///< Start time of the boot that answers; empty if the platform does not report it.
    std::vector<live_task> running;
    std::vector<task_end> ended; ///< Ends that are not acknowledged, by ascending number.
    std::vector<run_key> withoutProgress {}; ///< Those in `running` whose progress could not be read.
    std::size_t oddRows { 0 }; ///< Rows that could not be read, or only in part.
    /// False if the list of ends may be cut, or if a row that could not be read may be of any run: no run is known to
    /// be absent.
    bool isComplete { true };
};

/// A poll of a boot that was announced and has not answered yet. Changes nothing at the worker.
struct probe_request {
    worker_boot boot;
    std::string address;
    poll_request poll;
};

/// A worker's answer to a start order.
enum class start_result : std::uint8_t {
    accepted, ///< The run is running or has ended.
    refused, ///< This attempt has started nothing and never will. The run may have been started, and be over, before.
    unhealthy, ///< The worker did nothing; the start may be tried again.
};

/// Asks a worker to start a run.
struct start_order {
    worker_boot boot;
    std::uint64_t term { 0 };
    start_instruction start;
};

/// Asks a worker to stop a run, or to refuse it from now on.
struct stop_order {
    worker_boot boot;
    std::uint64_t term { 0 };
    run_key run;
};

using worker_order = std::variant<start_order, stop_order>;

/// What has become of a start order. No `result`: the worker has not answered.
struct start_reply {
    run_key run;
    worker_boot boot;
    std::optional<start_result> result;
    std::string reason;
    bool mayHaveArrived { true }; ///< Without a result: the worker may still carry out the order.
};

/// What has become of a stop order. No `isAccepted`: the worker has not answered.
struct stop_reply {
    run_key run;
    worker_boot boot;
    std::optional<bool> isAccepted;
};

/// What an announcement, or the outcome of a probe or poll, has changed.
enum class agent_change : std::uint8_t {
    none,
    new_worker, ///< Another worker, or another boot of it.
    worker_gone, ///< The worker has said that it ends, and its process is shown to have ended.
};

/// What a poll without an answer from its boot shows.
enum class poll_failure : std::uint8_t {
    silence, ///< Nothing: the boot may be frozen, slow or cut off, and its runs go on until their lease is over.
    boot_ended, ///< Nothing listens at the worker's address, or another boot answers there.
};

struct agent_options {
    /// Long-poll wait while tasks run; bounds the age of progress.
    std::chrono::milliseconds busyPollWait { 400 };
    /// Long-poll wait without tasks; shorter than the time after which a silent worker counts as unreachable.
    std::chrono::milliseconds idlePollWait { 900 };
    duration pollRetryDelay { std::chrono::milliseconds(150) };
    /// Between polls while the worker lists ends that the leader has not recorded; such polls answer immediately.
    duration unrecordedEndsPollDelay { std::chrono::milliseconds(60) };
    /// Between reports of progress alone. Under the time after which the leader takes a worker for unreachable.
    duration progressReportInterval { std::chrono::milliseconds(700) };
    duration unrecordedEndsReportInterval { std::chrono::milliseconds(250) };
    duration goneReportPeriod { std::chrono::seconds(3) }; ///< Time for which a worker's exit is reported.
    /// A worker that answers this long after the word that it ends has not sent it: an earlier boot has.
    duration departureDoubtTime { std::chrono::milliseconds(1500) };
    /// Of one order until the leader repeats it, at least four times a second.
    unsigned maxRetries { 5 };
    /// An order that an earlier process of this sidecar sent may be carried out for this long after it.
    duration startWindow { lease_options().startWindow };
    /// The platform may carry out an order without an answer this much later.
    duration longestOrderDelay { std::chrono::seconds(12) };
    /// Announced boots that are probed at the same time. A sidecar serves one worker; the rest are odd entries.
    std::size_t maxCandidates { 8 };
    /// Of an announced boot that does not answer. A worker announces itself again before it is over.
    duration candidateRetention { std::chrono::seconds(5) };
    /// Sequence numbers below the highest one count again after this time, as an odd entry may have had that one.
    duration sequenceTimeout { std::chrono::seconds(2) };
    /// An answer whose clock is further ahead counts only if the next one agrees with it. Clocks of workers and
    /// sidecars differ by some per cent.
    duration maxClockLead { std::chrono::seconds(60) };
    /// A process that was not called for longer stood still meanwhile. `tick` is called every 50 ms.
    duration maxTickGap { std::chrono::milliseconds(500) };
};

/// A sidecar's part of running tasks: passes the leader's orders on to the worker, and the worker's lists on to the
/// leader. Contains no sockets: the caller sends the orders that `takeOrders` returns and feeds the replies back.
class worker_agent {
public:
    /// `startedAt`: when this process began.
    worker_agent(agent_options, instant startedAt);

    /// A boot that is not the current one is followed once it has answered a probe: an announcement may be delayed,
    /// or come from another writer.
    agent_change applyAnnouncement(const worker_announcement&, instant now);
    /// Probes to send now; the outcome of each goes to `applyProbeResult` or `applyProbeFailure`. `leaderTerm` is as in
    /// `beginPoll`.
    std::vector<probe_request> takeProbes(std::uint64_t leaderTerm, instant now);
    /// A boot that answers replaces the current one if only one of them can exist at its address, or if the current
    /// one does not answer.
    agent_change applyProbeResult(const probe_request&, const poll_result&, instant now);
    void applyProbeFailure(const probe_request&, instant now);
    /// Ignores orders of an earlier term or for another boot. Returns the runs whose start came too late to be passed
    /// on.
    std::vector<run_key> applyInstructions(std::uint64_t term, const worker_instructions&, instant now);
    void applyReply(const start_reply&, instant now);
    void applyReply(const stop_reply&, instant now);
    /// Whether a start of the run may still be carried out, so that a refusal proves nothing.
    bool mayStillStart(const run_key&) const;

    /// Starts a poll; its outcome goes to `applyPollResult` or `applyPollFailure`. `leaderTerm` is the term of the
    /// leader that this process knows.
    poll_request beginPoll(std::uint64_t leaderTerm);
    bool isPollDue(instant now) const;
    agent_change applyPollResult(const worker_boot&, poll_result, instant now);
    agent_change applyPollFailure(const worker_boot&, poll_failure, instant now);

    /// Call at least every 50 ms. Forgets a worker whose exit has been reported for long enough.
    void tick(instant now);

    /// Orders to send to the worker now.
    std::vector<worker_order> takeOrders() { return std::exchange(m_orders, {}); }
    /// Whether something has happened that the leader should learn at once.
    bool takeReportRequest() { return std::exchange(m_isReportWanted, false); }
    /// The worker as the leader should see it; empty without a worker. A later boot of a worker is not shown before it
    /// refuses the starts that may still reach it, as the leader gives up the runs of the earlier boot when it hears of
    /// the later one. Counts as a report at `now`.
    std::optional<worker_status> report(instant now);

    /// The worker beside this sidecar, which has answered; null if none is known.
    const worker_status* worker() const { return m_worker ? &*m_worker : nullptr; }
    /// Failed polls since the last answer.
    std::uint32_t pollFailures() const { return m_pollFailures; }

private:
    struct start_state {
        start_instruction start;
        bool isInFlight { false };
        bool isAccepted { false };
        bool isRefused { false }; ///< The run does not exist and never will.
        std::uint64_t firstConfirmingPoll { 0 }; ///< As of `stop_state`, after a refusal that proves nothing yet; or 0.
        std::string reason;
        unsigned retries { 0 }; ///< Since the leader last sent the order.

        bool isDecided() const { return isAccepted || isRefused || firstConfirmingPoll != 0; }
    };

    struct stop_state {
        bool isInFlight { false };
        bool isAnswered { false };
        bool isOwn { false }; ///< Decided by this agent: a start without an answer has run out of time.
        unsigned retries { 0 }; ///< Since the leader last sent the order.
        std::uint64_t firstConfirmingPoll { 0 }; ///< Number of the first poll that began after the answer.
        bool isConfirmed { false }; ///< The run does not exist and never will.
    };

    /// A start of which the worker has left an attempt unanswered. That attempt may still be carried out, by this boot
    /// or by a later one of its id: a worker cannot tell for which boot an order was meant.
    struct unanswered_start {
        std::int64_t untilMs { 0 }; ///< Worker's clock; the start is voided then.
        instant sentAt;
        bool isOfEarlierBoot { false };
        bool isVoided { false }; ///< This boot has begun the run already, or refuses it.
    };

    /// The word that the worker ends, not yet confirmed.
    struct departure {
        instant heardAt;
        std::uint64_t firstPoll { 0 }; ///< Number of the first poll that begins after it.
    };

    /// An announced boot that has not answered yet.
    struct candidate {
        worker_announcement announced;
        instant announcedAt;
        instant nextProbeAt;
        bool isInFlight { false };
    };
    using candidate_key = std::pair<worker_boot, std::string>; ///< The boot and its address.

    void addCandidate(const worker_announcement&, instant now);
    bool mayReplaceWorker(const worker_status&) const;
    agent_change follow(const worker_announcement&, instant now);
    agent_change declareGone(instant now);
    void update(const worker_announcement&, instant now);
    bool isRepeated(std::uint64_t sequence, instant now);
    void clearRuns();
    void beginBoot(bool isSameWorker, instant now);
    void noticePause(instant now);
    /// False if the order came too late.
    bool startTask(const start_instruction&, instant now);
    void eraseWithdrawn(const worker_instructions&, instant now);
    void stopTask(const run_key&);
    void order(start_state&);
    void refuse(const run_key&, start_state&, const std::string& reason);
    bool confirmRefusals(std::uint64_t pollNumber);
    void order(const run_key&, stop_state&);
    void keepUnreadableRuns(poll_result&) const;
    bool isClockPlausible(std::int64_t clockMs, instant now);
    bool confirmStops(std::uint64_t pollNumber);
    void voidExpiredStarts(instant now);
    void voidStart(const run_key&);
    bool hasUnconfirmedStops() const;
    bool mayTakeEarlierStarts() const;
    bool isListed(const run_key&) const;
    bool hasExpired(const start_instruction&, instant now) const;

    agent_options m_options;
    instant m_startedAt;
    std::optional<worker_status> m_worker;
    worker_id m_followed; ///< The last worker.
    std::map<candidate_key, candidate> m_candidates;
    std::uint64_t m_sequence { 0 };
    instant m_sequenceAt; ///< When `m_sequence` was announced.
    std::uint64_t m_lowSequence { 0 }; ///< Of the last announcement below `m_sequence`.
    unsigned m_lowSequences { 0 }; ///< Announcements below `m_sequence`, in increasing order, since `m_sequenceAt`.
    std::optional<departure> m_departure;
    instant m_goneAt;
    std::int64_t m_leaseUntilMs { 0 }; ///< Worker's clock; 0 until the leader has granted a lease.
    std::uint64_t m_acknowledged { 0 }; ///< Ends up to this number are recorded by the leader.
    std::uint64_t m_term { 0 }; ///< Of the last accepted orders.
    std::uint64_t m_leaderTerm { 0 }; ///< Highest term of a leader that this process has heard of.
    bool m_isPolling { false };
    instant m_nextPollAt;
    instant m_clockReceivedAt; ///< When the worker's clock in `m_worker` arrived.
    bool m_isClockKnown { false }; ///< `m_clockReceivedAt` is close to the time at which the worker read its clock.
    std::uint64_t m_firstTimelyPoll { 0 }; ///< Answers to earlier polls may have waited while this process stood still.
    std::optional<std::pair<std::int64_t, instant>> m_oddClock; ///< Of the last answer, if it was far ahead.
    instant m_calledAt; ///< Last call with a time.
    std::uint32_t m_pollFailures { 0 };
    std::uint64_t m_lastPollNumber { 0 };
    std::uint64_t m_lastEndNumber { 0 }; ///< Highest number of an end that the worker has listed.
    instant m_reportedAt;
    bool m_isReportWanted { false };
    std::map<run_key, start_state> m_starts;
    std::map<run_key, stop_state> m_stops;
    std::map<run_key, unanswered_start> m_unansweredStarts;
    std::vector<worker_order> m_orders;
};

} // namespace poplardeal
