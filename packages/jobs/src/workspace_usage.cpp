#include <algorithm>
#include <cmath>
#include <poplardeal/jobs/workspace_usage.h>

namespace poplardeal {

namespace {

    constexpr std::int64_t millicoresPerAccelerator = 8000; // The platform's charge for an accelerator-second.
    constexpr double negligibleCoreSeconds = 0.001;

    millicores weightOf(const demand& need)
    {
        return need.cpu + millicores(need.accelerator.count() * millicoresPerAccelerator);
    }

    double coreSecondsAt(const usage_record& record, instant now)
    {
        constexpr double halfLife = std::chrono::duration<double>(workspace_usage::halfLife).count();
        constexpr double ln2 = 0.693147180559945309417;
        const double elapsed = std::chrono::duration<double>(std::max(now - record.at, duration::zero())).count();
        const double kept = std::exp(-elapsed * ln2 / halfLife);
        return record.coreSeconds * kept
            + static_cast<double>(record.running.count()) / 1000 * (1 - kept) * halfLife / ln2;
    }

} // namespace

usage_record& workspace_usage::advance(const workspace_name& workspace, instant at)
{
    const auto [found, isNew] = m_records.try_emplace(workspace, usage_record { 0, at, {} });
    if (isNew)
        prune(at);
    auto& record = found->second;
    record.coreSeconds = coreSecondsAt(record, at);
    record.at = std::max(record.at, at);
    return record;
}

void workspace_usage::didStart(const workspace_name& workspace, const demand& need, instant at)
{
    advance(workspace, at).running += weightOf(need);
}

void workspace_usage::didEnd(const workspace_name& workspace, const demand& need, instant at)
{
    advance(workspace, at).running -= weightOf(need);
}

void workspace_usage::prune(instant at)
{
    std::erase_if(m_records, [at](const auto& item) {
        const auto& record = item.second;
        return record.at < at && record.running.count() == 0 && coreSecondsAt(record, at) < negligibleCoreSeconds;
    });
}

double workspace_usage::coreSeconds(const workspace_name& workspace, instant now) const
{
    const auto found = m_records.find(workspace);
    return found == m_records.end() ? 0 : coreSecondsAt(found->second, now);
}

void workspace_usage::restore(std::map<workspace_name, usage_record> records) { m_records = std::move(records); }

void workspace_usage::restoreRun(const workspace_name& workspace, const demand& need)
{
    m_records[workspace].running += weightOf(need);
}

workspace_shares relativeUse(const workspace_usage& usage, const std::vector<workspace_quota>& workspaces, instant now)
{
    workspace_shares out;
    double used = 0;
    for (const auto& [name, record] : usage.records()) {
        const double each = coreSecondsAt(record, now);
        out[name] = each;
        used += each;
    }
    const auto weight = [](const workspace_quota& each) {
        return static_cast<double>(std::max<std::int64_t>(each.guaranteed.count(), 1));
    };
    double weights = 0;
    for (const auto& each : workspaces) {
        out.try_emplace(each.name, 0);
        weights += weight(each);
    }
    weights += static_cast<double>(out.size() - workspaces.size());
    if (used <= 0)
        return out;
    const double perWeight = used / weights;
    for (const auto& each : workspaces)
        out[each.name] /= weight(each);
    for (auto& [name, each] : out)
        each /= perWeight;
    return out;
}

} // namespace poplardeal
