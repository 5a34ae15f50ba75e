#include "toml_reader.h"

namespace poplardeal::detail {

toml_reader::toml_reader(const toml::table& table, std::string source, std::string prefix)
    : m_table(&table)
    , m_source(std::move(source))
    , m_prefix(std::move(prefix))
{
}

void toml_reader::refuse(const std::string& key, const std::string& reason) const
{
    const auto* node = m_table->get(key);
    const auto line = node ? node->source().begin.line : m_table->source().begin.line;
    throw settings_error(m_source + ":" + std::to_string(line) + ": " + m_prefix + key + ": " + reason);
}

const toml::node& toml_reader::required(const std::string& key)
{
    m_read.insert(key);
    const auto* node = m_table->get(key);
    if (!node)
        refuse(key, "is missing");
    return *node;
}

std::string toml_reader::text(const std::string& key)
{
    const auto value = required(key).value_exact<std::string>();
    if (!value || value->empty())
        refuse(key, "must be a text that is not empty");
    return *value;
}

std::string toml_reader::optionalText(const std::string& key, std::string fallback)
{
    return m_table->contains(key) ? text(key) : fallback;
}

std::int64_t toml_reader::integer(const std::string& key, std::int64_t least, std::int64_t most)
{
    const auto value = required(key).value_exact<std::int64_t>();
    if (!value || *value < least || *value > most)
        refuse(key, "must be a whole number from " + std::to_string(least) + " to " + std::to_string(most));
    return *value;
}

std::int64_t toml_reader::optionalInteger(
    const std::string& key, std::int64_t fallback, std::int64_t least, std::int64_t most)
{
    return m_table->contains(key) ? integer(key, least, most) : fallback;
}

poplardeal::address toml_reader::readAddress(const std::string& key, const toml::node& node) const
{
    const auto text = node.value_exact<std::string>();
    if (!text)
        refuse(key, "must be an address such as \"127.0.0.1:7001\"");
    const auto parsed = parseAddress(*text);
    if (parsed.has_error())
        refuse(key, parsed.error().message);
    return parsed.value();
}

poplardeal::address toml_reader::address(const std::string& key) { return readAddress(key, required(key)); }

std::vector<poplardeal::address> toml_reader::addresses(const std::string& key, std::size_t most)
{
    const auto* list = required(key).as_array();
    if (!list || list->empty() || list->size() > most)
        refuse(key, "must be a list of 1 to " + std::to_string(most) + " addresses");
    std::vector<poplardeal::address> read;
    for (const auto& node : *list)
        read.push_back(readAddress(key, node));
    return read;
}

toml_reader toml_reader::table(const std::string& key)
{
    const auto* inner = required(key).as_table();
    if (!inner)
        refuse(key, "must be a table");
    return { *inner, m_source, m_prefix + key + "." };
}

std::vector<toml_reader> toml_reader::tables(const std::string& key, std::size_t most)
{
    const auto* list = required(key).as_array();
    if (!list || !list->is_array_of_tables() || list->size() > most)
        refuse(key, "must be 1 to " + std::to_string(most) + " tables [[" + m_prefix + key + "]]");
    std::vector<toml_reader> readers;
    for (const auto& node : *list)
        readers.emplace_back(*node.as_table(), m_source, m_prefix + key + ".");
    return readers;
}

void toml_reader::refuseUnknownKeys() const
{
    for (const auto& [key, node] : *m_table) {
        if (!m_read.contains(std::string(key.str())))
            refuse(std::string(key.str()), "is not a known key");
    }
}

} // namespace poplardeal::detail
