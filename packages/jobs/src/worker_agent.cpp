#include <algorithm>
#include <poplardeal/jobs/worker_agent.h>

namespace poplardeal {

worker_agent::worker_agent(agent_options options, instant startedAt)
    : m_options(options)
    , m_startedAt(startedAt)
    , m_calledAt(startedAt)
{
}

/// Frames and answers that arrived while this process stood still look fresh, and are as old as the pause.
void worker_agent::noticePause(instant now)
{
    if (now - m_calledAt > m_options.maxTickGap) {
        m_isClockKnown = false;
        m_firstTimelyPoll = m_lastPollNumber + 1;
    }
    m_calledAt = std::max(m_calledAt, now);
}

void worker_agent::clearRuns()
{
    m_departure.reset();
    m_leaseUntilMs = 0;
    m_acknowledged = 0;
    // An unanswered poll of the earlier boot does not delay the first poll of this one.
    m_isPolling = false;
    m_oddClock.reset();
    m_pollFailures = 0;
    m_lastEndNumber = 0;
    m_starts.clear();
    m_stops.clear();
    m_orders.clear();
    m_isClockKnown = false;
    m_firstTimelyPoll = m_lastPollNumber + 1;
}

/// A later boot of the worker refuses nothing of what its predecessor was told to refuse.
void worker_agent::beginBoot(bool isSameWorker, instant now)
{
    // The answers to these are for the earlier boot and are ignored.
    for (const auto& [run, state] : m_starts) {
        if (state.isInFlight)
            m_unansweredStarts[run] = { state.start.untilMs, now, true, false };
    }
    clearRuns();
    if (!isSameWorker)
        m_unansweredStarts.clear();
    for (auto& [run, start] : m_unansweredStarts) {
        start.untilMs = 0;
        start.isOfEarlierBoot = true;
        start.isVoided = false;
        voidStart(run);
    }
}

agent_change worker_agent::applyAnnouncement(const worker_announcement& announced, instant now)
{
    noticePause(now);
    const auto& status = announced.status;
    if (status.isGone) {
        // The word names no boot, and may be held up until a later one runs: polls have to show which boot has ended.
        const bool isOwn = m_worker && m_worker->boot.worker == status.boot.worker && !m_worker->isGone;
        if (isOwn && !m_departure) {
            m_departure = { now, m_lastPollNumber + 1 };
            m_nextPollAt = {};
        }
        return agent_change::none;
    }
    // Announcements may be held up on their way, or come twice.
    if (m_worker && status.boot.startedAtMs < m_worker->boot.startedAtMs)
        return agent_change::none;
    // A boot that counts as gone has to answer again before it is followed.
    if (!m_worker || m_worker->isGone || status.boot != m_worker->boot || status.address != m_worker->address)
        addCandidate(announced, now);
    else if (!isRepeated(announced.sequence, now))
        update(announced, now);
    return agent_change::none;
}

agent_change worker_agent::declareGone(instant now)
{
    m_departure.reset();
    m_worker->isGone = true;
    m_worker->hasLists = false;
    m_goneAt = now;
    m_isReportWanted = true;
    return agent_change::worker_gone;
}

/// One odd entry with a high number must not hide all later announcements of the boot.
bool worker_agent::isRepeated(std::uint64_t sequence, instant now)
{
    constexpr unsigned minimumLowSequences = 3; // Fewer may have been held up on their way.
    if (sequence > m_sequence)
        return false;
    m_lowSequences = sequence > m_lowSequence ? m_lowSequences + 1 : 1;
    m_lowSequence = sequence;
    return m_lowSequences < minimumLowSequences || now - m_sequenceAt < m_options.sequenceTimeout;
}

/// Takes over what the current boot announces.
void worker_agent::update(const worker_announcement& announced, instant now)
{
    m_isReportWanted = m_isReportWanted || m_worker->isDraining != announced.status.isDraining;
    m_sequence = announced.sequence;
    m_sequenceAt = now;
    m_lowSequence = 0;
    m_lowSequences = 0;
    m_nextPollAt = {};
    auto merged = announced.status;
    merged.hasLists = false;
    merged.running = std::move(m_worker->running);
    merged.ended = std::move(m_worker->ended);
    merged.clockMs = m_worker->clockMs;
    merged.isComplete = m_worker->isComplete;
    m_worker = std::move(merged);
}

void worker_agent::addCandidate(const worker_announcement& announced, instant now)
{
    const candidate_key key(announced.status.boot, announced.status.address);
    if (!m_candidates.contains(key) && m_candidates.size() >= m_options.maxCandidates) {
        const auto rank = [](const auto& item) { return std::pair(item.second.isInFlight, item.second.announcedAt); };
        const auto oldest = std::min_element(m_candidates.begin(), m_candidates.end(),
            [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); });
        if (oldest->second.isInFlight)
            return; // The worker announces itself again.
        m_candidates.erase(oldest);
    }
    auto& each = m_candidates[key];
    each.announced = announced;
    each.announcedAt = now;
}

