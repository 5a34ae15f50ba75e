#pragma once

#include <cstdint>
#include <poplardeal/wire/address.h>
#include <set>
#include <stdexcept>
#include <string>
#include <toml++/toml.h>
#include <vector>

namespace poplardeal::detail {

/// A mistake in a settings file: "FILE:LINE: KEY: reason".
class settings_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Reads the keys of one table and notes which were read, so that unknown ones can be refused. Throws `settings_error`.
class toml_reader {
public:
    toml_reader(const toml::table&, std::string source, std::string prefix);

    std::string text(const std::string& key);
    std::string optionalText(const std::string& key, std::string fallback);
    std::int64_t integer(const std::string& key, std::int64_t least, std::int64_t most);
    std::int64_t optionalInteger(const std::string& key, std::int64_t fallback, std::int64_t least, std::int64_t most);
    poplardeal::address address(const std::string& key);
    std::vector<poplardeal::address> addresses(const std::string& key, std::size_t most);
    toml_reader table(const std::string& key);
    std::vector<toml_reader> tables(const std::string& key, std::size_t most);

    void refuseUnknownKeys() const;
    [[noreturn]] void refuse(const std::string& key, const std::string& reason) const;

private:
    const toml::node& required(const std::string& key);
    poplardeal::address readAddress(const std::string& key, const toml::node&) const;

    const toml::table* m_table;
    std::string m_source;
    std::string m_prefix;
    std::set<std::string> m_read;
};

} // namespace poplardeal::detail
