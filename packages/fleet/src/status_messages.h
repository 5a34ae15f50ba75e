#pragma once

#include <poplardeal/jobs/worker_registry.h>
#include <poplardeal/wire/messages_generated.h>

namespace poplardeal::detail {

/// Conversions between the scheduler's types and the messages of sidecars.
message::worker_reportT toMessage(const worker_status&);
/// Skips list entries with a malformed task name or an unknown kind of end and adds their number to `malformed`.
worker_status fromMessage(const message::worker_reportT&, std::size_t& malformed);

/// One message, or several partial ones of about `maxOrderBytes`. `term` is the leader's Raft term.
std::vector<message::worker_ordersT> toMessages(const worker_instructions&, std::uint64_t term);
inline constexpr std::size_t maxOrderBytes = std::size_t { 256 } * 1024;
/// Skips starts and stops with a malformed task name, and starts without a payload, and adds their number to
/// `malformed`.
worker_instructions fromMessage(const message::worker_ordersT&, std::size_t& malformed);

} // namespace poplardeal::detail
