#include "metric_text.h"
#include <cstdlib>
#include <string>

namespace poplardeal::soak {

std::optional<double> readMetric(std::string_view text, std::string_view name)
{
    while (!text.empty()) {
        const auto line = text.substr(0, text.find('\n'));
        text.remove_prefix(line.size() == text.size() ? line.size() : line.size() + 1);
        if (!line.starts_with(name) || line.size() <= name.size() || line[name.size()] != ' ')
            continue;
        const std::string value(line.substr(name.size() + 1));
        char* end = nullptr;
        const double out = std::strtod(value.c_str(), &end);
        if (end == value.c_str())
            return std::nullopt;
        return out;
    }
    return std::nullopt;
}

} // namespace poplardeal::soak
