#include "scheduler_core.h"

#include <nlohmann/json.hpp>
#include <poplardeal/placement/baseline.h>
#include <poplardeal/placement/scheduler.h>
#include <xxhash.h>

namespace poplardeal {

struct scheduler::impl {
    detail::scheduler_core core;
};

scheduler::scheduler()
    : m_impl(std::make_unique<impl>())
{
}

scheduler makeFirstFitFifo()
{
    scheduler baseline;
    baseline.m_impl->core = detail::scheduler_core(detail::placement_policy::first_fit_fifo);
    return baseline;
}

scheduler::~scheduler() = default;
scheduler::scheduler(scheduler&&) noexcept = default;
scheduler& scheduler::operator=(scheduler&&) noexcept = default;

std::vector<placement_command> scheduler::apply(const placement_event& event, instant now)
{
    return m_impl->core.apply(event, now);
}

std::optional<instant> scheduler::nextDeadline() const { return m_impl->core.nextDeadline(); }

bool scheduler::mayStart(const task_id& task, lease_id lease) const { return m_impl->core.mayStart(task, lease); }

std::vector<placement_command> scheduler::outstandingCommands(const worker_id& worker) const
{
    return m_impl->core.outstandingCommands(worker);
}

std::vector<task_placement> scheduler::tasksOn(const worker_id& worker) const { return m_impl->core.tasksOn(worker); }

std::optional<job_status> scheduler::job(job_id id) const { return m_impl->core.job(id); }

std::vector<job_status> scheduler::jobs() const { return m_impl->core.jobs(); }

std::vector<guarantee_status> scheduler::guarantees() const { return m_impl->core.guarantees(); }

namespace detail {

    /// Raised when the layout of the saved state changes.
    static constexpr int stateFormat = 1;

    static std::vector<std::uint8_t> encodeState(const scheduler_core& core)
    {
        return nlohmann::json::to_cbor(core.toJson());
    }

    static std::uint64_t hashOf(const std::vector<std::uint8_t>& bytes)
    {
        return XXH3_64bits(bytes.data(), bytes.size());
    }

} // namespace detail

std::string scheduler::save() const
{
    auto state = detail::encodeState(m_impl->core);
    const auto hash = detail::hashOf(state);
    auto envelope = nlohmann::json::array({ detail::stateFormat, hash });
    envelope.push_back(nlohmann::json::binary(std::move(state)));
    std::string bytes;
    nlohmann::json::to_cbor(envelope, bytes);
    return bytes;
}

result<scheduler> scheduler::restore(const std::string& bytes)
{
    scheduler restored;
    try {
        const auto envelope = nlohmann::json::from_cbor(bytes);
        if (envelope.at(0).get<int>() != detail::stateFormat)
            return failure { failure_code::corrupt, "scheduler state: unknown format " + envelope.at(0).dump() };
        const auto& state = envelope.at(2).get_binary();
        if (envelope.at(1).get<std::uint64_t>() != detail::hashOf(state))
            return failure { failure_code::corrupt, "scheduler state: hash mismatch" };
        restored.m_impl->core.fromJson(nlohmann::json::from_cbor(state));
    } catch (const std::exception& error) {
        return failure { failure_code::corrupt, std::string("scheduler state: ") + error.what() };
    }
    return restored;
}

std::uint64_t scheduler::digest() const { return detail::hashOf(detail::encodeState(m_impl->core)); }

} // namespace poplardeal
