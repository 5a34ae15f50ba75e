#include "message_codec.h"
#include "raft_wire.h"

namespace poplardeal::detail {

using builder = flatbuffers::FlatBufferBuilder;

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

static flatbuffers::Offset<raft_wire::Membership> writeMembership(builder& out, const membership& value)
{
    std::vector<flatbuffers::Offset<raft_wire::Member>> members;
    for (const auto& m : value.members) {
        members.push_back(raft_wire::CreateMember(
            out, m.id.value(), static_cast<std::uint8_t>(m.role), m.dataIncarnation, m.promoteWhenCaughtUp));
    }
    return raft_wire::CreateMembership(out, out.CreateVector(members));
}

static result<membership> readMembership(const raft_wire::Membership* value)
{
    membership out;
    if (!value || !value->members())
        return out;
    for (const auto* m : *value->members()) {
        if (m->role() > static_cast<std::uint8_t>(member_role::learner))
            return failure { failure_code::corrupt, "membership names an unknown role" };
        out.members.push_back(member { replica_id(m->id()), static_cast<member_role>(m->role()), m->data_incarnation(),
            m->promote_when_caught_up() });
    }
    return out;
}

static flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<raft_wire::Entry>>> writeEntries(
    builder& out, const std::vector<log_entry>& entries)
{
    std::vector<flatbuffers::Offset<raft_wire::Entry>> written;
    written.reserve(entries.size());
    for (const auto& e : entries) {
        const auto payload = bytesOf(out, e.payload);
        written.push_back(raft_wire::CreateEntry(out, e.term, e.index, static_cast<std::uint8_t>(e.kind), payload));
    }
    return out.CreateVector(written);
}

static result<std::vector<log_entry>> readEntries(const raft_wire::Message& message)
{
    std::vector<log_entry> out;
    if (!message.entries())
        return out;
    out.reserve(message.entries()->size());
    auto expected = message.log_index() + 1;
    for (const auto* e : *message.entries()) {
        if (e->kind() > static_cast<std::uint8_t>(entry_kind::membership) || e->index() != expected++)
            return failure { failure_code::corrupt, "append message has an entry of unknown kind or out of order" };
        out.push_back(log_entry { e->term(), e->index(), static_cast<entry_kind>(e->kind()), textOf(e->payload()) });
    }
    return out;
}

std::string encodeMessage(const raft_message& m)
{
    builder out(256);
    const auto entries = m.entries.empty() ? 0 : writeEntries(out, m.entries);
    const auto members = m.snapshotMembers.members.empty() ? 0 : writeMembership(out, m.snapshotMembers);
    const auto chunk = m.chunk.empty() ? 0 : bytesOf(out, m.chunk);
    const auto root = raft_wire::CreateMessage(out, static_cast<std::uint8_t>(m.kind), m.from.value(), m.to.value(),
        m.term, m.logIndex, m.logTerm, m.matchIndex, m.commit, m.rejected, m.transfer, m.sentAt, m.dataIncarnation,
        m.startCount, entries, m.snapshotIndex, m.snapshotTerm, m.snapshotOffset, m.snapshotSize, members, chunk,
        m.expectedIncarnation);
    raft_wire::FinishMessageBuffer(out, root);
    return std::string(reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize());
}

/// FlatBuffers reads scalars in place, so that the buffer has to be aligned for the largest one.
static bool isAligned(std::string_view bytes)
{
    return reinterpret_cast<std::uintptr_t>(bytes.data()) % alignof(std::uint64_t) == 0;
}

result<raft_message> decodeMessage(std::string_view bytes)
{
    if (!isAligned(bytes)) {
        const std::vector<char> aligned(bytes.begin(), bytes.end());
        return decodeMessage(std::string_view(aligned.data(), aligned.size()));
    }
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    if (bytes.size() < 8 || !raft_wire::VerifyMessageBuffer(verifier))
        return failure { failure_code::corrupt, "message between replicas is malformed" };
    const auto& m = *raft_wire::GetMessage(bytes.data());
    if (m.kind() > static_cast<std::uint8_t>(message_kind::data_replaced))
        return failure { failure_code::corrupt, "message between replicas is of unknown kind" };
    BOOST_OUTCOME_TRY(entries, readEntries(m));
    BOOST_OUTCOME_TRY(members, readMembership(m.snapshot_members()));
    raft_message out;
    out.kind = static_cast<message_kind>(m.kind());
    out.from = replica_id(m.from());
    out.to = replica_id(m.to());
    out.term = m.term();
    out.logIndex = m.log_index();
    out.logTerm = m.log_term();
    out.matchIndex = m.match_index();
    out.commit = m.commit();
    out.rejected = m.rejected();
    out.transfer = m.transfer();
    out.sentAt = m.sent_at();
    out.dataIncarnation = m.data_incarnation();
    out.expectedIncarnation = m.expected_incarnation();
    out.startCount = m.start_count();
    out.entries = std::move(entries);
    out.snapshotIndex = m.snapshot_index();
    out.snapshotTerm = m.snapshot_term();
    out.snapshotOffset = m.snapshot_offset();
    out.snapshotSize = m.snapshot_size();
    out.snapshotMembers = std::move(members);
    out.chunk = textOf(m.chunk());
    return out;
}

std::string encodeMembership(const membership& value)
{
    builder out(128);
    out.Finish(writeMembership(out, value));
    return std::string(reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize());
}

result<membership> decodeMembership(std::string_view bytes)
{
    if (!isAligned(bytes)) {
        const std::vector<char> aligned(bytes.begin(), bytes.end());
        return decodeMembership(std::string_view(aligned.data(), aligned.size()));
    }
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    if (bytes.size() < 8 || !verifier.VerifyBuffer<raft_wire::Membership>(nullptr))
        return failure { failure_code::corrupt, "membership is malformed" };
    return readMembership(flatbuffers::GetRoot<raft_wire::Membership>(bytes.data()));
}

} // namespace poplardeal::detail
