#pragma once

#include <algorithm>
#include <cmath>
#include <poplardeal/placement/events.h>
#include <random>
#include <string>
#include <vector>

namespace poplardeal::bench {

using namespace std::chrono_literals;

struct submission {
    instant at;
    job_id id;
    workspace_name workspace;
    job_name job;
    duration runTime; ///< Actual; the scheduler knows only the declared one.
};

struct cancellation {
    instant at;
    job_id id;
};

struct data_centre_change {
    data_centre_name name;
    instant out;
    instant in;
};

/// The worker answers nothing from `at` on, is declared lost 20 s later, and joins again at `back`.
struct worker_outage {
    std::size_t worker { 0 };
    instant at;
    instant back;
};

/// All tasks on the worker fail between the two moments.
struct worker_fault {
    std::size_t worker { 0 };
    instant from;
    instant to;
};

/// Everything that both schedulers are given. The same seed gives the same scenario.
struct scenario {
    std::string scale;
    deployment plan;
    std::vector<worker_spec> workers;
    std::vector<submission> submissions;
    std::vector<cancellation> cancellations;
    std::vector<data_centre_change> changes;
    std::vector<worker_outage> outages;
    std::vector<worker_fault> faults;
    instant end; ///< Jobs still unfinished then count with their age.
};

/// Draws from a generator whose results do not depend on the standard library.
class draw {
public:
    explicit draw(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    std::int64_t below(std::int64_t bound)
    {
        return static_cast<std::int64_t>(m_engine() % static_cast<std::uint64_t>(bound));
    }
    double unit() { return static_cast<double>(m_engine() >> 11) * 0x1.0p-53; }

private:
    std::mt19937_64 m_engine;
};

struct template_row {
    const char* name;
    std::int64_t tasks;
    std::int64_t cpu;
    std::int64_t accelerator;
    scope within;
    job_priority priority;
    std::int64_t declaredSeconds;
    double weight; ///< Relative frequency.
};

inline job_template templateOf(const template_row& row)
{
    return { job_name(row.name), row.tasks,
        { cores(row.cpu), mebibytes(row.cpu * 2048), accelerators(row.accelerator) }, row.within, row.priority,
        std::chrono::seconds(row.declaredSeconds), 3, row.name };
}

/// One kind of submission with the factor by which its declared run time is wrong, from 0.1 to 10.
struct job_source {
    workspace_name workspace;
    job_template spec;
    double weight { 1 };
    double error { 1 };
};

/// Error factors are drawn on a logarithmic scale and then shifted so that long jobs stay within the scenario.
inline double drawError(draw& random) { return std::pow(10.0, random.unit() * 2 - 1); }

/// Submissions at the given mean load (share of all accelerators), a third of them in bursts of one kind.
inline void addSubmissions(scenario& result, draw& random, const std::vector<job_source>& sources, double meanGap,
    duration length, instant begin)
{
    double total = 0;
    for (const auto& source : sources)
        total += source.weight;
    const auto pick = [&] {
        auto mark = random.unit() * total;
        for (const auto& source : sources) {
            mark -= source.weight;
            if (mark < 0)
                return &source;
        }
        return &sources.back();
    };
    auto now = begin;
    while (now < begin + length) {
        const auto burst = random.below(12) == 0 ? 6 + random.below(10) : 1;
        const auto* source = pick();
        for (std::int64_t i = 0; i < burst; ++i) {
            const job_id id(result.submissions.size() + 1);
            const auto actual = std::chrono::duration_cast<duration>(
                source->spec.runTime * source->error * (0.7 + 0.6 * random.unit()));
            result.submissions.push_back({ now, id, source->workspace, source->spec.name, actual });
            if (random.below(25) == 0)
                result.cancellations.push_back({ now + std::chrono::seconds(random.below(3600)), id });
        }
        const auto gap = -std::log(1 - random.unit()) * meanGap * static_cast<double>(burst);
        now += std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap));
    }
}

/// Mean accelerator-seconds of one submission.
inline double meanWork(const std::vector<job_source>& sources)
{
    double work = 0;
    double weight = 0;
    for (const auto& source : sources) {
        const auto width = static_cast<double>(source.spec.tasks * source.spec.perTask.accelerator.count());
        work += source.weight * width * source.error * static_cast<double>(source.spec.runTime.count()) / 1e6;
        weight += source.weight;
    }
    return work / weight;
}

} // namespace poplardeal::bench
