#include "shape_packer.h"

#include <algorithm>
#include <bit>
#include <numeric>

namespace poplardeal::detail {

bool isHarder(const shape_instance& a, const shape_instance& b)
{
    return std::tuple(-a.blockAccelerators, -a.blocks, a.within)
        < std::tuple(-b.blockAccelerators, -b.blocks, b.within);
}

shape_packer::shape_packer(std::vector<packing_worker> workers)
    : m_workers(std::move(workers))
{
}

std::uint32_t shape_packer::groupKey(const packing_worker& worker, scope within) const
{
    switch (within) {
    case scope::worker:
        return worker.worker;
    case scope::rack:
        return worker.rack;
    case scope::data_centre:
        return worker.dataCentre;
    case scope::anywhere:
        break;
    }
    return 0;
}

namespace {

    /// A group of workers with what decides the order in which groups are tried.
    struct ranked_group {
        std::vector<std::uint32_t> members;
        std::int64_t room { 0 };
        std::int64_t penalty { 0 };
        std::int64_t freeAccelerators { 0 };
        std::vector<accelerator_mask> signature; ///< Groups with equal signatures are interchangeable.
    };

} // namespace

/// Groups with room for the shape, the tightest first, one of each set of interchangeable ones. The members of a group
/// are in the order in which they are to be filled.
std::vector<shape_packer::group> shape_packer::candidateGroups(const shape_instance& shape) const
{
    std::map<std::uint32_t, ranked_group> groups;
    std::vector<std::int64_t> splits(m_workers.size());
    for (std::uint32_t i = 0; i < m_workers.size(); ++i) {
        const auto& worker = m_workers[i];
        const auto room = countBlocks(worker.free, shape.blockAccelerators);
        if (room == 0)
            continue;
        findBlock(worker.free, shape.blockAccelerators, &splits[i]);
        auto& entry = groups[groupKey(worker, shape.within)];
        entry.members.push_back(i);
        entry.room += room;
        entry.penalty = std::max(entry.penalty, worker.penalty);
        entry.freeAccelerators += std::popcount(worker.free);
    }
    const auto fillOrder = [&](std::uint32_t a, std::uint32_t b) {
        const auto key = [&](std::uint32_t i) {
            return std::tuple(m_workers[i].penalty, splits[i], std::popcount(m_workers[i].free), m_workers[i].free, i);
        };
        return key(a) < key(b);
    };
    std::vector<ranked_group> ranked;
    for (auto& [key, entry] : groups) {
        if (entry.room < shape.blocks)
            continue;
        std::ranges::sort(entry.members, fillOrder);
        for (const auto member : entry.members)
            entry.signature.push_back(m_workers[member].free);
        ranked.push_back(std::move(entry));
    }
    std::ranges::stable_sort(ranked, [](const auto& a, const auto& b) {
        return std::tie(a.penalty, a.room, a.freeAccelerators) < std::tie(b.penalty, b.room, b.freeAccelerators);
    });
    std::set<std::vector<accelerator_mask>> seen;
    std::vector<group> result;
    for (auto& entry : ranked) {
        if (seen.insert(std::move(entry.signature)).second)
            result.push_back(std::move(entry.members));
    }
    return result;
}

bool shape_packer::exceedsCapacity(const std::vector<shape_instance>& shapes) const
{
    std::int64_t wanted = 0;
    for (const auto& shape : shapes)
        wanted += shape.blocks * shape.blockAccelerators;
    std::int64_t available = 0;
    for (const auto& worker : m_workers)
        available += std::popcount(worker.free);
    return wanted > available;
}

packing_outcome shape_packer::packAll(const std::vector<shape_instance>& shapes, std::int64_t maxSteps)
{
    m_shapes = shapes;
    m_spots.assign(shapes.size(), {});
    m_order.resize(shapes.size());
    std::iota(m_order.begin(), m_order.end(), std::size_t { 0 });
    std::ranges::stable_sort(m_order, [&](std::size_t a, std::size_t b) { return isHarder(m_shapes[a], m_shapes[b]); });
    m_stepsLeft = maxSteps;
    m_deepest = 0;
    m_blockedAt = m_order.empty() ? 0 : m_order.front();
    if (packFrom(0))
        return packing_outcome::packed;
    return m_stepsLeft > 0 || exceedsCapacity(shapes) ? packing_outcome::impossible : packing_outcome::undecided;
}

bool shape_packer::packFrom(std::size_t next)
{
    if (next == m_order.size())
        return true;
    if (next >= m_deepest) {
        m_deepest = next;
        m_blockedAt = m_order[next];
    }
    const auto& shape = m_shapes[m_order[next]];
    for (const auto& candidate : candidateGroups(shape)) {
        if (packBlocks(next, candidate, 0, shape.blocks))
            return true;
        if (m_stepsLeft <= 0)
            break;
    }
    return false;
}

/// Places the blocks that are left on the members from `position` on, so that each choice of members is tried once.
bool shape_packer::packBlocks(std::size_t shape, const group& members, std::size_t position, std::int64_t left)
{
    if (left == 0)
        return packFrom(shape + 1);
    const auto& wanted = m_shapes[m_order[shape]];
    std::set<accelerator_mask> passed;
    for (; position < members.size(); ++position) {
        if (--m_stepsLeft <= 0)
            return false;
        auto& worker = m_workers[members[position]];
        const auto start = findBlock(worker.free, wanted.blockAccelerators);
        if (start < 0 || !passed.insert(worker.free).second)
            continue;
        const auto mask = blockMask(start, wanted.blockAccelerators);
        worker.free &= ~mask;
        m_spots[m_order[shape]].push_back({ worker.worker, mask });
        if (packBlocks(shape, members, position, left - 1))
            return true;
        m_spots[m_order[shape]].pop_back();
        worker.free |= mask;
    }
    return false;
}

std::vector<task_spot> shape_packer::packOne(const shape_instance& shape)
{
    const auto groups = candidateGroups(shape);
    if (groups.empty())
        return {};
    std::vector<task_spot> taken;
    for (const auto member : groups.front()) {
        auto& worker = m_workers[member];
        while (std::ssize(taken) < shape.blocks) {
            const auto start = findBlock(worker.free, shape.blockAccelerators);
            if (start < 0)
                break;
            const auto mask = blockMask(start, shape.blockAccelerators);
            worker.free &= ~mask;
            taken.push_back({ worker.worker, mask });
        }
    }
    return taken;
}

} // namespace poplardeal::detail
