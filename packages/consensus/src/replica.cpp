#include "election_report.h"
#include "message_codec.h"
#include "replica_impl.h"
#include <nlohmann/json.hpp>
#include <poplardeal/base/log.h>

namespace poplardeal {

void replica::impl::startDisk(log_store store)
{
    // A report may be delivered after the replica is gone.
    auto report = [weak = weak_from_this(), post = environment.post](const detail::disk_report& r) {
        post([weak, r] {
            if (const auto self = weak.lock())
                self->onDiskReport(r);
        });
    };
    disk = std::make_unique<detail::disk_worker<log_store>>(std::move(store), std::move(report));
}

void replica::impl::onDiskReport(const detail::disk_report& report)
{
    if (stopReason)
        return;
    if (report.failed)
        return stop(*report.failed);
    const auto before = std::exchange(lastReport, report);
    const bool isWritten = report.durableNumber != before.durableNumber || report.snapshotIndex != before.snapshotIndex;
    if (isWritten && environment.written)
        environment.written(report.took);
    node.persisted(report.durableNumber, latest);
    noteRoom(before.noSpace);
    flush();
}

void replica::impl::noteRoom(const std::optional<failure>& before)
{
    // A batch may be written while a snapshot waits.
    if (isDiskRetried || !before || lastReport.batchesWait)
        diskTriedAt = latest;
    isDiskRetried = false;
    node.setReadOnly(lastReport.batchesWait, latest);
    const auto& present = lastReport.noSpace;
    if (present && !before)
        logEvent(log_level::error, "replica_disk_full",
            { { "replica", options.self.value() }, { "term", node.term() }, { "reason", present->message } });
    else if (!present && before)
        logEvent(
            log_level::info, "replica_disk_writable", { { "replica", options.self.value() }, { "term", node.term() } });
}

void replica::impl::retryDisk()
{
    const auto interval = lastReport.batchesWait ? diskRetryInterval : snapshotRetryInterval;
    if (!lastReport.noSpace || isDiskRetried || latest - diskTriedAt < interval)
        return;
    isDiskRetried = true;
    disk->retry();
}

/// Proposals of one turn of the loop share one append message and one sync.
void replica::impl::scheduleFlush()
{
    if (std::exchange(flushScheduled, true))
        return;
    environment.post([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->flushScheduled = false;
            self->flush();
        }
    });
}

void replica::impl::flush()
{
    if (stopReason)
        return;
    if (flushing)
        return scheduleFlush();
    if (node.dataLost()) {
        return stop({ failure_code::corrupt,
            "data folder " + options.dataFolder.string()
                + " is an old copy: it lacks entries that this replica has acknowledged; remove it to rejoin the "
                  "group" });
    }
    flushing = true;
    // A state that was changed in part must not be used any more. The restarted process reads the log again.
    try {
        carryOut(node.takeReady(latest));
    } catch (const std::exception& error) {
        stop({ failure_code::internal, std::string("while carrying out a log entry: ") + error.what() });
    }
    flushing = false;
    noteMembers();
    noteRoleChange();
    snapshotIfDue();
}

void replica::impl::carryOut(raft_ready ready)
{
    if (ready.install) {
        const auto installed = machine.installSnapshot(ready.install->data);
        if (!installed)
            return stop(installed.error());
        applied = ready.install->index;
        snapshotIndex = applied;
        bytesSinceSnapshot = 0;
    }
    if (!ready.persist.empty()) {
        requestedNumber = ready.persist.number;
        disk->persist(std::move(ready.persist));
    }
    for (const auto& message : ready.messages)
        environment.send(message.to, detail::encodeMessage(message));
    for (const auto& entry : ready.committed)
        applyCommitted(entry);
}

