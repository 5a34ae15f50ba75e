#pragma once

#include <poplardeal/base/failure.h>
#include <poplardeal/deployment/model.h>
#include <string>
#include <vector>

namespace poplardeal {

/// A guarantee that could not be honoured while one data centre is out of service.
struct exposure {
    data_centre_name lost;
    workspace_name workspace;
    std::string guarantee; ///< For instance "2 x 8 within rack".
};

/// Result of a successful admission.
struct admission_report {
    std::vector<exposure> exposures; ///< Empty: any single data centre may be lost.
};

/// Proves that all guarantees can be honoured at the same time on the worker pools in service. `infeasible` names the
/// workspace and the guarantee that does not fit; a job template that no worker can ever hold is refused the same way.
result<admission_report> admit(const deployment&);

} // namespace poplardeal
