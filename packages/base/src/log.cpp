#include "line_writer.h"
#include <ctime>
#include <iomanip>
#include <log4cplus/appender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <poplardeal/base/log.h>
#include <poplardeal/base/logical_clock.h>
#include <sstream>
#include <unistd.h>

namespace poplardeal {
namespace detail {

    /// Writes the message as it is: `logEvent` builds the whole JSON line.
    class message_layout final : public log4cplus::Layout {
    public:
        void formatAndAppend(log4cplus::tostream& out, const log4cplus::spi::InternalLoggingEvent& event) override
        {
            out << event.getMessage() << '\n';
        }
    };

    static std::string droppedLine(std::uint64_t count);

    /// Writes to standard output or error without waiting for the reader.
    class console_appender final : public log4cplus::Appender {
    public:
        explicit console_appender(int descriptor)
            : m_writer(descriptor, droppedLine)
        {
        }
        ~console_appender() override { destructorImpl(); }
        void close() override { closed = true; }

    private:
        // log4cplus calls this under its lock.
        void append(const log4cplus::spi::InternalLoggingEvent& event) override { m_writer.write(event.getMessage()); }

        line_writer m_writer;
    };

    struct log_state {
        log4cplus::Initializer initializer;
        log_options options;
        log4cplus::Logger logger;
    };

    static std::unique_ptr<log_state>& logState()
    {
        static std::unique_ptr<log_state> state;
        return state;
    }

    static log4cplus::LogLevel toLog4cplus(log_level level)
    {
        switch (level) {
        case log_level::debug:
            return log4cplus::DEBUG_LOG_LEVEL;
        case log_level::info:
            return log4cplus::INFO_LOG_LEVEL;
        case log_level::warning:
            return log4cplus::WARN_LOG_LEVEL;
        case log_level::error:
            return log4cplus::ERROR_LOG_LEVEL;
        }
        return log4cplus::ERROR_LOG_LEVEL;
    }

    static const char* levelName(log_level level)
    {
        switch (level) {
        case log_level::debug:
            return "debug";
        case log_level::info:
            return "info";
        case log_level::warning:
            return "warning";
        case log_level::error:
            return "error";
        }
        return "error";
    }

    static std::string wallClockText()
    {
        timespec now {};
        clock_gettime(CLOCK_REALTIME, &now);
        std::tm utc {};
        gmtime_r(&now.tv_sec, &utc);
        std::ostringstream out;
        out << std::put_time(&utc, "%Y-%m-%dT%H:%M:%S") << '.' << std::setw(6) << std::setfill('0')
            << now.tv_nsec / 1000 << 'Z';
        return out.str();
    }

    static std::string lineOf(const log_options& options, std::uint64_t clock, log_level level, std::string_view event,
        const nlohmann::json& fields)
    {
        nlohmann::ordered_json line;
        line["time"] = wallClockText();
        line["clock"] = clock;
        line["level"] = levelName(level);
        line["process"] = options.process;
        line["data_centre"] = options.dataCentre;
        line["event"] = event;
        for (const auto& [key, value] : fields.items())
            line[key] = value;
        return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    static std::string droppedLine(std::uint64_t count)
    {
        return lineOf(logState()->options, advanceLogicalClock(), log_level::warning, "log_lines_dropped",
            { { "count", count }, { "reason", "the reader of the log does not keep up" } });
    }

} // namespace detail

void initLogging(const log_options& options)
{
    auto state = std::make_unique<detail::log_state>();
    state->options = options;
    state->logger = log4cplus::Logger::getInstance("poplardeal");
    state->logger.setLogLevel(detail::toLog4cplus(options.level));
    log4cplus::SharedAppenderPtr appender;
    if (options.file.empty())
        appender = new detail::console_appender(options.toStandardOutput ? STDOUT_FILENO : STDERR_FILENO);
    else
        appender = new log4cplus::FileAppender(options.file, std::ios_base::app, true);
    appender->setLayout(std::make_unique<detail::message_layout>());
    state->logger.removeAllAppenders();
    state->logger.addAppender(appender);
    detail::logState() = std::move(state);
}

void logEvent(log_level level, std::string_view event, const nlohmann::json& fields)
{
    auto& state = detail::logState();
    // Advanced for lines below the level too, so that the order of events does not depend on it.
    const auto clock = advanceLogicalClock();
    if (!state || !state->logger.isEnabledFor(detail::toLog4cplus(level)))
        return;
    state->logger.log(detail::toLog4cplus(level), detail::lineOf(state->options, clock, level, event, fields));
}

void logEvent(log_level level, std::string_view event) { logEvent(level, event, nlohmann::json::object()); }

} // namespace poplardeal
