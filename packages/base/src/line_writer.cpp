#include "line_writer.h"
#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <unistd.h>

namespace poplardeal::detail {

namespace {

    /// A pipe that polls as writable takes this many bytes at once (PIPE_BUF on Linux).
    constexpr std::size_t pipeChunk = 4096;

} // namespace

line_writer::line_writer(int descriptor, std::function<std::string(std::uint64_t)> droppedLine)
    : m_descriptor(descriptor)
    , m_droppedLine(std::move(droppedLine))
{
}

void line_writer::write(std::string_view line)
{
    flush();
    if (m_dropped > 0) {
        const auto notice = m_droppedLine(m_dropped);
        if (m_buffer.size() + notice.size() + line.size() + 2 <= maxBuffered) {
            m_buffer.append(notice).push_back('\n');
            m_dropped = 0;
        }
    }
    if (m_dropped > 0 || m_buffer.size() + line.size() + 1 > maxBuffered) {
        ++m_dropped;
        return;
    }
    m_buffer.append(line).push_back('\n');
    flush();
}

void line_writer::flush()
{
    std::size_t done = 0;
    while (done < m_buffer.size()) {
        pollfd writable { m_descriptor, POLLOUT, 0 };
        if (::poll(&writable, 1, 0) <= 0 || (writable.revents & POLLOUT) == 0)
            break;
        const auto count = ::write(m_descriptor, m_buffer.data() + done, std::min(pipeChunk, m_buffer.size() - done));
        if (count < 0 && errno != EINTR)
            break;
        done += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    m_buffer.erase(0, done);
}

} // namespace poplardeal::detail
