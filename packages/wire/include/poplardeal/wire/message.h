#pragma once

#include <flatbuffers/flatbuffers.h>
#include <poplardeal/base/failure.h>
#include <poplardeal/wire/frame.h>
#include <poplardeal/wire/messages_generated.h>
#include <string>
#include <string_view>

namespace poplardeal {

/// Makes a frame of a message.
///
///     channel.send(packMessage(frame_kind::announce, 0, announceObject)); // announceObject: message::announceT
template <class Object> frame packMessage(frame_kind kind, std::uint64_t correlation, const Object& object)
{
    using table = typename Object::TableType;
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(table::Pack(builder, &object));
    const auto* data = reinterpret_cast<const char*>(builder.GetBufferPointer());
    return frame { kind, correlation, std::string(data, builder.GetSize()) };
}

/// Verifies the body of a frame and reads it. `corrupt` if the body is not a `Table`.
///
///     auto announced = unpackMessage<message::announce>(frame.body);
template <class Table> result<typename Table::NativeTableType> unpackMessage(std::string_view body)
{
    const auto* data = reinterpret_cast<const std::uint8_t*>(body.data());
    flatbuffers::Verifier verifier(data, body.size());
    if (!verifier.VerifyBuffer<Table>(nullptr))
        return failure { failure_code::corrupt, "message body does not match its schema" };
    typename Table::NativeTableType object;
    flatbuffers::GetRoot<Table>(data)->UnPackTo(&object);
    return object;
}

} // namespace poplardeal
