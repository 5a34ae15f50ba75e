#include "status_messages.h"
#include <map>

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

namespace {

    constexpr std::size_t orderOverhead = 64; ///< Of one order in a message beside its texts, in bytes; an upper bound.

    /// Fills messages up to `maxOrderBytes`. Starts of one job share their payload.
    class order_writer {
    public:
        order_writer(const worker_instructions& in, std::uint64_t term)
        {
            m_head.worker = in.boot.worker.value();
            m_head.started_at_ms = in.boot.startedAtMs;
            m_head.term = term;
            m_head.lease_until_ms = in.leaseUntilMs;
            m_head.acknowledged = in.acknowledged;
            open();
        }

        void add(const start_instruction& start)
        {
            auto order = std::make_unique<message::start_orderT>();
            order->task = toString(start.run.task);
            order->run = start.run.run.value();
            order->saved = start.saved.value();
            order->until_ms = start.untilMs;
            const bool hasPayload = m_payloads.contains(start.run.task.job);
            reserve(order->task.size() + order->saved.size() + (hasPayload ? 0 : start.payload.size()));
            const auto [known, isNew]
                = m_payloads.try_emplace(start.run.task.job, static_cast<std::uint32_t>(m_out.back().payloads.size()));
            if (isNew) {
                m_out.back().payloads.push_back(start.payload);
                m_bytes += start.payload.size();
            }
            order->payload_index = known->second;
            m_bytes += orderOverhead + order->task.size() + order->saved.size();
            m_out.back().starts.push_back(std::move(order));
        }

        void add(const run_key& stop)
        {
            auto order = std::make_unique<message::stop_orderT>();
            order->task = toString(stop.task);
            order->run = stop.run.value();
            reserve(order->task.size());
            m_bytes += orderOverhead + order->task.size();
            m_out.back().stops.push_back(std::move(order));
        }

        std::vector<message::worker_ordersT> take()
        {
            for (auto& each : m_out)
                each.partial = m_out.size() > 1;
            return std::move(m_out);
        }

    private:
        void open()
        {
            m_out.push_back(m_head);
            m_payloads.clear();
            m_bytes = 0;
        }

        void reserve(std::size_t textBytes)
        {
            if (m_bytes > 0 && m_bytes + orderOverhead + textBytes > maxOrderBytes)
                open();
        }

        message::worker_ordersT m_head;
        std::vector<message::worker_ordersT> m_out;
        std::map<submission_id, std::uint32_t> m_payloads; ///< Index in the last message, by job.
        std::size_t m_bytes { 0 };
    };

} // namespace

std::vector<message::worker_ordersT> toMessages(const worker_instructions& in, std::uint64_t term)
{
    order_writer out(in, term);
    for (const auto& stop : in.stops)
        out.add(stop);
    for (const auto& start : in.starts)
        out.add(start);
    return out.take();
}

worker_instructions fromMessage(const message::worker_ordersT& in, std::size_t& malformed)
{
    worker_instructions out;
    out.boot = { worker_id(in.worker), in.started_at_ms };
    out.leaseUntilMs = in.lease_until_ms;
    out.acknowledged = in.acknowledged;
    out.isPartial = in.partial;
    for (const auto& each : in.starts) {
        auto task = parseTaskKey(each->task);
        if (task && each->payload_index < in.payloads.size())
            out.starts.push_back({ { std::move(*task), run_number(each->run) }, in.payloads[each->payload_index],
                checkpoint(each->saved), each->until_ms });
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
