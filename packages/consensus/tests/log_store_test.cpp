#include "basic_log_store.h"
#include "memory_disk.h"
#include "raft_wire.h"
#include "replica_group.h"
#include "simulated_disk.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <rapidcheck.h>
#include <sys/syscall.h>

using namespace poplardeal;
using namespace poplardeal::test;

/// Syncs of folders and file systems since the list was cleared; the failure of the next sync of a folder, if not 0.
/// Of this thread: the disk threads of other cases sync folders, too.
static thread_local std::vector<std::string> syncedFolders;
static thread_local int nextFolderSyncError = 0;

static std::string pathOf(int descriptor)
{
    return std::filesystem::read_symlink("/proc/self/fd/" + std::to_string(descriptor)).string();
}

// These replace the functions of the C library for the whole test program.
extern "C" int fsync(int descriptor)
{
    syncedFolders.push_back(pathOf(descriptor));
    if (const int error = std::exchange(nextFolderSyncError, 0)) {
        errno = error;
        return -1;
    }
    return static_cast<int>(::syscall(SYS_fsync, descriptor));
}

extern "C" int syncfs(int descriptor) noexcept
{
    syncedFolders.push_back("file system of " + pathOf(descriptor));
    return static_cast<int>(::syscall(SYS_syncfs, descriptor));
}

using memory_store = basic_log_store<memory_disk>;

static result<memory_store> openStore(const std::shared_ptr<memory_files>& files, bool bootstrap = false)
{
    log_store_options options;
    options.bootstrap = bootstrap;
    options.newIncarnation = 77;
    options.segmentBytes = 700;
    return memory_store::open(memory_disk(files), options);
}

template <class T> static std::string reasonOf(const result<T>& outcome)
{
    return outcome ? std::string() : outcome.error().message;
}

static persist_batch batchOf(std::uint64_t first, std::uint64_t count, std::uint64_t term)
{
    persist_batch batch;
    batch.hard = hard_state { term, replica_id(2) };
    for (auto index = first; index < first + count; ++index)
        batch.entries.push_back({ term, index, entry_kind::command, "payload " + std::to_string(index) });
    return batch;
}

static shared_snapshot snapshotAt(std::uint64_t index, std::uint64_t term)
{
    return std::make_shared<log_snapshot>(
        log_snapshot { index, term, membershipOfVoters({ replica_id(1), replica_id(2) }), "state" });
}

static std::uint64_t lastIndex(const recovered_folder& folder)
{
    if (!folder.state.entries.empty())
        return folder.state.entries.back().index;
    return folder.state.snapshot ? folder.state.snapshot->index : 0;
}

/// Name of the last log segment.
static std::string lastSegment(const memory_files& files)
{
    std::string last;
    for (const auto& [name, place] : files.current)
        last = name.starts_with("log-") ? name : last;
    return last;
}

BOOST_AUTO_TEST_SUITE(log_store_suite)

// Guards against state that differs after a restart.
BOOST_AUTO_TEST_CASE(batches_are_read_back)
{
    const auto files = std::make_shared<memory_files>();
    {
        auto store = openStore(files, true);
        BOOST_TEST(store.value().takeRecovered().fresh);
        BOOST_REQUIRE(store.value().write({ batchOf(1, 5, 3), batchOf(4, 3, 4) }).has_value());
    }
    const auto folder = openStore(files).value().takeRecovered();
    BOOST_TEST(!folder.fresh);
    BOOST_TEST(folder.dataIncarnation == 0U);
    BOOST_TEST((folder.state.hard == hard_state { 4, replica_id(2) }));
    BOOST_REQUIRE(folder.state.entries.size() == 6U);
    BOOST_TEST(folder.state.entries[2].term == 3U);
    BOOST_TEST(folder.state.entries[3].term == 4U);
}

// Guards against a replica that votes with an empty folder, and against starts that cannot be told apart.
BOOST_AUTO_TEST_CASE(an_empty_folder_without_bootstrap_gets_an_incarnation)
{
    const auto files = std::make_shared<memory_files>();
    const auto first = openStore(files).value().takeRecovered();
    const auto second = openStore(files, true).value().takeRecovered();
    BOOST_TEST(first.dataIncarnation == 77U);
    BOOST_TEST(second.dataIncarnation == 77U);
    BOOST_TEST(second.startCount > first.startCount);
    persist_batch changed;
    changed.dataIncarnation = 78;
    BOOST_REQUIRE(openStore(files).value().write({ changed }).has_value());
    BOOST_TEST(openStore(files).value().takeRecovered().dataIncarnation == 78U);
}

// Guards against a log that grows without bound, and against one that is cut too far.
BOOST_AUTO_TEST_CASE(a_snapshot_removes_old_segments)
{
    const auto files = std::make_shared<memory_files>();
    {
        auto store = openStore(files, true);
        for (std::uint64_t first = 1; first <= 191; first += 10)
            BOOST_REQUIRE(store.value().write({ batchOf(first, 10, 1) }).has_value());
        const auto before = files->current.size();
        BOOST_REQUIRE(store.value().saveSnapshot(*snapshotAt(150, 1)).has_value());
        BOOST_TEST(files->current.size() < before / 2);
    }
    const auto folder = openStore(files).value().takeRecovered();
    BOOST_TEST(folder.state.snapshot->index == 150U);
    BOOST_TEST(folder.state.entries.front().index == 151U);
    BOOST_TEST(folder.state.entries.back().index == 200U);
}

