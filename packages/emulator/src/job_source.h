#pragma once

#include <poplardeal/emulator/scenario.h>
#include <random>
#include <vector>

namespace poplardeal::emulator {

/// A job that arrives, and what nobody but the emulation knows of it.
struct emulated_job {
    submission_id id;
    std::size_t kind { 0 }; ///< Index in `scenario::kinds`.
    workspace_name workspace;
    submission_spec spec; ///< One step.
    instant arrivesAt;
    std::vector<duration> runTimes; ///< Of each task on an ordinary worker.
    duration objective { 0 }; ///< From the arrival.
    double work { 0 }; ///< In core-seconds.
    double value { 0 };
    double lateValue { 0 };
};

/// All jobs of a scenario in order of arrival.
std::vector<emulated_job> drawJobs(const scenario&, instant start, std::mt19937_64&);

/// Uniform in [0, 1). Unlike the distributions of the standard library, the same on every platform.
double drawUniform(std::mt19937_64&);

/// A core counts as 1, an accelerator as 8.
double coreWeight(const demand&);

} // namespace poplardeal::emulator
