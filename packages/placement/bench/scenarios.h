#pragma once

#include "scenario.h"

namespace poplardeal::bench {

inline const resources workerOfToday { cores(128), mebibytes(262144), accelerators(8) };

inline void addWorkers(scenario& result, const std::string& dataCentre, const std::string& rack, std::int64_t count,
    const resources& capacity)
{
    result.plan.workerPools.push_back({ data_centre_name(dataCentre), rack_name(rack), count, capacity });
    for (std::int64_t i = 0; i < count; ++i) {
        const auto name = rack + "-" + std::to_string(result.workers.size());
        result.workers.push_back(
            { worker_id(name), incarnation(1), data_centre_name(dataCentre), rack_name(rack), capacity });
    }
}

inline workspace workspaceOf(const std::string& name, const resources& quota, std::vector<guaranteed_shape> guarantees,
    const std::vector<template_row>& rows)
{
    workspace result { workspace_name(name), quota, std::move(guarantees), {} };
    for (const auto& row : rows)
        result.jobs.push_back(templateOf(row));
    return result;
}

/// The four workspaces of a deployment of today. `large` scales how often gangs of whole workers are submitted.
inline std::vector<std::pair<workspace, std::vector<template_row>>> workspacesOfToday(double large)
{
    const auto rack = scope::rack;
    const auto single = scope::worker;
    const auto any = scope::anywhere;
    const auto borrowed = job_priority::borrowed;
    const auto guaranteed = job_priority::guaranteed;
    const auto urgent = job_priority::urgent;
    const resources quota { cores(1408), mebibytes(2883584), accelerators(88) };
    const std::vector<template_row> checks { { "photo-check", 2, 32, 8, rack, guaranteed, 600, 6 * large },
        { "label", 1, 8, 1, any, borrowed, 300, 30 }, { "count", 4, 4, 0, any, borrowed, 120, 10 } };
    const std::vector<template_row> rebuild { { "rebuild", 3, 64, 8, rack, borrowed, 1800, 3 * large },
        { "route", 1, 32, 8, single, guaranteed, 600, 8 }, { "probe", 1, 8, 2, any, borrowed, 200, 20 } };
    const std::vector<template_row> settle { { "settle", 1, 16, 4, single, guaranteed, 300, 10 },
        { "recheck", 2, 8, 2, scope::data_centre, borrowed, 600, 12 }, { "alarm", 1, 16, 4, any, urgent, 60, 4 } };
    const std::vector<template_row> study { { "study", 6, 32, 8, any, borrowed, 2400, 1.5 * large },
        { "sample", 1, 8, 1, any, borrowed, 120, 30 }, { "sort", 8, 8, 0, any, borrowed, 300, 6 } };
    const guaranteed_shape pair { 2, accelerators(8), scope::rack, 1 };
    const guaranteed_shape whole { 1, accelerators(8), scope::worker, 2 };
    const guaranteed_shape half { 1, accelerators(4), scope::worker, 2 };
    return { { workspaceOf("checks", quota, { pair }, checks), checks },
        { workspaceOf("rebuild", quota, { whole }, rebuild), rebuild },
        { workspaceOf("settle", quota, { half }, settle), settle }, { workspaceOf("study", quota, {}, study), study } };
}

inline scenario makeToday(
    const std::string& scale, const std::vector<std::string>& dataCentres, double large, std::uint64_t seed)
{
    scenario result;
    result.scale = scale;
    draw random(seed);
    const auto begin = instantFromMicros(1'000'000);
    for (const auto& name : dataCentres)
        result.plan.dataCentres.push_back({ data_centre_name(name), region_name(scale), true });
    for (std::size_t i = 0; i < dataCentres.size(); ++i)
        addWorkers(result, dataCentres[i], dataCentres[i] + "-r1", 3, workerOfToday);
    addWorkers(result, dataCentres[2], dataCentres[2] + "-r2", 2, workerOfToday);
    std::vector<job_source> sources;
    for (const auto& [owner, rows] : workspacesOfToday(large)) {
        result.plan.workspaces.push_back(owner);
        for (const auto& row : rows)
            sources.push_back({ owner.name, templateOf(row), row.weight, drawError(random) });
    }
    const auto gap = meanWork(sources) / (88 * 0.7);
    addSubmissions(result, random, sources, gap, 12h, begin);
    result.changes.push_back({ data_centre_name(dataCentres[1]), begin + 4h, begin + 6h });
    result.outages.push_back({ 0, begin + 2h, begin + 150min });
    result.faults.push_back({ 8, begin + 8h, begin + 9h });
    result.end = begin + 36h;
    return result;
}

/// Stretches the run times so that at the given gap the mean load is 0.85 of 2,100 accelerators and 10,000 tasks run.
inline void fitLoad(deployment& plan, std::vector<job_source>& sources, double gap)
{
    const auto work = meanWork(sources);
    double weight = 0;
    double plainTasks = 0;
    for (const auto& source : sources) {
        weight += source.weight;
        if (source.spec.perTask.accelerator.count() == 0)
            plainTasks += source.weight * source.error * static_cast<double>(source.spec.tasks)
                * static_cast<double>(source.spec.runTime.count()) / 1e6;
    }
    const auto stretchAccelerated = 0.85 * 2100 * gap / work;
    const auto stretchPlain = 10'000 * gap / (plainTasks / weight);
    const auto stretch = [&](job_template& spec) {
        const auto factor = spec.perTask.accelerator.count() > 0 ? stretchAccelerated : stretchPlain;
        spec.runTime = std::chrono::duration_cast<duration>(spec.runTime * factor);
    };
    for (auto& source : sources)
        stretch(source.spec);
    for (auto& owner : plan.workspaces)
        std::ranges::for_each(owner.jobs, stretch);
}

/// 350 teams on 1,400 workers, of which 263 hold 2,100 accelerators, in 5 data centres of 2 regions.
inline scenario makeTwoYears(std::uint64_t seed)
{
    scenario result;
    result.scale = "two-years";
    draw random(seed);
    const auto begin = instantFromMicros(1'000'000);
    const resources plain { cores(128), mebibytes(262144), accelerators(0) };
    for (int i = 0; i < 5; ++i)
        result.plan.dataCentres.push_back(
            { data_centre_name("dc" + std::to_string(i)), region_name(i < 3 ? "r1" : "r2"), true });
    for (int rack = 0; rack < 467; ++rack) {
        const auto centre = "dc" + std::to_string(rack % 5);
        const auto name = centre + "-r" + std::to_string(rack);
        addWorkers(result, centre, name, rack == 466 ? 2 : 3, rack < 87 ? workerOfToday : plain);
    }
    auto last = workerOfToday;
    last.accelerator = accelerators(4);
    addWorkers(result, "dc0", "dc0-last-1", 1, last);
    addWorkers(result, "dc1", "dc1-last-2", 1, workerOfToday);
    const auto any = scope::anywhere;
    const std::vector<template_row> small { { "one", 1, 8, 1, any, job_priority::borrowed, 7200, 3 },
        { "pair", 2, 8, 2, scope::data_centre, job_priority::borrowed, 10800, 2 },
        { "cpu", 16, 8, 0, any, job_priority::borrowed, 14400, 3 } };
    const std::vector<template_row> medium { { "node", 1, 64, 8, scope::worker, job_priority::guaranteed, 14400, 2 },
        { "half", 2, 16, 4, scope::rack, job_priority::borrowed, 7200, 2 },
        { "cpu", 48, 8, 0, any, job_priority::borrowed, 18000, 2 } };
    const std::vector<template_row> large { { "twin", 2, 64, 8, scope::rack, job_priority::guaranteed, 14400, 2 },
        { "train", 16, 64, 8, any, job_priority::borrowed, 10800, 0.4 },
        { "cpu", 128, 8, 0, any, job_priority::borrowed, 14400, 1.5 },
        { "alarm", 1, 32, 4, any, job_priority::urgent, 600, 0.5 } };
    const guaranteed_shape node { 1, accelerators(8), scope::worker, 1 };
    const guaranteed_shape twin { 2, accelerators(8), scope::rack, 1 };
    const resources quota { cores(8192), mebibytes(16777216), accelerators(256) };
    std::vector<job_source> sources;
    for (int i = 0; i < 350; ++i) {
        const auto& rows = i % 7 == 0 ? large : (i % 7 < 3 ? medium : small);
        std::vector<guaranteed_shape> guarantees;
        if (i % 14 == 0)
            guarantees = { twin };
        else if (i % 7 == 1)
            guarantees = { node };
        auto owner = workspaceOf("team" + std::to_string(i), quota, guarantees, rows);
        for (const auto& row : rows) {
            // Declared up to ten times too long or too short; the mean stays near the declared run time.
            const auto error = random.below(2) == 0 ? 0.1 + 0.9 * random.unit() : 1 + random.unit();
            sources.push_back({ owner.name, templateOf(row), row.weight, error });
        }
        result.plan.workspaces.push_back(std::move(owner));
    }
    const auto gap = 86400.0 / 2700;
    fitLoad(result.plan, sources, gap);
    addSubmissions(result, random, sources, gap, 24h, begin);
    result.changes.push_back({ data_centre_name("dc1"), begin + 8h, begin + 10h });
    for (int i = 0; i < 10; ++i)
        result.outages.push_back(
            { static_cast<std::size_t>(random.below(1400)), begin + i * 2h, begin + i * 2h + 30min });
    for (std::size_t i = 0; i < 3; ++i)
        result.faults.push_back({ i * 50, begin + 3h, begin + 5h });
    result.end = begin + 60h;
    return result;
}

} // namespace poplardeal::bench
