#include "placement_json.h"

#include <poplardeal/base/json.h>
#include <poplardeal/control/control_command.h>
#include <type_traits>

namespace poplardeal {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(order_origin, id, operatorName)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(apply_deployment, origin, base, toml)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(order_data_centre, origin, dataCentre, inService)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(submit_job, origin, workspace, job)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(cancel_job, origin, job)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(claim_key, service, key, endpoint, instance, request, fingerprint)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(settle_key, service, key, request, verdict)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(worker_joined, worker)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(worker_lost, worker, instance)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(worker_suspected, worker, instance)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(worker_recovered, worker, instance)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(task_reported, task, lease, kind, detail)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(usage_reported, task, lease, used)

namespace detail {

    using json = nlohmann::json;

    // Values of the "kind" member. They are stored in logs and snapshots and must not be renumbered.
    enum class entry_kind : int {
        apply_deployment = 1,
        order_data_centre = 2,
        submit_job = 3,
        cancel_job = 4,
        claim_key = 5,
        settle_key = 6,
        worker_joined = 7,
        worker_lost = 8,
        worker_suspected = 9,
        worker_recovered = 10,
        task_reported = 11,
        usage_reported = 12,
        time_passed = 13,
    };

    template <class T> constexpr entry_kind kindOf()
    {
        if constexpr (std::is_same_v<T, apply_deployment>)
            return entry_kind::apply_deployment;
        else if constexpr (std::is_same_v<T, order_data_centre>)
            return entry_kind::order_data_centre;
        else if constexpr (std::is_same_v<T, submit_job>)
            return entry_kind::submit_job;
        else if constexpr (std::is_same_v<T, cancel_job>)
            return entry_kind::cancel_job;
        else if constexpr (std::is_same_v<T, claim_key>)
            return entry_kind::claim_key;
        else if constexpr (std::is_same_v<T, settle_key>)
            return entry_kind::settle_key;
        else if constexpr (std::is_same_v<T, worker_joined>)
            return entry_kind::worker_joined;
        else if constexpr (std::is_same_v<T, worker_lost>)
            return entry_kind::worker_lost;
        else if constexpr (std::is_same_v<T, worker_suspected>)
            return entry_kind::worker_suspected;
        else if constexpr (std::is_same_v<T, worker_recovered>)
            return entry_kind::worker_recovered;
        else if constexpr (std::is_same_v<T, task_reported>)
            return entry_kind::task_reported;
        else
            return entry_kind::usage_reported;
    }

    template <class T>
    concept encodable_event = std::is_same_v<T, worker_joined> || std::is_same_v<T, worker_lost> || std::is_same_v<T,
        worker_suspected> || std::is_same_v<T, worker_recovered> || std::is_same_v<T,
        task_reported> || std::is_same_v<T, usage_reported>;

    static json encodeEvent(const placement_event& event)
    {
        return std::visit(
            [](const auto& e) -> json {
                using event_type = std::decay_t<decltype(e)>;
                if constexpr (encodable_event<event_type>)
                    return { { "kind", static_cast<int>(kindOf<event_type>()) }, { "body", e } };
                else
                    return { { "kind", static_cast<int>(entry_kind::time_passed) }, { "body", nullptr } };
            },
            event);
    }

    static json encodeCommand(const control_command& command)
    {
        return std::visit(
            [](const auto& c) -> json {
                using command_type = std::decay_t<decltype(c)>;
                if constexpr (std::is_same_v<command_type, observe_placement>)
                    return encodeEvent(c.event);
                else
                    return { { "kind", static_cast<int>(kindOf<command_type>()) }, { "body", c } };
            },
            command);
    }

    template <class T> static control_command readCommand(const json& body)
    {
        if constexpr (encodable_event<T>)
            return observe_placement { body.get<T>() };
        else
            return body.get<T>();
    }

    static control_command decodeCommand(entry_kind kind, const json& body)
    {
        switch (kind) {
        case entry_kind::apply_deployment:
            return readCommand<apply_deployment>(body);
        case entry_kind::order_data_centre:
            return readCommand<order_data_centre>(body);
        case entry_kind::submit_job:
            return readCommand<submit_job>(body);
        case entry_kind::cancel_job:
            return readCommand<cancel_job>(body);
        case entry_kind::claim_key:
            return readCommand<claim_key>(body);
        case entry_kind::settle_key:
            return readCommand<settle_key>(body);
        case entry_kind::worker_joined:
            return readCommand<worker_joined>(body);
        case entry_kind::worker_lost:
            return readCommand<worker_lost>(body);
        case entry_kind::worker_suspected:
            return readCommand<worker_suspected>(body);
        case entry_kind::worker_recovered:
            return readCommand<worker_recovered>(body);
        case entry_kind::task_reported:
            return readCommand<task_reported>(body);
        case entry_kind::usage_reported:
            return readCommand<usage_reported>(body);
        case entry_kind::time_passed:
            return observe_placement { time_passed {} };
        }
        throw std::invalid_argument("unknown kind of control entry");
    }

} // namespace detail

std::string encodeControlEntry(const control_entry& entry)
{
    auto object = detail::encodeCommand(entry.command);
    object["time"] = entry.time;
    std::string bytes;
    nlohmann::json::to_cbor(object, bytes);
    return bytes;
}

result<control_entry> decodeControlEntry(std::string_view bytes)
{
    // nlohmann-json reports malformed input by exceptions; they end here.
    try {
        const auto object = nlohmann::json::from_cbor(bytes.begin(), bytes.end());
        const auto kind = static_cast<detail::entry_kind>(object.at("kind").get<int>());
        return control_entry { object.at("time").get<instant>(), detail::decodeCommand(kind, object.at("body")) };
    } catch (const std::exception& error) {
        return failure { failure_code::corrupt, std::string("control entry: ") + error.what() };
    }
}

} // namespace poplardeal
