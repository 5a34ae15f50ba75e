#pragma once

#include <nlohmann/json.hpp>
#include <poplardeal/base/ids.h>
#include <poplardeal/base/strong.h>
#include <poplardeal/base/time.h>
#include <poplardeal/base/units.h>

/// JSON forms of the base types, for records that are saved or replicated: ids and quantities as their plain values,
/// instants and durations in microseconds.
namespace nlohmann {

template <class Tag, class Rep> struct adl_serializer<poplardeal::strong_id<Tag, Rep>> {
    static void to_json(json& out, const poplardeal::strong_id<Tag, Rep>& id) { out = id.value(); }
    static void from_json(const json& in, poplardeal::strong_id<Tag, Rep>& id)
    {
        id = poplardeal::strong_id<Tag, Rep>(in.get<Rep>());
    }
};

template <class Tag> struct adl_serializer<poplardeal::quantity<Tag>> {
    static void to_json(json& out, const poplardeal::quantity<Tag>& q) { out = q.count(); }
    static void from_json(const json& in, poplardeal::quantity<Tag>& q)
    {
        q = poplardeal::quantity<Tag>(in.get<std::int64_t>());
    }
};

template <> struct adl_serializer<poplardeal::instant> {
    static void to_json(json& out, const poplardeal::instant& t) { out = poplardeal::toMicros(t); }
    static void from_json(const json& in, poplardeal::instant& t)
    {
        t = poplardeal::instantFromMicros(in.get<std::int64_t>());
    }
};

template <> struct adl_serializer<poplardeal::duration> {
    static void to_json(json& out, const poplardeal::duration& d) { out = d.count(); }
    static void from_json(const json& in, poplardeal::duration& d) { d = poplardeal::duration(in.get<std::int64_t>()); }
};

} // namespace nlohmann

namespace poplardeal {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(resources, cpu, memory, accelerator)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(task_id, job, index, attempt)

} // namespace poplardeal
