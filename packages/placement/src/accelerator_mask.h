#pragma once

#include <cstdint>
#include <vector>

namespace poplardeal::detail {

/// Accelerators of one worker, bit i is accelerator i. Workers with more than 64 use only their first 64.
using accelerator_mask = std::uint64_t;

constexpr std::int64_t maxAccelerators = 64;

/// All accelerators of a worker that has `count` of them.
accelerator_mask fullMask(std::int64_t count);

/// The smallest power of two that is at least `count`; 0 for 0. Blocks start at multiples of it.
std::int64_t blockSize(std::int64_t count);

/// `count` adjacent accelerators at `start`.
accelerator_mask blockMask(std::int64_t start, std::int64_t count);

/// How many buddy blocks that hold `count` accelerators each can be cut from `free` at the same time.
std::int64_t countBlocks(accelerator_mask free, std::int64_t count);

/// Start of the block for `count` accelerators whose use splits the smallest free buddy block, or -1. `split` receives
/// the size of the block that is split.
std::int64_t findBlock(accelerator_mask free, std::int64_t count, std::int64_t* split = nullptr);

/// Ascending indexes of the set bits.
std::vector<std::uint32_t> maskIndexes(accelerator_mask);

} // namespace poplardeal::detail