void replica::impl::applyCommitted(const log_entry& entry)
{
    std::string answer;
    if (entry.kind == entry_kind::command)
        answer = machine.apply(entry.index, entry.payload);
    applied = entry.index;
    bytesSinceSnapshot += entry.payload.size();
    const auto found = proposals.find(entry.index);
    if (found == proposals.end())
        return;
    const auto proposal = std::move(found->second);
    proposals.erase(found);
    if (proposal.term == entry.term)
        proposal.done(std::move(answer));
    else
        proposal.done(failure { failure_code::unavailable, "another leader replaced the entry" });
}

void replica::impl::snapshotIfDue()
{
    const bool isDue
        = applied >= snapshotIndex + options.snapshotEvery || bytesSinceSnapshot >= options.snapshotEveryBytes;
    if (stopReason || !isDue)
        return;
    auto taken = std::make_shared<log_snapshot>();
    taken->index = applied;
    taken->term = node.termAt(applied);
    taken->members = node.membersAt(applied);
    taken->data = machine.takeSnapshot();
    snapshotIndex = applied;
    bytesSinceSnapshot = 0;
    node.compact(taken);
    requestedSnapshot = applied;
    disk->saveSnapshot(taken);
}

void replica::impl::appended(result<log_position> position, proposal_callback done)
{
    if (!position)
        return done(position.error());
    proposals[position.value().index] = { position.value().term, std::move(done) };
    scheduleFlush();
}

void replica::impl::abandonProposals(const std::string& reason, std::uint64_t beforeTerm)
{
    std::vector<proposal_callback> abandoned;
    std::erase_if(proposals, [&](auto& item) {
        if (item.second.term >= beforeTerm)
            return false;
        abandoned.push_back(std::move(item.second.done));
        return true;
    });
    for (const auto& done : abandoned)
        done(failure { failure_code::unavailable, reason });
}

void replica::impl::noteRoleChange()
{
    if (std::exchange(wasVoter, node.mayVote()) != node.mayVote()) {
        logEvent(log_level::info, wasVoter ? "replica_may_vote" : "replica_may_not_vote",
            { { "replica", options.self.value() }, { "term", node.term() }, { "applied", applied } });
    }
    const bool leads = node.isLeader();
    const bool changed = leads != wasLeader || (leads && node.term() != leaderTerm);
    if (!changed)
        return;
    wasLeader = leads;
    leaderTerm = node.term();
    logEvent(log_level::info, leads ? "leadership_gained" : "leadership_lost",
        { { "replica", options.self.value() }, { "term", node.term() } });
    const auto beforeTerm = leads ? leaderTerm : std::numeric_limits<std::uint64_t>::max();
    abandonProposals("leadership was lost before the entry was committed", beforeTerm);
}

/// A change may be made by a leader that does not live to log its outcome.
void replica::impl::noteMembers()
{
    if (shownMembers == node.members())
        return;
    shownMembers = node.members();
    auto voters = nlohmann::json::array();
    auto learners = nlohmann::json::array();
    for (const auto& each : shownMembers.members)
        (each.role == member_role::voter ? voters : learners).push_back(each.id.value());
    logEvent(log_level::info, "members_changed",
        { { "replica", options.self.value() }, { "term", node.term() }, { "voters", voters },
            { "learners", learners } });
}

void replica::impl::noteFailedElection()
{
    const auto failed = node.takeFailedCampaign();
    if (!failed)
        return;
    ++failedElections;
    const auto leftOut = electionLines.admit(latest);
    if (!leftOut)
        return;
    auto fields = detail::electionFields(*failed);
    fields["replica"] = options.self.value();
    fields["left_out"] = *leftOut;
    logEvent(log_level::warning, "election_failed", fields);
}

void replica::impl::stop(failure reason)
{
    if (stopReason)
        return;
    stopReason = reason;
    logEvent(log_level::error, "replica_stopped",
        { { "replica", options.self.value() }, { "code", toString(reason.code) }, { "reason", reason.message } });
    abandonProposals("the replica stopped: " + reason.message, std::numeric_limits<std::uint64_t>::max());
    if (environment.stopped)
        environment.post([stopped = environment.stopped, reason = std::move(reason)] { stopped(reason); });
}