std::vector<probe_request> worker_agent::takeProbes(std::uint64_t leaderTerm, instant now)
{
    m_leaderTerm = std::max(m_leaderTerm, leaderTerm);
    std::erase_if(m_candidates, [&](const auto& item) {
        return !item.second.isInFlight && now - item.second.announcedAt > m_options.candidateRetention;
    });
    std::vector<probe_request> out;
    for (auto& [key, each] : m_candidates) {
        if (each.isInFlight || now < each.nextProbeAt)
            continue;
        each.isInFlight = true;
        probe_request probe { key.first, key.second, {} };
        probe.poll.fence = std::max(m_term, m_leaderTerm);
        out.push_back(std::move(probe));
    }
    return out;
}

void worker_agent::applyProbeFailure(const probe_request& probe, instant now)
{
    noticePause(now);
    const auto found = m_candidates.find({ probe.boot, probe.address });
    if (found == m_candidates.end())
        return;
    found->second.isInFlight = false;
    found->second.nextProbeAt = now + m_options.pollRetryDelay;
}

bool worker_agent::mayReplaceWorker(const worker_status& announced) const
{
    return !m_worker || m_worker->isGone || m_pollFailures > 0
        || (announced.address == m_worker->address && announced.boot != m_worker->boot);
}

agent_change worker_agent::applyProbeResult(const probe_request& probe, const poll_result& lists, instant now)
{
    applyProbeFailure(probe, now);
    const auto found = m_candidates.find({ probe.boot, probe.address });
    const bool isOtherBoot = lists.startedAtMs && *lists.startedAtMs != probe.boot.startedAtMs;
    if (found == m_candidates.end() || isOtherBoot || !mayReplaceWorker(found->second.announced.status))
        return agent_change::none;
    return follow(found->second.announced, now);
}

agent_change worker_agent::follow(const worker_announcement& announced, instant now)
{
    const auto boot = announced.status.boot;
    // Also after the boot before was gone and forgotten: orders for it may still be on their way.
    const bool isSameId = std::exchange(m_followed, boot.worker) == boot.worker;
    const bool isNewBoot = !m_worker || m_worker->boot != boot;
    if (isNewBoot)
        m_worker.emplace().isComplete = false; // No lists have been seen yet.
    update(announced, now);
    m_isReportWanted = true;
    if (isNewBoot)
        beginBoot(isSameId, now);
    std::erase_if(m_candidates, [&boot](const auto& item) {
        const auto& announcedBoot = item.first.first;
        return announcedBoot == boot || announcedBoot.startedAtMs < boot.startedAtMs;
    });
    return isNewBoot ? agent_change::new_worker : agent_change::none;
}

