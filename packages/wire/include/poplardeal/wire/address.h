#pragma once

#include <compare>
#include <cstdint>
#include <poplardeal/base/failure.h>
#include <string>
#include <string_view>

namespace poplardeal {

/// An IP number and a TCP port. Host names are not taken.
struct address {
    std::string ip;
    std::uint16_t port { 0 };

    // The check takes a defaulted <=> for a comparison with 0.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const address&, const address&) = default;
};

/// Reads "127.0.0.1:7001" or "[::1]:7001".
result<address> parseAddress(std::string_view);
std::string toString(const address&);

/// Whether one process can listen at the address: it has a port, and its IP number is neither unspecified, multicast
/// nor broadcast.
bool isConnectable(const address&);

} // namespace poplardeal
