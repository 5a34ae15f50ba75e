#pragma once

#include <algorithm>
#include <bit>
#include <concepts>
#include <cstdint>
#include <memory>
#include <poplardeal/base/ids.h>
#include <poplardeal/base/strong.h>
#include <poplardeal/base/time.h>
#include <poplardeal/base/units.h>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

/// A compact binary form of the replicated jobs. A structure takes part through an overload of `archiveFields` that
/// hands its members to the archive, the same for writing and reading.
namespace poplardeal::detail {

/// `T` without const is `Type`: lets one overload of `archiveFields` serve writing and reading.
template <class T, class Type>
concept maybe_const = std::same_as<std::remove_const_t<T>, Type>;

/// There is an overload of `archiveFields` for `T`.
template <class T, class Archive>
concept archived_structure = requires(Archive& archive, T& item)
{
    archiveFields(archive, item);
};

/// Integers and enumerations.
template <class T>
concept archived_number = std::integral<T> || std::is_enum_v<T>;

/// Appends values to a string: numbers as LEB128, signed ones in zigzag form, texts and sequences after their size.
/// Equal neighbours in a sequence are written once, so that untouched tasks of a job take next to nothing.
class archive_writer {
public:
    explicit archive_writer(std::string& out)
        : m_out(out)
    {
    }

    template <class... T> void operator()(const T&... values) { (write(values), ...); }

private:
    void writeNumber(std::uint64_t value)
    {
        while (value >= 0x80) {
            m_out.push_back(static_cast<char>(value | 0x80));
            value >>= 7;
        }
        m_out.push_back(static_cast<char>(value));
    }

    template <archived_number T> void write(T value)
    {
        if constexpr (std::is_signed_v<T>) {
            const auto wide = static_cast<std::int64_t>(value);
            writeNumber((static_cast<std::uint64_t>(wide) << 1) ^ static_cast<std::uint64_t>(wide >> 63));
        } else {
            writeNumber(static_cast<std::uint64_t>(value));
        }
    }
    void write(double value) { write(std::bit_cast<std::uint64_t>(value)); }
    void write(const std::string& text)
    {
        writeNumber(text.size());
        m_out += text;
    }
    template <class Tag, class Rep> void write(const strong_id<Tag, Rep>& id) { write(id.value()); }
    template <class Tag> void write(const quantity<Tag>& value) { write(value.count()); }
    void write(instant value) { write(toMicros(value)); }
    void write(duration value) { write(value.count()); }
    template <class T> static bool isEqual(const T& a, const T& b) { return a == b; }
    template <class T> static bool isEqual(const std::shared_ptr<const T>& a, const std::shared_ptr<const T>& b)
    {
        return a == b || *a == *b;
    }
    template <class T> void write(const std::vector<T>& items)
    {
        writeNumber(items.size());
        for (auto next = items.begin(); next != items.end();) {
            const auto end = std::find_if(next, items.end(), [&next](const T& each) { return !isEqual(each, *next); });
            writeNumber(static_cast<std::uint64_t>(end - next));
            write(*next);
            next = end;
        }
    }
    template <class T> void write(const std::shared_ptr<const T>& item) { write(*item); }
    template <archived_structure<archive_writer> T> void write(const T& item) { archiveFields(*this, item); }

    std::string& m_out;
};

/// Reads what `archive_writer` has written. Throws `std::runtime_error` where the bytes end early or a size is out of
/// bounds.
class archive_reader {
public:
    explicit archive_reader(std::string_view in)
        : m_in(in)
    {
    }

    template <class... T> void operator()(T&... values) { (read(values), ...); }
    bool isAtEnd() const { return m_in.empty(); }

    static constexpr std::uint64_t maxSequence = 65536;

private:
    static void require(bool condition)
    {
        if (!condition)
            throw std::runtime_error("archive cut short or with a size out of bounds");
    }

    std::uint64_t readNumber()
    {
        std::uint64_t out = 0;
        for (unsigned shift = 0;; shift += 7) {
            require(!m_in.empty() && shift < 64);
            const auto byte = static_cast<unsigned char>(m_in.front());
            m_in.remove_prefix(1);
            out |= std::uint64_t { byte & 0x7fU } << shift;
            if (byte < 0x80)
                return out;
        }
    }

    template <archived_number T> void read(T& out)
    {
        const auto number = readNumber();
        if constexpr (std::is_signed_v<T>)
            out = static_cast<T>((number >> 1) ^ (~(number & 1) + 1));
        else
            out = static_cast<T>(number);
    }
    void read(double& out)
    {
        std::uint64_t bits = 0;
        read(bits);
        out = std::bit_cast<double>(bits);
    }
    void read(std::string& out)
    {
        const auto size = readNumber();
        require(size <= m_in.size());
        out = m_in.substr(0, size);
        m_in.remove_prefix(size);
    }
    template <class Tag, class Rep> void read(strong_id<Tag, Rep>& out)
    {
        Rep value {};
        read(value);
        out = strong_id<Tag, Rep>(std::move(value));
    }
    template <class Tag> void read(quantity<Tag>& out)
    {
        std::int64_t count = 0;
        read(count);
        out = quantity<Tag>(count);
    }
    void read(instant& out)
    {
        std::int64_t micros = 0;
        read(micros);
        out = instantFromMicros(micros);
    }
    void read(duration& out)
    {
        std::int64_t count = 0;
        read(count);
        out = duration(count);
    }
    template <class T> void read(std::vector<T>& out)
    {
        const auto size = readNumber();
        require(size <= maxSequence);
        out.clear();
        out.reserve(size);
        while (out.size() < size) {
            const auto run = readNumber();
            require(run > 0 && run <= size - out.size());
            T item {};
            read(item);
            out.insert(out.end(), run, item);
        }
    }
    template <class T> void read(std::shared_ptr<const T>& out)
    {
        auto item = std::make_shared<T>();
        read(*item);
        out = std::move(item);
    }
    template <archived_structure<archive_reader> T> void read(T& item) { archiveFields(*this, item); }

    std::string_view m_in;
};

} // namespace poplardeal::detail
