#pragma once

#include <cstdint>
#include <poplardeal/base/verdict.h>
#include <poplardeal/routing/membership.h>
#include <poplardeal/wire/http.h>
#include <poplardeal/wire/message.h>
#include <poplardeal/wire/verdict_message.h>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace poplardeal::detail {

/// Bytes of payload that a request or an answer may have.
inline constexpr std::size_t maxPayload = std::size_t { 16 } * 1024 * 1024;

/// Status of a `response` with verdict not_run: the endpoint has no room.
inline constexpr std::uint32_t statusOverloaded = 429;
/// Status of a `response` with verdict not_run: the runner cannot be reached or the endpoint leaves.
inline constexpr std::uint32_t statusUnavailable = 503;
/// Status of a `response` to an `outcome_query`: the sidecar holds nothing of this key.
inline constexpr std::uint32_t statusUnknownKey = 404;

using poplardeal::fromMessage;
using poplardeal::toMessage;

announcement fromMessage(const message::announceT&);
message::announceT toMessage(const announcement&);

using header_list = std::vector<std::unique_ptr<message::headerT>>;

/// Headers that concern the caller and the runner; those of one connection (RFC 9110 section 7.6.1), the length and the
/// project's own are left out.
header_list forwardedHeaders(const http_headers&);
http_headers toHttpHeaders(const header_list&);
std::vector<std::pair<std::string, std::string>> toPairs(const header_list&);
header_list fromPairs(const std::vector<std::pair<std::string, std::string>>&);

std::string toText(const std::vector<std::uint8_t>&);
std::vector<std::uint8_t> toBytes(std::string_view);

std::uint64_t bodyChecksum(const std::vector<std::uint8_t>&);

/// Equal for equal requests; a repeated key with another fingerprint is refused.
std::uint64_t requestFingerprint(const http_request&, const std::string& service, const std::string& path);

} // namespace poplardeal::detail
