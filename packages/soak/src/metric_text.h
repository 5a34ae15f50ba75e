#pragma once

#include <optional>
#include <string_view>

namespace poplardeal::soak {

/// The value of a metric without labels in the Prometheus text format.
std::optional<double> readMetric(std::string_view text, std::string_view name);

/// Voters that a group of `controls` can spare at once: `toleratedLosses`, or what a majority of a smaller group
/// leaves.
constexpr std::size_t neededMargin(std::size_t controls, std::size_t toleratedLosses)
{
    const auto most = controls == 0 ? 0 : (controls - 1) / 2;
    return most < toleratedLosses ? most : toleratedLosses;
}

} // namespace poplardeal::soak