std::vector<run_key> worker_agent::applyInstructions(std::uint64_t term, const worker_instructions& orders, instant now)
{
    noticePause(now);
    if (!m_worker || m_worker->isGone || term < m_term || orders.boot != m_worker->boot)
        return {};
    m_term = term;
    m_leaseUntilMs = std::max(m_leaseUntilMs, orders.leaseUntilMs);
    if (orders.acknowledged > m_acknowledged) {
        m_acknowledged = orders.acknowledged;
        m_nextPollAt = {};
    }
    if (!orders.isPartial)
        eraseWithdrawn(orders, now);
    for (const auto& run : orders.stops)
        stopTask(run);
    std::vector<run_key> late;
    for (const auto& start : orders.starts) {
        if (!startTask(start, now))
            late.push_back(start.run);
    }
    return late;
}

/// Forgets the orders that the leader no longer gives.
void worker_agent::eraseWithdrawn(const worker_instructions& orders, instant now)
{
    std::set<run_key> starting;
    for (const auto& start : orders.starts)
        starting.insert(start.run);
    // Instructions may overtake each other: what has been decided is kept as long as an earlier one may come.
    std::erase_if(m_starts, [&](const auto& item) {
        const bool mayComeAgain = item.second.isDecided() && !hasExpired(item.second.start, now);
        return !item.second.isInFlight && !mayComeAgain && !starting.contains(item.first);
    });
    const std::set<run_key> stopping(orders.stops.begin(), orders.stops.end());
    std::erase_if(m_stops, [&](const auto& item) {
        const bool isPending = item.second.isInFlight || (item.second.isOwn && !item.second.isConfirmed);
        return !isPending && !stopping.contains(item.first) && !starting.contains(item.first);
    });
}

/// Whether the time in which a start may be carried out is over on the worker's clock, or may be over.
bool worker_agent::hasExpired(const start_instruction& start, instant now) const
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_clockReceivedAt).count();
    return !m_isClockKnown || m_worker->clockMs + elapsed >= start.untilMs;
}

bool worker_agent::startTask(const start_instruction& start, instant now)
{
    // Voided, or begun already: the order has been overtaken by later ones.
    if (m_stops.contains(start.run) || isListed(start.run))
        return true;
    const auto known = m_starts.find(start.run);
    if (known != m_starts.end() && (known->second.isInFlight || known->second.isDecided()))
        return true;
    if (hasExpired(start, now))
        return false;
    auto& state = m_starts[start.run];
    state.start = start;
    // An order of an earlier process of this sidecar may be on its way.
    if (now - m_startedAt < m_options.startWindow)
        m_unansweredStarts[start.run] = { start.untilMs, now, false, false };
    if (m_worker->isDraining && !mayStillStart(start.run)) {
        refuse(start.run, state, "draining");
        return true;
    }
    state.retries = 0;
    order(state);
    return true;
}

void worker_agent::order(start_state& state)
{
    state.isInFlight = true;
    m_orders.push_back(start_order { m_worker->boot, m_term, state.start });
}

void worker_agent::order(const run_key& run, stop_state& state)
{
    state.isInFlight = true;
    // A stop of its own must get past the fence of a leader from which no orders have come yet.
    m_orders.push_back(stop_order { m_worker->boot, std::max(m_term, m_leaderTerm), run });
}

void worker_agent::stopTask(const run_key& run)
{
    auto& state = m_stops[run];
    state.isOwn = false;
    if (state.isInFlight || state.isAnswered)
        return;
    state.retries = 0;
    order(run, state);
}

void worker_agent::applyReply(const start_reply& reply, instant now)
{
    noticePause(now);
    const auto found = m_starts.find(reply.run);
    if (!m_worker || m_worker->boot != reply.boot || found == m_starts.end())
        return;
    auto& state = found->second;
    state.isInFlight = false;
    if (!reply.result) {
        if (reply.mayHaveArrived)
            m_unansweredStarts[reply.run] = { state.start.untilMs, now, false, false };
        // Starts are idempotent: the worker starts a run at most once.
        if (state.retries++ < m_options.maxRetries && !m_stops.contains(reply.run) && !hasExpired(state.start, now))
            order(state);
        return;
    }
    state.isAccepted = *reply.result == start_result::accepted;
    // An attempt without an answer may still start the run, so a refusal proves nothing then.
    if (!state.isAccepted && !mayStillStart(reply.run))
        refuse(reply.run, state, reply.reason);
}

