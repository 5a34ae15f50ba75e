#pragma once

#include "records.h"
#include <map>
#include <poplardeal/deployment/model.h>

namespace poplardeal::detail {

/// Workers of equal capacity in one rack, empty.
struct empty_workers {
    std::int64_t count { 0 };
    resources perWorker;
};

/// Empty workers by data centre and rack.
using empty_cluster = std::map<data_centre_name, std::map<rack_name, std::vector<empty_workers>>>;

/// What the workers could hold if they were empty, to explain why jobs wait.
struct wait_view {
    empty_cluster usable;
    empty_cluster present;
    std::string outOfService; ///< Names of the data centres that are out.
};

/// All worker pools of the deployment, whether in service or not.
empty_cluster expectedCluster(const std::vector<worker_pool>&);

/// How many tasks one empty worker can take.
std::int64_t tasksPerWorker(const resources& perWorker, const resources& perTask);

/// True if the gang fits into the empty workers within its scope.
bool fitsEmpty(const empty_cluster&, const job_template&);

/// `perTask` times the number of tasks.
resources totalDemand(const job_template&);

/// "worker", "rack", "data centre" or "cluster".
std::string_view scopeText(scope);

/// For instance "8 cores, 1024 MiB, 2 accelerators".
std::string resourceText(const resources&);

} // namespace poplardeal::detail
