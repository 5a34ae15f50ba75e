#include "accelerator_mask.h"

#include <array>
#include <bit>

namespace poplardeal::detail {

/// Bits at multiples of the block size.
static accelerator_mask alignedStarts(std::int64_t size)
{
    static constexpr std::array<accelerator_mask, 7> starts { ~0ULL, 0x5555555555555555ULL, 0x1111111111111111ULL,
        0x0101010101010101ULL, 0x0001000100010001ULL, 0x0000000100000001ULL, 1ULL };
    return starts[static_cast<std::size_t>(std::countr_zero(static_cast<std::uint64_t>(size)))];
}

/// Bit s is set if `count` adjacent accelerators are free at s.
static accelerator_mask runStarts(accelerator_mask free, std::int64_t count)
{
    std::int64_t covered = 1;
    while (covered * 2 <= count) {
        free &= free >> covered;
        covered *= 2;
    }
    if (covered < count)
        free &= free >> (count - covered);
    return free;
}

accelerator_mask fullMask(std::int64_t count)
{
    if (count >= maxAccelerators)
        return ~0ULL;
    return count <= 0 ? 0 : (1ULL << count) - 1;
}

std::int64_t blockSize(std::int64_t count)
{
    return count <= 0 ? 0 : static_cast<std::int64_t>(std::bit_ceil(static_cast<std::uint64_t>(count)));
}

accelerator_mask blockMask(std::int64_t start, std::int64_t count) { return fullMask(count) << start; }

std::int64_t countBlocks(accelerator_mask free, std::int64_t count)
{
    if (count > maxAccelerators)
        return 0;
    return std::popcount(runStarts(free, count) & alignedStarts(blockSize(count)));
}

/// Size of the largest free buddy block that contains `start`.
static std::int64_t containingBlock(accelerator_mask free, std::int64_t start, std::int64_t size)
{
    while (size < maxAccelerators) {
        const auto doubled = size * 2;
        const auto mask = blockMask(start / doubled * doubled, doubled);
        if ((free & mask) != mask)
            break;
        size = doubled;
    }
    return size;
}

std::int64_t findBlock(accelerator_mask free, std::int64_t count, std::int64_t* split)
{
    if (count > maxAccelerators)
        return -1;
    const auto size = blockSize(count);
    auto starts = runStarts(free, count) & alignedStarts(size);
    std::int64_t best = -1;
    std::int64_t bestSplit = maxAccelerators + 1;
    while (starts != 0) {
        const auto start = std::countr_zero(starts);
        starts &= starts - 1;
        const auto whole = blockMask(start, size);
        // A run that does not fill its block lies in a block that is split already.
        const auto splits = (free & whole) == whole ? containingBlock(free, start, size) : std::int64_t { 0 };
        if (splits < bestSplit) {
            bestSplit = splits;
            best = start;
        }
    }
    if (split != nullptr)
        *split = bestSplit;
    return best;
}

std::vector<std::uint32_t> maskIndexes(accelerator_mask mask)
{
    std::vector<std::uint32_t> indexes;
    for (; mask != 0; mask &= mask - 1)
        indexes.push_back(static_cast<std::uint32_t>(std::countr_zero(mask)));
    return indexes;
}

} // namespace poplardeal::detail
