#include "toml_reader.h"

#include <fstream>
#include <poplardeal/wire/settings.h>
#include <sstream>

namespace poplardeal {
namespace detail {
    namespace {

        constexpr std::size_t maxSettingsBytes = 1024 * 1024;
        constexpr std::int64_t maxReplica = 99;
        constexpr std::size_t maxPeers = 7;
        constexpr std::size_t maxAddresses = 64;
        constexpr std::int64_t maxSlots = 65536;

        log_level readLogLevel(toml_reader& reader)
        {
            const auto text = reader.optionalText("log_level", "info");
            if (text == "debug")
                return log_level::debug;
            if (text == "info")
                return log_level::info;
            if (text == "warning")
                return log_level::warning;
            if (text == "error")
                return log_level::error;
            reader.refuse("log_level", "must be debug, info, warning or error");
        }

        control_peer readPeer(toml_reader reader)
        {
            control_peer peer;
            peer.replica = replica_id(static_cast<std::uint32_t>(reader.integer("replica", 1, maxReplica)));
            peer.listen = reader.address("listen");
            peer.http = reader.address("http");
            reader.refuseUnknownKeys();
            return peer;
        }

        void checkPeers(const toml_reader& reader, const control_settings& control)
        {
            bool foundSelf = false;
            for (std::size_t i = 0; i < control.peers.size(); ++i) {
                foundSelf = foundSelf || control.peers[i].replica == control.replica;
                for (std::size_t j = 0; j < i; ++j) {
                    if (control.peers[i].replica == control.peers[j].replica)
                        reader.refuse(
                            "peer", "replica " + std::to_string(control.peers[i].replica.value()) + " is listed twice");
                }
            }
            if (!foundSelf)
                reader.refuse("peer", "replica " + std::to_string(control.replica.value()) + " itself is not listed");
        }

        control_settings readControl(toml_reader reader)
        {
            control_settings control;
            control.replica = replica_id(static_cast<std::uint32_t>(reader.integer("replica", 1, maxReplica)));
            control.dataFolder = reader.text("data_folder");
            control.listen = reader.address("listen");
            control.http = reader.address("http");
            for (auto& peer : reader.tables("peer", maxPeers))
                control.peers.push_back(readPeer(std::move(peer)));
            checkPeers(reader, control);
            reader.refuseUnknownKeys();
            std::error_code error;
            if (!std::filesystem::is_directory(control.dataFolder, error))
                reader.refuse("data_folder", control.dataFolder.string() + " is not a folder; create it first");
            return control;
        }

        entry_settings readEntry(toml_reader reader)
        {
            entry_settings entry;
            entry.http = reader.address("http");
            entry.listen = reader.address("listen");
            entry.controls = reader.addresses("controls", maxAddresses);
            reader.refuseUnknownKeys();
            return entry;
        }

        sidecar_target readTarget(toml_reader& reader)
        {
            const auto beside = reader.text("beside");
            if (beside == "worker")
                return sidecar_target::worker;
            if (beside == "endpoint")
                return sidecar_target::endpoint;
            reader.refuse("beside", "must be \"worker\" or \"endpoint\"");
        }

        sidecar_settings readSidecar(toml_reader reader)
        {
            sidecar_settings sidecar;
            sidecar.beside = readTarget(reader);
            sidecar.target = reader.address("target");
            sidecar.controls = reader.addresses("controls", maxAddresses);
            if (sidecar.beside == sidecar_target::worker) {
                sidecar.rack = rack_name(reader.text("rack"));
            } else {
                sidecar.entries = reader.addresses("entries", maxAddresses);
                sidecar.service = service_name(reader.text("service"));
                sidecar.slots = static_cast<std::uint32_t>(reader.optionalInteger("slots", 8, 1, maxSlots));
                sidecar.connections
                    = static_cast<std::uint32_t>(reader.optionalInteger("connections", 64, 1, maxSlots));
                if (sidecar.connections < sidecar.slots)
                    reader.refuse("connections", "must be at least slots");
            }
            reader.refuseUnknownKeys();
            return sidecar;
        }

        daemon_settings readDaemon(toml_reader reader)
        {
            daemon_settings settings;
            const auto role = reader.text("role");
            settings.name = reader.text("name");
            settings.dataCentre = data_centre_name(reader.text("data_centre"));
            settings.logFile = reader.optionalText("log_file", "");
            settings.logLevel = readLogLevel(reader);
            if (role == "control")
                settings.control = readControl(reader.table("control"));
            else if (role == "entry")
                settings.entry = readEntry(reader.table("entry"));
            else if (role == "sidecar")
                settings.sidecar = readSidecar(reader.table("sidecar"));
            else
                reader.refuse("role", "must be \"control\", \"entry\" or \"sidecar\"");
            reader.refuseUnknownKeys();
            return settings;
        }

    } // namespace
} // namespace detail

result<daemon_settings> parseSettings(const std::string& toml, const std::string& source)
{
    // The readers report the first mistake by an exception, which ends here.
    try {
        const auto parsed = toml::parse(toml, source);
        return detail::readDaemon(detail::toml_reader(parsed, source, ""));
    } catch (const toml::parse_error& error) {
        return failure { failure_code::invalid_argument,
            source + ":" + std::to_string(error.source().begin.line) + ": " + std::string(error.description()) };
    } catch (const detail::settings_error& error) {
        return failure { failure_code::invalid_argument, error.what() };
    }
}

result<daemon_settings> readSettings(const std::filesystem::path& path)
{
    std::error_code error;
    const auto size = std::filesystem::file_size(path, error);
    if (error)
        return failure { failure_code::invalid_argument, path.string() + ": " + error.message() };
    if (size > detail::maxSettingsBytes)
        return failure { failure_code::invalid_argument, path.string() + ": larger than 1 MiB" };
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
        return failure { failure_code::invalid_argument, path.string() + ": cannot be read" };
    return parseSettings(text.str(), path.string());
}

} // namespace poplardeal
