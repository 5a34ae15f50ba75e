#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <iterator>
#include <string>
#include <string_view>
#include <vector>

namespace poplardeal {

namespace detail {

    inline std::string numberedName(const char* prefix, std::uint64_t number)
    {
        std::array<char, 40> text {};
        std::snprintf(text.data(), text.size(), "%s-%016llx", prefix, static_cast<unsigned long long>(number));
        return text.data();
    }

    inline std::vector<std::string> namesWithPrefix(const std::vector<std::string>& names, std::string_view prefix)
    {
        std::vector<std::string> out;
        std::copy_if(names.begin(), names.end(), std::back_inserter(out),
            [&](const std::string& name) { return name.starts_with(prefix); });
        std::sort(out.begin(), out.end());
        return out;
    }

    constexpr const char* damagedPrefix = "damaged";
    /// Name of a file that exists from before the first rename until after the last one of a set.
    constexpr const char* settingAsidePrefix = "new-damaged";

    /// The N of "PREFIX-N" or "PREFIX-N-NAME"; 0 if the name has no such form.
    inline std::uint64_t numberOf(const std::string& name, std::string_view prefix)
    {
        if (!name.starts_with(prefix) || name.size() <= prefix.size())
            return 0;
        return std::strtoull(name.c_str() + prefix.size() + 1, nullptr, 16);
    }

    inline bool holdsData(const std::string& name) { return name.starts_with("log-") || name.starts_with("snapshot-"); }

    constexpr const char* temporarySnapshotName = "new-snapshot";
    constexpr const char* temporarySegmentName = "new-log";

} // namespace detail

} // namespace poplardeal
