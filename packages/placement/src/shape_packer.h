#pragma once

#include "records.h"
#include <cstdint>
#include <vector>

namespace poplardeal::detail {

/// Free accelerators of a worker and its place in the tree.
struct packing_worker {
    std::uint32_t worker { 0 }; ///< Given back in the `task_spot`s.
    std::uint32_t rack { 0 };
    std::uint32_t dataCentre { 0 };
    accelerator_mask free { 0 };
    std::int64_t penalty { 0 }; ///< Workers with a higher penalty are used last.
};

enum class packing_outcome {
    packed,
    impossible, ///< Every arrangement was tried, or the amounts exclude one.
    undecided, ///< The search effort was used up.
};

/// Packs shapes in buddy fashion: the largest blocks first, each into the smallest free block that holds it. Where that
/// fails, arrangements are tried exhaustively up to a bound on the number of steps.
class shape_packer {
public:
    explicit shape_packer(std::vector<packing_worker>);

    /// Packs all shapes at the same time. `spots()` has one list for each of them when they are packed.
    packing_outcome packAll(const std::vector<shape_instance>&, std::int64_t maxSteps);
    const std::vector<std::vector<task_spot>>& spots() const { return m_spots; }
    /// Shape at which the search got no further.
    std::size_t blockedAt() const { return m_blockedAt; }

    /// Packs one shape into what is free and takes its blocks; empty if it does not fit.
    std::vector<task_spot> packOne(const shape_instance&);

private:
    using group = std::vector<std::uint32_t>; ///< Positions in `m_workers`.

    std::vector<group> candidateGroups(const shape_instance&) const;
    std::uint32_t groupKey(const packing_worker&, scope) const;
    bool packFrom(std::size_t next);
    bool packBlocks(std::size_t shape, const group&, std::size_t position, std::int64_t left);
    bool exceedsCapacity(const std::vector<shape_instance>&) const;

    std::vector<packing_worker> m_workers;
    std::vector<std::vector<task_spot>> m_spots;
    std::vector<shape_instance> m_shapes;
    std::vector<std::size_t> m_order; ///< Indexes of `m_shapes`, the hardest first.
    std::int64_t m_stepsLeft { 0 };
    std::size_t m_blockedAt { 0 };
    std::size_t m_deepest { 0 };
};

/// Order in which shapes are packed: larger blocks first, then more accelerators, then the narrower scope.
bool isHarder(const shape_instance&, const shape_instance&);

} // namespace poplardeal::detail
