#pragma once

#include <map>
#include <optional>
#include <poplardeal/base/metrics.h>
#include <poplardeal/consensus/replica.h>

namespace poplardeal::detail {

/// Metrics of a control as a replica. Those that only a leader knows are `unknown` on the others.
class control_metrics {
public:
    /// `toleratedLosses`: of controls that may be lost at the same time.
    control_metrics(metrics_registry&, std::size_t toleratedLosses);

    /// The data folder has been opened.
    void recordRecovery(const recovery_facts&);
    /// The disk has, or has not, room for what this control has to write.
    void recordDiskFull(bool);
    /// How long this control has been asking to join the group; zero if it does not ask.
    void recordJoining(duration);
    /// A write to the log and its sync have ended.
    void recordWrite(duration);
    void update(const replica&, instant now);

    static constexpr double unknown = -1;

private:
    struct member_gauges {
        gauge& silence;
        gauge& lag;
    };

    void updateElections(const replica&, instant now);
    void updateMembers(const replica&, instant now);
    member_gauges& gaugesOf(replica_id);

    metrics_registry& m_metrics;
    gauge& m_leads;
    gauge& m_mayVote;
    gauge& m_voters;
    gauge& m_learners;
    gauge& m_joining;
    gauge& m_leaderless;
    counter& m_failedElections;
    gauge& m_answering;
    gauge& m_margin;
    gauge& m_term;
    gauge& m_lastIndex;
    gauge& m_commitIndex;
    gauge& m_diskFull;
    timing& m_writeTime;
    std::map<replica_id, member_gauges> m_members;
    std::optional<instant> m_leaderHeardAt; ///< Or when the metrics were first updated.
};

} // namespace poplardeal::detail
