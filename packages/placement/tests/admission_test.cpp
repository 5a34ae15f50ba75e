#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <poplardeal/placement/admission.h>

using namespace poplardeal;

struct pool_row {
    std::string dataCentre;
    std::string rack;
    std::int64_t workers;
    std::int64_t accelerators;
};

struct admission_row {
    std::string name;
    std::vector<pool_row> pools;
    std::vector<guaranteed_shape> guarantees;
    bool admitted;
    std::size_t exposures;
};
std::ostream& operator<<(std::ostream& out, const admission_row& row) { return out << row.name; }

static resources worker(std::int64_t count) { return { cores(128), mebibytes(262144), accelerators(count) }; }

static guaranteed_shape shape(std::int64_t blocks, std::int64_t size, scope within, std::int64_t count)
{
    return { blocks, accelerators(size), within, count };
}

static deployment planOf(const std::vector<pool_row>& pools, const std::vector<guaranteed_shape>& guarantees)
{
    deployment plan;
    for (const auto& row : pools) {
        const data_centre_name name(row.dataCentre);
        if (plan.dataCentres.empty() || plan.dataCentres.back().name != name)
            plan.dataCentres.push_back({ name, region_name("r"), true });
        plan.workerPools.push_back({ name, rack_name(row.rack), row.workers, worker(row.accelerators) });
    }
    plan.workspaces.push_back({ workspace_name("film"), worker(64), guarantees, {} });
    return plan;
}

const std::vector<pool_row> twoCentres { { "a", "a1", 2, 8 }, { "b", "b1", 2, 8 } };

const admission_row admissionRows[] = {
    { "nothing", twoCentres, {}, true, 0 },
    { "all of it", twoCentres, { shape(2, 8, scope::rack, 2) }, true, 2 },
    { "half of it survives the loss of one centre", twoCentres, { shape(2, 8, scope::rack, 1) }, true, 0 },
    { "counts suffice, racks do not", twoCentres, { shape(3, 8, scope::rack, 1) }, false, 0 },
    { "within a data centre only", { { "a", "a1", 1, 8 }, { "a", "a2", 1, 8 } }, { shape(2, 8, scope::rack, 1) }, false,
        0 },
    { "across racks", { { "a", "a1", 1, 8 }, { "a", "a2", 1, 8 } }, { shape(2, 8, scope::data_centre, 1) }, true, 1 },
    { "small blocks leave room for whole ones", { { "a", "a1", 2, 8 } },
        { shape(1, 1, scope::worker, 8), shape(1, 8, scope::worker, 1) }, true, 2 },
    { "blocks of four do not join over two workers", { { "a", "a1", 2, 4 } }, { shape(1, 8, scope::rack, 1) }, false,
        0 },
    // Packing the tightest rack first leaves no room; only a search over arrangements finds the place of all shapes.
    { "needs the search", { { "a", "a1", 5, 8 }, { "a", "a2", 4, 8 } },
        { shape(3, 8, scope::rack, 1), shape(2, 8, scope::rack, 3) }, true, 2 },
};

BOOST_AUTO_TEST_SUITE(admission)

// Guards against a proof by counts, and against one that fails for shapes that fit.
BOOST_DATA_TEST_CASE(guarantees_are_packed, admissionRows, row)
{
    const auto report = admit(planOf(row.pools, row.guarantees));
    BOOST_REQUIRE(report.has_value() == row.admitted);
    if (row.admitted)
        BOOST_TEST(report.value().exposures.size() == row.exposures);
    else
        BOOST_TEST((report.error().code == failure_code::infeasible
            && report.error().message.find("film") != std::string::npos));
}

struct template_row {
    std::string name;
    std::int64_t tasks;
    std::int64_t accelerators;
    scope within;
    std::string refusal; ///< Part of the message; empty: admitted.
};
std::ostream& operator<<(std::ostream& out, const template_row& row) { return out << row.name; }

const template_row templateRows[] = {
    { "fits", 2, 8, scope::rack, "" },
    { "too wide for a worker", 1, 16, scope::anywhere, "no worker" },
    { "too large for a rack", 3, 8, scope::rack, "no rack" },
    { "too large for all", 5, 8, scope::anywhere, "no cluster" },
    { "over the quota", 9, 8, scope::anywhere, "quota" },
};

// Guards against a job that is accepted and waits forever.
BOOST_DATA_TEST_CASE(impossible_templates_are_refused, templateRows, row)
{
    auto plan = planOf(twoCentres, {});
    plan.workspaces[0].quota = { cores(1024), mebibytes(1048576), accelerators(64) };
    plan.workspaces[0].jobs.push_back(
        { job_name("render"), row.tasks, { cores(1), mebibytes(1), accelerators(row.accelerators) }, row.within,
            job_priority::borrowed, std::chrono::seconds(60), 3, "render" });
    const auto report = admit(plan);
    BOOST_REQUIRE(report.has_value() == row.refusal.empty());
    if (!row.refusal.empty())
        BOOST_TEST(report.error().message.find(row.refusal) != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
