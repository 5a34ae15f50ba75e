#pragma once

#include <poplardeal/deployment/model.h>
#include <rapidcheck.h>
#include <string>

/// Random deployments that keep all rules of the reader.
inline rc::Gen<std::string> arbitraryName()
{
    return rc::gen::nonEmpty(
        rc::gen::resize(8, rc::gen::container<std::string>(rc::gen::elementOf(std::string("abcxyzABZ0189")))));
}

/// Includes quotes, backslashes, control characters and bytes of UTF-8 sequences.
inline rc::Gen<std::string> arbitraryCommand()
{
    const auto piece = rc::gen::element<std::string>(
        "a", " ", "\"", "\\", "\n", "\t", "\x01", "\x7f", "'", "#", "=", "é", "時", "\\u0041");
    return rc::gen::map(rc::gen::container<std::vector<std::string>>(piece), [](const std::vector<std::string>& all) {
        std::string text;
        for (const auto& one : all)
            text += one;
        return text;
    });
}

inline poplardeal::resources arbitraryResources(std::int64_t least)
{
    using namespace poplardeal;
    const auto memory = *rc::gen::inRange<std::int64_t>(least, 5000);
    const auto factor = *rc::gen::element<std::int64_t>(1, 1024);
    return { cores(*rc::gen::inRange<std::int64_t>(least, 4096)), mebibytes(memory * factor),
        accelerators(*rc::gen::inRange<std::int64_t>(0, 65)) };
}

inline poplardeal::job_template arbitraryJob(const std::string& name)
{
    using namespace poplardeal;
    job_template job;
    job.name = job_name(name);
    job.tasks = *rc::gen::inRange<std::int64_t>(1, 129);
    job.perTask = arbitraryResources(0);
    job.within = *rc::gen::element(scope::worker, scope::rack, scope::data_centre, scope::anywhere);
    job.priority = *rc::gen::element(job_priority::urgent, job_priority::guaranteed, job_priority::borrowed);
    job.runTime = std::chrono::milliseconds(
        *rc::gen::inRange<std::int64_t>(0, 100'000) * *rc::gen::element<std::int64_t>(1, 1000));
    job.maxRestarts = *rc::gen::inRange<std::int64_t>(0, 1001);
    job.command = *arbitraryCommand();
    return job;
}

inline poplardeal::workspace arbitraryWorkspace(const std::string& name)
{
    using namespace poplardeal;
    workspace made;
    made.name = workspace_name(name);
    made.quota = arbitraryResources(0);
    for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
        const guaranteed_shape shape { *rc::gen::inRange<std::int64_t>(1, 9),
            accelerators(*rc::gen::element<std::int64_t>(1, 2, 4, 8, 64)),
            *rc::gen::element(scope::worker, scope::rack, scope::data_centre), *rc::gen::inRange<std::int64_t>(1, 9) };
        made.guarantees.push_back(shape);
        made.quota.accelerator += shape.blockAccelerators * shape.blocks * shape.count;
    }
    for (int i = *rc::gen::inRange(0, 4); i > 0; --i)
        made.jobs.push_back(arbitraryJob(*arbitraryName() + "-" + std::to_string(i)));
    return made;
}

inline void addArbitraryPlaces(poplardeal::deployment& plan)
{
    using namespace poplardeal;
    const int regions = *rc::gen::inRange(1, 4);
    for (int i = 0; i < regions; ++i)
        plan.regions.push_back({ region_name(*arbitraryName() + "." + std::to_string(i)) });
    const int dataCentres = *rc::gen::inRange(0, 4);
    for (int i = 0; i < dataCentres; ++i) {
        const data_centre_name name(*arbitraryName() + "-" + std::to_string(i));
        plan.dataCentres.push_back({ name, (*rc::gen::elementOf(plan.regions)).name, *rc::gen::arbitrary<bool>() });
        for (int rack = *rc::gen::inRange(0, 3); rack > 0; --rack)
            plan.workerPools.push_back({ name, rack_name(name.value() + "-r" + std::to_string(rack)),
                *rc::gen::inRange<std::int64_t>(1, 10'001), arbitraryResources(1) });
    }
}

inline rc::Gen<poplardeal::deployment> arbitraryDeployment()
{
    using namespace poplardeal;
    return rc::gen::exec([] {
        deployment plan;
        plan.name = *arbitraryName();
        addArbitraryPlaces(plan);
        for (int i = *rc::gen::inRange(0, 3); i > 0; --i)
            plan.breaks.push_back(
                { std::chrono::minutes(*rc::gen::inRange(0, 1440)), std::chrono::minutes(*rc::gen::inRange(1, 1441)) });
        for (int i = *rc::gen::inRange(0, 4); i > 0; --i)
            plan.workspaces.push_back(arbitraryWorkspace(*arbitraryName() + "_" + std::to_string(i)));
        for (int i = plan.workspaces.empty() ? 0 : *rc::gen::inRange(0, 3); i > 0; --i)
            plan.services.push_back(
                { service_name(*arbitraryName() + "-" + std::to_string(i)), (*rc::gen::elementOf(plan.workspaces)).name,
                    *rc::gen::inRange<std::int64_t>(1, 100), *rc::gen::inRange<std::int64_t>(1, 1000) });
        return plan;
    });
}

namespace rc {
template <> struct Arbitrary<poplardeal::deployment> {
    static Gen<poplardeal::deployment> arbitrary() { return arbitraryDeployment(); }
};
} // namespace rc

namespace poplardeal {
/// Shown when a property fails.
inline void showValue(const deployment& plan, std::ostream& out) { out << "deployment " << plan.name; }
} // namespace poplardeal
