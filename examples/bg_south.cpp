// The deployment of Dimitrov Parket Brothers: quotes and slot confirmations by day, the rebuild of all routes by night.
// The rebuild has to fit and to finish by morning, so two adjacent workers of one rack are guaranteed to it.
#include <poplardeal/deployment/plan.h>

using namespace poplardeal;
using namespace poplardeal::plan_literals;
using namespace std::chrono_literals;

static void addWorkers(plan& south, data_centre_handle place, plan_name rack, std::int64_t count)
{
    south.addWorkers(
        place, { .rack = rack, .count = count, .cpu = 128_cores, .memory = 256_gib, .accelerator = 8_accelerators });
}

static void addPlaces(plan& south)
{
    const auto region = south.addRegion("bg-south");
    const auto plovdiv = south.addDataCentre(region, "plovdiv");
    const auto pazardzhik = south.addDataCentre(region, "pazardzhik");
    const auto asenovgrad = south.addDataCentre(region, "asenovgrad");
    addWorkers(south, plovdiv, "plovdiv-r1", 3);
    addWorkers(south, plovdiv, "plovdiv-r2", 2);
    addWorkers(south, pazardzhik, "pazardzhik-r1", 3);
    addWorkers(south, asenovgrad, "asenovgrad-r1", 3);
}

static void addRoutes(plan& south)
{
    const auto routes
        = south.addWorkspace("routes", { .cpu = 768_cores, .memory = 1536_gib, .accelerator = 48_accelerators });
    south.guarantee(routes, { .blocks = 2, .of = 8_accelerators, .within = block_scope::rack });
    south.addJob(routes,
        { .name = "nightly-route-rebuild",
            .tasks = 2,
            .cpu = 96_cores,
            .memory = 192_gib,
            .accelerator = 8_accelerators,
            .within = scope::rack,
            .priority = job_priority::guaranteed,
            .runTime = 5h,
            .maxRestarts = 10,
            .command = "rebuild-routes" });
    south.addJob(routes,
        { .name = "route-repair",
            .cpu = 16_cores,
            .memory = 32_gib,
            .accelerator = 2_accelerators,
            .within = scope::worker,
            .priority = job_priority::urgent,
            .runTime = 1min,
            .command = "repair-route" });
}

static void addBookings(plan& south)
{
    const auto bookings
        = south.addWorkspace("bookings", { .cpu = 256_cores, .memory = 512_gib, .accelerator = 16_accelerators });
    south.guarantee(bookings, { .blocks = 1, .of = 4_accelerators, .within = block_scope::worker, .count = 2 });
    // No restart: a crew that may have been sent out already is not sent again.
    south.addJob(bookings,
        { .name = "slot-confirmation",
            .cpu = 8_cores,
            .memory = 16_gib,
            .accelerator = 1_accelerators,
            .within = scope::worker,
            .priority = job_priority::urgent,
            .runTime = 20s,
            .maxRestarts = 0,
            .command = "confirm-slots" });
    south.addService(bookings, { .name = "booking", .slots = 8, .connections = 64 });
}

static void addQuotes(plan& south)
{
    const auto quotes
        = south.addWorkspace("quotes", { .cpu = 256_cores, .memory = 512_gib, .accelerator = 16_accelerators });
    south.guarantee(quotes, { .blocks = 1, .of = 2_accelerators, .within = block_scope::worker, .count = 2 });
    south.addJob(quotes,
        { .name = "floor-plan-quote",
            .cpu = 16_cores,
            .memory = 32_gib,
            .accelerator = 2_accelerators,
            .within = scope::worker,
            .priority = job_priority::guaranteed,
            .runTime = 3min,
            .command = "quote-floor-plans" });
}

static void addDemandForecast(plan& south)
{
    const auto forecast = south.addWorkspace(
        "demand-forecast", { .cpu = 1024_cores, .memory = 2048_gib, .accelerator = 64_accelerators });
    south.guarantee(forecast, { .blocks = 1, .of = 8_accelerators, .within = block_scope::worker });
    south.addJob(forecast,
        { .name = "train-demand-model",
            .tasks = 4,
            .cpu = 64_cores,
            .memory = 128_gib,
            .accelerator = 4_accelerators,
            .within = scope::data_centre,
            .priority = job_priority::borrowed,
            .runTime = 6h,
            .maxRestarts = 10,
            .command = "train-demand-model" });
}

int main()
{
    plan south("bg-south");
    addPlaces(south);
    south.addBreak(at(5, 0), 30min);
    south.addBreak(at(23, 45), 30min);
    addRoutes(south);
    addBookings(south);
    addQuotes(south);
    addDemandForecast(south);
    return south.print();
}
