#pragma once

#include <cstddef>
#include <optional>
#include <poplardeal/wire/connection_budget.h>
#include <string>

namespace poplardeal::detail {

/// What the framing of a request depends on, read before libsoup sees the request.
struct request_head {
    std::size_t size { 0 }; ///< With the empty line that ends it.
    std::size_t fields { 0 };
    std::size_t bodySize { 0 };
    bool expectsContinue { false };
    std::optional<refusal_reason> fault;
};

/// Position after the empty line that ends a head, 0 if it has not arrived. Looks from `from`.
std::size_t findHeadEnd(const std::string& bytes, std::size_t from);

/// Reads the head in the first `size` bytes and removes its Expect field, which the connection answers itself.
/// `malformed` also for what libsoup may read in another way: NUL, space before a colon, a repeated Content-Length.
request_head takeRequestHead(std::string& bytes, std::size_t size, std::size_t maxFields, std::size_t maxBody);

} // namespace poplardeal::detail
