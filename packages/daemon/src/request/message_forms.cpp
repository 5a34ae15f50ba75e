#include "request/message_forms.h"

#include <algorithm>
#include <array>
#include <memory>
#include <xxhash.h>

namespace poplardeal::detail {

static bool isForwarded(const std::string& name)
{
    static constexpr std::array connectionHeaders { "connection", "keep-alive", "te", "trailer", "transfer-encoding",
        "upgrade", "host", "content-length", "expect", "proxy-connection", "proxy-authenticate",
        "proxy-authorization" };
    if (std::ranges::find(connectionHeaders, name) != connectionHeaders.end())
        return false;
    return !name.starts_with("x-poplardeal-") || name == "x-poplardeal-caller";
}

announcement fromMessage(const message::announceT& announced)
{
    const bool isServing = announced.state == message::endpoint_state::serving;
    return announcement { endpoint_id(announced.endpoint), service_name(announced.service),
        data_centre_name(announced.data_centre), incarnation(announced.incarnation), announced.sequence,
        isServing ? endpoint_state::serving : endpoint_state::draining, announced.slots, announced.free_slots,
        announced.queued };
}

message::announceT toMessage(const announcement& announced)
{
    message::announceT object;
    object.endpoint = announced.endpoint.value();
    object.service = announced.service.value();
    object.data_centre = announced.dataCentre.value();
    object.incarnation = announced.process.value();
    object.sequence = announced.sequence;
    object.state = announced.state == endpoint_state::serving ? message::endpoint_state::serving
                                                              : message::endpoint_state::draining;
    object.slots = announced.slots;
    object.free_slots = announced.freeSlots;
    object.queued = announced.queued;
    return object;
}

static std::unique_ptr<message::headerT> makeHeader(const std::string& name, const std::string& value)
{
    auto header = std::make_unique<message::headerT>();
    header->name = name;
    header->value = value;
    return header;
}

header_list forwardedHeaders(const http_headers& headers)
{
    header_list forwarded;
    for (const auto& [name, value] : headers) {
        if (isForwarded(name))
            forwarded.push_back(makeHeader(name, value));
    }
    return forwarded;
}

http_headers toHttpHeaders(const header_list& headers)
{
    http_headers taken;
    for (const auto& header : headers) {
        if (header && isForwarded(header->name))
            taken[header->name] = header->value;
    }
    return taken;
}

std::vector<std::pair<std::string, std::string>> toPairs(const header_list& headers)
{
    std::vector<std::pair<std::string, std::string>> pairs;
    for (const auto& header : headers) {
        if (header)
            pairs.emplace_back(header->name, header->value);
    }
    return pairs;
}

header_list fromPairs(const std::vector<std::pair<std::string, std::string>>& pairs)
{
    header_list headers;
    headers.reserve(pairs.size());
    for (const auto& [name, value] : pairs)
        headers.push_back(makeHeader(name, value));
    return headers;
}

std::string toText(const std::vector<std::uint8_t>& bytes) { return { bytes.begin(), bytes.end() }; }

std::vector<std::uint8_t> toBytes(std::string_view text) { return { text.begin(), text.end() }; }

std::uint64_t bodyChecksum(const std::vector<std::uint8_t>& body) { return XXH3_64bits(body.data(), body.size()); }

std::uint64_t requestFingerprint(const http_request& request, const std::string& service, const std::string& path)
{
    // Each part is hashed with the hash so far as seed, so that moving a byte from one part to the next changes it.
    std::uint64_t hash = 0;
    for (const auto* part : { &service, &request.method, &path, &request.query, &request.body })
        hash = XXH3_64bits_withSeed(part->data(), part->size(), hash);
    return hash;
}

} // namespace poplardeal::detail
