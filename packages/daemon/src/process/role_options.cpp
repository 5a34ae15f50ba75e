#include "process/role_options.h"

#include <xxhash.h>

namespace poplardeal::detail {

// Version of the messages, sent in each hello.
constexpr std::uint32_t protocolVersion = 1;

/// Differs between instances, so that their random choices and delays do not run in step.
static std::uint64_t seedOf(const std::string& name) { return XXH3_64bits(name.data(), name.size()); }

result<entry_options> entryOptions(const daemon_settings& settings)
{
    if (!settings.entry)
        return failure { failure_code::invalid_argument, "the settings are not those of an entry" };
    const auto& own = *settings.entry;
    return entry_options { settings.name, settings.dataCentre.value(), own.http, own.listen, own.controls,
        seedOf(settings.name) };
}

result<sidecar_options> sidecarOptions(const daemon_settings& settings)
{
    if (!settings.sidecar || settings.sidecar->beside != sidecar_kind::endpoint)
        return failure { failure_code::invalid_argument, "the settings are not those of an endpoint sidecar" };
    const auto& own = *settings.sidecar;
    sidecar_options taken { settings.name, settings.dataCentre.value(), own.service.value(), own.target, own.entries,
        own.controls, own.http, {}, seedOf(settings.name) };
    taken.limits.slots = own.slots;
    taken.limits.connections = own.connections;
    return taken;
}

static message::helloT makeHello(message::process_role role, const std::string& name, const std::string& dataCentre)
{
    message::helloT hello;
    hello.role = role;
    hello.name = name;
    hello.data_centre = dataCentre;
    hello.protocol = protocolVersion;
    return hello;
}

message::helloT helloOf(const entry_options& settings)
{
    return makeHello(message::process_role::entry, settings.name, settings.dataCentre);
}

message::helloT helloOf(const sidecar_options& settings)
{
    return makeHello(message::process_role::endpoint_sidecar, settings.name, settings.dataCentre);
}

template <class Settings> static control_links_settings makeControlLinks(const Settings& settings)
{
    control_links_settings made;
    made.controls = settings.controls;
    made.hello = helloOf(settings);
    made.seed = settings.seed;
    return made;
}

control_links_settings controlLinksSettings(const entry_options& settings) { return makeControlLinks(settings); }

control_links_settings controlLinksSettings(const sidecar_options& settings) { return makeControlLinks(settings); }

call_router_settings callRouterSettings(const entry_options& settings, instant wallClock)
{
    call_router_settings made;
    made.name = settings.name;
    made.dataCentre = data_centre_name(settings.dataCentre);
    made.seed = settings.seed;
    made.incarnation = static_cast<std::uint64_t>(toMicros(wallClock));
    return made;
}

request_runner_settings requestRunnerSettings(const sidecar_options& settings)
{
    request_runner_settings made;
    made.service = service_name(settings.service);
    made.runner = settings.runner;
    made.limits = settings.limits;
    return made;
}

} // namespace poplardeal::detail
