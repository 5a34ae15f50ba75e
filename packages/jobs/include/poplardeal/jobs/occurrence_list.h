#pragma once

#include <algorithm>
#include <boost/iterator/indirect_iterator.hpp>
#include <cstdint>
#include <memory>
#include <vector>

namespace poplardeal {

/// The occurrences of a job. Equal ones share their memory until one of them changes: most have either not begun or are
/// done.
template <class Occurrence> class occurrence_list {
public:
    using shared_occurrence = std::shared_ptr<const Occurrence>;

    occurrence_list() = default;
    occurrence_list(std::size_t count, Occurrence each)
        : m_items(count, std::make_shared<Occurrence>(std::move(each)))
    {
    }
    explicit occurrence_list(std::vector<shared_occurrence> items)
        : m_items(std::move(items))
    {
    }

    std::size_t size() const { return m_items.size(); }
    bool empty() const { return m_items.empty(); }
    const Occurrence& operator[](std::size_t number) const { return *m_items[number]; }
    auto begin() const { return boost::make_indirect_iterator(m_items.begin()); }
    auto end() const { return boost::make_indirect_iterator(m_items.end()); }
    const std::vector<shared_occurrence>& items() const { return m_items; }

    bool isShared(std::size_t number) const { return m_items[number].use_count() > 1; }
    /// Gives the occurrence memory of its own, for a change. Invalidates references to it if it was shared.
    Occurrence& own(std::size_t number)
    {
        if (isShared(number))
            m_items[number] = std::make_shared<Occurrence>(*m_items[number]);
        // Made by `make_shared` as an object that is not const, and not shared.
        return const_cast<Occurrence&>(*m_items[number]);
    }
    /// Shares the memory of the occurrence before, if both are equal. Invalidates references to this one.
    bool shareWithPrevious(std::size_t number)
    {
        if (number == 0 || m_items[number] == m_items[number - 1] || !(*m_items[number] == *m_items[number - 1]))
            return false;
        m_items[number] = m_items[number - 1];
        return true;
    }

    friend bool operator==(const occurrence_list& a, const occurrence_list& b)
    {
        return std::equal(a.m_items.begin(), a.m_items.end(), b.m_items.begin(), b.m_items.end(),
            [](const shared_occurrence& x, const shared_occurrence& y) { return x == y || *x == *y; });
    }

private:
    std::vector<shared_occurrence> m_items;
};

} // namespace poplardeal
