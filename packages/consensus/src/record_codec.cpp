#include "record_codec.h"
#include "message_codec.h"
#include "raft_wire.h"
#include <cstring>
#include <xxhash.h>

namespace poplardeal::detail {

using builder = flatbuffers::FlatBufferBuilder;

constexpr std::uint32_t frameMagic = 0x474c4450; // "PDLG"
constexpr std::uint32_t snapshotMagic = 0x4e534450; // "PDSN"

template <class T> static void putNumber(std::string& out, T value)
{
    for (std::size_t i = 0; i < sizeof(T); ++i)
        out.push_back(static_cast<char>(value >> (8 * i)));
}

template <class T> static T takeNumber(std::string_view bytes, std::size_t offset)
{
    T value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i)
        value |= static_cast<T>(static_cast<unsigned char>(bytes[offset + i])) << (8 * i);
    return value;
}

/// FlatBuffers reads scalars in place: the body is copied to an aligned place.
static std::vector<std::uint64_t> alignedCopy(std::string_view bytes)
{
    std::vector<std::uint64_t> out((bytes.size() + 7) / 8);
    if (!bytes.empty())
        std::memcpy(out.data(), bytes.data(), bytes.size());
    return out;
}

static std::string takeBuffer(const builder& out)
{
    return std::string(reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize());
}

