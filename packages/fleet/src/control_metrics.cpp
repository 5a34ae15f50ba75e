#include "control_metrics.h"
#include "membership_manager.h"
#include "replica_address.h"

namespace poplardeal::detail {

static double secondsOf(duration time) { return std::chrono::duration<double>(time).count(); }

control_metrics::control_metrics(metrics_registry& metrics, std::size_t toleratedLosses)
    : m_metrics(metrics)
    , m_leads(metrics.getGauge("poplardeal_control_leads", "1 while this control leads and holds its lease"))
    , m_mayVote(metrics.getGauge("poplardeal_control_may_vote", "1 if this control may vote"))
    , m_voters(metrics.getGauge("poplardeal_control_voters", "Voting members that this control knows"))
    , m_learners(metrics.getGauge("poplardeal_control_learners", "Members without a vote that this control knows"))
    , m_joining(metrics.getGauge("poplardeal_control_joining_seconds",
          "Time for which this control has been asking to join the group; 0 if it does not ask"))
    , m_leaderless(metrics.getGauge("poplardeal_control_leaderless_seconds",
          "Time for which this control has known no leader; 0 while it knows one"))
    , m_failedElections(metrics.getCounter(
          "poplardeal_control_elections_failed_total", "Campaigns of this control that made no leader"))
    , m_answering(
          metrics.getGauge("poplardeal_control_voters_answering", "Voters that answer this leader, itself included"))
    , m_margin(metrics.getGauge("poplardeal_control_quorum_margin", "Answering voters that this leader can spare"))
    , m_term(metrics.getGauge("poplardeal_control_term", "Raft term"))
    , m_lastIndex(metrics.getGauge("poplardeal_control_last_index", "Last entry of the log"))
    , m_commitIndex(metrics.getGauge("poplardeal_control_commit_index", "Last entry known to be committed"))
    , m_diskFull(metrics.getGauge("poplardeal_disk_full", "1 while the disk of this control has no room for a write"))
    , m_writeTime(metrics.getTiming("poplardeal_control_log_write_seconds", "Time to write to the log and sync it"))
{
    m_answering.set(unknown);
    m_margin.set(unknown);
    metrics
        .getGauge("poplardeal_control_voters_needed", "Voters that bear the losses of controls that the settings name")
        .set(static_cast<double>(membership_manager::votersNeeded(toleratedLosses)));
}

void control_metrics::recordRecovery(const recovery_facts& facts)
{
    const auto set = [this](const char* name, const char* help, auto value) {
        m_metrics.getGauge(name, help).set(static_cast<double>(value));
    };
    set("poplardeal_control_recovered_fresh", "1 if the data folder was empty", facts.fresh);
    set("poplardeal_control_recovered_entries", "Entries read from the log", facts.entries);
    set("poplardeal_control_recovered_cut_bytes", "Bytes of a torn record at the end of the log", facts.cutBytes);
    set("poplardeal_control_recovered_last_sequence", "Number of the last record read", facts.lastSequence);
    set("poplardeal_control_recovered_set_aside", "1 if damaged files were set aside", facts.setAside);
    set("poplardeal_control_folder_opens", "How often the data folder has been opened", facts.opens);
}

void control_metrics::recordDiskFull(bool full) { m_diskFull.set(full ? 1 : 0); }

void control_metrics::recordJoining(duration time) { m_joining.set(secondsOf(time)); }

void control_metrics::recordWrite(duration time) { m_writeTime.observe(time); }

void control_metrics::update(const replica& self, instant now)
{
    const auto& members = self.members();
    const auto voters = members.voterCount();
    m_leads.set(self.holdsLeaderLease(now) ? 1 : 0);
    m_mayVote.set(self.mayVote() ? 1 : 0);
    m_voters.set(static_cast<double>(voters));
    m_learners.set(static_cast<double>(members.members.size() - voters));
    m_term.set(static_cast<double>(self.term()));
    m_lastIndex.set(static_cast<double>(self.lastIndex()));
    m_commitIndex.set(static_cast<double>(self.commitIndex()));
    recordDiskFull(self.isDiskFull());
    const std::size_t quorum = voters / 2 + 1;
    const auto answering = static_cast<double>(self.answeringVoters(now));
    m_answering.set(self.isLeader() ? answering : unknown);
    m_margin.set(self.isLeader() ? answering - static_cast<double>(quorum) : unknown);
    updateElections(self, now);
    updateMembers(self, now);
}

void control_metrics::updateElections(const replica& self, instant now)
{
    if (!m_leaderHeardAt || self.hearsLeader(now))
        m_leaderHeardAt = now;
    m_leaderless.set(secondsOf(now - *m_leaderHeardAt));
    m_failedElections.add(self.failedElections() - m_failedElections.value());
}

void control_metrics::updateMembers(const replica& self, instant now)
{
    for (auto& [id, each] : m_members) {
        each.silence.set(unknown);
        each.lag.set(unknown);
    }
    for (const auto& contact : self.contacts()) {
        auto& each = gaugesOf(contact.id);
        each.silence.set(contact.answeredSentAt ? secondsOf(now - *contact.answeredSentAt) : unknown);
        each.lag.set(static_cast<double>(self.lastIndex()) - static_cast<double>(contact.matchIndex));
    }
}

control_metrics::member_gauges& control_metrics::gaugesOf(replica_id id)
{
    const auto found = m_members.find(id);
    if (found != m_members.end())
        return found->second;
    const metric_labels labels { { "member", ipFromReplicaId(id) } };
    auto& silence = m_metrics.getGauge("poplardeal_control_member_silence_seconds",
        "Age of the latest message of this leader that the member has answered", labels);
    auto& lag = m_metrics.getGauge("poplardeal_control_member_lag_entries",
        "Entries that the member has not yet reported as durable to this leader", labels);
    return m_members.emplace(id, member_gauges { silence, lag }).first->second;
}

} // namespace poplardeal::detail
