#pragma once

#include <cstddef>
#include <poplardeal/base/failure.h>
#include <string>
#include <string_view>

namespace poplardeal {

/// A Zstandard frame (RFC 8878) that holds `bytes`. Deterministic for one version of the library.
std::string compress(std::string_view bytes);

/// Whether the bytes begin like a Zstandard frame.
bool isCompressed(std::string_view bytes);

/// The content of a frame made by `compress`. Fails with `too_large` if the frame declares more than `maxBytes`, before
/// any memory is taken for it, and with `corrupt` if the bytes are not a whole frame.
result<std::string> decompress(std::string_view bytes, std::size_t maxBytes);

} // namespace poplardeal
