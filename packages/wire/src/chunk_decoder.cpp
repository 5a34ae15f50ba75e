#include "chunk_decoder.h"
#include <algorithm>
#include <charconv>

namespace poplardeal::detail {

static failure corruptChunk() { return { failure_code::corrupt, "malformed chunk in the response body" }; }

result<bool> chunk_decoder::append(std::string_view bytes)
{
    while (!bytes.empty() && m_state != state::whole) {
        if (m_state == state::data) {
            takeData(bytes);
            continue;
        }
        if (!takeLine(bytes)) {
            if (m_line.size() > maxLine)
                return corruptChunk();
            continue;
        }
        const auto ended = endLine();
        if (ended.has_error())
            return ended.error();
    }
    return m_state == state::whole;
}

bool chunk_decoder::takeLine(std::string_view& bytes)
{
    const auto end = bytes.find('\n');
    if (end == std::string_view::npos) {
        m_line += bytes;
        bytes = {};
        return false;
    }
    m_line += bytes.substr(0, end);
    bytes.remove_prefix(end + 1);
    return true;
}

result<bool> chunk_decoder::endLine()
{
    if (m_line.empty() || m_line.back() != '\r')
        return corruptChunk();
    m_line.pop_back();
    if (m_state == state::size)
        return startChunk();
    if (m_state == state::data_end) {
        if (!m_line.empty())
            return corruptChunk();
        m_state = state::size;
    } else if (m_line.empty()) {
        m_state = state::whole;
    }
    m_line.clear();
    return true;
}

result<bool> chunk_decoder::startChunk()
{
    constexpr int hexadecimal = 16;
    const auto* end = m_line.data() + m_line.size();
    const auto parsed = std::from_chars(m_line.data(), end, m_left, hexadecimal);
    const bool endsWell = parsed.ptr == end || *parsed.ptr == ';' || *parsed.ptr == ' ';
    if (parsed.ec != std::errc() || !endsWell)
        return corruptChunk();
    if (m_left > m_maxBody - m_body.size())
        return failure { failure_code::too_large, "response body over " + std::to_string(m_maxBody) + " bytes" };
    m_state = m_left == 0 ? state::trailer : state::data;
    m_line.clear();
    return true;
}

void chunk_decoder::takeData(std::string_view& bytes)
{
    const auto taken = std::min<std::uint64_t>(m_left, bytes.size());
    m_body += bytes.substr(0, taken);
    bytes.remove_prefix(taken);
    m_left -= taken;
    if (m_left == 0)
        m_state = state::data_end;
}

} // namespace poplardeal::detail
