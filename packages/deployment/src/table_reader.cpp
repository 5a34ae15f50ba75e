#include "table_reader.h"

#include "text.h"
#include <algorithm>
#include <poplardeal/deployment/limits.h>

namespace poplardeal::detail {

void parse_context::refuse(const toml::source_position& at, const std::string& key, const std::string& reason)
{
    if (fault)
        return;
    // Positions of a text that holds no key are 0.
    const auto line = std::max<unsigned>(at.line, 1);
    const auto column = std::max<unsigned>(at.column, 1);
    fault = failure { failure_code::invalid_argument,
        source + ":" + std::to_string(line) + ":" + std::to_string(column) + ": " + key + ": " + reason };
}

static std::string typeText(const toml::node& node)
{
    switch (node.type()) {
    case toml::node_type::table:
        return "a table";
    case toml::node_type::array:
        return "an array";
    case toml::node_type::string:
        return "a string";
    case toml::node_type::integer:
        return "an integer";
    case toml::node_type::floating_point:
        return "a floating-point number";
    case toml::node_type::boolean:
        return "a boolean";
    default:
        return "a date or time";
    }
}

table_reader::table_reader(
    parse_context& context, const toml::table& table, std::string path, std::initializer_list<std::string_view> known)
    : m_context(context)
    , m_table(table)
    , m_path(std::move(path))
{
    refuseUnknownKeys(known);
}

void table_reader::refuseUnknownKeys(std::initializer_list<std::string_view> known)
{
    for (const auto& [key, node] : m_table) {
        if (std::find(known.begin(), known.end(), key.str()) != known.end())
            continue;
        std::string reason = "unknown key; known here:";
        for (const auto word : known)
            reason += " " + std::string(word);
        m_context.refuse(key.source().begin, pathOf(key.str()), reason);
    }
}

bool table_reader::has(std::string_view key) const { return m_table.contains(key); }

std::string table_reader::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

void table_reader::refuse(std::string_view key, const std::string& reason)
{
    const auto* node = m_table.get(key);
    m_context.refuse(node ? node->source().begin : m_table.source().begin, pathOf(key), reason);
}

const toml::node* table_reader::required(std::string_view key)
{
    const auto* node = m_table.get(key);
    if (!node)
        refuse(key, "missing");
    return node;
}

std::string table_reader::text(std::string_view key, std::size_t maxBytes)
{
    const auto* node = required(key);
    if (!node)
        return "";
    const auto* value = node->as_string();
    if (!value) {
        refuse(key, "must be a string, is " + typeText(*node));
        return "";
    }
    if (value->get().size() > maxBytes) {
        refuse(key, "is longer than " + std::to_string(maxBytes) + " bytes");
        return "";
    }
    return value->get();
}

std::string table_reader::name(std::string_view key)
{
    auto value = text(key, limits::deploymentBytes);
    if (!has(key))
        return value;
    const auto reason = nameFault(value);
    if (!reason.empty())
        refuse(key, reason);
    return value;
}

std::int64_t table_reader::integer(std::string_view key, integer_range range)
{
    const auto* node = required(key);
    if (!node)
        return range.low;
    const auto* value = node->as_integer();
    if (!value) {
        refuse(key, "must be an integer (the key names the unit), is " + typeText(*node));
        return range.low;
    }
    const auto number = value->get();
    if (number < range.low || number > range.high) {
        refuse(key,
            std::to_string(number) + " is not between " + std::to_string(range.low) + " and "
                + std::to_string(range.high));
        return range.low;
    }
    return number;
}

std::int64_t table_reader::integerOr(std::string_view key, integer_range range, std::int64_t fallback)
{
    return has(key) ? integer(key, range) : fallback;
}

bool table_reader::booleanOr(std::string_view key, bool fallback)
{
    const auto* node = m_table.get(key);
    if (!node)
        return fallback;
    const auto* value = node->as_boolean();
    if (!value) {
        refuse(key, "must be true or false, is " + typeText(*node));
        return fallback;
    }
    return value->get();
}

std::size_t table_reader::choice(std::string_view key, std::span<const std::string_view> words)
{
    const auto value = text(key, limits::deploymentBytes);
    const auto found = std::find(words.begin(), words.end(), value);
    if (found != words.end())
        return static_cast<std::size_t>(found - words.begin());
    std::string reason = quoted(value.substr(0, limits::nameBytes)) + " is none of";
    for (const auto word : words)
        reason += " " + std::string(word);
    refuse(key, reason);
    return 0;
}

const toml::table* table_reader::table(std::string_view key)
{
    const auto* node = required(key);
    if (!node)
        return nullptr;
    if (!node->is_table())
        refuse(key, "must be a table, is " + typeText(*node));
    return node->as_table();
}

std::vector<std::pair<const toml::table*, std::string>> table_reader::tables(std::string_view key, std::size_t maxCount)
{
    std::vector<std::pair<const toml::table*, std::string>> found;
    const auto* node = m_table.get(key);
    if (!node)
        return found;
    const auto* array = node->as_array();
    if (!array || !array->is_homogeneous(toml::node_type::table)) {
        refuse(key, "must be written as [[" + pathOf(key) + "]]");
        return found;
    }
    if (array->size() > maxCount) {
        refuse(key, std::to_string(array->size()) + " entries; at most " + std::to_string(maxCount) + " are allowed");
        return found;
    }
    for (std::size_t i = 0; i < array->size(); ++i)
        found.emplace_back((*array)[i].as_table(), pathOf(key) + "[" + std::to_string(i) + "]");
    return found;
}

} // namespace poplardeal::detail