/// A worker also refuses a run that is over there, so its lists have to show that the run never was. If they were cut,
/// the next complete ones decide.
void worker_agent::refuse(const run_key& run, start_state& state, const std::string& reason)
{
    state.reason = reason;
    state.isRefused = m_worker->isComplete && !isListed(run);
    state.firstConfirmingPoll = state.isRefused ? 0 : m_lastPollNumber + 1;
    m_isReportWanted = m_isReportWanted || state.isRefused;
}

bool worker_agent::confirmRefusals(std::uint64_t pollNumber)
{
    bool isAnyNew = false;
    for (auto& [run, state] : m_starts) {
        if (state.firstConfirmingPoll == 0 || pollNumber < state.firstConfirmingPoll)
            continue;
        state.firstConfirmingPoll = 0;
        state.isAccepted = isListed(run);
        state.isRefused = !state.isAccepted;
        isAnyNew = isAnyNew || state.isRefused;
    }
    return isAnyNew;
}

bool worker_agent::mayStillStart(const run_key& run) const
{
    const auto found = m_unansweredStarts.find(run);
    return found != m_unansweredStarts.end() && !found->second.isVoided;
}

void worker_agent::applyReply(const stop_reply& reply, instant now)
{
    noticePause(now);
    const auto found = m_stops.find(reply.run);
    if (!m_worker || m_worker->boot != reply.boot || found == m_stops.end())
        return;
    auto& state = found->second;
    state.isInFlight = false;
    if (!reply.isAccepted) {
        if (state.retries++ < m_options.maxRetries)
            order(reply.run, state);
        return;
    }
    state.isAnswered = *reply.isAccepted;
    state.firstConfirmingPoll = m_lastPollNumber + 1;
}

poll_request worker_agent::beginPoll(std::uint64_t leaderTerm)
{
    m_isPolling = true;
    ++m_lastPollNumber;
    m_leaderTerm = std::max(m_leaderTerm, leaderTerm);
    const bool isBusy = !m_worker->running.empty() || !m_starts.empty();
    poll_request out;
    // A restarted sidecar has received no orders, but its worker refuses terms below the highest one it has seen.
    out.fence = std::max(m_term, m_leaderTerm);
    // The worker may have been replaced by a later boot during a pause or an outage, whose ends have the same numbers.
    if (!m_isClockKnown || m_pollFailures > 0)
        return out;
    out.leaseUntilMs = m_leaseUntilMs;
    out.acknowledged = m_acknowledged;
    if (!hasUnconfirmedStops() && !m_departure)
        out.wait = isBusy ? m_options.busyPollWait : m_options.idlePollWait;
    return out;
}

/// Whether the next poll may show that a run does not exist, for which the leader waits.
bool worker_agent::hasUnconfirmedStops() const
{
    return std::any_of(m_stops.begin(), m_stops.end(), [this](const auto& item) {
        return item.second.isAnswered && !item.second.isConfirmed && !isListed(item.first);
    });
}

bool worker_agent::isPollDue(instant now) const
{
    return m_worker && !m_worker->isGone && !m_isPolling && now >= m_nextPollAt;
}

agent_change worker_agent::applyPollFailure(const worker_boot& boot, poll_failure failure, instant now)
{
    noticePause(now);
    if (!m_worker || m_worker->boot != boot)
        return agent_change::none;
    m_isPolling = false;
    if (m_worker->isGone)
        return agent_change::none;
    m_nextPollAt = now + m_options.pollRetryDelay;
    ++m_pollFailures;
    return m_departure && failure == poll_failure::boot_ended ? declareGone(now) : agent_change::none;
}

