#pragma once

#include <poplardeal/consensus/disk.h>
#include <poplardeal/consensus/raft_node.h>
#include <vector>

namespace poplardeal {

struct log_store_options {
    bool bootstrap { false }; ///< First start of a new group: an empty folder may vote at once.
    std::uint64_t newIncarnation { 1 }; ///< Incarnation of an empty folder without `bootstrap`; random, not 0.
    std::uint64_t startTag { 0 }; ///< Random; tells apart starts of copies of one folder. 16 bits are used.
    /// Renames the files of a `corrupt` folder to `damaged-N-NAME` and opens it as one without data and without
    /// `bootstrap`. Only while a leader has a quorum without this replica: what the files hold is not needed then.
    bool setAsideDamage { false };
    std::uint64_t segmentBytes { std::uint64_t(8) * 1024 * 1024 }; ///< Size from which on a new log segment is begun.
};

/// What was found in the data folder.
struct recovered_folder {
    raft_saved_state state;
    std::uint64_t dataIncarnation { 0 };
    std::uint64_t startCount { 0 }; ///< Grows with every open.
    bool fresh { false }; ///< The folder was empty.
    std::uint64_t cutBytes { 0 }; ///< Torn record that was removed from the end of the log.
    std::uint64_t lastSequence { 0 }; ///< Number of the last intact record; 0 if there is none.
    std::size_t segments { 0 }; ///< Log segments found.
    std::uint64_t lastSegmentBytes { 0 }; ///< Intact bytes of the last of them.
    std::string setAside; ///< Why the files of the folder have been set aside; empty if they have not.
};

/// Where a data folder was found to be unreadable.
struct folder_damage {
    std::string file; ///< With its folder.
    std::uint64_t offset { 0 }; ///< In bytes.
    std::optional<std::uint64_t> expectedSequence; ///< Of the record that is missing, with `foundSequence`.
    std::optional<std::uint64_t> foundSequence;
};

/// Durable part of one replica: log segments `log-SEQUENCE` and snapshots `snapshot-INDEX` in one folder.
///
/// A segment is a series of records (magic, length, sequence number, XXH3, FlatBuffers body). Each record is synced
/// before the next one is written. Therefore a damaged record that no intact record follows is a torn write and is cut;
/// a damaged record before an intact one is `corrupt`. A flipped bit in the very last record cannot be told from a torn
/// write; the leader notices the missing entry if it was acknowledged in its term (see `raft_node::dataLost`).
///
/// What `open` returns is durable: a record that an earlier process has written and not synced is read from the page
/// cache, so the last segment is written again and synced before anybody can act on it. The names in the folder are
/// synced before they are listed. Unsynced changes of names reach the disk in any order: no two of them are left
/// unsynced where one depends on the other.
///
/// A folder with files that were set aside counts as used: an empty log in it gets a new incarnation, also with
/// `bootstrap`. The two latest sets are kept.
///
/// `no_space` from a write, a creation or a rename leaves the store usable: the part of a record that was written is
/// cut off, and the cut synced, before anything else is written. After any other failure, and after a failed sync, the
/// store refuses everything: the state of the page cache is unknown from then on. Functions block on the disk and are
/// called from one thread.
template <disk_access Disk> class basic_log_store {
public:
    /// `locked`, `corrupt` or `unknown_format` (file and offset in the message), `no_space` (what the folder holds is
    /// intact, and is opened by a later attempt), or `io_error`. `corrupt` is returned only if no file is of an unknown
    /// format. If given, `damage` is set with `corrupt` and `unknown_format`.
    static result<basic_log_store> open(Disk, log_store_options, folder_damage* damage = nullptr);

    /// What `open` found. The entries are moved out: call it once.
    recovered_folder takeRecovered() { return std::move(m_recovered); }

    /// Writes the batches in order and syncs once, or more often if they contain snapshots. After `no_space`, call it
    /// again with the same batches, which others may follow: those that are durable are not written again.
    result<void> write(const std::vector<persist_batch>&);
    /// Writes a snapshot of the own state machine and removes the segments that it makes superfluous.
    result<void> saveSnapshot(const log_snapshot&);

private:
    struct segment {
        std::string name;
        std::uint64_t maxIndex { 0 };
        std::uint64_t bytes { 0 };
    };
    struct replay;

    basic_log_store(Disk disk, log_store_options options)
        : m_disk(std::move(disk))
        , m_options(options)
    {
    }

    failure damageAt(failure_code, const std::string& name, std::uint64_t offset, const std::string& reason);
    std::optional<failure> findUnknownFormat();
    std::string describeGap(std::uint64_t lastSequence, std::uint64_t nextSequence) const;
    result<void> readFolder();
    result<void> finishSettingAside();
    result<void> setAside();
    result<void> moveAside(std::uint64_t number);
    result<void> recover();
    result<void> removeTemporaries();
    result<void> recoverSnapshot(const std::vector<std::string>& names);
    result<void> recoverSegment(const std::string& name, bool last, replay&);
    result<void> finishRecovery(replay&);
    result<void> rewriteLastSegment(const std::string& records, bool reset);
    std::string firstRecord(bool reset) const;
    result<void> startSegment(bool reset);
    result<void> writeRecord(const std::string& body);
    result<void> appendAll(const std::string& name, std::string_view bytes);
    result<void> writeSnapshotFile(const log_snapshot&);
    result<void> writeBatches(const std::vector<persist_batch>&);
    result<void> writeReceivedSnapshot(const persist_batch&);
    result<void> writeGroup(std::vector<const persist_batch*>&);
    result<void> saveOwnSnapshot(const log_snapshot&);
    result<void> discardPartialWrite();
    result<void> prune(std::uint64_t snapshotIndex);
    result<void> remember(result<void>);

    Disk m_disk;
    log_store_options m_options;
    recovered_folder m_recovered;
    folder_damage m_damage;
    bool m_hasSetAside { false };
    std::vector<segment> m_segments;
    std::uint64_t m_nextSequence { 1 };
    std::uint64_t m_snapshotIndex { 0 };
    std::uint64_t m_dataIncarnation { 0 };
    std::uint64_t m_startCount { 0 };
    hard_state m_hard;
    std::size_t m_writtenBatches { 0 }; ///< Durable ones of the call of `write` that ended with `no_space`.
    bool m_isSegmentDue { false }; ///< An own snapshot was saved without the segment that begins after it.
    bool m_hasPartialWrite { false }; ///< Bytes that have to be cut off before the next write.
    std::optional<failure> m_failed;
};

using log_store = basic_log_store<posix_disk>;
extern template class basic_log_store<posix_disk>;

} // namespace poplardeal
