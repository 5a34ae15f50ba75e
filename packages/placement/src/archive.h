#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <poplardeal/base/strong.h>
#include <poplardeal/base/time.h>
#include <set>
#include <stdexcept>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>
#include <vector>

namespace poplardeal::detail {

/// Appends values to one JSON array. A structure is an array of its fields, as `describeFields(archive, structure)`
/// names them; the same function serves reading and writing, so the two cannot differ.
class state_writer {
public:
    static constexpr bool isReading = false;

    template <class... Fields> void operator()(const Fields&... fields) { (m_array.push_back(encode(fields)), ...); }
    nlohmann::json take() { return std::move(m_array); }

    template <class T> static nlohmann::json encode(const T& value)
    {
        if constexpr (std::is_enum_v<T>)
            return static_cast<std::int64_t>(value);
        else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>)
            return value;
        else if constexpr (std::is_same_v<T, instant>)
            return toMicros(value);
        else if constexpr (requires { value.count(); })
            return static_cast<std::int64_t>(value.count());
        else if constexpr (requires { typename T::rep; })
            return value.value();
        else if constexpr (requires { value.has_value(); })
            return value ? nlohmann::json::array({ encode(*value) }) : nlohmann::json::array();
        else if constexpr (requires { value.begin(); })
            return encodeRange(value);
        else if constexpr (requires { std::tuple_size<T>::value; })
            return std::apply([](const auto&... members) { return encodeAll(members...); }, value);
        else {
            state_writer inner;
            describeFields(inner, const_cast<T&>(value));
            return inner.take();
        }
    }

private:
    template <class Range> static nlohmann::json encodeRange(const Range& range)
    {
        auto array = nlohmann::json::array();
        for (const auto& element : range)
            array.push_back(encode(element));
        return array;
    }

    template <class... Members> static nlohmann::json encodeAll(const Members&... members)
    {
        auto array = nlohmann::json::array();
        (array.push_back(encode(members)), ...);
        return array;
    }

    nlohmann::json m_array = nlohmann::json::array();
};

/// Reads what `state_writer` wrote. Throws `nlohmann::json::exception` on a value of another type.
class state_reader {
public:
    static constexpr bool isReading = true;

    explicit state_reader(const nlohmann::json& array)
        : m_array(array)
    {
    }

    template <class... Fields> void operator()(Fields&... fields) { (decode(m_array.at(m_next++), fields), ...); }

    template <class T> static void decode(const nlohmann::json& from, T& value)
    {
        if constexpr (std::is_enum_v<T>)
            value = static_cast<T>(from.get<std::int64_t>());
        else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>)
            value = from.get<T>();
        else if constexpr (std::is_same_v<T, instant>)
            value = instantFromMicros(from.get<std::int64_t>());
        else if constexpr (requires { value.count(); })
            value = T(from.get<std::int64_t>());
        else if constexpr (requires { typename T::rep; })
            value = T(from.get<typename T::rep>());
        else if constexpr (requires { value.has_value(); })
            decodeOptional(from, value);
        else if constexpr (requires { value.begin(); })
            decodeRange(from, value);
        else if constexpr (requires { std::tuple_size<T>::value; })
            std::apply([&](auto&... members) { decodeAll(from, members...); }, value);
        else {
            state_reader inner(from);
            describeFields(inner, value);
        }
    }

private:
    template <class T> static void decodeOptional(const nlohmann::json& from, T& value)
    {
        value.reset();
        if (!from.empty())
            decode(from.at(0), value.emplace());
    }

    /// Keys of maps and sets are const in their element type.
    template <class T> struct element_of {
        using type = T;
    };
    template <class Key, class Value> struct element_of<std::pair<const Key, Value>> {
        using type = std::pair<Key, Value>;
    };

    template <class Range> static void decodeRange(const nlohmann::json& from, Range& range)
    {
        range.clear();
        for (const auto& element : from.get_ref<const nlohmann::json::array_t&>()) {
            typename element_of<typename Range::value_type>::type value {};
            decode(element, value);
            range.insert(range.end(), std::move(value));
        }
    }

    template <class... Members> static void decodeAll(const nlohmann::json& from, Members&... members)
    {
        std::size_t next = 0;
        (decode(from.at(next++), members), ...);
    }

    const nlohmann::json& m_array;
    std::size_t m_next { 0 };
};

} // namespace poplardeal::detail
