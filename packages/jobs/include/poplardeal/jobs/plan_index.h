#pragma once

#include <poplardeal/jobs/model.h>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace poplardeal {

/// Finds queues and workspaces of a plan in time that does not depend on their number. Holds positions, not pointers,
/// so it stays valid for a copy of the plan that it was made from.
class plan_index {
public:
    plan_index() = default;
    explicit plan_index(const queue_plan&);

    /// Null if there is no such queue.
    const queue_spec* find(const queue_plan&, const queue_name&) const;
    /// The queue with the longest prefix of `path` on `host`; null if there is none.
    const queue_spec* match(const queue_plan&, std::string_view host, std::string_view path) const;
    /// The workspace that the key belongs to; null if there is none.
    const workspace_quota* findWorkspace(const queue_plan&, const api_key&) const;

private:
    /// By host, the queues with the longest prefixes first.
    std::unordered_map<std::string, std::vector<std::size_t>> m_queuesByHost;
    std::unordered_map<std::string, std::size_t> m_queuesByName;
    std::unordered_map<std::string, std::size_t> m_workspacesByKey;
};

} // namespace poplardeal