bool worker_agent::isListed(const run_key& run) const
{
    const auto matches = [&run](const auto& each) { return each.task == run.task && each.run == run.run; };
    return std::any_of(m_worker->running.begin(), m_worker->running.end(), matches)
        || std::any_of(m_worker->ended.begin(), m_worker->ended.end(), matches);
}

/// Confirms stops of runs that never started: the worker refuses to start a run once it has answered its stop, so a run
/// that a later poll does not list cannot exist.
bool worker_agent::confirmStops(std::uint64_t pollNumber)
{
    bool isAnyNew = false;
    for (auto& [run, state] : m_stops) {
        if (state.isConfirmed || !state.isAnswered || pollNumber < state.firstConfirmingPoll || isListed(run))
            continue;
        state.isConfirmed = true;
        if (const auto start = m_unansweredStarts.find(run); start != m_unansweredStarts.end())
            start->second.isVoided = true;
        isAnyNew = true;
    }
    return isAnyNew;
}

/// Stops starts that may still be carried out after their time. The leader may be unreachable, or a new one may not
/// know of them.
void worker_agent::voidExpiredStarts(instant now)
{
    std::erase_if(m_unansweredStarts, [&](const auto& item) {
        return item.second.isVoided && now - item.second.sentAt > m_options.longestOrderDelay;
    });
    for (auto& [run, start] : m_unansweredStarts) {
        // A run of an earlier boot that is listed here has been started by mistake and is about to be stopped.
        start.isVoided = start.isVoided || (isListed(run) && !start.isOfEarlierBoot);
        if (!start.isVoided && m_worker->clockMs >= start.untilMs)
            voidStart(run);
    }
}

void worker_agent::voidStart(const run_key& run)
{
    auto& state = m_stops[run];
    if (state.isInFlight || state.isAnswered)
        return;
    state.isOwn = true;
    state.retries = 0;
    order(run, state);
}

/// Whether both lists name the same runs, whatever their progress.
static bool listsSameRuns(const std::vector<live_task>& a, const std::vector<live_task>& b)
{
    return std::is_permutation(a.begin(), a.end(), b.begin(), b.end(),
        [](const live_task& x, const live_task& y) { return x.run == y.run && x.task == y.task; });
}

/// Fills in from the list before what odd rows and cut lists do not tell: progress, and which runs are there.
void worker_agent::keepUnreadableRuns(poll_result& lists) const
{
    for (const auto& known : m_worker->running) {
        const run_key key { known.task, known.run };
        const auto isSame = [&known](const auto& each) { return each.task == known.task && each.run == known.run; };
        const auto listed = std::find_if(lists.running.begin(), lists.running.end(), isSame);
        if (listed != lists.running.end()) {
            if (std::find(lists.withoutProgress.begin(), lists.withoutProgress.end(), key)
                != lists.withoutProgress.end())
                *listed = known;
        } else if (!lists.isComplete && std::none_of(lists.ended.begin(), lists.ended.end(), isSame)) {
            lists.running.push_back(known);
        }
    }
}

/// The leader ignores reports with a lower clock than before, so one odd clock would hide all later ones.
bool worker_agent::isClockPlausible(std::int64_t clockMs, instant now)
{
    const auto isAhead = [&](std::int64_t knownMs, instant knownAt) {
        const auto bound = (now - knownAt) + (now - knownAt) / 10 + m_options.maxClockLead;
        return clockMs - knownMs > std::chrono::duration_cast<std::chrono::milliseconds>(bound).count();
    };
    const bool hasAnswered = m_worker->clockMs > 0; // In this boot.
    const auto odd = std::exchange(m_oddClock, std::nullopt);
    if (!hasAnswered || !isAhead(m_worker->clockMs, m_clockReceivedAt))
        return true;
    if (odd && clockMs >= odd->first && !isAhead(odd->first, odd->second))
        return true;
    m_oddClock = { clockMs, now };
    return false;
}

