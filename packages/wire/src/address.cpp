#include "gobject_ptr.h"
#include "socket_address.h"
#include <charconv>
#include <poplardeal/wire/address.h>

namespace poplardeal {
namespace detail {

    static failure badAddress(std::string_view text)
    {
        return { failure_code::invalid_argument, "'" + std::string(text) + "' is not IP:PORT" };
    }

    static bool parsePort(std::string_view text, std::uint16_t& port)
    {
        const auto* end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data(), end, port);
        return parsed.ec == std::errc() && parsed.ptr == end;
    }

    static std::string canonicalIp(const std::string& text)
    {
        if (text.find('\0') != std::string::npos)
            return {};
        const object_ptr<GInetAddress> ip(g_inet_address_new_from_string(text.c_str()));
        if (!ip)
            return {};
        char* shown = g_inet_address_to_string(ip.get());
        std::string canonical(shown);
        g_free(shown);
        return canonical;
    }

    object_ptr<GSocketAddress> toSocketAddress(const address& a)
    {
        return object_ptr<GSocketAddress>(g_inet_socket_address_new_from_string(a.ip.c_str(), a.port));
    }

    address fromSocketAddress(GSocketAddress* a)
    {
        if (a == nullptr || !G_IS_INET_SOCKET_ADDRESS(a))
            return {};
        auto* inet = G_INET_SOCKET_ADDRESS(a);
        char* shown = g_inet_address_to_string(g_inet_socket_address_get_address(inet));
        address converted { shown, g_inet_socket_address_get_port(inet) };
        g_free(shown);
        return converted;
    }

} // namespace detail

result<address> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return detail::badAddress(text);
    auto ip = text.substr(0, colon);
    const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (bracketed)
        ip = ip.substr(1, ip.size() - 2);
    if (bracketed != (ip.find(':') != std::string_view::npos))
        return detail::badAddress(text);
    address parsed;
    parsed.ip = detail::canonicalIp(std::string(ip));
    if (parsed.ip.empty() || !detail::parsePort(text.substr(colon + 1), parsed.port))
        return detail::badAddress(text);
    return parsed;
}

std::string toString(const address& a)
{
    const auto port = ":" + std::to_string(a.port);
    return a.ip.find(':') == std::string::npos ? a.ip + port : "[" + a.ip + "]" + port;
}

bool isConnectable(const address& a)
{
    constexpr const char* broadcast = "255.255.255.255";
    const detail::object_ptr<GInetAddress> ip(g_inet_address_new_from_string(a.ip.c_str()));
    return ip && a.port != 0 && a.ip != broadcast && !g_inet_address_get_is_any(ip.get())
        && !g_inet_address_get_is_multicast(ip.get());
}

} // namespace poplardeal
