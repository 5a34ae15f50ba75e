#include <algorithm>
#include <poplardeal/base/logical_clock.h>
#include <poplardeal/wire/frame.h>
#include <xxhash.h>

namespace poplardeal {
namespace detail {

    static constexpr std::size_t checksumOffset = 24;

    struct frame_header {
        std::uint32_t length { 0 };
        std::uint16_t kind { 0 };
        std::uint16_t flags { 0 };
        std::uint64_t correlation { 0 };
        std::uint64_t clock { 0 };
        std::uint32_t checksum { 0 };
    };

    template <class Integer> static void putInteger(std::string& out, Integer value)
    {
        for (std::size_t i = 0; i < sizeof(Integer); ++i)
            out.push_back(static_cast<char>((value >> (8 * i)) & 0xff));
    }

    template <class Integer> static Integer takeInteger(std::string_view& in)
    {
        Integer value = 0;
        for (std::size_t i = 0; i < sizeof(Integer); ++i)
            value |= static_cast<Integer>(static_cast<Integer>(static_cast<unsigned char>(in[i])) << (8 * i));
        in.remove_prefix(sizeof(Integer));
        return value;
    }

    static frame_header readHeader(std::string_view bytes)
    {
        frame_header header;
        header.length = takeInteger<std::uint32_t>(bytes);
        header.kind = takeInteger<std::uint16_t>(bytes);
        header.flags = takeInteger<std::uint16_t>(bytes);
        header.correlation = takeInteger<std::uint64_t>(bytes);
        header.clock = takeInteger<std::uint64_t>(bytes);
        header.checksum = takeInteger<std::uint32_t>(bytes);
        return header;
    }

    static std::uint32_t frameChecksum(std::string_view headerFields, std::string_view body)
    {
        const auto seed = XXH3_64bits(headerFields.data(), headerFields.size());
        return static_cast<std::uint32_t>(XXH3_64bits_withSeed(body.data(), body.size(), seed));
    }

    static bool isKnownKind(std::uint16_t kind)
    {
        return kind >= static_cast<std::uint16_t>(frame_kind::hello)
            && kind <= static_cast<std::uint16_t>(lastFrameKind);
    }

    static std::optional<failure> checkHeader(const frame_header& header, std::size_t most)
    {
        if (!isKnownKind(header.kind))
            return failure { failure_code::corrupt, "frame of unknown kind " + std::to_string(header.kind) };
        if (header.flags != 0)
            return failure { failure_code::corrupt, "frame with unknown flags " + std::to_string(header.flags) };
        const auto limit = std::min(most, maxFrameBody(static_cast<frame_kind>(header.kind)));
        if (header.length > limit) {
            return failure { failure_code::too_large,
                "frame body of " + std::to_string(header.length) + " bytes, at most " + std::to_string(limit) };
        }
        return std::nullopt;
    }

} // namespace detail

std::size_t maxFrameBody(frame_kind kind)
{
    switch (kind) {
    case frame_kind::request:
    case frame_kind::response:
    case frame_kind::raft:
    case frame_kind::operator_call:
    case frame_kind::operator_answer:
    case frame_kind::queue_call:
    case frame_kind::worker_report:
        return maxRequestBody;
    default:
        return maxControlBody;
    }
}

std::string encodeFrame(const frame& f)
{
    std::string bytes;
    bytes.reserve(frameHeaderSize + f.body.size());
    detail::putInteger(bytes, static_cast<std::uint32_t>(f.body.size()));
    detail::putInteger(bytes, static_cast<std::uint16_t>(f.kind));
    detail::putInteger(bytes, std::uint16_t { 0 });
    detail::putInteger(bytes, f.correlation);
    detail::putInteger(bytes, advanceLogicalClock());
    detail::putInteger(bytes, detail::frameChecksum(bytes, f.body));
    bytes += f.body;
    return bytes;
}

struct frame_decoder::impl {
    std::string buffer;
    std::size_t consumed { 0 };
    std::size_t maxBody { maxRequestBody };
    std::optional<failure> failed;

    std::string_view unread() const { return std::string_view(buffer).substr(consumed); }

    result<std::optional<frame>> refuse(failure reason)
    {
        buffer = {};
        consumed = 0;
        failed = std::move(reason);
        return *failed;
    }

    void discard(std::size_t bytes)
    {
        consumed += bytes;
        if (consumed < buffer.size())
            return;
        // A decoder of an idle connection does not keep the memory of one large frame.
        if (buffer.capacity() > maxControlBody)
            buffer = {};
        buffer.clear();
        consumed = 0;
    }
};

frame_decoder::frame_decoder()
    : m_impl(std::make_unique<impl>())
{
}

frame_decoder::~frame_decoder() = default;
frame_decoder::frame_decoder(frame_decoder&&) noexcept = default;
frame_decoder& frame_decoder::operator=(frame_decoder&&) noexcept = default;

void frame_decoder::append(std::string_view bytes)
{
    if (m_impl->failed)
        return;
    if (m_impl->consumed > 0) {
        m_impl->buffer.erase(0, m_impl->consumed);
        m_impl->consumed = 0;
    }
    m_impl->buffer.append(bytes);
}

void frame_decoder::limitBody(std::size_t most) { m_impl->maxBody = most; }

result<std::optional<frame>> frame_decoder::next()
{
    if (m_impl->failed)
        return *m_impl->failed;
    const auto bytes = m_impl->unread();
    if (bytes.size() < frameHeaderSize)
        return std::optional<frame>();
    const auto header = detail::readHeader(bytes);
    if (auto reason = detail::checkHeader(header, m_impl->maxBody))
        return m_impl->refuse(std::move(*reason));
    if (bytes.size() < frameHeaderSize + header.length)
        return std::optional<frame>();
    const auto body = bytes.substr(frameHeaderSize, header.length);
    if (detail::frameChecksum(bytes.substr(0, detail::checksumOffset), body) != header.checksum)
        return m_impl->refuse({ failure_code::corrupt, "frame with a wrong checksum" });
    frame decoded { static_cast<frame_kind>(header.kind), header.correlation, std::string(body) };
    m_impl->discard(frameHeaderSize + header.length);
    observeLogicalClock(header.clock);
    return std::optional<frame>(std::move(decoded));
}

} // namespace poplardeal
