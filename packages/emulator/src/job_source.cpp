#include "job_source.h"
#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <numeric>

namespace poplardeal::emulator {

namespace {

    constexpr double coresPerAccelerator = 8;
    constexpr double baseValueShare = 0.3; ///< Of a job's value; the rest is in proportion to its work.
    constexpr double maxSizeFactor = 4;

    double drawNormal(std::mt19937_64& random)
    {
        constexpr double pi = 3.14159265358979323846;
        const double radius = std::sqrt(-2 * std::log(1 - drawUniform(random)));
        return radius * std::cos(2 * pi * drawUniform(random));
    }

    /// Log-normal with mean 1.
    double drawFactor(double spread, std::mt19937_64& random)
    {
        return std::exp(spread * drawNormal(random) - spread * spread / 2);
    }

    /// Arrival rate of a queue's jobs by workspace, relative to the usual rate of all of them.
    std::vector<double> workspaceRates(const scenario& load, const std::string& queue, duration at)
    {
        std::vector<double> out;
        double sum = 0;
        for (std::size_t i = 0; i < load.workspaces; ++i)
            sum += out.emplace_back(std::pow(static_cast<double>(i + 1), -load.workspaceSkew));
        for (std::size_t i = 0; i < load.workspaces; ++i) {
            out[i] /= sum;
            for (const auto& each : load.disturbances) {
                if (each.kind == disturbance_kind::burst && (each.queue.empty() || each.queue == queue) && at >= each.at
                    && at < each.at + each.length && each.workspace.value_or(i) == i)
                    out[i] *= each.factor;
            }
        }
        return out;
    }

    std::size_t drawIndex(const std::vector<double>& rates, std::mt19937_64& random)
    {
        double left = drawUniform(random) * std::accumulate(rates.begin(), rates.end(), 0.0);
        std::size_t out = 0;
        while (out + 1 < rates.size() && left >= rates[out])
            left -= rates[out++];
        return out;
    }

    duration scaled(duration d, double factor)
    {
        return duration(static_cast<duration::rep>(static_cast<double>(d.count()) * factor));
    }

    emulated_job drawJob(const scenario& load, std::size_t kindIndex, const std::vector<double>& rates, instant at,
        std::mt19937_64& random)
    {
        const auto& kind = load.kinds[kindIndex];
        emulated_job out;
        out.kind = kindIndex;
        out.arrivesAt = at;
        out.workspace = workspace_name("w" + std::to_string(drawIndex(rates, random)));
        step_spec step;
        const double width = kind.meanWidth * drawFactor(kind.widthSpread, random);
        step.count = std::clamp(static_cast<std::uint32_t>(std::lround(width)), 1U, kind.maxWidth);
        const auto perTask = kind.accelerators[random() % kind.accelerators.size()];
        step.need = { kind.cpu, kind.memory, accelerators(perTask) };
        step.gang = kind.gang && step.count > 1;
        step.rackLocal = drawUniform(random) < kind.rackLocalShare;
        step.checkpointable = drawUniform(random) < kind.checkpointableShare;
        const auto runTime
            = std::min(scaled(kind.meanRunTime, drawFactor(kind.runTimeSpread, random)), kind.maxRunTime);
        step.estimate = scaled(runTime, drawFactor(kind.estimateError, random));
        duration longest { 0 };
        for (std::uint32_t i = 0; i < step.count; ++i) {
            out.runTimes.push_back(std::min(scaled(runTime, drawFactor(kind.taskSpread, random)), kind.maxRunTime));
            if (kind.longTaskShare > 0 && drawUniform(random) < kind.longTaskShare)
                out.runTimes.back() = scaled(out.runTimes.back(), kind.longTaskFactor);
            longest = std::max(longest, out.runTimes.back());
            out.work += coreWeight(step.need) * std::chrono::duration<double>(out.runTimes.back()).count();
        }
        out.objective = scaled(longest, kind.stretch) + kind.allowance;
        out.spec.steps = { std::move(step) };
        return out;
    }

    void setValues(const scenario& load, std::vector<emulated_job>& jobs)
    {
        for (std::size_t kind = 0; kind < load.kinds.size(); ++kind) {
            double work = 0;
            std::size_t count = 0;
            for (const auto& job : jobs) {
                work += job.kind == kind ? job.work : 0;
                count += job.kind == kind ? 1 : 0;
            }
            for (auto& job : jobs) {
                if (job.kind != kind)
                    continue;
                const double size = baseValueShare
                    + (1 - baseValueShare) * job.work * static_cast<double>(count) / std::max(work, 1.0);
                job.value = load.kinds[kind].value * std::min(size, maxSizeFactor);
                job.lateValue = load.kinds[kind].lateValue * std::min(size, maxSizeFactor);
            }
        }
    }

} // namespace

double drawUniform(std::mt19937_64& random)
{
    constexpr double unit = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(random() >> 11U) * unit;
}

double coreWeight(const demand& need)
{
    return static_cast<double>(need.cpu.count()) / 1000
        + coresPerAccelerator * static_cast<double>(need.accelerator.count());
}

std::vector<emulated_job> drawJobs(const scenario& load, instant start, std::mt19937_64& random)
{
    std::vector<emulated_job> out;
    for (std::size_t kind = 0; kind < load.kinds.size(); ++kind) {
        duration at { 0 };
        while (true) {
            const auto rates = workspaceRates(load, load.kinds[kind].queue, at);
            const double rate = load.kinds[kind].jobsPerSecond * std::accumulate(rates.begin(), rates.end(), 0.0);
            at += scaled(std::chrono::seconds(1), -std::log(1 - drawUniform(random)) / rate);
            if (at >= load.length)
                break;
            out.push_back(drawJob(load, kind, rates, start + at, random));
        }
    }
    std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.arrivesAt < b.arrivesAt; });
    for (std::size_t i = 0; i < out.size(); ++i) {
        std::array<char, 17> id {};
        std::snprintf(id.data(), id.size(), "%016zx", i + 1);
        out[i].id = submission_id(id.data());
    }
    setValues(load, out);
    return out;
}

} // namespace poplardeal::emulator
