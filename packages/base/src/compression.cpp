#include <memory>
#include <poplardeal/base/compression.h>
#include <zstd.h>

namespace poplardeal {

namespace {

    constexpr int compressionLevel = 3;
    /// Content from which matches are also sought far back. A deployment repeats its names megabytes apart.
    constexpr std::size_t longDistanceThreshold = std::size_t { 512 } * 1024;
    constexpr int longDistanceWindowLog = 24; ///< Base 2 logarithm of the window in bytes: 16 MiB.
    constexpr std::string_view frameMagic { "\x28\xb5\x2f\xfd", 4 };

    struct context_deleter {
        void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
    };

} // namespace

std::string compress(std::string_view bytes)
{
    const std::unique_ptr<ZSTD_CCtx, context_deleter> context(ZSTD_createCCtx());
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compressionLevel);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    if (bytes.size() >= longDistanceThreshold) {
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, longDistanceWindowLog);
    }
    std::string out(ZSTD_compressBound(bytes.size()), '\0');
    // Cannot fail: the buffer has the size of the worst case.
    out.resize(ZSTD_compress2(context.get(), out.data(), out.size(), bytes.data(), bytes.size()));
    out.shrink_to_fit();
    return out;
}

bool isCompressed(std::string_view bytes) { return bytes.starts_with(frameMagic); }

result<std::string> decompress(std::string_view bytes, std::size_t maxBytes)
{
    const auto size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR)
        return failure { failure_code::corrupt, "compressed data: no frame with a content size" };
    if (size > maxBytes)
        return failure { failure_code::too_large,
            "compressed data: content of " + std::to_string(size) + " bytes, at most " + std::to_string(maxBytes) };
    std::string out(size, '\0');
    const auto read = ZSTD_decompress(out.data(), out.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(read) != 0 || read != size)
        return failure { failure_code::corrupt,
            std::string("compressed data: ") + (ZSTD_isError(read) != 0 ? ZSTD_getErrorName(read) : "wrong size") };
    return out;
}

} // namespace poplardeal
