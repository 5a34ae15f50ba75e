#pragma once

#include <poplardeal/deployment/model.h>
#include <string>
#include <vector>

namespace poplardeal {

enum class change_kind {
    added,
    removed,
    changed,
};

/// "added", "removed" or "changed".
std::string_view toString(change_kind);

/// One difference between two deployments.
struct deployment_change {
    change_kind kind { change_kind::changed };
    std::string subject; ///< What it is about, for instance `workspace "film" job "render"`.
    std::string field; ///< The key that differs; empty if the whole subject was added or removed.
    std::string before; ///< Value before; empty for an added subject.
    std::string after; ///< Value after; empty for a removed subject.
    friend bool operator==(const deployment_change&, const deployment_change&) = default;
};

/// One line, for instance `changed workspace "film" job "render": tasks 2 -> 4`.
std::string toString(const deployment_change&);

/// All differences, in the order of the first deployment followed by what the second one adds. Empty exactly if the
/// deployments are equal.
std::vector<deployment_change> difference(const deployment& before, const deployment& after);

} // namespace poplardeal
