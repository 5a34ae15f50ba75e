#include "settings_table.h"
#include <algorithm>
#include <cctype>

namespace poplardeal::detail {

static std::size_t lineOf(const toml::node& node) { return std::max<std::size_t>(1, node.source().begin.line); }

settings_table::settings_table(const toml::table& table, std::string prefix,
    std::initializer_list<std::string_view> known, settings_faults& faults)
    : m_table(table)
    , m_prefix(std::move(prefix))
    , m_faults(faults)
{
    for (const auto& [key, node] : table) {
        if (std::find(known.begin(), known.end(), key.str()) == known.end())
            m_faults.add(key.source().begin.line, path(key.str()), "unknown key");
    }
}

std::string settings_table::path(std::string_view key) const { return m_prefix + std::string(key); }

void settings_table::fault(std::string_view key, const std::string& reason) const
{
    const auto* node = m_table.get(key);
    m_faults.add(lineOf(node ? *node : m_table), path(key), reason);
}

const toml::node* settings_table::find(std::string_view key) const
{
    const auto* node = m_table.get(key);
    if (node == nullptr)
        fault(key, "missing");
    return node;
}

template <class T> std::optional<T> settings_table::value(std::string_view key, const char* type) const
{
    const auto* node = find(key);
    if (node == nullptr)
        return std::nullopt;
    auto read = node->value_exact<T>();
    if (!read)
        fault(key, std::string("must be ") + type);
    return read;
}

std::string settings_table::text(std::string_view key) const
{
    auto read = value<std::string>(key, "a string");
    if (read && read->empty())
        fault(key, "must not be empty");
    return read.value_or("");
}

std::string settings_table::name(std::string_view key) const
{
    constexpr std::size_t longest = 64;
    const auto isNameCharacter = [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; };
    auto read = text(key);
    if (read.size() > longest || !std::all_of(read.begin(), read.end(), isNameCharacter))
        fault(key, "must be at most 64 letters, digits, '-', '_' or '.'");
    return read;
}

bool settings_table::flag(std::string_view key) const { return value<bool>(key, "true or false").value_or(false); }

std::uint32_t settings_table::number(std::string_view key, std::uint32_t least, std::uint32_t most) const
{
    const auto read = value<std::int64_t>(key, "a whole number");
    if (!read)
        return least;
    if (*read < least || *read > most) {
        fault(key, "must be from " + std::to_string(least) + " to " + std::to_string(most));
        return least;
    }
    return static_cast<std::uint32_t>(*read);
}

address settings_table::readSocket(const toml::node& node, std::string_view key, port_rule rule) const
{
    const auto text = node.value_exact<std::string>();
    if (!text) {
        m_faults.add(lineOf(node), path(key), "must be a string \"IP:PORT\"");
        return {};
    }
    auto parsed = parseAddress(*text);
    if (parsed.has_error()) {
        m_faults.add(lineOf(node), path(key), parsed.error().message);
        return {};
    }
    if (rule == port_rule::not_zero && parsed.value().port == 0)
        m_faults.add(lineOf(node), path(key), "the port must not be 0");
    return parsed.value();
}

address settings_table::socket(std::string_view key, port_rule rule) const
{
    const auto* node = find(key);
    return node ? readSocket(*node, key, rule) : address {};
}

std::vector<address> settings_table::sockets(std::string_view key) const
{
    std::vector<address> read;
    const auto* node = find(key);
    if (node == nullptr)
        return read;
    if (!node->is_array() || node->as_array()->empty()) {
        fault(key, "must be a list of at least one \"IP:PORT\"");
        return read;
    }
    for (const auto& element : *node->as_array()) {
        auto one = readSocket(element, key, port_rule::not_zero);
        if (std::find(read.begin(), read.end(), one) != read.end())
            m_faults.add(lineOf(element), path(key), toString(one) + " is listed twice");
        read.push_back(std::move(one));
    }
    return read;
}

std::size_t settings_table::choice(std::string_view key, std::initializer_list<std::string_view> words) const
{
    const auto read = value<std::string>(key, "a string");
    if (!read)
        return 0;
    const auto found = std::find(words.begin(), words.end(), *read);
    if (found != words.end())
        return static_cast<std::size_t>(found - words.begin());
    std::string list;
    for (const auto word : words)
        list += (list.empty() ? "" : ", ") + std::string(word);
    fault(key, "must be one of " + list);
    return 0;
}

const toml::table* settings_table::table(std::string_view key) const
{
    const auto* node = find(key);
    if (node != nullptr && !node->is_table())
        fault(key, "must be a table");
    return node ? node->as_table() : nullptr;
}

std::vector<const toml::table*> settings_table::tables(std::string_view key) const
{
    std::vector<const toml::table*> read;
    const auto* node = find(key);
    if (node == nullptr)
        return read;
    if (!node->is_array_of_tables()) {
        fault(key, "must be a list of tables");
        return read;
    }
    for (const auto& element : *node->as_array())
        read.push_back(element.as_table());
    return read;
}

} // namespace poplardeal::detail
