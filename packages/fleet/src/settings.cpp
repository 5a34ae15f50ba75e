#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <poplardeal/fleet/settings.h>
#include <sstream>
#include <toml++/toml.h>

namespace poplardeal {
namespace detail {

    constexpr std::array<std::string_view, 3> roleNames { "queue-control", "queue-entry", "queue-sidecar" };

    /// Reads typed values from a table. Stores the first fault and goes on with default values.
    class fleet_reader {
    public:
        fleet_reader(const toml::table& table, const std::string& source)
            : m_table(table)
            , m_source(source)
        {
        }

        const std::string& fault() const { return m_fault; }

        std::string readString(const char* key, bool required)
        {
            const auto value = m_table[key].value<std::string>();
            if (value && (!required || !value->empty()))
                return *value;
            if (required || m_table.contains(key))
                fail(key, required ? "must be a non-empty string" : "must be a string");
            return {};
        }

        double readNumber(const char* key, double preset, double least, double most)
        {
            if (!m_table.contains(key))
                return preset;
            const auto value = m_table[key].value<double>();
            if (value && *value >= least && *value <= most)
                return *value;
            std::ostringstream reason;
            reason << "must be a number from " << least << " to " << most;
            fail(key, reason.str());
            return preset;
        }

        duration readMilliseconds(const char* key, duration preset, double least, double most)
        {
            const double value
                = readNumber(key, std::chrono::duration<double, std::milli>(preset).count(), least, most);
            return std::chrono::microseconds(static_cast<std::int64_t>(std::llround(value * 1000)));
        }

        duration readSeconds(const char* key, duration preset, double least, double most)
        {
            const double value = readNumber(key, std::chrono::duration<double>(preset).count(), least, most);
            return std::chrono::microseconds(static_cast<std::int64_t>(std::llround(value * 1e6)));
        }

        bool readBool(const char* key)
        {
            const auto value = m_table[key].value<bool>();
            if (!value && m_table.contains(key))
                fail(key, "must be true or false");
            return value.value_or(false);
        }

        address readAddress(const char* key, bool required)
        {
            const auto value = readString(key, required);
            if (value.empty())
                return {};
            const auto parsed = parseAddress(value);
            if (parsed.has_error()) {
                fail(key, parsed.error().message);
                return {};
            }
            return parsed.value();
        }

        std::vector<address> readAddresses(const char* key)
        {
            std::vector<address> out;
            const auto* list = m_table[key].as_array();
            if (list == nullptr || list->empty()) {
                fail(key, "must be a non-empty list of addresses");
                return out;
            }
            for (const auto& item : *list) {
                const auto parsed = parseAddress(item.value_or(std::string()));
                if (parsed.has_error())
                    fail(key, parsed.error().message);
                else if (!isConnectable(parsed.value()))
                    fail(key, "'" + toString(parsed.value()) + "' is no address that a process can connect to");
                else
                    out.push_back(parsed.value());
            }
            return out;
        }

        std::size_t readCount(const char* key, std::size_t preset, double least, double most)
        {
            return static_cast<std::size_t>(readNumber(key, static_cast<double>(preset), least, most));
        }

        void readClientLimits(fleet_settings& out)
        {
            auto& limits = out.clientLimits;
            out.memoryMegabytes = readCount("memory_mb", out.memoryMegabytes, 16, 1e7);
            out.maxDescriptors = readCount("max_fds", out.maxDescriptors, 64, 1e7);
            out.maxConnections = readCount("max_connections", out.maxConnections, 0, 1e7);
            limits.maxHeaderBytes = readCount("max_header_bytes", limits.maxHeaderBytes, 1024, 65000);
            limits.maxHeaderFields = readCount("max_header_fields", limits.maxHeaderFields, 16, 1e6);
            limits.minBytesPerSecond = readCount("min_body_bytes_per_s", limits.minBytesPerSecond, 1, 1e9);
            constexpr double longestTimeoutMs = 3600000;
            limits.headerTimeout = readMilliseconds("header_timeout_ms", limits.headerTimeout, 100, longestTimeoutMs);
            limits.idleTimeout = readMilliseconds("idle_timeout_ms", limits.idleTimeout, 100, longestTimeoutMs);
        }

        template <std::size_t Count>
        std::size_t readChoice(const char* key, const std::array<std::string_view, Count>& allowed)
        {
            const auto value = m_table[key].value_or(std::string());
            for (std::size_t i = 0; i < Count; ++i) {
                if (allowed[i] == value)
                    return i;
            }
            std::string known;
            for (const auto word : allowed)
                known += (known.empty() ? "" : ", ") + std::string(word);
            fail(key, "must be one of " + known);
            return 0;
        }

        bool has(const char* key) const { return m_table.contains(key); }

    private:
        void fail(const char* key, const std::string& reason)
        {
            if (!m_fault.empty())
                return;
            const auto* node = m_table.get(key);
            const auto line = node != nullptr ? node->source().begin.line : m_table.source().begin.line;
            m_fault = m_source + ":" + std::to_string(line) + ": " + key + ": " + reason;
        }