// Guards against entries of a deposed leader that come back behind a snapshot.
BOOST_AUTO_TEST_CASE(a_received_snapshot_replaces_the_log)
{
    const auto files = std::make_shared<memory_files>();
    {
        auto store = openStore(files, true);
        BOOST_REQUIRE(store.value().write({ batchOf(1, 20, 1) }).has_value());
        auto batch = batchOf(11, 2, 5);
        batch.snapshot = snapshotAt(10, 4);
        batch.discardLog = true;
        BOOST_REQUIRE(store.value().write({ batch }).has_value());
    }
    const auto folder = openStore(files).value().takeRecovered();
    BOOST_REQUIRE(folder.state.entries.size() == 2U);
    BOOST_TEST(folder.state.entries.front().term == 5U);
}

// Guards against entries of a deposed leader that come back when the power fails between the rename of a received
// snapshot and the record that drops the log.
BOOST_AUTO_TEST_CASE(a_crash_after_a_received_snapshot_drops_the_replaced_log)
{
    const auto files = std::make_shared<memory_files>();
    {
        auto store = openStore(files, true);
        BOOST_REQUIRE(store.value().write({ batchOf(1, 20, 1) }).has_value());
        persist_batch batch;
        batch.snapshot = snapshotAt(10, 4);
        batch.discardLog = true;
        // The snapshot takes a write, a sync, a rename and a sync of the folder.
        files->operationsUntilCrash = 4;
        BOOST_REQUIRE(store.value().write({ batch }).has_error());
    }
    files->loseUnsynced();
    {
        auto store = openStore(files);
        const auto folder = store.value().takeRecovered();
        BOOST_REQUIRE(folder.state.snapshot);
        BOOST_TEST(folder.state.entries.empty());
        BOOST_REQUIRE(store.value().write({ batchOf(11, 1, 5) }).has_value());
    }
    BOOST_TEST(lastIndex(openStore(files).value().takeRecovered()) == 11U);
}

enum class end_of_process {
    killed,
    power_lost, ///< Everything unsynced is gone.
    power_lost_in_any_order, ///< Each unsynced write and name is kept or lost.
};
const end_of_process processEnds[]
    = { end_of_process::killed, end_of_process::power_lost, end_of_process::power_lost_in_any_order };
std::ostream& operator<<(std::ostream& out, end_of_process end) { return out << static_cast<int>(end); }

enum class damage {
    none,
    cut_tail,
    zero_tail,
    flip_last,
    flip_middle,
    flip_earlier_segment,
    remove_first_segment,
    remove_middle_segment,
    flip_snapshot,
};

struct damage_row {
    const char* name;
    damage kind;
    bool opens;
    std::uint64_t lastIndex;
};
std::ostream& operator<<(std::ostream& out, const damage_row& row) { return out << row.name; }

const damage_row damageRows[] = {
    { "none", damage::none, true, 44 },
    { "last record is cut short", damage::cut_tail, true, 43 },
    { "last record ends in zeros", damage::zero_tail, true, 43 },
    { "bit flip in the last record", damage::flip_last, true, 43 },
    { "bit flip in the record before the last", damage::flip_middle, false, 0 },
    { "bit flip in an earlier segment", damage::flip_earlier_segment, false, 0 },
    { "first segment is gone", damage::remove_first_segment, false, 0 },
    { "segment in the middle is gone", damage::remove_middle_segment, false, 0 },
    { "bit flip in the snapshot", damage::flip_snapshot, false, 0 },
};

static std::size_t offsetOfRecord(const std::string& bytes, int fromEnd)
{
    auto offset = bytes.size();
    for (int i = 0; i < fromEnd; ++i)
        offset = bytes.rfind("PDLG", offset - 1);
    return offset;
}

static void flip(std::string& bytes, std::size_t offset) { bytes[offset] = static_cast<char>(bytes[offset] ^ 4); }

static void inflict(memory_files& files, damage kind)
{
    std::vector<std::string> segments;
    for (const auto& [name, place] : files.current) {
        if (name.starts_with("log-"))
            segments.push_back(name);
    }
    auto& last = files.bytes(segments.back());
    switch (kind) {
    case damage::none:
        return;
    case damage::cut_tail:
        last.resize(last.size() - 5);
        return;
    case damage::zero_tail:
        std::fill(last.end() - 20, last.end(), '\0');
        return;
    case damage::flip_last:
        return flip(last, last.size() - 10);
    case damage::flip_middle:
        return flip(last, offsetOfRecord(last, 2) + 30);
    case damage::flip_earlier_segment:
        return flip(files.bytes(segments[segments.size() - 2]), 40);
    case damage::remove_first_segment:
        files.current.erase(segments.front());
        return;
    case damage::remove_middle_segment:
        files.current.erase(segments[segments.size() / 2]);
        return;
    case damage::flip_snapshot:
        for (const auto& [name, place] : files.current) {
            if (name.starts_with("snapshot-"))
                flip(files.bytes(name), files.bytes(name).size() / 2);
        }
        return;
    }
}

