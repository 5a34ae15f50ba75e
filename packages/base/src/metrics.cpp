#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <charconv>
#include <cmath>
#include <fstream>
#include <mutex>
#include <poplardeal/base/metrics.h>
#include <stdexcept>
#include <sys/resource.h>
#include <unistd.h>
#include <variant>
#include <vector>

namespace poplardeal {
namespace detail {

    namespace acc = boost::accumulators;

    static constexpr std::array<double, 2> quantiles { 0.5, 0.99 };

    using duration_accumulator = acc::accumulator_set<double,
        acc::stats<acc::tag::count, acc::tag::sum, acc::tag::mean, acc::tag::extended_p_square>>;

} // namespace detail

struct timing::impl {
    /// P-square starts with arbitrary markers; up to this count the quantiles come from the durations themselves.
    static constexpr std::size_t exactCount = 100;

    mutable std::mutex mutex;
    detail::duration_accumulator seconds { detail::acc::tag::extended_p_square::probabilities = detail::quantiles };
    std::vector<double> first;

    double quantile(std::size_t index) const
    {
        if (detail::acc::count(seconds) > exactCount)
            return detail::acc::extended_p_square(seconds)[static_cast<std::ptrdiff_t>(index)];
        auto sorted = first;
        std::sort(sorted.begin(), sorted.end());
        const auto rank = std::ceil(detail::quantiles[index] * static_cast<double>(sorted.size()));
        return sorted[static_cast<std::size_t>(rank) - 1];
    }
};

timing::timing()
    : m_impl(std::make_unique<impl>())
{
}

timing::~timing() = default;

void timing::observe(duration d)
{
    const std::chrono::duration<double> seconds = d;
    const std::lock_guard lock(m_impl->mutex);
    m_impl->seconds(seconds.count());
    if (m_impl->first.size() < impl::exactCount)
        m_impl->first.push_back(seconds.count());
}

timing::summary timing::read() const
{
    const std::lock_guard lock(m_impl->mutex);
    const auto& seconds = m_impl->seconds;
    summary read;
    read.count = detail::acc::count(seconds);
    if (read.count == 0)
        return read;
    read.sum = detail::acc::sum(seconds);
    read.mean = detail::acc::mean(seconds);
    read.p50 = m_impl->quantile(0);
    read.p99 = m_impl->quantile(1);
    return read;
}

namespace detail {

    using series = std::variant<std::unique_ptr<counter>, std::unique_ptr<gauge>, std::unique_ptr<timing>>;

    struct metric_family {
        std::string help;
        std::map<std::string, series> members; ///< By the text of their labels.
    };

    static bool isMetricName(const std::string& name)
    {
        const auto isLetter = [](unsigned char c) { return std::isalpha(c) || c == '_'; };
        const auto isAllowed = [&](unsigned char c) { return isLetter(c) || std::isdigit(c); };
        return !name.empty() && isLetter(name[0]) && std::all_of(name.begin(), name.end(), isAllowed);
    }

    static std::string escape(const std::string& text, bool quotes)
    {
        std::string escaped;
        for (const char c : text) {
            if (c == '\\' || (quotes && c == '"'))
                escaped += '\\';
            escaped += c == '\n' ? "\\n" : std::string(1, c);
        }
        return escaped;
    }

    /// For instance `a="1",b="2"`.
    static std::string labelText(const metric_labels& labels)
    {
        std::string text;
        for (const auto& [name, value] : labels) {
            if (!isMetricName(name))
                throw std::invalid_argument("malformed label name '" + name + "'");
            text += (text.empty() ? "" : ",") + name + "=\"" + escape(value, true) + "\"";
        }
        return text;
    }

    static std::string numberText(double value)
    {
        std::array<char, 32> text {};
        const auto end = std::to_chars(text.data(), text.data() + text.size(), value).ptr;
        return { text.data(), end };
    }

    static void addLine(std::string& out, const std::string& name, const std::string& labels, const std::string& value)
    {
        out += name + (labels.empty() ? "" : "{" + labels + "}") + " " + value + "\n";
    }

    static void addHead(std::string& out, const std::string& name, const std::string& help, const char* type)
    {
        out += "# HELP " + name + " " + escape(help, false) + "\n# TYPE " + name + " " + type + "\n";
    }

