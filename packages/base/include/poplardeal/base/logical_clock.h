#pragma once

#include <cstdint>

namespace poplardeal {

/// Lamport clock of the process. It orders events of several processes, and is unaffected by steps of the wall clock.
/// Safe to use from several threads.
std::uint64_t advanceLogicalClock();

/// Takes in the clock value of a received message: the next event of this process is ordered after it.
void observeLogicalClock(std::uint64_t received);

} // namespace poplardeal