// Guards against damage that is read as data, against a refusal of a mere torn write, and against a message without the
// place of the damage.
BOOST_DATA_TEST_CASE(damage_is_cut_or_refused, damageRows, row)
{
    const auto files = std::make_shared<memory_files>();
    {
        auto store = openStore(files, true);
        for (std::uint64_t index = 1; index <= 20; ++index)
            BOOST_REQUIRE(store.value().write({ batchOf(index, 1, 1) }).has_value());
        BOOST_REQUIRE(store.value().saveSnapshot(*snapshotAt(15, 1)).has_value());
        for (std::uint64_t index = 21; index <= 44; ++index)
            BOOST_REQUIRE(store.value().write({ batchOf(index, 1, 1) }).has_value());
    }
    inflict(*files, row.kind);
    folder_damage found;
    auto store = memory_store::open(memory_disk(files), {}, &found);
    BOOST_REQUIRE(store.has_value() == row.opens);
    if (row.opens) {
        const auto folder = store.value().takeRecovered();
        BOOST_TEST(lastIndex(folder) == row.lastIndex);
        BOOST_TEST((folder.cutBytes != 0) == (row.kind != damage::none));
    } else {
        BOOST_TEST((store.error().code == failure_code::corrupt));
        BOOST_TEST(store.error().message.find("memory/") != std::string::npos);
        BOOST_TEST(store.error().message.find("offset") != std::string::npos);
        BOOST_TEST(found.file.starts_with("memory/"));
        BOOST_TEST(found.expectedSequence.has_value() == (row.kind == damage::remove_middle_segment));
    }
}

static std::string recordOfFormat(std::uint32_t format)
{
    flatbuffers::FlatBufferBuilder out;
    raft_wire::RecordBuilder record(out);
    record.add_has_header(true);
    record.add_format(format);
    out.Finish(record.Finish());
    const std::string body(reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize());
    return detail::frameRecord(1, body);
}

static result<memory_store> openAndSetAside(const std::shared_ptr<memory_files>& files, folder_damage* found = nullptr)
{
    log_store_options options;
    options.bootstrap = true;
    options.newIncarnation = 77;
    options.segmentBytes = 700;
    options.setAsideDamage = true;
    return memory_store::open(memory_disk(files), options, found);
}

static std::shared_ptr<memory_files> damagedFolder(damage kind)
{
    auto files = std::make_shared<memory_files>();
    auto store = openStore(files, true);
    for (std::uint64_t index = 1; index <= 44; ++index) {
        store.value().write({ batchOf(index, 1, 1) }).value();
        if (index == 20)
            store.value().saveSnapshot(*snapshotAt(15, 1)).value();
    }
    inflict(*files, kind);
    for (auto& file : files->files)
        file = { file.bytes, file.bytes, {} };
    files->syncNames();
    return files;
}

/// Contents of the files that hold data, also of those that were set aside, in the order of their original names.
static std::multimap<std::string, std::string> dataOf(const memory_files& files)
{
    std::multimap<std::string, std::string> out;
    for (const auto& [name, place] : files.current) {
        const bool isDamaged = name.starts_with("damaged-");
        const auto original = isDamaged ? name.substr(detail::numberedName("damaged-", 0).size()) : name;
        if (isDamaged || detail::holdsData(name))
            out.emplace(original, files.files[place].bytes);
    }
    return out;
}

// Guards against a replica that keeps its vote, votes at once or loses a file when a process ends or the power fails
// while a damaged folder is set aside.
BOOST_DATA_TEST_CASE(a_folder_is_set_aside_as_a_whole_or_not_at_all, processEnds, end)
{
    bool wasSetAside = false;
    for (const auto kind : { damage::flip_middle, damage::flip_earlier_segment, damage::flip_snapshot }) {
        constexpr unsigned plays = 20; // Of each operation; they differ in what a loss of power keeps.
        for (unsigned play = 0;; ++play) {
            const auto operation = static_cast<int>(play / plays);
            const auto files = damagedFolder(kind);
            files->random.seed(play);
            const auto data = dataOf(*files);
            files->operationsUntilCrash = operation;
            const bool done = openAndSetAside(files).has_value();
            files->operationsUntilCrash = -1;
            if (end == end_of_process::power_lost)
                files->loseUnsynced();
            if (end == end_of_process::power_lost_in_any_order)
                files->losePower();
            auto reopened = openStore(files, true);
            if (reopened) {
                wasSetAside = true;
                const auto folder = reopened.value().takeRecovered();
                BOOST_TEST(folder.dataIncarnation == 77U);
                BOOST_TEST((folder.state.hard == hard_state {}));
                BOOST_TEST(lastIndex(folder) == 0U);
            } else {
                BOOST_TEST((reopened.error().code == failure_code::corrupt));
                BOOST_TEST(!done);
            }
            const auto left = dataOf(*files);
            BOOST_TEST(std::includes(left.begin(), left.end(), data.begin(), data.end()));
            if (done)
                break;
        }
    }
    BOOST_TEST(wasSetAside);
}

