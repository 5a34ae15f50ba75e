#pragma once

#include <poplardeal/jobs/worker_registry.h>
#include <poplardeal/wire/messages_generated.h>

namespace poplardeal::detail {

message::worker_reportT toMessage(const worker_status&);
/// Entries with a malformed task name are left out; their number is added to `malformed`.
worker_status fromMessage(const message::worker_reportT&, std::size_t& malformed);

message::worker_ordersT toMessage(const worker_instructions&, std::uint64_t term);
worker_instructions fromMessage(const message::worker_ordersT&, std::size_t& malformed);

} // namespace poplardeal::detail