        const toml::table& m_table;
        std::string m_source;
        std::string m_fault;
    };

    static result<std::string> readFile(const std::string& path)
    {
        std::ifstream file(path);
        if (!file)
            return failure { failure_code::io_error, path + ": cannot be read" };
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

} // namespace detail

/// Times of the platform's workers. A limit of 10 minutes is far above what a plan can take into account.
static run_timing readRunTiming(detail::fleet_reader& reader)
{
    constexpr double longestMs = 600000;
    run_timing out;
    out.stop = reader.readMilliseconds("stop_ms", out.stop, 1, longestMs);
    out.checkpointInterval = reader.readSeconds("checkpoint_interval_s", out.checkpointInterval, 0.01, 600);
    out.restore = reader.readMilliseconds("restore_ms", out.restore, 0, longestMs);
    out.gangStart = reader.readMilliseconds("gang_ms", out.gangStart, 1, longestMs);
    out.reclaim = reader.readMilliseconds("reclaim_ms", out.reclaim, 1, longestMs);
    out.notice = reader.readMilliseconds("notice_ms", out.notice, 0, longestMs);
    return out;
}

result<fleet_settings> parseFleetSettings(const std::string& text, const std::string& source)
{
    toml::table table;
    try {
        table = toml::parse(text, source);
    } catch (const toml::parse_error& error) {
        return failure { failure_code::invalid_argument,
            source + ":" + std::to_string(error.source().begin.line) + ": " + std::string(error.description()) };
    }
    detail::fleet_reader reader(table, source);
    fleet_settings out;
    out.role = static_cast<fleet_role>(reader.readChoice("role", detail::roleNames));
    out.name = reader.readString("name", true);
    out.dataCentre = data_centre_name(reader.readString("data_centre", true));
    out.ip = reader.readString("ip", true);
    out.listenIp = reader.readString("listen_ip", false);
    if (out.listenIp.empty())
        out.listenIp = out.ip;
    constexpr double highestPort = 65535;
    out.framePort = static_cast<std::uint16_t>(reader.readNumber("frame_port", 0, 1, highestPort));
    out.metricsPort = static_cast<std::uint16_t>(reader.readNumber("metrics_port", 0, 1, highestPort));
    out.http = reader.readAddress("http", true);
    out.seeds = reader.readAddresses("seeds");
    constexpr double longestLeaseMs = 600000;
    out.leaseLength = reader.readMilliseconds("lease_ms", out.leaseLength, 1000, longestLeaseMs);
    out.stopGrace = reader.readSeconds("stop_grace_s", out.stopGrace, 0.5, 600);
    out.usesExpectedTimes = reader.readBool("uses_expected_times");
    out.distanceFactor = reader.readNumber("distance_factor", out.distanceFactor, 1, 1000);
    if (reader.has("work_order")) {
        constexpr std::array<std::string_view, 2> orders { "deadline", "value" };
        out.workOrder = static_cast<work_order>(reader.readChoice("work_order", orders));
    }
    if (reader.has("log_level")) {
        constexpr std::array<std::string_view, 4> levels { "debug", "info", "warning", "error" };
        out.logLevel = static_cast<log_level>(reader.readChoice("log_level", levels));
    }
    reader.readClientLimits(out);
    switch (out.role) {
    case fleet_role::queue_control:
        out.dataFolder = reader.readString("data_folder", true);
        out.bootstrap = reader.readBool("bootstrap");
        out.toleratedLosses = reader.readCount("tolerated_losses", out.toleratedLosses, 0, 1000);
        out.snapshotEvery = static_cast<std::uint64_t>(
            reader.readNumber("snapshot_every", static_cast<double>(out.snapshotEvery), 1, 1e9));
        out.timing = readRunTiming(reader);
        out.weighsPreemptions = reader.readBool("weighs_preemptions");
        out.separatesInterfering = reader.readBool("separates_interfering");
        break;
    case fleet_role::queue_entry:
        out.ready = reader.readAddress("ready", true);
        break;
    case fleet_role::queue_sidecar:
        out.worker = reader.readAddress("worker", false);
        break;
    }
    if (!reader.fault().empty())
        return failure { failure_code::invalid_argument, reader.fault() };
    return out;
}

result<fleet_settings> readFleetSettings(const std::string& path)
{
    BOOST_OUTCOME_TRY(text, detail::readFile(path));
    return parseFleetSettings(text, path);
}

bool isFleetSettings(const std::string& path)
{
    const auto text = detail::readFile(path);
    if (text.has_error())
        return false;
    try {
        const auto table = toml::parse(text.value(), path);
        const auto role = table["role"].value_or(std::string());
        return std::find(detail::roleNames.begin(), detail::roleNames.end(), role) != detail::roleNames.end();
    } catch (const toml::parse_error&) {
        // The caller then reads the file as other settings, and that reader reports the syntax error with its line.
        return false;
    }
}

} // namespace poplardeal