// Guards against a folder that is taken for an older, intact one when the power fails and one rename of a set survives.
BOOST_AUTO_TEST_CASE(a_set_of_which_one_rename_survived_is_completed)
{
    const auto data = dataOf(*damagedFolder(damage::flip_middle));
    for (const auto& [name, bytes] : data) {
        const auto files = damagedFolder(damage::flip_middle);
        files->files.emplace_back();
        files->current[detail::numberedName(detail::settingAsidePrefix, 1)] = files->files.size() - 1;
        files->current[detail::numberedName(detail::damagedPrefix, 1) + "-" + name] = files->current[name];
        files->current.erase(name);
        auto store = openStore(files, true);
        BOOST_REQUIRE_MESSAGE(store.has_value(), name + ": " + reasonOf(store));
        BOOST_TEST(store.value().takeRecovered().dataIncarnation == 77U);
        const auto left = dataOf(*files);
        BOOST_TEST(std::includes(left.begin(), left.end(), data.begin(), data.end()));
    }
}

// Guards against a data folder that grows with each damage, and against an earlier set that is overwritten.
BOOST_AUTO_TEST_CASE(the_two_latest_sets_of_damaged_files_are_kept)
{
    const auto files = damagedFolder(damage::flip_middle);
    for (std::uint64_t number = 1; number <= 4; ++number) {
        auto store = openAndSetAside(files);
        BOOST_TEST(!store.value().takeRecovered().setAside.empty());
        for (std::uint64_t index = 1; index <= 5; ++index)
            BOOST_REQUIRE(store.value().write({ batchOf(index, 1, 1) }).has_value());
        std::set<std::uint64_t> kept;
        for (const auto& [name, place] : files->current)
            kept.insert(detail::numberOf(name, detail::damagedPrefix));
        kept.erase(0);
        BOOST_TEST(
            kept == (number == 1 ? std::set<std::uint64_t> { 1 } : std::set<std::uint64_t> { number - 1, number }),
            boost::test_tools::per_element());
        inflict(*files, damage::flip_middle);
    }
}

// Guards against a folder of another version that is taken for a damaged one, alone or beside a damaged file.
BOOST_DATA_TEST_CASE(
    a_folder_of_another_version_is_told_from_a_damaged_one, boost::unit_test::data::make({ false, true }), hasDamage)
{
    const auto files = std::make_shared<memory_files>();
    {
        auto store = openStore(files, true);
        for (std::uint64_t index = 1; index <= 20; ++index)
            BOOST_REQUIRE(store.value().write({ batchOf(index, 1, 1) }).has_value());
    }
    if (hasDamage)
        inflict(*files, damage::flip_earlier_segment);
    files->bytes(lastSegment(*files)) = recordOfFormat(2);
    const auto store = openStore(files);
    BOOST_REQUIRE(store.has_error());
    BOOST_TEST((store.error().code == failure_code::unknown_format));
    const auto data = dataOf(*files);
    BOOST_TEST(openAndSetAside(files).has_error());
    BOOST_TEST((dataOf(*files) == data));
    BOOST_TEST(files->current.contains(lastSegment(*files)));
}

// Guards against a store that reports success, or works again, after a failed sync, also one on a full disk.
BOOST_AUTO_TEST_CASE(a_failed_store_stays_failed)
{
    for (const bool full : { false, true }) {
        const auto files = std::make_shared<memory_files>();
        auto store = openStore(files, true);
        BOOST_REQUIRE(store.value().write({ batchOf(1, 1, 1) }).has_value());
        files->syncsUntilFailure = 0;
        files->capacity = full ? 300 : files->capacity;
        const auto failed = store.value().write({ batchOf(2, 10, 1) });
        BOOST_REQUIRE(failed.has_error());
        BOOST_TEST((failed.error().code == failure_code::io_error));
        files->capacity = 1 << 30;
        BOOST_TEST(store.value().write({ batchOf(2, 1, 1) }).has_error());
        BOOST_TEST(store.value().saveSnapshot(*snapshotAt(1, 1)).has_error());
    }
}

static std::vector<persist_batch> batchesWithSnapshot()
{
    persist_batch received;
    received.snapshot = snapshotAt(30, 3);
    received.discardLog = true;
    received.hard = hard_state { 3, replica_id(1) };
    return { batchOf(2, 12, 1), batchOf(14, 2, 2), received, batchOf(31, 3, 3) };
}

