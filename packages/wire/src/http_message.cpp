#include "http_message.h"
#include <algorithm>
#include <array>
#include <cstring>

namespace poplardeal::detail {

static bool isTokenCharacter(char c) { return g_ascii_isalnum(c) || (c != '\0' && std::strchr("!#$%&'*+-.^_`|~", c)); }

bool isToken(std::string_view text) { return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter); }

static bool isHeaderValue(std::string_view text) { return text.find_first_of({ "\r\n\0", 3 }) == text.npos; }

static bool belongsToConnection(std::string_view name)
{
    static constexpr std::array<std::string_view, 10> names { "connection", "content-length", "expect", "host",
        "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade" };
    return std::find(names.begin(), names.end(), name) != names.end();
}

static std::string lowerCase(const char* text)
{
    std::string lower(text);
    for (auto& c : lower)
        c = g_ascii_tolower(c);
    return lower;
}

http_headers readHeaders(SoupMessageHeaders* headers)
{
    http_headers read;
    const auto add = [](const char* name, const char* value, gpointer data) {
        auto& to = *static_cast<http_headers*>(data);
        const auto [at, isNew] = to.emplace(lowerCase(name), value);
        if (!isNew)
            at->second += std::string(", ") + value;
    };
    soup_message_headers_foreach(headers, add, &read);
    return read;
}

std::size_t headersSize(SoupMessageHeaders* headers)
{
    std::size_t size = 0;
    const auto add = [](const char* name, const char* value, gpointer data) {
        *static_cast<std::size_t*>(data) += std::strlen(name) + std::strlen(value);
    };
    soup_message_headers_foreach(headers, add, &size);
    return size;
}

void writeHeaders(SoupMessageHeaders* headers, const http_headers& values)
{
    for (const auto& [name, value] : values) {
        const auto lower = lowerCase(name.c_str());
        if (isToken(name) && isHeaderValue(value) && !belongsToConnection(lower))
            soup_message_headers_replace(headers, name.c_str(), value.c_str());
    }
}

bytes_ptr makeBytes(std::string text)
{
    auto* held = new std::string(std::move(text));
    const auto release = [](gpointer data) { delete static_cast<std::string*>(data); };
    return bytes_ptr(g_bytes_new_with_free_func(held->data(), held->size(), release, held));
}

uri_ptr makeUri(const address& server, const http_request& request)
{
    const auto isVisible = [](char c) { return c > ' ' && c < 0x7f && c != '#'; };
    if (!std::all_of(request.query.begin(), request.query.end(), isVisible))
        return nullptr;
    if (request.path.empty() || request.path.front() != '/' || request.path.find('\0') != std::string::npos)
        return nullptr;
    char* path = g_uri_escape_string(request.path.c_str(), G_URI_RESERVED_CHARS_ALLOWED_IN_PATH, FALSE);
    const char* query = request.query.empty() ? nullptr : request.query.c_str();
    uri_ptr uri(g_uri_build(
        GUriFlags(SOUP_HTTP_URI_FLAGS), "http", nullptr, server.ip.c_str(), server.port, path, query, nullptr));
    g_free(path);
    return uri;
}

std::optional<std::string> decodePath(const char* encoded)
{
    char* decoded = g_uri_unescape_string(encoded, nullptr);
    if (decoded == nullptr)
        return std::nullopt;
    std::string path(decoded);
    g_free(decoded);
    return path;
}

} // namespace poplardeal::detail
