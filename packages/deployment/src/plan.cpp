#include "text.h"

#include <algorithm>
#include <filesystem>
#include <iostream>
#include <poplardeal/deployment/plan.h>
#include <poplardeal/deployment/toml.h>

namespace poplardeal {
namespace detail {

    // Called in ill-formed constant expressions only, which never run.
    void mistakeInPlan(const char*) { }

    static constexpr std::int64_t mibPerGib = 1024;

    static mebibytes toMebibytes(gibibytes memory) { return mebibytes(memory.count() * mibPerGib); }

    static scope toScope(block_scope within)
    {
        switch (within) {
        case block_scope::worker:
            return scope::worker;
        case block_scope::rack:
            return scope::rack;
        case block_scope::data_centre:
            return scope::data_centre;
        }
        return scope::data_centre;
    }

    static std::int64_t guaranteedAccelerators(const workspace& owner)
    {
        std::int64_t sum = 0;
        for (const auto& shape : owner.guarantees)
            sum += shape.blocks * shape.blockAccelerators.count() * shape.count;
        return sum;
    }

} // namespace detail

plan_name madeName(std::string_view text)
{
    plan_name name;
    name.keep(text);
    return name;
}

plan::plan(plan_name name) { m_deployment.name = name.text(); }

void plan::expect(bool holds, const location& where, const std::string& subject, const std::string& reason)
{
    if (holds)
        return;
    const auto file = std::filesystem::path(where.file).filename().string();
    m_mistakes.push_back(file + ":" + std::to_string(where.line) + ": " + subject + ": " + reason);
}

template <class Entry>
void plan::expectNewName(
    const std::vector<Entry>& entries, const std::string& name, const std::string& subject, const location& where)
{
    const auto fault = detail::nameFault(name);
    expect(fault.empty(), where, subject, fault);
    const bool isTaken
        = std::any_of(entries.begin(), entries.end(), [&](const Entry& entry) { return entry.name.value() == name; });
    expect(!isTaken, where, subject, "this name is used twice");
}

void plan::expectAmount(std::int64_t amount, std::int64_t low, std::int64_t high, const std::string& what,
    const std::string& subject, const location& where)
{
    expect(amount >= low && amount <= high, where, subject,
        what + ": " + std::to_string(amount) + " is not between " + std::to_string(low) + " and "
            + std::to_string(high));
}

template <class Tag> bool plan::isMine(plan_handle<Tag> handle, const std::string& subject, const location& where)
{
    expect(handle.m_owner == this, where, subject, "the handle belongs to another plan");
    return handle.m_owner == this;
}

region_handle plan::addRegion(plan_name name, location where)
{
    expectNewName(m_deployment.regions, name.text(), "region " + detail::quoted(name.text()), where);
    m_deployment.regions.push_back({ region_name(name.text()) });
    return { this, m_deployment.regions.size() - 1 };
}

data_centre_handle plan::addDataCentre(region_handle region, plan_name name, location where)
{
    const auto subject = "data centre " + detail::quoted(name.text());
    expectNewName(m_deployment.dataCentres, name.text(), subject, where);
    data_centre added { data_centre_name(name.text()), {}, true };
    if (isMine(region, subject, where))
        added.region = m_deployment.regions[region.m_index].name;
    m_deployment.dataCentres.push_back(std::move(added));
    return { this, m_deployment.dataCentres.size() - 1 };
}

void plan::takeOutOfService(data_centre_handle dataCentre, location where)
{
    if (isMine(dataCentre, "takeOutOfService", where))
        m_deployment.dataCentres[dataCentre.m_index].inService = false;
}

void plan::addWorkers(data_centre_handle dataCentre, const workers_spec& spec, location where)
{
    const auto rack = spec.rack.text();
    const auto subject = "workers of rack " + detail::quoted(rack);
    const auto fault = detail::nameFault(rack);
    expect(fault.empty(), where, subject, fault);
    expectAmount(spec.count.value(), 1, limits::workersPerPool, "count", subject, where);
    expectAmount(spec.cpu.value().count(), 1, limits::workerCores, "cores", subject, where);
    expectAmount(
        spec.memory.value().count(), 1, limits::workerMemoryMib / detail::mibPerGib, "memory in GiB", subject, where);
    expectAmount(spec.accelerator.value().count(), 0, limits::workerAccelerators, "accelerators", subject, where);
    if (!isMine(dataCentre, subject, where))
        return;
    const auto& place = m_deployment.dataCentres[dataCentre.m_index].name;
    const bool isElsewhere = std::any_of(m_deployment.workerPools.begin(), m_deployment.workerPools.end(),
        [&](const worker_pool& pool) { return pool.rack.value() == rack && pool.dataCentre != place; });
    expect(!isElsewhere, where, subject, "the rack is already in another data centre");
    m_deployment.workerPools.push_back({ place, rack_name(rack), spec.count.value(),
        { spec.cpu.value(), detail::toMebibytes(spec.memory.value()), spec.accelerator.value() } });
}

void plan::addBreak(time_of_day start, std::chrono::minutes length, location where)
{
    const auto subject = "break at " + detail::clockText(start.sinceMidnight());
    expectAmount(length.count(), 1, limits::breakMinutes, "length in minutes", subject, where);
    m_deployment.breaks.push_back({ start.sinceMidnight(), length });
}

workspace_handle plan::addWorkspace(plan_name name, const quota_spec& quota, location where)
{
    const auto subject = "workspace " + detail::quoted(name.text());
    expectNewName(m_deployment.workspaces, name.text(), subject, where);
    expectAmount(quota.cpu.value().count(), 0, limits::quotaCores, "cores", subject, where);
    expectAmount(
        quota.memory.value().count(), 0, limits::quotaMemoryMib / detail::mibPerGib, "memory in GiB", subject, where);
    expectAmount(quota.accelerator.value().count(), 0, limits::quotaAccelerators, "accelerators", subject, where);
    workspace added;
    added.name = workspace_name(name.text());
    added.quota = { quota.cpu.value(), detail::toMebibytes(quota.memory.value()), quota.accelerator.value() };
    m_deployment.workspaces.push_back(std::move(added));
    return { this, m_deployment.workspaces.size() - 1 };
}

void plan::guarantee(workspace_handle handle, const guarantee_spec& spec, location where)
{
    if (!isMine(handle, "guarantee", where))
        return;
    auto& owner = m_deployment.workspaces[handle.m_index];
    const auto subject = "guarantee of workspace " + detail::quoted(owner.name.value());
    expectAmount(spec.blocks.value(), 1, limits::blocks, "blocks", subject, where);
    expectAmount(spec.count, 1, limits::shapeCount, "count", subject, where);
    owner.guarantees.push_back(
        { spec.blocks.value(), spec.of.size(), detail::toScope(spec.within.value()), spec.count });
    const auto guaranteed = detail::guaranteedAccelerators(owner);
    expect(guaranteed <= owner.quota.accelerator.count(), where, subject,
        "the guarantees hold " + std::to_string(guaranteed) + " accelerators, the quota only "
            + std::to_string(owner.quota.accelerator.count()));
}

void plan::addJob(workspace_handle handle, const job_spec& spec, location where)
{
    const auto subject = "job " + detail::quoted(spec.name.text());
    if (!isMine(handle, subject, where))
        return;
    auto& owner = m_deployment.workspaces[handle.m_index];
    expectNewName(owner.jobs, spec.name.text(), subject, where);
    expectAmount(spec.tasks, 1, limits::tasks, "tasks", subject, where);
    expectAmount(spec.cpu.value().count(), 0, limits::workerCores, "cores", subject, where);
    expectAmount(
        spec.memory.value().count(), 0, limits::workerMemoryMib / detail::mibPerGib, "memory in GiB", subject, where);
    expectAmount(spec.accelerator.count(), 0, limits::workerAccelerators, "accelerators", subject, where);
    expectAmount(spec.runTime.value().count(), 0, limits::runTimeMs / 1000, "run time in seconds", subject, where);
    expectAmount(spec.maxRestarts, 0, limits::restarts, "restarts", subject, where);
    job_template added;
    added.name = job_name(spec.name.text());
    added.tasks = spec.tasks;
    added.perTask = { spec.cpu.value(), detail::toMebibytes(spec.memory.value()), spec.accelerator };
    added.within = spec.within;
    added.priority = spec.priority;
    added.runTime = spec.runTime.value();
    added.maxRestarts = spec.maxRestarts;
    added.command = spec.command.value();
    owner.jobs.push_back(std::move(added));
}

void plan::addService(workspace_handle handle, const service_spec& spec, location where)
{
    const auto subject = "service " + detail::quoted(spec.name.text());
    if (!isMine(handle, subject, where))
        return;
    expectNewName(m_deployment.services, spec.name.text(), subject, where);
    expectAmount(spec.slots, 1, limits::slots, "slots", subject, where);
    expectAmount(spec.connections, 1, limits::connections, "connections", subject, where);
    m_deployment.services.push_back(
        { service_name(spec.name.text()), m_deployment.workspaces[handle.m_index].name, spec.slots, spec.connections });
}

std::vector<std::string> plan::mistakes() const
{
    if (!m_mistakes.empty())
        return m_mistakes;
    // The reader has the last word on what the checks above leave out, such as the number of entries.
    const auto read = parseDeployment(printDeployment(m_deployment), "printed deployment");
    if (read.has_error())
        return { read.error().message };
    return {};
}

int plan::print(std::ostream& out, std::ostream& errors) const
{
    constexpr int badInput = 2;
    const auto found = mistakes();
    for (const auto& mistake : found)
        errors << mistake << "\n";
    if (!found.empty())
        return badInput;
    out << printDeployment(m_deployment) << std::flush;
    return out ? 0 : badInput;
}

int plan::print() const { return print(std::cout, std::cerr); }

} // namespace poplardeal
