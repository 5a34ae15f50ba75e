#include "archive.h"
#include "scheduler_core.h"

#include <algorithm>

namespace poplardeal {

// Found by argument-dependent lookup, hence in the namespace of the structures.

template <class Archive> void describeFields(Archive& a, resources& r) { a(r.cpu, r.memory, r.accelerator); }

template <class Archive> void describeFields(Archive& a, guaranteed_shape& s)
{
    a(s.blocks, s.blockAccelerators, s.within, s.count);
}

template <class Archive> void describeFields(Archive& a, job_template& t)
{
    a(t.name, t.tasks, t.perTask, t.within, t.priority, t.runTime, t.maxRestarts, t.command);
}

template <class Archive> void describeFields(Archive& a, workspace& w) { a(w.name, w.quota, w.guarantees, w.jobs); }

template <class Archive> void describeFields(Archive& a, worker_pool& p)
{
    a(p.dataCentre, p.rack, p.workers, p.perWorker);
}

template <class Archive> void describeFields(Archive& a, worker_spec& w)
{
    a(w.id, w.instance, w.dataCentre, w.rack, w.capacity);
}

template <class Archive> void describeFields(Archive& a, task_id& t) { a(t.job, t.index, t.attempt); }

namespace detail {

    template <class Archive> void describeFields(Archive& a, task_spot& s) { a(s.worker, s.accelerators); }

    template <class Archive> void describeFields(Archive& a, lease_record& l)
    {
        a(l.number, l.task, l.workspace, l.amount, l.spot, l.state, l.started, l.secured, l.progressFrom,
            l.overuseSteps, l.overuseSince);
    }

    template <class Archive> void describeFields(Archive& a, job_record& j)
    {
        a(j.number, j.workspace, j.spec, j.phase, j.cause, j.reason, j.attempt, j.failures, j.refusals, j.acceptedAt,
            j.notBefore, j.attemptStartedAt, j.phaseDeadline, j.startedAt, j.endedAt, j.leases, j.finishedTasks,
            j.failedWorkers, j.avoidFailedUntil, j.claiming, j.shadow, j.backfilledBefore, j.everStarted, j.uncertain);
    }

    template <class Archive> void describeFields(Archive& a, worker_record& w)
    {
        a(w.spec, w.rack, w.dataCentre, w.present, w.suspected, w.used, w.claimed, w.reserved, w.free, w.claimedAmount,
            w.avoidUntil, w.leases, w.claims, w.failedJobs, w.onProbation);
    }

    template <class Archive> void describeFields(Archive& a, rack_record& r) { a(r.name, r.dataCentre, r.workers); }

    template <class Archive> void describeFields(Archive& a, data_centre_record& d)
    {
        a(d.name, d.inService, d.returnedAt, d.startTokens, d.tokensAt, d.racks);
    }

    template <class Archive> void describeFields(Archive& a, shape_instance& s)
    {
        a(s.blocks, s.blockAccelerators, s.within);
    }

    template <class Archive> void describeFields(Archive& a, reservation& r) { a(r.owner, r.shape, r.cells); }

    template <class Archive> void describeFields(Archive& a, workspace_record& w)
    {
        a(w.definition, w.defined, w.held);
    }

    template <class Archive> void describeFields(Archive& a, cluster& tree) { tree.describe(a); }

    template <class Archive> void scheduler_core::describe(Archive& a)
    {
        a(m_policy, m_now, m_pools, m_cluster, m_workspaces, m_jobs, m_leases, m_waiting, m_ended, m_timers,
            m_nextLease, m_lastEvicted, m_placementDue, m_capacityGrew, m_reservationsDue, m_newHeads, m_failedDemands,
            m_nextReview, m_nextRepack, m_nextConsolidation, m_nextCompaction, m_reservations, m_claiming, m_draining,
            m_drainedWorkers, m_runTimeRatios);
    }

    nlohmann::json scheduler_core::toJson() const
    {
        state_writer writer;
        const_cast<scheduler_core*>(this)->describe(writer);
        return writer.take();
    }

    void scheduler_core::fromJson(const nlohmann::json& from)
    {
        state_reader reader(from);
        describe(reader);
        m_cluster.rebuildIndex();
        m_expected = expectedCluster(m_pools);
    }

} // namespace detail
} // namespace poplardeal
