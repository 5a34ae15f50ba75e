#pragma once

#include <poplardeal/base/failure.h>
#include <poplardeal/consensus/raft_types.h>
#include <string>
#include <string_view>

namespace poplardeal::detail {

constexpr std::uint32_t folderFormat = 1;

struct record_header {
    std::uint64_t dataIncarnation { 0 };
    std::uint64_t startCount { 0 };
};

/// Body of one record of a log segment.
struct log_record {
    std::optional<record_header> header;
    std::optional<hard_state> hard;
    std::optional<std::uint64_t> resetIndex; ///< All earlier entries are replaced by the snapshot up to this index.
    std::vector<log_entry> entries;
};

std::string encodeRecord(const log_record&);
/// `unknown_format` if the bytes, whose checksum matched, are not a record of this format.
result<log_record> decodeRecord(std::string_view);

/// A whole snapshot file, with magic, format and checksum.
std::string encodeSnapshotFile(const log_snapshot&);
/// `corrupt`, or `unknown_format` if another version wrote the file.
result<log_snapshot> decodeSnapshotFile(std::string_view);

constexpr std::size_t frameHeaderBytes = 24;

struct record_frame {
    std::uint64_t sequence { 0 };
    std::string_view body;
};

/// The record with magic, length, sequence number and checksum before it.
std::string frameRecord(std::uint64_t sequence, std::string_view body);
/// The intact frame at the offset, or nothing.
std::optional<record_frame> readFrame(std::string_view file, std::size_t offset);
/// True if an intact frame starts anywhere after the offset.
bool hasFrameAfter(std::string_view file, std::size_t offset);

} // namespace poplardeal::detail