replica::replica(std::shared_ptr<impl> made)
    : m_impl(std::move(made))
{
}

replica::~replica()
{
    // Ends the disk thread before the state machine goes; callbacks that are still posted find nothing.
    m_impl->disk.reset();
    m_impl.reset();
}

void replica::tick(instant now)
{
    m_impl->observe(now);
    if (m_impl->stopReason)
        return;
    m_impl->retryDisk();
    m_impl->node.tick(m_impl->latest);
    m_impl->noteFailedElection();
    m_impl->flush();
}

void replica::receive(replica_id from, std::string_view message, instant now)
{
    m_impl->observe(now);
    if (m_impl->stopReason)
        return;
    const auto decoded = detail::decodeMessage(message);
    if (!decoded || decoded.value().from != from) {
        logEvent(log_level::warning, "replica_message_refused", { { "from", from.value() } });
        return;
    }
    m_impl->node.receive(decoded.value(), m_impl->latest);
    m_impl->flush();
}

void replica::propose(std::string payload, instant now, proposal_callback done)
{
    m_impl->observe(now);
    if (m_impl->stopReason)
        return done(failure { failure_code::not_leader, "the replica stopped: " + m_impl->stopReason->message });
    m_impl->appended(m_impl->node.propose(std::move(payload), m_impl->latest), std::move(done));
}

void replica::changeMembership(membership members, instant now, proposal_callback done)
{
    m_impl->observe(now);
    if (m_impl->stopReason)
        return done(failure { failure_code::not_leader, "the replica stopped: " + m_impl->stopReason->message });
    m_impl->appended(m_impl->node.proposeMembership(std::move(members), m_impl->latest), std::move(done));
}

bool replica::isLeader() const { return !m_impl->stopReason && m_impl->node.isLeader(); }
bool replica::holdsLeaderLease(instant now) const
{
    return isLeader() && m_impl->applied >= m_impl->node.termStartIndex() && m_impl->node.holdsLeaderLease(now);
}
std::optional<replica_id> replica::leader() const { return m_impl->node.leader(); }
bool replica::hearsLeader(instant now) const { return !m_impl->stopReason && m_impl->node.hearsLeader(now); }
std::uint64_t replica::failedElections() const { return m_impl->failedElections; }
std::uint64_t replica::term() const { return m_impl->node.term(); }
std::uint64_t replica::commitIndex() const { return m_impl->node.commitIndex(); }
std::uint64_t replica::lastIndex() const { return m_impl->node.lastIndex(); }
std::vector<member_contact> replica::contacts() const { return m_impl->node.contacts(); }
std::size_t replica::answeringVoters(instant now) const { return m_impl->node.answeringVoters(now); }
const recovery_facts& replica::recovery() const { return m_impl->recovery; }
std::uint64_t replica::appliedIndex() const { return m_impl->applied; }
const membership& replica::members() const { return m_impl->node.members(); }
bool replica::mayVote() const { return !m_impl->stopReason && m_impl->node.mayVote(); }
bool replica::isPersisting() const
{
    const auto& reported = m_impl->lastReport;
    const bool batchesDone = reported.durableNumber == m_impl->requestedNumber || reported.batchesWait;
    const bool snapshotDone = reported.snapshotIndex == m_impl->requestedSnapshot || reported.noSpace;
    return !m_impl->stopReason && (m_impl->isDiskRetried || !batchesDone || !snapshotDone);
}

bool replica::isDiskFull() const { return m_impl->lastReport.noSpace.has_value(); }

std::optional<failure> replica::failed() const { return m_impl->stopReason; }

bool replica::transferLeadership(instant now)
{
    m_impl->observe(now);
    if (m_impl->stopReason)
        return false;
    const bool started = m_impl->node.transferLeadership(m_impl->latest);
    m_impl->flush();
    return started;
}

} // namespace poplardeal
