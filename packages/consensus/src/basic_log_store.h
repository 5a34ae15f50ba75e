#pragma once

#include "log_store_names.h"
#include "log_store_recovery.h"
#include "record_codec.h"
#include <algorithm>
#include <poplardeal/consensus/log_store.h>

namespace poplardeal {

/// The record that makes what follows it independent of earlier segments.
template <disk_access Disk> std::string basic_log_store<Disk>::firstRecord(bool reset) const
{
    detail::log_record record;
    record.header = detail::record_header { m_dataIncarnation, m_startCount };
    record.hard = m_hard;
    if (reset)
        record.resetIndex = m_snapshotIndex;
    return detail::encodeRecord(record);
}

template <disk_access Disk> result<void> basic_log_store<Disk>::startSegment(bool reset)
{
    m_segments.push_back({ detail::numberedName("log", m_nextSequence), 0, 0 });
    BOOST_OUTCOME_TRYV(writeRecord(firstRecord(reset)));
    return m_disk.syncFolder();
}

template <disk_access Disk> result<void> basic_log_store<Disk>::writeRecord(const std::string& body)
{
    auto& current = m_segments.back();
    const auto frame = detail::frameRecord(m_nextSequence, body);
    BOOST_OUTCOME_TRYV(appendAll(current.name, frame));
    BOOST_OUTCOME_TRYV(m_disk.sync(current.name));
    current.bytes += frame.size();
    ++m_nextSequence;
    return success();
}

template <disk_access Disk>
result<void> basic_log_store<Disk>::appendAll(const std::string& name, std::string_view bytes)
{
    while (!bytes.empty()) {
        BOOST_OUTCOME_TRY(count, m_disk.append(name, bytes));
        if (count == 0)
            return failure { failure_code::io_error, "write " + m_disk.describe(name) + ": no bytes were written" };
        bytes.remove_prefix(count);
    }
    return success();
}

template <disk_access Disk> result<void> basic_log_store<Disk>::write(const std::vector<persist_batch>& batches)
{
    if (m_failed)
        return *m_failed;
    BOOST_OUTCOME_TRYV(remember(discardPartialWrite()));
    BOOST_OUTCOME_TRYV(remember(writeBatches(batches)));
    m_writtenBatches = 0;
    return success();
}

template <disk_access Disk> result<void> basic_log_store<Disk>::writeBatches(const std::vector<persist_batch>& batches)
{
    std::vector<const persist_batch*> group;
    for (auto place = m_writtenBatches; place < batches.size(); ++place) {
        const auto& batch = batches[place];
        if (batch.snapshot) {
            BOOST_OUTCOME_TRYV(writeGroup(group));
            m_writtenBatches = place;
            BOOST_OUTCOME_TRYV(writeReceivedSnapshot(batch));
        }
        group.push_back(&batch);
    }
    return writeGroup(group);
}

/// May be repeated after `no_space`.
template <disk_access Disk> result<void> basic_log_store<Disk>::writeReceivedSnapshot(const persist_batch& batch)
{
    m_hard = batch.hard.value_or(m_hard);
    BOOST_OUTCOME_TRYV(writeSnapshotFile(*batch.snapshot));
    BOOST_OUTCOME_TRYV(startSegment(batch.discardLog));
    return prune(m_snapshotIndex);
}

template <disk_access Disk> result<void> basic_log_store<Disk>::writeGroup(std::vector<const persist_batch*>& group)
{
    detail::log_record record;
    for (const auto* batch : group) {
        if (batch->hard)
            record.hard = batch->hard;
        if (batch->dataIncarnation) {
            m_dataIncarnation = *batch->dataIncarnation;
            record.header = detail::record_header { m_dataIncarnation, m_startCount };
        }
        record.entries.insert(record.entries.end(), batch->entries.begin(), batch->entries.end());
    }
    group.clear();
    if (!record.hard && !record.header && record.entries.empty())
        return success();
    m_hard = record.hard.value_or(m_hard);
    if (m_segments.back().bytes >= m_options.segmentBytes) {
        BOOST_OUTCOME_TRYV(startSegment(false));
    }
    for (const auto& entry : record.entries)
        m_segments.back().maxIndex = std::max(m_segments.back().maxIndex, entry.index);
    return writeRecord(detail::encodeRecord(record));
}

template <disk_access Disk> result<void> basic_log_store<Disk>::saveSnapshot(const log_snapshot& snapshot)
{
    if (m_failed)
        return *m_failed;
    BOOST_OUTCOME_TRYV(remember(discardPartialWrite()));
    return remember(saveOwnSnapshot(snapshot));
}

template <disk_access Disk> result<void> basic_log_store<Disk>::saveOwnSnapshot(const log_snapshot& snapshot)
{
    if (snapshot.index < m_snapshotIndex || (snapshot.index == m_snapshotIndex && !m_isSegmentDue))
        return success();
    if (snapshot.index > m_snapshotIndex) {
        BOOST_OUTCOME_TRYV(writeSnapshotFile(snapshot));
    }
    m_isSegmentDue = true;
    // Makes room for the next segment.
    BOOST_OUTCOME_TRYV(prune(snapshot.index));
    BOOST_OUTCOME_TRYV(startSegment(false));
    m_isSegmentDue = false;
    return prune(snapshot.index);
}

template <disk_access Disk> result<void> basic_log_store<Disk>::writeSnapshotFile(const log_snapshot& snapshot)
{
    const auto previous = m_snapshotIndex;
    const std::string temporary = detail::temporarySnapshotName;
    BOOST_OUTCOME_TRYV(appendAll(temporary, detail::encodeSnapshotFile(snapshot)));
    BOOST_OUTCOME_TRYV(m_disk.sync(temporary));
    BOOST_OUTCOME_TRYV(m_disk.rename(temporary, detail::numberedName("snapshot", snapshot.index)));
    BOOST_OUTCOME_TRYV(m_disk.syncFolder());
    m_snapshotIndex = snapshot.index;
    if (previous != 0 && previous != snapshot.index) {
        BOOST_OUTCOME_TRYV(m_disk.remove(detail::numberedName("snapshot", previous)));
    }
    return success();
}

// Segments are removed from the oldest on, so that the records that stay have consecutive sequence numbers. Unsynced
// removals reach the disk in any order: each one is synced before the next.
template <disk_access Disk> result<void> basic_log_store<Disk>::prune(std::uint64_t snapshotIndex)
{
    while (m_segments.size() > 1 && m_segments.front().maxIndex <= snapshotIndex) {
        BOOST_OUTCOME_TRYV(m_disk.remove(m_segments.front().name));
        m_segments.erase(m_segments.begin());
        BOOST_OUTCOME_TRYV(m_disk.syncFolder());
    }
    return success();
}

/// Cuts off what the write that found no space has left. Needs no room.
template <disk_access Disk> result<void> basic_log_store<Disk>::discardPartialWrite()
{
    if (!m_hasPartialWrite)
        return success();
    BOOST_OUTCOME_TRYV(removeTemporaries());
    auto& last = m_segments.back();
    if (last.bytes != 0) {
        BOOST_OUTCOME_TRYV(m_disk.truncate(last.name, last.bytes));
        BOOST_OUTCOME_TRYV(m_disk.sync(last.name));
    } else {
        BOOST_OUTCOME_TRY(names, m_disk.list());
        if (std::find(names.begin(), names.end(), last.name) != names.end()) {
            BOOST_OUTCOME_TRYV(m_disk.remove(last.name));
        }
        m_segments.pop_back();
    }
    BOOST_OUTCOME_TRYV(m_disk.syncFolder());
    m_hasPartialWrite = false;
    return success();
}

/// Keeps a failure after which nothing may be written. Discards the partial write of one that may be repeated.
template <disk_access Disk> result<void> basic_log_store<Disk>::remember(result<void> outcome)
{
    if (!outcome && outcome.error().code == failure_code::no_space) {
        m_hasPartialWrite = true;
        const auto discarded = discardPartialWrite();
        if (!discarded && discarded.error().code != failure_code::no_space)
            outcome = discarded.error();
    }
    if (!outcome && outcome.error().code != failure_code::no_space)
        m_failed = outcome.error();
    return outcome;
}

} // namespace poplardeal
