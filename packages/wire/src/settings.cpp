#include "settings_table.h"
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <poplardeal/wire/settings.h>
#include <sstream>

namespace poplardeal {
namespace detail {

    static constexpr std::uint32_t maxReplica = 1000;
    static constexpr std::uint32_t maxSlots = 1024;
    static constexpr std::uint32_t maxConnections = 4096;

    static bool isFolder(const std::filesystem::path& path)
    {
        std::error_code error;
        return std::filesystem::is_directory(path, error);
    }

    static void readLog(const settings_table& root, daemon_settings& settings)
    {
        if (root.has("log_level"))
            settings.logLevel
                = static_cast<log_level>(root.choice("log_level", { "debug", "info", "warning", "error" }));
        if (!root.has("log_file"))
            return;
        settings.logFile = root.text("log_file");
        const auto folder = std::filesystem::path(settings.logFile).parent_path();
        if (!folder.empty() && !isFolder(folder))
            root.fault("log_file", "folder '" + folder.string() + "' does not exist");
    }

    static control_peer readPeer(const toml::table& table, settings_faults& faults)
    {
        const settings_table section(table, "control.peer.", { "replica", "listen", "http" }, faults);
        control_peer peer;
        peer.replica = replica_id(section.number("replica", 1, maxReplica));
        peer.listen = section.socket("listen", port_rule::not_zero);
        peer.http = section.socket("http", port_rule::not_zero);
        return peer;
    }

    static std::optional<std::string> sharedWith(const control_peer& a, const control_peer& b)
    {
        if (a.replica == b.replica)
            return "replica " + std::to_string(a.replica.value()) + " is listed twice";
        for (const auto& used : { b.listen, b.http }) {
            if (a.listen == used || a.http == used)
                return toString(used) + " is listed twice";
        }
        return std::nullopt;
    }

    static void readPeers(const settings_table& section, control_settings& control, settings_faults& faults)
    {
        for (const auto* table : section.tables("peer")) {
            auto peer = readPeer(*table, faults);
            for (const auto& earlier : control.peers) {
                if (const auto shared = sharedWith(earlier, peer))
                    faults.add(table->source().begin.line, "control.peer", *shared);
            }
            control.peers.push_back(std::move(peer));
        }
        const control_peer own { control.replica, control.listen, control.http };
        if (std::find(control.peers.begin(), control.peers.end(), own) == control.peers.end())
            section.fault("peer", "must list this replica with the same listen and http addresses");
    }

    static control_settings readControl(const toml::table& table, settings_faults& faults)
    {
        const settings_table section(table, "control.", { "replica", "data_folder", "listen", "http", "peer" }, faults);
        control_settings control;
        control.replica = replica_id(section.number("replica", 1, maxReplica));
        control.dataFolder = section.text("data_folder");
        if (!isFolder(control.dataFolder))
            section.fault("data_folder", "folder '" + control.dataFolder + "' does not exist");
        control.listen = section.socket("listen", port_rule::not_zero);
        control.http = section.socket("http", port_rule::not_zero);
        readPeers(section, control, faults);
        return control;
    }

    static entry_settings readEntry(const toml::table& table, settings_faults& faults)
    {
        const settings_table section(table, "entry.", { "http", "listen", "controls" }, faults);
        entry_settings entry;
        entry.http = section.socket("http", port_rule::any);
        entry.listen = section.socket("listen", port_rule::any);
        entry.controls = section.sockets("controls");
        return entry;
    }

    static void refuseKeys(
        const settings_table& section, std::initializer_list<std::string_view> keys, const std::string& reason)
    {
        for (const auto key : keys) {
            if (section.has(key))
                section.fault(key, reason);
        }
    }

    static void readEndpointKeys(const settings_table& section, sidecar_settings& sidecar)
    {
        refuseKeys(section, { "rack" }, "only for a sidecar beside a worker");
        sidecar.service = service_name(section.name("service"));
        sidecar.entries = section.sockets("entries");
        if (section.has("slots"))
            sidecar.slots = section.number("slots", 1, maxSlots);
        if (section.has("connections"))
            sidecar.connections = section.number("connections", 1, maxConnections);
    }

    static sidecar_settings readSidecar(const toml::table& table, settings_faults& faults)
    {
        const settings_table section(table, "sidecar.",
            { "beside", "target", "controls", "entries", "rack", "service", "slots", "connections", "http" }, faults);
        sidecar_settings sidecar;
        sidecar.beside = static_cast<sidecar_kind>(section.choice("beside", { "worker", "endpoint" }));
        sidecar.target = section.socket("target", port_rule::not_zero);
        sidecar.controls = section.sockets("controls");
        if (sidecar.beside == sidecar_kind::endpoint) {
            readEndpointKeys(section, sidecar);
        } else {
            refuseKeys(
                section, { "entries", "service", "slots", "connections" }, "only for a sidecar beside an endpoint");
            sidecar.rack = rack_name(section.name("rack"));
        }
        if (section.has("http"))
            sidecar.http = section.socket("http", port_rule::any);
        return sidecar;
    }

    static daemon_settings readRoot(const toml::table& table, settings_faults& faults)
    {
        const settings_table root(table, "",
            { "role", "name", "data_centre", "log_file", "log_level", "control", "entry", "sidecar" }, faults);
        daemon_settings settings;
        const std::initializer_list<std::string_view> roles = { "control", "entry", "sidecar" };
        settings.role = static_cast<daemon_role>(root.choice("role", roles));
        settings.name = root.name("name");
        settings.dataCentre = data_centre_name(root.name("data_centre"));
        readLog(root, settings);
        const auto own = roles.begin()[static_cast<std::size_t>(settings.role)];
        for (const auto role : roles) {
            if (role != own && root.has(role))
                root.fault(role, "not used by role " + std::string(own));
        }
        const auto* section = root.table(own);
        if (section == nullptr)
            return settings;
        if (settings.role == daemon_role::control)
            settings.control = readControl(*section, faults);
        else if (settings.role == daemon_role::entry)
            settings.entry = readEntry(*section, faults);
        else
            settings.sidecar = readSidecar(*section, faults);
        return settings;
    }

    static std::optional<std::string> readFile(const std::string& path)
    {
        std::ifstream file(path, std::ios::binary);
        std::ostringstream text;
        if (!file || !(text << file.rdbuf()))
            return std::nullopt;
        return text.str();
    }

} // namespace detail

result<daemon_settings> readSettings(const std::string& path)
{
    const auto text = detail::readFile(path);
    if (!text)
        return failure { failure_code::io_error, path + ":1: file: cannot be read or is empty" };
    return parseSettings(*text, path);
}

result<daemon_settings> parseSettings(const std::string& text, const std::string& source)
{
    detail::settings_faults faults(source);
    try {
        const auto table = toml::parse(text, source);
        auto settings = detail::readRoot(table, faults);
        if (!faults.first())
            return settings;
    } catch (const toml::parse_error& error) {
        faults.add(error.source().begin.line, "syntax", std::string(error.description()));
    }
    return failure { failure_code::invalid_argument, *faults.first() };
}

} // namespace poplardeal
