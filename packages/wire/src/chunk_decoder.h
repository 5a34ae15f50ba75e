#pragma once

#include <cstdint>
#include <poplardeal/base/failure.h>
#include <string>
#include <string_view>

namespace poplardeal::detail {

/// Decodes a body in chunked transfer coding (RFC 9112, 7.1). The body counts as whole only after its last chunk and
/// the empty line behind the trailers.
class chunk_decoder {
public:
    explicit chunk_decoder(std::size_t maxBody)
        : m_maxBody(maxBody)
    {
    }

    /// True once the body is whole. `corrupt` on a malformed chunk, `too_large` above the limit.
    result<bool> append(std::string_view bytes);
    std::string takeBody() { return std::move(m_body); }

private:
    enum class state {
        size,
        data,
        data_end,
        trailer,
        whole,
    };

    bool takeLine(std::string_view& bytes);
    result<bool> endLine();
    result<bool> startChunk();
    void takeData(std::string_view& bytes);

    static constexpr std::size_t maxLine = 8192;

    std::size_t m_maxBody;
    state m_state { state::size };
    std::string m_line;
    std::uint64_t m_left { 0 };
    std::string m_body;
};

} // namespace poplardeal::detail
