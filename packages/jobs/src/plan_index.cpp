#include <algorithm>
#include <poplardeal/jobs/plan_index.h>

namespace poplardeal {

plan_index::plan_index(const queue_plan& plan)
{
    for (std::size_t i = 0; i < plan.queues.size(); ++i) {
        m_queuesByName.emplace(plan.queues[i].name.value(), i);
        m_queuesByHost[plan.queues[i].host].push_back(i);
    }
    for (auto& [host, queues] : m_queuesByHost) {
        std::stable_sort(queues.begin(), queues.end(), [&plan](std::size_t a, std::size_t b) {
            return plan.queues[a].pathPrefix.size() > plan.queues[b].pathPrefix.size();
        });
    }
    for (std::size_t i = 0; i < plan.workspaces.size(); ++i) {
        for (const auto& key : plan.workspaces[i].keys)
            m_workspacesByKey.emplace(key.value(), i);
    }
}

const queue_spec* plan_index::find(const queue_plan& plan, const queue_name& name) const
{
    const auto found = m_queuesByName.find(name.value());
    return found == m_queuesByName.end() ? nullptr : &plan.queues[found->second];
}

const queue_spec* plan_index::match(const queue_plan& plan, std::string_view host, std::string_view path) const
{
    const auto onHost = m_queuesByHost.find(std::string(host));
    if (onHost == m_queuesByHost.end())
        return nullptr;
    const auto found = std::find_if(onHost->second.begin(), onHost->second.end(),
        [&](std::size_t i) { return path.starts_with(plan.queues[i].pathPrefix); });
    return found == onHost->second.end() ? nullptr : &plan.queues[*found];
}

const workspace_quota* plan_index::findWorkspace(const queue_plan& plan, const api_key& key) const
{
    const auto found = m_workspacesByKey.find(key.value());
    return found == m_workspacesByKey.end() ? nullptr : &plan.workspaces[found->second];
}

} // namespace poplardeal
