#pragma once

#include <chrono>
#include <cstdint>

namespace poplardeal::test {

using std::chrono::milliseconds;

/// How a host ends that writes a batch.
enum class crash_point { process_before_write, process_after_write, power_after_write, power_after_sync };
constexpr std::uint64_t crashPoints = 4;

/// Which faults a schedule contains.
struct fault_plan {
    std::uint32_t replicas { 3 };
    std::uint32_t voters { 3 };
    double lossRate { 0 };
    double duplicateRate { 0 };
    milliseconds maxDelay { 5 };
    milliseconds maxSync { 5 };
    double crashAtPersist { 0 }; ///< Probability for each batch.
    double processEndsPerSecond { 0 };
    double powerLossesPerSecond { 0 }; ///< Of one host or of all at once.
    double powerLossAfterAcknowledgement { 0 }; ///< Of all hosts; probability for each acknowledgement.
    bool trustsCache { false }; ///< Recovery takes for durable what it reads from the page cache.
    double faultsPerSecond { 0 }; ///< Partitions, one-way cuts and heals.
    double changesPerSecond { 0 }; ///< Membership changes.
    double transfersPerSecond { 0 };
    double fullDisksPerSecond { 0 }; ///< Of one host, of two or of all, for some seconds.
    int folderLosses { 0 };
    double clockDrift { 0.1 }; ///< Rates of the clocks are drawn from 1 - drift to 1 + drift.
    milliseconds length { 4000 };
    std::uint64_t snapshotEvery { 15 };
};

} // namespace poplardeal::test
