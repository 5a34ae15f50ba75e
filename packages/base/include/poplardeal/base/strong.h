#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace poplardeal {

/// An identifier that cannot be mixed up with an identifier of another kind. `Rep` is `std::string` or an integer.
///
///     using workspace_name = strong_id<struct workspace_name_tag, std::string>;
///     workspace_name name { "film" };
template <class Tag, class Rep> class strong_id {
public:
    using rep = Rep;

    strong_id() = default;
    explicit strong_id(Rep value)
        : m_value(std::move(value))
    {
    }

    const Rep& value() const { return m_value; }

    // The check takes a defaulted <=> for a comparison with 0.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const strong_id&, const strong_id&) = default;
    friend std::ostream& operator<<(std::ostream& out, const strong_id& id) { return out << id.m_value; }

private:
    Rep m_value {};
};

/// A whole number of one unit, for instance mebibytes. Quantities of different units do not mix.
template <class Tag> class quantity {
public:
    constexpr quantity() = default;
    constexpr explicit quantity(std::int64_t count)
        : m_count(count)
    {
    }

    constexpr std::int64_t count() const { return m_count; }

    constexpr quantity& operator+=(quantity other)
    {
        m_count += other.m_count;
        return *this;
    }
    constexpr quantity& operator-=(quantity other)
    {
        m_count -= other.m_count;
        return *this;
    }

    friend constexpr quantity operator+(quantity a, quantity b) { return a += b; }
    friend constexpr quantity operator-(quantity a, quantity b) { return a -= b; }
    friend constexpr quantity operator*(quantity a, std::int64_t factor) { return quantity(a.m_count * factor); }
    // The check takes a defaulted <=> for a comparison with 0.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend constexpr auto operator<=>(quantity, quantity) = default;
    friend std::ostream& operator<<(std::ostream& out, quantity q) { return out << q.m_count; }

private:
    std::int64_t m_count { 0 };
};

} // namespace poplardeal

template <class Tag, class Rep> struct std::hash<poplardeal::strong_id<Tag, Rep>> {
    std::size_t operator()(const poplardeal::strong_id<Tag, Rep>& id) const noexcept
    {
        return std::hash<Rep> {}(id.value());
    }
};
