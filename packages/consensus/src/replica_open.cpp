#include "replica_impl.h"
#include <nlohmann/json.hpp>
#include <poplardeal/base/log.h>
#include <random>

namespace poplardeal {

static std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

static raft_options nodeOptions(const replica_options& options, const recovered_folder& folder)
{
    raft_options out;
    out.self = options.self;
    out.initialMembers = membershipOfVoters(options.voters);
    out.dataIncarnation = folder.dataIncarnation;
    out.rejoinIncarnation = randomNumber() | 1;
    out.startCount = folder.startCount;
    out.votersNeeded = options.votersNeeded;
    out.maxVoters = options.maxVoters;
    out.heartbeatInterval = options.heartbeatInterval;
    out.electionTimeout = options.electionTimeout;
    out.seed = options.seed;
    return out;
}

static void logRefusal(const replica_options& options, const failure& reason, const folder_damage& damage)
{
    nlohmann::json fields { { "replica", options.self.value() }, { "code", toString(reason.code) },
        { "folder", options.dataFolder.string() }, { "reason", reason.message } };
    if (!damage.file.empty()) {
        fields["file"] = damage.file;
        fields["offset"] = damage.offset;
    }
    if (damage.expectedSequence) {
        fields["expected_sequence"] = *damage.expectedSequence;
        fields["found_sequence"] = *damage.foundSequence;
    }
    logEvent(log_level::error, "data_folder_refused", fields);
}

result<std::unique_ptr<replica>> replica::open(
    replica_options options, replica_environment environment, state_machine& machine, instant now)
{
    log_store_options storeOptions;
    storeOptions.bootstrap = options.bootstrap;
    storeOptions.setAsideDamage = options.setAsideDamage;
    storeOptions.newIncarnation = randomNumber() | 1;
    storeOptions.startTag = randomNumber();
    folder_damage damage;
    auto opened = log_store::open(posix_disk(options.dataFolder), storeOptions, &damage);
    if (!opened) {
        if (!options.repeatsFullDisk || opened.error().code != failure_code::no_space)
            logRefusal(options, opened.error(), damage);
        return opened.error();
    }
    auto store = std::move(opened).value();
    auto folder = store.takeRecovered();
    if (!folder.setAside.empty())
        logEvent(log_level::warning, "data_folder_set_aside",
            { { "replica", options.self.value() }, { "folder", options.dataFolder.string() },
                { "reason", folder.setAside } });
    const auto snapshot = folder.state.snapshot;
    if (snapshot) {
        // Its checksum matched, so another version has written it.
        if (const auto installed = machine.installSnapshot(snapshot->data); !installed) {
            const failure reason { failure_code::unknown_format, installed.error().message };
            logRefusal(options, reason, {});
            return reason;
        }
    }
    logEvent(log_level::info, "replica_opened",
        { { "replica", options.self.value() }, { "term", folder.state.hard.term }, { "fresh", folder.fresh },
            { "snapshot_index", snapshot ? snapshot->index : 0 }, { "entries", folder.state.entries.size() },
            { "cut_bytes", folder.cutBytes }, { "last_sequence", folder.lastSequence }, { "segments", folder.segments },
            { "last_segment_bytes", folder.lastSegmentBytes } });
    constexpr int startTagBits = 16; // Of the start count; see `log_store_options::startTag`.
    const recovery_facts recovery { folder.fresh, folder.state.entries.size(), folder.cutBytes, folder.lastSequence,
        !folder.setAside.empty(), folder.startCount >> startTagBits };
    raft_node node(nodeOptions(options, folder), std::move(folder.state), now);
    auto made = std::make_shared<impl>(std::move(options), std::move(environment), machine, std::move(node));
    made->observe(now);
    made->recovery = recovery;
    made->applied = snapshot ? snapshot->index : 0;
    made->snapshotIndex = made->applied;
    made->startDisk(std::move(store));
    return std::unique_ptr<replica>(new replica(std::move(made)));
}

} // namespace poplardeal
