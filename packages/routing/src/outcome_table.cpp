#include <poplardeal/routing/outcome_table.h>

namespace poplardeal {
namespace detail {

    static std::size_t outcomeBytes(const stored_outcome& outcome)
    {
        std::size_t bytes = outcome.body.size() + outcome.error.size();
        for (const auto& [name, value] : outcome.headers)
            bytes += name.size() + value.size();
        return bytes;
    }

} // namespace detail

outcome_table::outcome_table(outcome_table_settings settings)
    : m_settings(settings)
{
}

outcome_table::begin_result outcome_table::begin(const idempotency_key& key, const request_id& holder, instant now)
{
    switch (find(key, now)) {
    case state::in_flight:
        return begin_result::in_flight;
    case state::finished:
        return begin_result::finished;
    case state::unknown:
        break;
    }
    if (m_keys.size() >= m_settings.maxKeys)
        return begin_result::full;
    m_keys.emplace(key, held_key { holder, false, now, nullptr, 0 });
    return begin_result::run;
}

void outcome_table::finish(const idempotency_key& key, const request_id& holder, stored_outcome outcome, instant now)
{
    const auto found = m_keys.find(key);
    if (found == m_keys.end() || found->second.finished || found->second.holder != holder)
        return;
    if (outcome.verdict == run_verdict::not_run) {
        m_keys.erase(found);
        return;
    }
    auto& held = found->second;
    held.finished = true;
    held.finishedAt = now;
    held.bytes = detail::outcomeBytes(outcome);
    held.outcome = std::make_shared<const stored_outcome>(std::move(outcome));
    m_bytes += held.bytes;
    m_byAge.push_back(key);
    m_withBody.push_back(key);
    dropOldBodies();
}

outcome_table::state outcome_table::find(const idempotency_key& key, instant now)
{
    expire(now);
    const auto found = m_keys.find(key);
    if (found == m_keys.end())
        return state::unknown;
    return found->second.finished ? state::finished : state::in_flight;
}

std::shared_ptr<const stored_outcome> outcome_table::outcome(const idempotency_key& key, instant now)
{
    expire(now);
    const auto found = m_keys.find(key);
    return found == m_keys.end() ? nullptr : found->second.outcome;
}

void outcome_table::expire(instant now)
{
    while (!m_byAge.empty()) {
        const auto oldest = m_keys.find(m_byAge.front());
        if (now - oldest->second.finishedAt < m_settings.keepFor)
            return;
        m_bytes -= oldest->second.bytes;
        if (!m_withBody.empty() && m_withBody.front() == m_byAge.front())
            m_withBody.pop_front();
        m_keys.erase(oldest);
        m_byAge.pop_front();
    }
}

void outcome_table::dropOldBodies()
{
    while (m_bytes > m_settings.maxBytes && !m_withBody.empty()) {
        auto& oldest = m_keys.at(m_withBody.front());
        m_withBody.pop_front();
        m_bytes -= oldest.bytes;
        stored_outcome rest;
        rest.verdict = oldest.outcome->verdict;
        rest.status = oldest.outcome->status;
        rest.error = "the outcome is no longer held";
        oldest.bytes = 0;
        oldest.outcome = std::make_shared<const stored_outcome>(std::move(rest));
        ++m_droppedBodies;
    }
}

} // namespace poplardeal
