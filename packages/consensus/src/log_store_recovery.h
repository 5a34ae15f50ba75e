#pragma once

#include "log_store_names.h"
#include "record_codec.h"
#include <poplardeal/consensus/log_store.h>

namespace poplardeal {

/// State of the log while its records are read.
template <disk_access Disk> struct basic_log_store<Disk>::replay {
    std::vector<log_entry> entries;
    std::uint64_t lastSequence { 0 }; ///< 0 before the first record.
    std::string lastSegment; ///< Intact records of the last segment.

    result<void> take(detail::log_record record, basic_log_store& store)
    {
        if (record.header) {
            store.m_dataIncarnation = record.header->dataIncarnation;
            store.m_startCount = record.header->startCount;
        }
        if (record.hard)
            store.m_hard = *record.hard;
        if (record.resetIndex)
            entries.clear();
        for (auto& entry : record.entries) {
            while (!entries.empty() && entry.index <= entries.back().index)
                entries.pop_back();
            if (!entries.empty() && entry.index != entries.back().index + 1) {
                // A gap is right only where a snapshot covers it.
                if (entry.index > store.m_snapshotIndex + 1)
                    return failure { failure_code::corrupt, "log lacks entries before " + std::to_string(entry.index) };
                entries.clear();
            }
            entries.push_back(std::move(entry));
        }
        return success();
    }
};

template <disk_access Disk>
result<basic_log_store<Disk>> basic_log_store<Disk>::open(Disk disk, log_store_options options, folder_damage* damage)
{
    basic_log_store store(std::move(disk), options);
    BOOST_OUTCOME_TRYV(store.m_disk.open());
    BOOST_OUTCOME_TRYV(store.finishSettingAside());
    const auto read = store.readFolder();
    if (read)
        return store;
    if (read.error().code == failure_code::no_space) {
        // The next attempt removes them in any case.
        static_cast<void>(store.removeTemporaries());
    }
    if (damage)
        *damage = store.m_damage;
    if (!options.setAsideDamage || read.error().code != failure_code::corrupt)
        return read.error();
    BOOST_OUTCOME_TRYV(store.setAside());
    basic_log_store empty(std::move(store.m_disk), options);
    BOOST_OUTCOME_TRYV(empty.recover());
    empty.m_recovered.setAside = read.error().message;
    return empty;
}

template <disk_access Disk> result<void> basic_log_store<Disk>::readFolder()
{
    auto recovered = recover();
    if (recovered || recovered.error().code != failure_code::corrupt)
        return recovered;
    if (auto unknown = findUnknownFormat())
        return std::move(*unknown);
    return recovered;
}

template <disk_access Disk> result<void> basic_log_store<Disk>::setAside()
{
    BOOST_OUTCOME_TRY(names, m_disk.list());
    std::uint64_t number = 1;
    for (const auto& name : names)
        number = std::max(number, detail::numberOf(name, detail::damagedPrefix) + 1);
    // Without a part of its files, the folder could look like an older, intact one.
    const auto marker = detail::numberedName(detail::settingAsidePrefix, number);
    BOOST_OUTCOME_TRYV(appendAll(marker, "\n"));
    BOOST_OUTCOME_TRYV(m_disk.sync(marker));
    BOOST_OUTCOME_TRYV(m_disk.syncFolder());
    return moveAside(number);
}

/// Finishes what an earlier process has begun.
template <disk_access Disk> result<void> basic_log_store<Disk>::finishSettingAside()
{
    BOOST_OUTCOME_TRY(names, m_disk.list());
    for (const auto& name : names) {
        if (const auto number = detail::numberOf(name, detail::settingAsidePrefix); number != 0)
            return moveAside(number);
    }
    return success();
}

template <disk_access Disk> result<void> basic_log_store<Disk>::moveAside(std::uint64_t number)
{
    BOOST_OUTCOME_TRY(names, m_disk.list());
    for (const auto& name : names) {
        if (detail::holdsData(name)) {
            BOOST_OUTCOME_TRYV(m_disk.rename(name, detail::numberedName(detail::damagedPrefix, number) + "-" + name));
        }
    }
    BOOST_OUTCOME_TRYV(m_disk.syncFolder());
    for (const auto& name : names) {
        const auto earlier = detail::numberOf(name, detail::damagedPrefix);
        if (earlier != 0 && earlier + 1 < number) {
            BOOST_OUTCOME_TRYV(m_disk.remove(name));
        }
    }
    BOOST_OUTCOME_TRYV(m_disk.remove(detail::numberedName(detail::settingAsidePrefix, number)));
    return m_disk.syncFolder();
}

template <disk_access Disk>
failure basic_log_store<Disk>::damageAt(
    failure_code code, const std::string& name, std::uint64_t offset, const std::string& reason)
{
    m_damage.file = m_disk.describe(name);
    m_damage.offset = offset;
    return failure { code, m_damage.file + " at offset " + std::to_string(offset) + ": " + reason };
}

/// A later version may order files in a way that looks like damage here. Each segment begins with a record that carries
/// the format.
template <disk_access Disk> std::optional<failure> basic_log_store<Disk>::findUnknownFormat()
{
    const auto names = m_disk.list();
    if (!names)
        return names.error();
    for (const auto& name : names.value()) {
        if (!detail::holdsData(name))
            continue;
        const bool isSnapshot = name.starts_with("snapshot-");
        const auto file = m_disk.read(name);
        if (!file)
            return file.error();
        std::optional<failure> found;
        if (isSnapshot) {
            if (const auto decoded = detail::decodeSnapshotFile(file.value()); !decoded)
                found = decoded.error();
        } else if (const auto frame = detail::readFrame(file.value(), 0)) {
            if (const auto decoded = detail::decodeRecord(frame->body); !decoded)
                found = decoded.error();
        }
        if (found && found->code == failure_code::unknown_format)
            return damageAt(found->code, name, 0, found->message);
    }
    return std::nullopt;
}

/// Which records are missing, and where the last one before them ends.
template <disk_access Disk>
std::string basic_log_store<Disk>::describeGap(std::uint64_t lastSequence, std::uint64_t nextSequence) const
{
    auto out = "a record is missing before this one: sequence number " + std::to_string(nextSequence) + " follows "
        + std::to_string(lastSequence);
    if (!m_segments.empty())
        out += ", which ends " + m_disk.describe(m_segments.back().name) + " at offset "
            + std::to_string(m_segments.back().bytes);
    return out;
}

template <disk_access Disk> result<void> basic_log_store<Disk>::recover()
{
    // An earlier process may have ended before the sync of names that are listed here, and what follows relies on them.
    BOOST_OUTCOME_TRYV(m_disk.syncFolder());
    BOOST_OUTCOME_TRYV(removeTemporaries());
    BOOST_OUTCOME_TRY(names, m_disk.list());
    m_hasSetAside = !detail::namesWithPrefix(names, detail::damagedPrefix).empty();
    BOOST_OUTCOME_TRYV(recoverSnapshot(names));
    replay log;
    const auto segments = detail::namesWithPrefix(names, "log-");
    for (const auto& name : segments) {
        BOOST_OUTCOME_TRYV(recoverSegment(name, name == segments.back(), log));
    }
    return finishRecovery(log);
}

template <disk_access Disk> result<void> basic_log_store<Disk>::removeTemporaries()
{
    BOOST_OUTCOME_TRY(names, m_disk.list());
    for (const auto* temporary : { detail::temporarySnapshotName, detail::temporarySegmentName }) {
        if (std::find(names.begin(), names.end(), temporary) != names.end()) {
            BOOST_OUTCOME_TRYV(m_disk.remove(temporary));
        }
    }
    return success();
}

template <disk_access Disk> result<void> basic_log_store<Disk>::recoverSnapshot(const std::vector<std::string>& names)
{
    const auto snapshots = detail::namesWithPrefix(names, "snapshot-");
    if (snapshots.empty())
        return success();
    BOOST_OUTCOME_TRY(file, m_disk.read(snapshots.back()));
    auto decoded = detail::decodeSnapshotFile(file);
    if (!decoded) {
        return damageAt(decoded.error().code, snapshots.back(), 0, decoded.error().message);
    }
    m_snapshotIndex = decoded.value().index;
    m_recovered.state.snapshot = std::make_shared<const log_snapshot>(std::move(decoded.value()));
    for (const auto& name : snapshots) {
        if (name != snapshots.back()) {
            BOOST_OUTCOME_TRYV(m_disk.remove(name));
        }
    }
    return success();
}

template <disk_access Disk>
result<void> basic_log_store<Disk>::recoverSegment(const std::string& name, bool last, replay& log)
{
    BOOST_OUTCOME_TRY(file, m_disk.read(name));
    const auto corrupt = [&](std::size_t offset, const std::string& reason) {
        return damageAt(failure_code::corrupt, name, offset, reason);
    };
    segment found { name, 0, 0 };
    std::size_t offset = 0;
    while (offset < file.size()) {
        const auto frame = detail::readFrame(file, offset);
        if (!frame)
            break;
        if (log.lastSequence != 0 && frame->sequence != log.lastSequence + 1) {
            m_damage.expectedSequence = log.lastSequence + 1;
            m_damage.foundSequence = frame->sequence;
            return corrupt(offset, describeGap(log.lastSequence, frame->sequence));
        }
        auto record = detail::decodeRecord(frame->body);
        if (!record)
            return damageAt(record.error().code, name, offset, record.error().message);
        for (const auto& entry : record.value().entries)
            found.maxIndex = std::max(found.maxIndex, entry.index);
        if (const auto taken = log.take(std::move(record.value()), *this); !taken)
            return corrupt(offset, taken.error().message);
        log.lastSequence = frame->sequence;
        offset += detail::frameHeaderBytes + frame->body.size();
    }
    if (offset < file.size()) {
        if (!last || detail::hasFrameAfter(file, offset))
            return corrupt(offset, "a record does not match its checksum");
        m_recovered.cutBytes = file.size() - offset;
    }
    if (offset == 0 && last) {
        // Its name may be above that of the segment that is begun in its place: it must not come back behind that one.
        BOOST_OUTCOME_TRYV(m_disk.remove(name));
        return m_disk.syncFolder();
    }
    found.bytes = offset;
    m_segments.push_back(std::move(found));
    if (!last) {
        // Earlier builds began the next segment at each start, behind an end that no sync had covered.
        BOOST_OUTCOME_TRYV(m_disk.sync(name));
    } else {
        file.resize(offset);
        log.lastSegment = std::move(file);
    }
    return success();
}

template <disk_access Disk> result<void> basic_log_store<Disk>::finishRecovery(replay& log)
{
    auto& state = m_recovered.state;
    m_recovered.fresh = log.lastSequence == 0;
    m_recovered.lastSequence = log.lastSequence;
    m_recovered.segments = m_segments.size();
    if (!m_segments.empty())
        m_recovered.lastSegmentBytes = m_segments.back().bytes;
    if (m_recovered.fresh && state.snapshot)
        return damageAt(failure_code::corrupt, "", 0, "there is a snapshot but no log");
    if (m_recovered.fresh)
        m_dataIncarnation = m_options.bootstrap && !m_hasSetAside ? 0 : m_options.newIncarnation;
    auto& entries = log.entries;
    bool reset = false;
    if (!entries.empty() && state.snapshot) {
        const auto& snapshot = *state.snapshot;
        const auto at = std::find_if(
            entries.begin(), entries.end(), [&](const log_entry& e) { return e.index == snapshot.index; });
        // The crash came between the rename of the snapshot and the record that drops the log before it.
        reset = entries.back().index < snapshot.index || (at != entries.end() && at->term != snapshot.term);
        if (reset)
            entries.clear();
    }
    if (!entries.empty() && entries.front().index > m_snapshotIndex + 1) {
        return damageAt(failure_code::corrupt, m_segments.front().name, 0,
            "entries between " + std::to_string(m_snapshotIndex) + " and " + std::to_string(entries.front().index)
                + " are missing");
    }
    std::erase_if(entries, [&](const log_entry& e) { return e.index <= m_snapshotIndex; });
    m_nextSequence = log.lastSequence + 1;
    m_startCount = (((m_startCount >> 16) + 1) << 16) | (m_options.startTag & 0xffff);
    m_recovered.dataIncarnation = m_dataIncarnation;
    m_recovered.startCount = m_startCount;
    state.hard = m_hard;
    state.entries = std::move(entries);
    return rewriteLastSegment(log.lastSegment, reset);
}

/// Writes the records of the last segment and that of this start to a new file, which replaces the segment. The end of
/// the segment may be only in the page cache: the earlier process ended before its sync, or the sync failed, after
/// which a further sync of the same file proves nothing.
template <disk_access Disk>
result<void> basic_log_store<Disk>::rewriteLastSegment(const std::string& records, bool reset)
{
    if (records.empty())
        return startSegment(reset);
    auto& last = m_segments.back();
    const auto start = detail::frameRecord(m_nextSequence, firstRecord(reset));
    const std::string temporary = detail::temporarySegmentName;
    BOOST_OUTCOME_TRYV(appendAll(temporary, records));
    BOOST_OUTCOME_TRYV(appendAll(temporary, start));
    BOOST_OUTCOME_TRYV(m_disk.sync(temporary));
    BOOST_OUTCOME_TRYV(m_disk.rename(temporary, last.name));
    BOOST_OUTCOME_TRYV(m_disk.syncFolder());
    last.bytes = records.size() + start.size();
    ++m_nextSequence;
    return success();
}

} // namespace poplardeal