// Guards against a write that finds no room and is lost, repeated in part, or taken for durable: an append, the begin
// of a segment, a snapshot and its rename, whichever write of a series finds the disk full and whichever the retry.
BOOST_DATA_TEST_CASE(what_found_no_room_is_written_later,
    boost::unit_test::data::xrange(16) * boost::unit_test::data::xrange(5), first, again)
{
    const auto files = std::make_shared<memory_files>();
    auto store = openStore(files, true);
    const auto untilWritten = [&](const auto& write) {
        result<void> outcome = write();
        for (int attempt = 0; !outcome && attempt < 3; ++attempt) {
            BOOST_REQUIRE((outcome.error().code == failure_code::no_space));
            files->writesUntilFull = attempt == 0 ? again : -1;
            outcome = write();
        }
        BOOST_REQUIRE_MESSAGE(outcome.has_value(), reasonOf(outcome));
    };
    BOOST_REQUIRE(store.value().write({ batchOf(1, 1, 1) }).has_value());
    files->writesUntilFull = first;
    auto batches = batchesWithSnapshot();
    untilWritten([&] {
        auto outcome = store.value().write(batches);
        if (!outcome)
            batches.push_back(batchOf(batches.back().entries.back().index + 1, 1, 3));
        return outcome;
    });
    untilWritten([&] { return store.value().saveSnapshot(*snapshotAt(32, 3)); });
    files->writesUntilFull = -1;
    files->loseUnsynced();
    auto reopened = openStore(files);
    BOOST_REQUIRE_MESSAGE(reopened.has_value(), reasonOf(reopened));
    const auto folder = reopened.value().takeRecovered();
    BOOST_TEST(folder.state.snapshot->index == 32U);
    BOOST_TEST(lastIndex(folder) == batches.back().entries.back().index);
    BOOST_TEST((folder.state.hard == hard_state { 3, replica_id(2) }));
    BOOST_TEST(folder.cutBytes == 0U);
}

// Guards against a folder that is taken for an empty or damaged one because there is no room to open it, and against a
// start that leaves it less room.
BOOST_DATA_TEST_CASE(a_full_disk_is_no_loss_of_data, boost::unit_test::data::xrange(4), room)
{
    for (const bool isUsed : { false, true }) {
        const auto files = std::make_shared<memory_files>();
        if (isUsed)
            BOOST_REQUIRE(openStore(files, true).value().write({ batchOf(1, 5, 2) }).has_value());
        log_store_options options;
        options.newIncarnation = 77;
        options.setAsideDamage = true;
        for (int attempt = 0; attempt < 3; ++attempt) {
            files->writesUntilFull = room;
            const auto refused = memory_store::open(memory_disk(files), options);
            if (refused.has_value())
                break;
            BOOST_TEST((refused.error().code == failure_code::no_space));
            BOOST_TEST(!files->current.contains("new-log"));
            files->losePower();
        }
        files->writesUntilFull = -1;
        auto opened = memory_store::open(memory_disk(files), options);
        BOOST_REQUIRE_MESSAGE(opened.has_value(), reasonOf(opened));
        const auto folder = opened.value().takeRecovered();
        BOOST_TEST(folder.dataIncarnation == (isUsed ? 0U : 77U));
        BOOST_TEST(lastIndex(folder) == (isUsed ? 5U : 0U));
        BOOST_TEST(folder.setAside.empty());
    }
}

// Guards against a record that is damaged because the system wrote only a part of it.
BOOST_AUTO_TEST_CASE(short_writes_are_continued)
{
    const auto files = std::make_shared<memory_files>();
    files->longestWrite = 7;
    {
        auto store = openStore(files, true);
        BOOST_REQUIRE(store.value().write({ batchOf(1, 5, 1) }).has_value());
    }
    BOOST_TEST(lastIndex(openStore(files).value().takeRecovered()) == 5U);
}

// Guards against acknowledgements and starts that wait for more syncs than their promises need.
BOOST_AUTO_TEST_CASE(syncs_are_counted)
{
    const auto files = std::make_shared<memory_files>();
    const auto syncsOf = [&](auto&& act) {
        const auto before = files->syncs;
        act();
        return files->syncs - before;
    };
    BOOST_TEST(syncsOf([&] { BOOST_REQUIRE(openStore(files, true)); }) == 3);
    auto store = openStore(files);
    BOOST_TEST(syncsOf([&] { BOOST_REQUIRE(store.value().write({ batchOf(1, 1, 1), batchOf(2, 1, 1) })); }) == 1);
    // The file, its name, the new segment and its name, and nothing to remove.
    BOOST_TEST(syncsOf([&] { BOOST_REQUIRE(store.value().saveSnapshot(*snapshotAt(1, 1))); }) == 4);
    BOOST_TEST(syncsOf([&] { BOOST_REQUIRE(store.value().saveSnapshot(*snapshotAt(2, 1))); }) == 6);
}

/// Writes until the disk loses power. Returns the last index whose write was reported as done.
static std::uint64_t writeUntilCrash(memory_store& store, hard_state& acknowledged)
{
    std::uint64_t done = 0;
    for (std::uint64_t round = 1; round <= 12; ++round) {
        auto batch = batchOf(done + 1, 4, round);
        if (round == 9) {
            batch.snapshot = snapshotAt(done + 30, round);
            batch.discardLog = true;
            batch.entries.clear();
        }
        if (!store.write({ batch }))
            return done;
        done = batch.snapshot ? batch.snapshot->index : done + 4;
        acknowledged = *batch.hard;
        if (round % 5 == 0 && !store.saveSnapshot(*snapshotAt(done - 2, round)))
            return done;
    }
    return done;
}

