// The deployment of Saa Tayari Lending: chess clocks are lent, checked by photo, and their deposits settled.
// An arbiter waits for the result of most jobs, so the guarantees are small and many, and fit without any one data
// centre.
#include <poplardeal/deployment/plan.h>

using namespace poplardeal;
using namespace poplardeal::plan_literals;
using namespace std::chrono_literals;

static void addWorkers(plan& coast, data_centre_handle place, plan_name rack, std::int64_t count)
{
    coast.addWorkers(
        place, { .rack = rack, .count = count, .cpu = 128_cores, .memory = 256_gib, .accelerator = 8_accelerators });
}

static void addPlaces(plan& coast)
{
    const auto region = coast.addRegion("tz-coast");
    const auto kariakoo = coast.addDataCentre(region, "kariakoo");
    const auto msasani = coast.addDataCentre(region, "msasani");
    const auto ubungo = coast.addDataCentre(region, "ubungo");
    addWorkers(coast, kariakoo, "kariakoo-r1", 3);
    addWorkers(coast, msasani, "msasani-r1", 3);
    addWorkers(coast, ubungo, "ubungo-r1", 3);
    addWorkers(coast, ubungo, "ubungo-r2", 2);
}

static void addConditionChecks(plan& coast)
{
    const auto checks = coast.addWorkspace(
        "condition-checks", { .cpu = 768_cores, .memory = 1536_gib, .accelerator = 48_accelerators });
    coast.guarantee(checks, { .blocks = 2, .of = 8_accelerators, .within = block_scope::rack });
    coast.guarantee(checks, { .blocks = 1, .of = 2_accelerators, .within = block_scope::worker, .count = 2 });
    coast.addJob(checks,
        { .name = "photo-check",
            .cpu = 16_cores,
            .memory = 32_gib,
            .accelerator = 2_accelerators,
            .within = scope::worker,
            .priority = job_priority::guaranteed,
            .runTime = 2min,
            .command = "check-photos" });
    coast.addJob(checks,
        { .name = "photo-batch",
            .tasks = 2,
            .cpu = 64_cores,
            .memory = 128_gib,
            .accelerator = 8_accelerators,
            .within = scope::rack,
            .priority = job_priority::guaranteed,
            .runTime = 10min,
            .command = "check-photos --batch" });
}

static void addDeposits(plan& coast)
{
    const auto deposits
        = coast.addWorkspace("deposits", { .cpu = 256_cores, .memory = 512_gib, .accelerator = 8_accelerators });
    coast.guarantee(deposits, { .blocks = 1, .of = 4_accelerators, .within = block_scope::worker });
    // No restart: a settlement that was cut off is looked into before money is moved again.
    coast.addJob(deposits,
        { .name = "deposit-settlement",
            .cpu = 8_cores,
            .memory = 16_gib,
            .accelerator = 1_accelerators,
            .within = scope::worker,
            .priority = job_priority::urgent,
            .runTime = 30s,
            .maxRestarts = 0,
            .command = "settle-deposits" });
}

static void addLoans(plan& coast)
{
    const auto loans
        = coast.addWorkspace("loans", { .cpu = 128_cores, .memory = 256_gib, .accelerator = 8_accelerators });
    coast.guarantee(loans, { .blocks = 1, .of = 4_accelerators, .within = block_scope::worker });
    coast.addJob(loans,
        { .name = "loan-forecast",
            .cpu = 32_cores,
            .memory = 64_gib,
            .accelerator = 4_accelerators,
            .within = scope::worker,
            .priority = job_priority::guaranteed,
            .runTime = 5min,
            .command = "forecast-loans" });
    coast.addService(loans, { .name = "lending-desk", .slots = 8, .connections = 64 });
}

static void addModelTraining(plan& coast)
{
    const auto training = coast.addWorkspace(
        "model-training", { .cpu = 1024_cores, .memory = 2048_gib, .accelerator = 64_accelerators });
    coast.guarantee(training, { .blocks = 1, .of = 8_accelerators, .within = block_scope::worker });
    coast.addJob(training,
        { .name = "train-photo-model",
            .tasks = 3,
            .cpu = 64_cores,
            .memory = 128_gib,
            .accelerator = 8_accelerators,
            .within = scope::data_centre,
            .priority = job_priority::borrowed,
            .runTime = 4h,
            .maxRestarts = 10,
            .command = "train-photo-model" });
    coast.addJob(training,
        { .name = "evaluate-photo-model",
            .cpu = 32_cores,
            .memory = 64_gib,
            .accelerator = 8_accelerators,
            .within = scope::worker,
            .priority = job_priority::guaranteed,
            .runTime = 20min,
            .command = "evaluate-photo-model" });
}

int main()
{
    plan coast("tz-coast");
    addPlaces(coast);
    coast.addBreak(at(5, 30), 30min);
    coast.addBreak(at(13, 30), 30min);
    addConditionChecks(coast);
    addDeposits(coast);
    addLoans(coast);
    addModelTraining(coast);
    return coast.print();
}