static auto bytesOf(builder& out, std::string_view text)
{
    return out.CreateVector(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
}

static std::string textOf(const flatbuffers::Vector<std::uint8_t>* bytes)
{
    if (!bytes)
        return {};
    return std::string(reinterpret_cast<const char*>(bytes->data()), bytes->size());
}

std::string encodeRecord(const log_record& record)
{
    builder out(256);
    std::vector<flatbuffers::Offset<raft_wire::Entry>> entries;
    entries.reserve(record.entries.size());
    for (const auto& e : record.entries) {
        const auto payload = bytesOf(out, e.payload);
        entries.push_back(raft_wire::CreateEntry(out, e.term, e.index, static_cast<std::uint8_t>(e.kind), payload));
    }
    const auto written = out.CreateVector(entries);
    raft_wire::RecordBuilder body(out);
    if (record.header) {
        body.add_has_header(true);
        body.add_format(folderFormat);
        body.add_data_incarnation(record.header->dataIncarnation);
        body.add_start_count(record.header->startCount);
    }
    if (record.hard) {
        body.add_has_hard_state(true);
        body.add_term(record.hard->term);
        body.add_vote(record.hard->vote.value_or(replica_id()).value());
    }
    body.add_reset(record.resetIndex.has_value());
    body.add_reset_index(record.resetIndex.value_or(0));
    body.add_entries(written);
    out.Finish(body.Finish());
    return takeBuffer(out);
}

result<log_record> decodeRecord(std::string_view bytes)
{
    const auto aligned = alignedCopy(bytes);
    const auto* data = reinterpret_cast<const std::uint8_t*>(aligned.data());
    flatbuffers::Verifier verifier(data, bytes.size(), 64, std::numeric_limits<flatbuffers::uoffset_t>::max());
    if (bytes.size() < 8 || !verifier.VerifyBuffer<raft_wire::Record>(nullptr))
        return failure { failure_code::unknown_format, "record is malformed although its checksum matches" };
    const auto& body = *flatbuffers::GetRoot<raft_wire::Record>(data);
    if (body.has_header() && body.format() != folderFormat)
        return failure { failure_code::unknown_format,
            "data folder has the unknown format " + std::to_string(body.format()) };
    log_record out;
    if (body.has_header())
        out.header = record_header { body.data_incarnation(), body.start_count() };
    if (body.has_hard_state()) {
        out.hard = hard_state { body.term(), std::nullopt };
        if (body.vote() != 0)
            out.hard->vote = replica_id(body.vote());
    }
    if (body.reset())
        out.resetIndex = body.reset_index();
    if (!body.entries())
        return out;
    out.entries.reserve(body.entries()->size());
    for (const auto* e : *body.entries())
        out.entries.push_back({ e->term(), e->index(), static_cast<entry_kind>(e->kind()), textOf(e->payload()) });
    return out;
}

std::string encodeSnapshotFile(const log_snapshot& snapshot)
{
    builder out(snapshot.data.size() + 256);
    const auto data = bytesOf(out, snapshot.data);
    std::vector<flatbuffers::Offset<raft_wire::Member>> members;
    for (const auto& m : snapshot.members.members) {
        members.push_back(raft_wire::CreateMember(
            out, m.id.value(), static_cast<std::uint8_t>(m.role), m.dataIncarnation, m.promoteWhenCaughtUp));
    }
    const auto membership = raft_wire::CreateMembership(out, out.CreateVector(members));
    out.Finish(raft_wire::CreateSnapshotFile(out, snapshot.index, snapshot.term, membership, data));
    const auto body = takeBuffer(out);
    std::string file;
    putNumber(file, snapshotMagic);
    putNumber(file, folderFormat);
    putNumber(file, static_cast<std::uint64_t>(XXH3_64bits(body.data(), body.size())));
    return file + body;
}

result<log_snapshot> decodeSnapshotFile(std::string_view file)
{
    if (file.size() < 16 || takeNumber<std::uint32_t>(file, 0) != snapshotMagic)
        return failure { failure_code::corrupt, "snapshot has no header" };
    if (takeNumber<std::uint32_t>(file, 4) != folderFormat)
        return failure { failure_code::unknown_format, "snapshot has an unknown format" };
    const auto body = file.substr(16);
    if (takeNumber<std::uint64_t>(file, 8) != XXH3_64bits(body.data(), body.size()))
        return failure { failure_code::corrupt, "snapshot does not match its checksum" };
    const auto aligned = alignedCopy(body);
    const auto* data = reinterpret_cast<const std::uint8_t*>(aligned.data());
    flatbuffers::Verifier verifier(data, body.size(), 64, std::numeric_limits<flatbuffers::uoffset_t>::max());
    if (body.size() < 8 || !verifier.VerifyBuffer<raft_wire::SnapshotFile>(nullptr))
        return failure { failure_code::unknown_format, "snapshot is malformed although its checksum matches" };
    const auto& read = *flatbuffers::GetRoot<raft_wire::SnapshotFile>(data);
    log_snapshot out;
    out.index = read.index();
    out.term = read.term();
    if (read.members() && read.members()->members()) {
        for (const auto* m : *read.members()->members()) {
            out.members.members.push_back(member { replica_id(m->id()), static_cast<member_role>(m->role()),
                m->data_incarnation(), m->promote_when_caught_up() });
        }
    }
    out.data = textOf(read.data());
    return out;
}

static std::uint64_t frameChecksum(std::string_view header, std::string_view body)
{
    return XXH3_64bits_withSeed(body.data(), body.size(), XXH3_64bits(header.data(), header.size()));
}

std::string frameRecord(std::uint64_t sequence, std::string_view body)
{
    std::string out;
    out.reserve(frameHeaderBytes + body.size());
    putNumber(out, frameMagic);
    putNumber(out, static_cast<std::uint32_t>(body.size()));
    putNumber(out, sequence);
    putNumber(out, frameChecksum(out, body));
    out.append(body);
    return out;
}

std::optional<record_frame> readFrame(std::string_view file, std::size_t offset)
{
    if (file.size() < frameHeaderBytes || offset > file.size() - frameHeaderBytes)
        return std::nullopt;
    const auto bytes = file.substr(offset);
    const auto length = takeNumber<std::uint32_t>(bytes, 4);
    if (takeNumber<std::uint32_t>(bytes, 0) != frameMagic || length > bytes.size() - frameHeaderBytes)
        return std::nullopt;
    const auto body = bytes.substr(frameHeaderBytes, length);
    if (takeNumber<std::uint64_t>(bytes, 16) != frameChecksum(bytes.substr(0, 16), body))
        return std::nullopt;
    return record_frame { takeNumber<std::uint64_t>(bytes, 8), body };
}

bool hasFrameAfter(std::string_view file, std::size_t offset)
{
    for (auto at = file.find("PDLG", offset + 1); at != std::string_view::npos; at = file.find("PDLG", at + 1)) {
        if (readFrame(file, at))
            return true;
    }
    return false;
}

} // namespace poplardeal::detail