// Guards against acknowledged entries that are lost, or a folder that no longer opens, when the power fails at any
// write, sync, rename or removal and leaves a part of the last write.
BOOST_AUTO_TEST_CASE(a_crash_at_each_operation_loses_nothing_acknowledged)
{
    int crashes = 0;
    for (const std::size_t tornBytes : { 0U, 1U, 30U, 90U, 100000U }) {
        for (int operation = 0;; ++operation) {
            const auto files = std::make_shared<memory_files>();
            files->operationsUntilCrash = operation;
            files->tornBytes = tornBytes;
            std::uint64_t done = 0;
            hard_state acknowledged;
            {
                auto store = openStore(files, true);
                if (store)
                    done = writeUntilCrash(store.value(), acknowledged);
            }
            const bool finished = files->operationsUntilCrash > 0;
            files->loseUnsynced();
            auto reopened = openStore(files, true);
            BOOST_REQUIRE_MESSAGE(reopened.has_value(), "operation " << operation << ": " << reasonOf(reopened));
            const auto folder = reopened.value().takeRecovered();
            BOOST_REQUIRE_MESSAGE(lastIndex(folder) >= done, "operation " << operation << " lost entries");
            BOOST_REQUIRE(folder.state.hard.term >= acknowledged.term);
            BOOST_REQUIRE(reopened.value().write({ batchOf(lastIndex(folder) + 1, 1, 20) }).has_value());
            ++crashes;
            if (finished)
                break;
        }
    }
    BOOST_TEST(crashes > 100);
}

/// Ends the process of `files` at an operation of its writes. Its files stay as they are, unsynced bytes included.
static void endProcessAt(const std::shared_ptr<memory_files>& files, int operation)
{
    files->operationsUntilCrash = operation;
    hard_state acknowledged;
    if (auto store = openStore(files, true))
        writeUntilCrash(store.value(), acknowledged);
    files->operationsUntilCrash = -1;
}

/// Opens the folder again, loses power at an operation, and requires that nothing is lost that the process has read or
/// written. Returns false once the process has reached its end with power.
static bool survivesLossOfPowerAt(memory_files left, int operation)
{
    const auto files = std::make_shared<memory_files>(std::move(left));
    files->operationsUntilCrash = operation;
    std::uint64_t done = 0;
    hard_state acknowledged;
    if (auto store = openStore(files, true)) {
        const auto read = store.value().takeRecovered();
        acknowledged = read.state.hard;
        done = lastIndex(read);
        for (std::uint64_t round = 20; round < 23; ++round) {
            const auto batch = batchOf(done + 1, 4, round);
            if (!store.value().write({ batch }))
                break;
            done += 4;
            acknowledged = *batch.hard;
        }
    }
    const bool finished = files->operationsUntilCrash > 0;
    files->loseUnsynced();
    auto reopened = openStore(files);
    BOOST_REQUIRE_MESSAGE(reopened.has_value(), reasonOf(reopened));
    const auto folder = reopened.value().takeRecovered();
    BOOST_REQUIRE(lastIndex(folder) >= done);
    BOOST_REQUIRE(folder.state.hard.term >= acknowledged.term);
    return !finished;
}

// Guards against entries, terms and votes that a restarted process has read from the page cache and acted on, and that
// a later loss of power takes, and against a folder that does not open then.
BOOST_AUTO_TEST_CASE(what_a_restarted_process_has_read_survives_a_loss_of_power)
{
    for (const std::size_t tornBytes : { 0U, 30U }) {
        for (int end = 0; end < 60; ++end) {
            const auto files = std::make_shared<memory_files>();
            files->tornBytes = tornBytes;
            endProcessAt(files, end);
            for (int loss = 0;; ++loss) {
                BOOST_TEST_CONTEXT(
                    "process ends at operation " << end << ", power at " << loss << ", torn " << tornBytes)
                if (!survivesLossOfPowerAt(*files, loss))
                    break;
            }
        }
    }
}

/// A random series of processes on one folder, with ends of processes, losses of power, failed syncs and full disks at
/// any operation.
class folder_history {
public:
    explicit folder_history(std::uint64_t seed)
        : m_random(seed)
        , m_files(std::make_shared<memory_files>())
    {
        m_files->random.seed(seed);
    }

    /// Says what was lost or refused, and nothing if the folder held.
    std::string runProcess()
    {
        m_files->longestWrite = chance(20) ? 30 : 1 << 30;
        m_files->operationsUntilCrash = chance(70) ? static_cast<int>(below(40)) : -1;
        m_files->syncsUntilFailure = chance(15) ? static_cast<int>(below(12)) : -1;
        const bool expectsFault = m_files->operationsUntilCrash >= 0 || m_files->syncsUntilFailure >= 0;
        m_files->writesUntilFull = chance(25) ? static_cast<int>(below(20)) : -1;
        m_series += "\n process ends at operation " + std::to_string(m_files->operationsUntilCrash) + ", failed sync "
            + std::to_string(m_files->syncsUntilFailure) + ", longest write " + std::to_string(m_files->longestWrite)
            + ":";
        if (auto store = openWithRoom()) {
            if (auto lost = compare(store.value().takeRecovered()); !lost.empty())
                return lost;
            for (auto actions = below(14); actions != 0; --actions) {
                if (act(store.value()))
                    continue;
                if (!expectsFault && !m_endsFull)
                    return "a write failed without a fault";
                break;
            }
        } else if (!expectsFault || store.error().code != failure_code::io_error) {
            return reasonOf(store);
        }
        if (chance(60)) {
            m_series += " power";
            m_files->losePower();
        }
        return {};
    }

