#pragma once

#include <cstddef>
#include <cstdint>

namespace poplardeal::limits {

/// Bytes of one deployment text, 960 KiB. It leaves room for the rest of a message in a control frame of 1 MiB.
inline constexpr std::size_t deploymentBytes = 983'040;

// Counts. Each is several times the design capacity of two years.
inline constexpr std::size_t regions = 16;
inline constexpr std::size_t dataCentres = 64;
inline constexpr std::size_t workerPools = 4096;
inline constexpr std::size_t breaks = 48;
inline constexpr std::size_t workspaces = 1024;
inline constexpr std::size_t guaranteesPerWorkspace = 64;
inline constexpr std::size_t jobsPerWorkspace = 1024;
inline constexpr std::size_t services = 1024;

/// Bytes of a name. Names appear in paths of the HTTP interface and in file names.
inline constexpr std::size_t nameBytes = 63;
inline constexpr std::size_t commandBytes = 4096;

// Sizes of one worker and of one pool of workers; the memory is 64 TiB.
inline constexpr std::int64_t workersPerPool = 10'000;
inline constexpr std::int64_t workerCores = 4096;
inline constexpr std::int64_t workerMemoryMib = 67'108'864;
inline constexpr std::int64_t workerAccelerators = 64;

/// Quotas are sums over many workers; the bounds keep all sums far below the range of a 64-bit integer.
inline constexpr std::int64_t quotaCores = 1'000'000'000;
inline constexpr std::int64_t quotaMemoryMib = 1'000'000'000'000;
inline constexpr std::int64_t quotaAccelerators = 1'000'000'000;

inline constexpr std::int64_t blocks = 1024;
inline constexpr std::int64_t shapeCount = 1024;
inline constexpr std::int64_t tasks = 1024;
inline constexpr std::int64_t restarts = 1000;
/// 366 days.
inline constexpr std::int64_t runTimeMs = 31'622'400'000;
inline constexpr std::int64_t slots = 65'536;
inline constexpr std::int64_t connections = 65'536;
inline constexpr std::int64_t breakMinutes = 1440;

} // namespace poplardeal::limits
