#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <poplardeal/base/failure.h>
#include <poplardeal/wire/address.h>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

namespace poplardeal::detail {

/// Collects the first fault of a settings file. Reading goes on after a fault with default values.
class settings_faults {
public:
    explicit settings_faults(std::string file)
        : m_file(std::move(file))
    {
    }

    void add(std::size_t line, const std::string& key, const std::string& reason)
    {
        if (!m_first)
            m_first = m_file + ":" + std::to_string(line) + ": " + key + ": " + reason;
    }

    const std::optional<std::string>& first() const { return m_first; }

private:
    std::string m_file;
    std::optional<std::string> m_first;
};

/// Whether an address may leave the choice of the port to the system.
enum class port_rule {
    any,
    not_zero,
};

/// Strict reader of one TOML table: an unknown key, a missing key and a value of a wrong type are faults.
class settings_table {
public:
    settings_table(
        const toml::table&, std::string prefix, std::initializer_list<std::string_view> known, settings_faults&);

    bool has(std::string_view key) const { return m_table.contains(key); }
    void fault(std::string_view key, const std::string& reason) const;

    /// Not empty.
    std::string text(std::string_view key) const;
    /// Letters, digits, '-', '_' and '.', at most 64.
    std::string name(std::string_view key) const;
    bool flag(std::string_view key) const;
    std::uint32_t number(std::string_view key, std::uint32_t least, std::uint32_t most) const;
    address socket(std::string_view key, port_rule) const;
    /// Not empty, each address once.
    std::vector<address> sockets(std::string_view key) const;
    /// The index of the value in `words`.
    std::size_t choice(std::string_view key, std::initializer_list<std::string_view> words) const;
    /// Null if missing or not a table; this is then a fault.
    const toml::table* table(std::string_view key) const;
    /// Empty if missing or not an array of tables; this is then a fault.
    std::vector<const toml::table*> tables(std::string_view key) const;

private:
    const toml::node* find(std::string_view key) const;
    std::string path(std::string_view key) const;
    template <class T> std::optional<T> value(std::string_view key, const char* type) const;
    address readSocket(const toml::node&, std::string_view key, port_rule) const;

    const toml::table& m_table;
    std::string m_prefix;
    settings_faults& m_faults;
};

} // namespace poplardeal::detail