    const std::string& series() const { return m_series; }

private:
    bool chance(std::uint64_t percent) { return m_random() % 100 < percent; }
    std::uint64_t below(std::uint64_t limit) { return m_random() % limit; }

    result<memory_store> openWithRoom()
    {
        m_endsFull = false;
        while (true) {
            auto store = openStore(m_files, true);
            if (store || store.error().code != failure_code::no_space)
                return store;
            noteFull();
        }
    }

    void noteFull()
    {
        m_files->writesUntilFull = chance(50) ? -1 : static_cast<int>(below(6));
        m_series += " full,";
    }

    /// Repeats what finds no room until there is some, or until the process ends.
    template <class Write> bool writeWithRoom(const Write& write)
    {
        while (true) {
            const result<void> outcome = write();
            if (outcome)
                return true;
            m_endsFull = outcome.error().code == failure_code::no_space && chance(20);
            if (outcome.error().code != failure_code::no_space || m_endsFull)
                return false;
            noteFull();
        }
    }

    std::string compare(const recovered_folder& folder)
    {
        if (folder.startCount <= m_startCount)
            return "the start count did not grow";
        m_startCount = folder.startCount;
        const folder_contents found { folder.state.hard, folder.state.snapshot, folder.state.entries,
            folder.dataIncarnation };
        const auto same = [&](const folder_contents& state) {
            const auto index = [](const folder_contents& d) { return d.snapshot ? d.snapshot->index : 0; };
            const auto term = [](const folder_contents& d) { return d.snapshot ? d.snapshot->term : 0; };
            return state.hard == found.hard && index(state) == index(found) && term(state) == term(found)
                && state.entries == found.entries && state.incarnation == found.incarnation;
        };
        if (std::none_of(m_possible.begin(), m_possible.end(), same)) {
            return "read the entries up to " + std::to_string(lastIndex(folder)) + " in term "
                + std::to_string(folder.state.hard.term) + ", expected " + std::to_string(last(m_possible.front()))
                + " in term " + std::to_string(m_possible.front().hard.term) + ", or what was being written";
        }
        m_possible = { found };
        m_series += " read up to " + std::to_string(lastIndex(folder)) + ",";
        return {};
    }

    static std::uint64_t last(const folder_contents& state)
    {
        if (!state.entries.empty())
            return state.entries.back().index;
        return state.snapshot ? state.snapshot->index : 0;
    }

    /// Replaces up to three entries by those of a later term, or adds to them.
    persist_batch nextBatch(const folder_contents& state)
    {
        const auto replaced = chance(25) ? below(std::min<std::uint64_t>(state.entries.size(), 3) + 1) : 0;
        auto batch = batchOf(last(state) + 1 - replaced, below(5), state.hard.term + (replaced != 0 || chance(20)));
        batch.hard->vote = replica_id(static_cast<std::uint32_t>(1 + below(3)));
        if (chance(10))
            batch.dataIncarnation = m_random() | 1;
        if (batch.hard->term == state.hard.term && chance(30))
            batch.hard.reset();
        return batch;
    }

    /// Notes the states of the folder while `write` runs, and the last of them once it reports success.
    template <class Write>
    bool attempt(std::vector<folder_contents> during, const std::string& name, const Write& write)
    {
        m_series += " " + name + ",";
        m_possible.insert(m_possible.end(), during.begin(), during.end());
        if (!writeWithRoom(write))
            return false;
        m_possible = { during.back() };
        return true;
    }

    bool act(memory_store& store)
    {
        auto state = m_possible.front();
        const auto first = state.snapshot ? state.snapshot->index : 0;
        const auto kind = below(10);
        if (kind < 2 && !state.entries.empty()) {
            const auto& entry = state.entries[below(state.entries.size())];
            const auto snapshot = snapshotAt(entry.index, entry.term);
            state.writeOwnSnapshot(snapshot);
            return attempt(
                { state }, "snapshot at " + std::to_string(entry.index), [&] { return store.saveSnapshot(*snapshot); });
        }
        if (kind == 2) {
            persist_batch batch;
            batch.snapshot = snapshotAt(first + 1 + below(last(state) - first + 5), state.hard.term + 1);
            batch.discardLog = true;
            std::vector<folder_contents> during(3, state);
            during[0].write(batch);
            batch.hard = hard_state { state.hard.term + 1, replica_id(1) };
            during[1].write(batch);
            batch.entries = batchOf(batch.snapshot->index + 1, below(4), state.hard.term + 1).entries;
            during[2].write(batch);
            return attempt(during, "received snapshot at " + std::to_string(batch.snapshot->index),
                [&] { return store.write({ batch }); });
        }
        std::vector<persist_batch> batches;
        // A new segment begins with the term, vote and incarnation, before the entries.
        auto begun = state;
        for (auto count = 1 + below(2); count != 0; --count) {
            batches.push_back(nextBatch(state));
            state.write(batches.back());
        }
        begun.hard = state.hard;
        begun.incarnation = state.incarnation;
        return attempt(
            { begun, state }, "entries to " + std::to_string(last(state)), [&] { return store.write(batches); });
    }