    static void addTiming(std::string& out, const std::string& name, const std::string& labels, const timing& t)
    {
        const auto summary = t.read();
        const auto prefix = labels.empty() ? "" : labels + ",";
        if (summary.count > 0) {
            addLine(out, name, prefix + "quantile=\"0.5\"", numberText(summary.p50));
            addLine(out, name, prefix + "quantile=\"0.99\"", numberText(summary.p99));
        }
        addLine(out, name + "_sum", labels, numberText(summary.sum));
        addLine(out, name + "_count", labels, std::to_string(summary.count));
    }

    static const char* typeName(const series& s)
    {
        constexpr std::array names { "counter", "gauge", "summary" };
        return names[s.index()];
    }

    static void addSeries(std::string& out, const std::string& name, const std::string& labels, const series& s)
    {
        if (const auto* c = std::get_if<std::unique_ptr<counter>>(&s))
            addLine(out, name, labels, std::to_string((*c)->value()));
        else if (const auto* g = std::get_if<std::unique_ptr<gauge>>(&s))
            addLine(out, name, labels, numberText((*g)->value()));
        else
            addTiming(out, name, labels, *std::get<std::unique_ptr<timing>>(s));
    }

} // namespace detail

struct metrics_registry::impl {
    mutable std::mutex mutex;
    std::map<std::string, detail::metric_family> families;

    template <class Metric> Metric& get(const std::string& name, const std::string& help, const metric_labels& labels)
    {
        if (!detail::isMetricName(name))
            throw std::invalid_argument("malformed metric name '" + name + "'");
        auto text = detail::labelText(labels);
        const std::lock_guard lock(mutex);
        auto& family = families[name];
        if (!family.members.contains(text) && family.members.size() >= maxSeries)
            text = "overflow=\"true\"";
        if (family.members.empty())
            family.help = help;
        else if (!std::holds_alternative<std::unique_ptr<Metric>>(family.members.begin()->second))
            throw std::invalid_argument("metric '" + name + "' has another type");
        auto found = family.members.find(text);
        if (found == family.members.end())
            found = family.members.emplace(text, std::make_unique<Metric>()).first;
        return *std::get<std::unique_ptr<Metric>>(found->second);
    }
};

metrics_registry::metrics_registry()
    : m_impl(std::make_unique<impl>())
{
}

metrics_registry::~metrics_registry() = default;

counter& metrics_registry::getCounter(const std::string& name, const std::string& help, const metric_labels& labels)
{
    return m_impl->get<counter>(name, help, labels);
}

gauge& metrics_registry::getGauge(const std::string& name, const std::string& help, const metric_labels& labels)
{
    return m_impl->get<gauge>(name, help, labels);
}

timing& metrics_registry::getTiming(const std::string& name, const std::string& help, const metric_labels& labels)
{
    return m_impl->get<timing>(name, help, labels);
}

std::string metrics_registry::exposition() const
{
    std::string out;
    const std::lock_guard lock(m_impl->mutex);
    for (const auto& [name, family] : m_impl->families) {
        detail::addHead(out, name, family.help, detail::typeName(family.members.begin()->second));
        for (const auto& [labels, member] : family.members)
            detail::addSeries(out, name, labels, member);
    }
    const std::chrono::duration<double> cpu = processCpuTime();
    detail::addHead(out, "process_cpu_seconds_total", "User and system CPU time", "counter");
    detail::addLine(out, "process_cpu_seconds_total", "", detail::numberText(cpu.count()));
    detail::addHead(out, "process_resident_memory_bytes", "Resident memory", "gauge");
    detail::addLine(out, "process_resident_memory_bytes", "", std::to_string(processResidentMemory()));
    return out;
}

duration processCpuTime()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    const auto toDuration
        = [](const timeval& t) { return duration(std::chrono::seconds(t.tv_sec)) + duration(t.tv_usec); };
    return toDuration(usage.ru_utime) + toDuration(usage.ru_stime);
}

std::uint64_t processResidentMemory()
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    if (!(file >> total >> resident))
        return 0;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

} // namespace poplardeal
