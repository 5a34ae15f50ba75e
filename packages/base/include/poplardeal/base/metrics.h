#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <poplardeal/base/time.h>
#include <string>

namespace poplardeal {

using metric_labels = std::map<std::string, std::string>;

/// A number that only grows.
class counter {
public:
    void add(std::uint64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value { 0 };
};

/// A number that goes up and down.
class gauge {
public:
    void set(double value) { m_value.store(value, std::memory_order_relaxed); }
    double value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value { 0 };
};

/// Count, sum, mean and quantiles of durations since the start of the process. Quantiles are estimates (P-square),
/// which take constant memory; with fewer than about 100 durations they are rough.
class timing {
public:
    timing();
    ~timing();
    timing(const timing&) = delete;
    timing& operator=(const timing&) = delete;

    void observe(duration);

    struct summary {
        std::uint64_t count { 0 };
        double sum { 0 }; ///< Seconds, like the other members.
        double mean { 0 }; ///< The members from here on are 0 without durations.
        double p50 { 0 };
        double p99 { 0 };
    };
    summary read() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

/// The metrics of a process, for `GET /metrics`. Metrics are made at their first use and live as long as the registry.
/// Safe to use from several threads.
///
///     metrics_registry metrics;
///     auto& requests = metrics.getCounter("poplardeal_requests_total", "Requests by verdict", { { "verdict", "ran" }
///     }); requests.add(); respond({ 200, { { "content-type", metrics_registry::contentType } }, metrics.exposition()
///     });
class metrics_registry {
public:
    metrics_registry();
    ~metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;

    /// The metric with this name and these labels. Throws `std::invalid_argument` on a malformed name and if the name
    /// is used for another type. Above `maxSeries` sets of labels for a name, further sets share the one series
    /// {overflow="true"}, so that labels taken from requests cannot fill the memory.
    counter& getCounter(const std::string& name, const std::string& help, const metric_labels& labels = {});
    gauge& getGauge(const std::string& name, const std::string& help, const metric_labels& labels = {});
    /// The name ends in `_seconds`.
    timing& getTiming(const std::string& name, const std::string& help, const metric_labels& labels = {});

    /// All metrics in the Prometheus text format, with `process_cpu_seconds_total` and `process_resident_memory_bytes`.
    std::string exposition() const;

    static constexpr const char* contentType = "text/plain; version=0.0.4; charset=utf-8";
    static constexpr std::size_t maxSeries = 1000;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

/// CPU time of this process, user and system.
duration processCpuTime();

/// Memory of this process that is in RAM, in bytes; 0 if the system does not tell.
std::uint64_t processResidentMemory();

} // namespace poplardeal
