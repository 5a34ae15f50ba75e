#pragma once

#include <poplardeal/base/metrics.h>
#include <poplardeal/jobs/interference_table.h>
#include <set>

namespace poplardeal::detail {

/// Logs and counts the pairs of kinds that are known to slow each other down.
class interference_report {
public:
    explicit interference_report(metrics_registry&);

    void update(const interference_table&);

private:
    using pair_name = std::pair<task_kind, task_kind>; ///< Affected kind and cause.

    std::set<pair_name> m_known;
    gauge& m_pairs;
};

} // namespace poplardeal::detail
