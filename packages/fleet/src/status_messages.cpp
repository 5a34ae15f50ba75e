#include "status_messages.h"

namespace poplardeal::detail {

message::worker_reportT toMessage(const worker_status& status)
{
    message::worker_reportT out;
    out.worker = status.boot.worker.value();
    out.started_at_ms = status.boot.startedAtMs;
    out.address = status.address;
    out.service = status.service.value();
    out.data_centre = status.dataCentre.value();
    out.rack = status.rack.value();
    for (const auto& label : status.labels)
        out.labels.push_back(label.value());
    out.cpu_millicores = status.capacity.cpu.count();
    out.memory_mib = status.capacity.memory.count();
    out.accelerators = status.capacity.accelerator.count();
    out.draining = status.isDraining;
    out.drain_left_ms = std::chrono::duration_cast<std::chrono::milliseconds>(status.drainLeft).count();
    out.gone = status.isGone;
    out.clock_ms = status.clockMs;
    out.has_lists = status.hasLists;
    out.incomplete = !status.isComplete;
    for (const auto& each : status.running) {
        auto listed = std::make_unique<message::listed_taskT>();
        listed->task = toString(each.task);
        listed->run = each.run.value();
        listed->saved = each.saved.value();
        listed->percent = each.percent;
        out.running.push_back(std::move(listed));
    }
    for (const auto& each : status.ended) {
        auto listed = std::make_unique<message::listed_endT>();
        listed->number = each.number;
        listed->task = toString(each.task);
        listed->run = each.run.value();
        listed->kind = static_cast<std::uint8_t>(each.kind);
        listed->saved = each.saved.value();
        out.ended.push_back(std::move(listed));
    }
    for (const auto& each : status.refused) {
        auto refused = std::make_unique<message::refused_startT>();
        refused->task = toString(each.run.task);
        refused->run = each.run.run.value();
        refused->reason = each.reason;
        out.refused.push_back(std::move(refused));
    }
    return out;
}

worker_status fromMessage(const message::worker_reportT& in, std::size_t& malformed)
{
    worker_status out;
    out.boot = { worker_id(in.worker), in.started_at_ms };
    out.address = in.address;
    out.service = service_name(in.service);
    out.dataCentre = data_centre_name(in.data_centre);
    out.rack = rack_name(in.rack);
    for (const auto& label : in.labels)
        out.labels.emplace_back(label);
    out.capacity = { millicores(in.cpu_millicores), mebibytes(in.memory_mib), accelerators(in.accelerators) };
    out.isDraining = in.draining;
    out.drainLeft = std::chrono::milliseconds(in.drain_left_ms);
    out.isGone = in.gone;
    out.clockMs = in.clock_ms;
    out.hasLists = in.has_lists;
    for (const auto& each : in.running) {
        if (auto task = parseTaskKey(each->task))
            out.running.push_back({ std::move(*task), run_number(each->run), checkpoint(each->saved), each->percent });
        else
            ++malformed;
    }
    for (const auto& each : in.ended) {
        auto task = parseTaskKey(each->task);
        if (task && each->kind <= static_cast<std::uint8_t>(end_kind::gang_incomplete))
            out.ended.push_back({ each->number, std::move(*task), run_number(each->run),
                static_cast<end_kind>(each->kind), checkpoint(each->saved) });
        else
            ++malformed;
    }
    for (const auto& each : in.refused) {
        if (auto task = parseTaskKey(each->task))
            out.refused.push_back({ { std::move(*task), run_number(each->run) }, each->reason });
        else
            ++malformed;
    }
    out.isComplete = !in.incomplete && malformed == 0;
    return out;
}

message::worker_ordersT toMessage(const worker_instructions& in, std::uint64_t term)
{
    message::worker_ordersT out;
    out.worker = in.boot.worker.value();
    out.started_at_ms = in.boot.startedAtMs;
    out.term = term;
    out.lease_until_ms = in.leaseUntilMs;
    out.acknowledged = in.acknowledged;
    for (const auto& start : in.starts) {
        auto order = std::make_unique<message::start_orderT>();
        order->task = toString(start.run.task);
        order->run = start.run.run.value();
        order->payload = start.payload;
        order->saved = start.saved.value();
        order->until_ms = start.untilMs;
        out.starts.push_back(std::move(order));
    }
    for (const auto& stop : in.stops) {
        auto order = std::make_unique<message::stop_orderT>();
        order->task = toString(stop.task);
        order->run = stop.run.value();
        out.stops.push_back(std::move(order));
    }
    return out;
}

worker_instructions fromMessage(const message::worker_ordersT& in, std::size_t& malformed)
{
    worker_instructions out;
    out.boot = { worker_id(in.worker), in.started_at_ms };
    out.leaseUntilMs = in.lease_until_ms;
    out.acknowledged = in.acknowledged;
    for (const auto& each : in.starts) {
        if (auto task = parseTaskKey(each->task))
            out.starts.push_back({ { std::move(*task), run_number(each->run) }, each->payload, checkpoint(each->saved),
                each->until_ms });
        else
            ++malformed;
    }
    for (const auto& each : in.stops) {
        if (auto task = parseTaskKey(each->task))
            out.stops.push_back({ std::move(*task), run_number(each->run) });
        else
            ++malformed;
    }
    return out;
}

} // namespace poplardeal::detail
