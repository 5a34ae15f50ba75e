#include "job_archive.h"
#include <poplardeal/base/compression.h>
#include <poplardeal/jobs/codec.h>
#include <poplardeal/jobs/job_table.h>

/// The snapshots of the job table.
namespace poplardeal {

/// Largest size of a decoded snapshot; about the memory of a control process.
static constexpr std::size_t maxSnapshotBytes = std::size_t { 256 } * 1024 * 1024;

/// First bytes of a snapshot whose jobs are archived. Earlier versions wrote one CBOR map of everything.
static constexpr std::string_view archivedSnapshotMagic { "PDJ2" };

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(unit_member, worker, isOver)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    unit, phase, lastRun, failures, runFailed, saved, waitingSince, startedAt, isResumed, members)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(speed_sample, worker, task, runTime)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(speed_record, startedAtMs, mean, variance, surprise, updated)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(log_mean, count, mean)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(speed_history::step_record, step, time)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(run_time_record, count, meanLog, spreadLog, meanBias, spreadBias)
// The current runs are those of the jobs.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(usage_record, coreSeconds, at)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(step_key, job, occurrence, step)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(kind_presence, kind, running, since, lastEnd)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(neighbour_sample, worker, runTime, beside, apart)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(pair_record, weight, mean, spread, isKnown)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(interference_records, kinds, presence, steps, pairs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(step_state, units, doneUnits)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(job_occurrence, steps)

static void to_json(nlohmann::json& out, const occurrence_list<job_occurrence>& list)
{
    out = std::vector<job_occurrence>(list.begin(), list.end());
}
static void from_json(const nlohmann::json& in, occurrence_list<job_occurrence>& list)
{
    std::vector<occurrence_list<job_occurrence>::shared_occurrence> items;
    for (const auto& item : in) {
        auto read = std::make_shared<job_occurrence>(item.get<job_occurrence>());
        items.push_back(!items.empty() && *items.back() == *read ? items.back() : std::move(read));
    }
    list = occurrence_list<job_occurrence>(std::move(items));
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(submission, id, queue, service, workspace, priority, attempts, stretch, allowance,
    needsAdvice, spec, acceptedAt, sequence, hasStarted, phase, endedAt, occurrences)

std::string job_table::save() const
{
    nlohmann::json head;
    head["plan"] = m_plan;
    head["out_of_service"] = m_outOfService;
    head["speeds"] = m_speeds.samples();
    head["speed_model"] = m_speedHistory.model().records();
    head["speed_steps"] = m_speedHistory.steps();
    head["speed_queues"] = m_speedHistory.queues();
    head["run_times"] = m_runTimes.records();
    head["usage"] = m_usage.records();
    head["interference"] = m_interference.records();
    head["sequence"] = m_sequence;
    head["pruned_at"] = m_prunedAt;
    head["addresses"] = m_addresses;
    std::string out(archivedSnapshotMagic);
    detail::archive_writer archive(out);
    archive(toCbor(head));
    for (const auto& [id, job] : m_jobs)
        archive(job);
    return compress(out);
}

result<void> job_table::restore(std::string_view bytes)
{
    std::string content;
    // Snapshots of earlier versions are not compressed.
    if (isCompressed(bytes)) {
        BOOST_OUTCOME_TRY(decompressed, decompress(bytes, maxSnapshotBytes));
        content = std::move(decompressed);
        bytes = content;
    }
    try {
        std::string head;
        const bool isArchived = bytes.starts_with(archivedSnapshotMagic);
        detail::archive_reader archive(isArchived ? bytes.substr(archivedSnapshotMagic.size()) : std::string_view());
        if (isArchived)
            archive(head);
        const auto in = fromCbor<nlohmann::json>(isArchived ? std::string_view(head) : bytes);
        job_table read;
        read.m_plan = in.at("plan").get<queue_plan>();
        read.m_planIndex = plan_index(read.m_plan);
        read.m_outOfService = in.at("out_of_service").get<std::set<data_centre_name>>();
        read.m_speeds.restore(in.at("speeds").get<std::deque<speed_sample>>());
        // Snapshots of earlier versions have no model.
        if (in.contains("speed_model"))
            read.m_speedHistory.restore(in.at("speed_model").get<std::map<worker_id, speed_record>>(),
                in.at("speed_steps").get<std::deque<speed_history::step_record>>(),
                in.at("speed_queues").get<std::map<queue_name, log_mean>>());
        read.m_runTimes.restore(in.at("run_times").get<std::map<queue_name, run_time_record>>());
        // Snapshots of earlier versions have no usage.
        if (in.contains("usage"))
            read.m_usage.restore(in.at("usage").get<std::map<workspace_name, usage_record>>());
        // Snapshots of earlier versions have none.
        if (in.contains("interference"))
            read.m_interference.restore(in.at("interference").get<interference_records>());
        read.m_sequence = in.at("sequence").get<std::uint64_t>();
        read.m_prunedAt = in.at("pruned_at").get<instant>();
        for (const auto& [boot, address] : in.at("addresses").get<std::map<worker_boot, std::string>>())
            read.setAddress(boot, address);
        while (!archive.isAtEnd()) {
            submission job;
            archive(job);
            read.restoreJob(std::move(job));
        }
        // Snapshots of earlier versions have the jobs in the map.
        if (!isArchived) {
            for (const auto& item : in.at("jobs"))
                read.restoreJob(item.get<submission>());
        }
        *this = std::move(read);
        return success();
    } catch (const std::exception& error) {
        return failure { failure_code::corrupt, std::string("job snapshot: ") + error.what() };
    }
}

} // namespace poplardeal