    std::mt19937_64 m_random;
    std::shared_ptr<memory_files> m_files;
    std::vector<folder_contents> m_possible {
        folder_contents {}
    }; ///< What the folder may show; the first is acknowledged.
    std::uint64_t m_startCount { 0 };
    bool m_endsFull { false }; ///< The process ends while the disk is full.
    std::string m_series;
};

// Guards against anything acknowledged or returned by `open` that a later end of a process, loss of power or failed
// sync takes, and against a folder that does not open afterwards, whatever is left of unsynced writes and names.
BOOST_AUTO_TEST_CASE(what_was_acknowledged_or_read_survives_any_series_of_faults)
{
    constexpr std::uint64_t histories = 8000;
    constexpr int processes = 8;
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        folder_history history(seed);
        for (int process = 0; process < processes; ++process) {
            const auto violation = history.runProcess();
            BOOST_REQUIRE_MESSAGE(violation.empty(), "seed " << seed << ": " << violation << history.series());
        }
    }
}

// Guards against a bit flip anywhere in the log that changes what is read without being noticed.
BOOST_AUTO_TEST_CASE(no_bit_flip_is_read_as_data)
{
    rc::check([] {
        const auto files = std::make_shared<memory_files>();
        {
            auto store = openStore(files, true);
            for (std::uint64_t index = 1; index <= 6; ++index)
                RC_ASSERT(store.value().write({ batchOf(index, 1, 1) }).has_value());
        }
        auto& bytes = files->bytes(lastSegment(*files));
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[at] = static_cast<char>(bytes[at] ^ (1 << *rc::gen::inRange(0, 8)));
        auto reopened = openStore(files);
        if (!reopened)
            return;
        const auto folder = reopened.value().takeRecovered();
        for (const auto& entry : folder.state.entries)
            RC_ASSERT(entry.payload == "payload " + std::to_string(entry.index));
        RC_ASSERT(folder.cutBytes > 0U);
    });
}

// Guards against a file system implementation that differs from the one in memory: lock, list, sync, rename.
BOOST_AUTO_TEST_CASE(the_store_works_on_the_file_system)
{
    const temporary_folder folder;
    log_store_options options;
    options.bootstrap = true;
    {
        auto store = log_store::open(posix_disk(folder.path() / "data"), options);
        BOOST_REQUIRE(store.has_value());
        BOOST_REQUIRE(store.value().write({ batchOf(1, 30, 2) }).has_value());
        BOOST_REQUIRE(store.value().saveSnapshot(*snapshotAt(10, 2)).has_value());
        const auto second = log_store::open(posix_disk(folder.path() / "data"), options);
        BOOST_REQUIRE(second.has_error());
        BOOST_TEST((second.error().code == failure_code::locked));
    }
    std::ofstream(folder.path() / "data" / "log-0000000000000003", std::ios::app) << "torn";
    auto reopened = log_store::open(posix_disk(folder.path() / "data"), options);
    BOOST_REQUIRE_MESSAGE(reopened.has_value(), reasonOf(reopened));
    const auto found = reopened.value().takeRecovered();
    BOOST_TEST(found.cutBytes == 4U);
    BOOST_TEST(found.state.snapshot->index == 10U);
    BOOST_TEST(lastIndex(found) == 30U);
}

// Guards against a data folder whose name a loss of power takes: its replica would start as a new one and, with
// `bootstrap` still set, vote.
BOOST_AUTO_TEST_CASE(the_name_of_the_data_folder_is_durable)
{
    const temporary_folder folder;
    const auto root = std::filesystem::canonical(folder.path());
    const auto openFolder = [&] {
        syncedFolders.clear();
        return posix_disk(root / "a" / "b" / "c").open();
    };
    const auto opens = [&](const std::vector<std::string>& expected) {
        const auto opened = openFolder();
        BOOST_TEST(opened.has_value(), reasonOf(opened));
        BOOST_TEST(syncedFolders == expected, boost::test_tools::per_element());
    };
    // An earlier process may have created the first one and ended before its sync.
    opens({ root.parent_path(), root, root / "a", root / "a" / "b" });
    opens({ root / "a" / "b" });
    nextFolderSyncError = EINVAL;
    opens({ root / "a" / "b", "file system of " + (root / "a" / "b" / "c").string() });
    nextFolderSyncError = EIO;
    const auto failed = openFolder();
    BOOST_REQUIRE(failed.has_error());
    BOOST_TEST((failed.error().code == failure_code::io_error));
    BOOST_TEST(failed.error().message.find((root / "a" / "b").string()) != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
