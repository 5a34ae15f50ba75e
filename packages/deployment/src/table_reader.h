#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <poplardeal/base/failure.h>
#include <span>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <utility>
#include <vector>

namespace poplardeal::detail {

/// Inclusive bounds of an integer.
struct integer_range {
    std::int64_t low;
    std::int64_t high;
};

/// Name of the text that is read and the first fault found in it.
struct parse_context {
    std::string source;
    std::optional<failure> fault;

    void refuse(const toml::source_position&, const std::string& key, const std::string& reason);
};

/// Reads one TOML table. A fault is recorded in the context, the first one wins, and a harmless value is returned, so
/// that the caller tests the context once at the end.
class table_reader {
public:
    /// Refuses keys that are not in `known`. `path` names the table in errors; empty for the whole text.
    table_reader(parse_context&, const toml::table&, std::string path, std::initializer_list<std::string_view> known);

    bool has(std::string_view key) const;

    /// A required value. Absent keys, other types and values outside the bounds are refused.
    std::string name(std::string_view key);
    std::string text(std::string_view key, std::size_t maxBytes);
    std::int64_t integer(std::string_view key, integer_range);
    std::size_t choice(std::string_view key, std::span<const std::string_view> words);

    /// An optional value.
    std::int64_t integerOr(std::string_view key, integer_range, std::int64_t fallback);
    bool booleanOr(std::string_view key, bool fallback);

    /// The required table at `key`, or null after a fault.
    const toml::table* table(std::string_view key);
    /// The tables of an optional array of tables with the path of each. More than `maxCount` are refused unread.
    std::vector<std::pair<const toml::table*, std::string>> tables(std::string_view key, std::size_t maxCount);

    /// Records a fault at the position of `key`, or of the table if it lacks the key.
    void refuse(std::string_view key, const std::string& reason);

private:
    const toml::node* required(std::string_view key);
    std::string pathOf(std::string_view key) const;
    void refuseUnknownKeys(std::initializer_list<std::string_view> known);

    parse_context& m_context;
    const toml::table& m_table;
    std::string m_path;
};

} // namespace poplardeal::detail