agent_change worker_agent::applyPollResult(const worker_boot& boot, poll_result lists, instant now)
{
    noticePause(now);
    const auto number = m_lastPollNumber;
    if (!m_worker || m_worker->boot != boot)
        return agent_change::none;
    m_isPolling = false;
    if (m_worker->isGone)
        return agent_change::none;
    const bool isOtherBoot = lists.startedAtMs && *lists.startedAtMs != boot.startedAtMs;
    if (isOtherBoot && m_departure)
        return declareGone(now);
    if (isOtherBoot || !isClockPlausible(lists.clockMs, now)) {
        // If another boot answered at this address, the sidecar waits for its announcement and leaves its ends alone.
        m_nextPollAt = now + m_options.pollRetryDelay;
        ++m_pollFailures;
        return agent_change::none;
    }
    m_pollFailures = 0;
    // A worker that ends answers for a moment after it has said so.
    if (m_departure && number >= m_departure->firstPoll && now - m_departure->heardAt >= m_options.departureDoubtTime)
        m_departure.reset();
    keepUnreadableRuns(lists);
    const bool isComplete = lists.isComplete;
    const bool isFirstTimely = !m_isClockKnown;
    const bool hasNewRuns = !listsSameRuns(m_worker->running, lists.running);
    m_worker->clockMs = lists.clockMs;
    m_clockReceivedAt = now;
    m_isClockKnown = number >= m_firstTimelyPoll;
    m_worker->running = std::move(lists.running);
    m_worker->ended = std::move(lists.ended);
    m_worker->hasLists = true;
    m_worker->isComplete = isComplete;
    const bool hasNewRefusal = isComplete && confirmRefusals(number);
    const bool hasNewConfirmation = (isComplete && confirmStops(number)) || hasNewRefusal;
    voidExpiredStarts(now);
    const auto highest = m_worker->ended.empty() ? 0 : m_worker->ended.back().number;
    const bool hasNewEnds = highest > m_lastEndNumber;
    m_lastEndNumber = std::max(m_lastEndNumber, highest);
    const bool hasUnrecordedEnds
        = !m_worker->ended.empty() && now - m_reportedAt >= m_options.unrecordedEndsReportInterval;
    m_isReportWanted = m_isReportWanted || isFirstTimely || hasNewRuns || hasNewEnds || hasNewConfirmation
        || hasUnrecordedEnds || now - m_reportedAt >= m_options.progressReportInterval;
    // The worker answers immediately while it has unacknowledged ends, so the next poll is delayed.
    m_nextPollAt = m_worker->ended.empty() ? now : now + m_options.unrecordedEndsPollDelay;
    if (m_departure)
        m_nextPollAt = now + m_options.pollRetryDelay;
    return agent_change::none;
}

void worker_agent::tick(instant now)
{
    noticePause(now);
    if (!m_worker || !m_worker->isGone)
        return;
    if (now - m_goneAt > m_options.goneReportPeriod)
        m_worker.reset();
    else
        m_isReportWanted = true;
}

bool worker_agent::mayTakeEarlierStarts() const
{
    return std::any_of(m_unansweredStarts.begin(), m_unansweredStarts.end(),
        [](const auto& item) { return item.second.isOfEarlierBoot && !item.second.isVoided; });
}

std::optional<worker_status> worker_agent::report(instant now)
{
    if (!m_worker || (!m_worker->isGone && mayTakeEarlierStarts()))
        return std::nullopt;
    auto out = *m_worker;
    for (const auto& [run, state] : m_starts) {
        if (state.isRefused && !isListed(run))
            out.refused.push_back({ run, state.reason });
    }
    for (const auto& [run, state] : m_stops) {
        if (state.isConfirmed)
            out.refused.push_back({ run, "stopped before its start" });
    }
    m_reportedAt = now;
    return out;
}

} // namespace poplardeal
