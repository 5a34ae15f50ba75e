#pragma once

#include <poplardeal/base/failure.h>
#include <poplardeal/consensus/raft_types.h>
#include <string_view>

namespace poplardeal::detail {

std::string encodeMessage(const raft_message&);
/// `corrupt` if the bytes are not a well-formed message.
result<raft_message> decodeMessage(std::string_view);

std::string encodeMembership(const membership&);
result<membership> decodeMembership(std::string_view);

} // namespace poplardeal::detail
