#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace poplardeal::detail {

/// Writes lines to a descriptor and never waits for its reader. Lines that do not fit into the buffer are dropped and
/// counted; a line that says how many follows once there is room. Not safe for several threads.
class line_writer {
public:
    /// `droppedLine` makes the line, without its end, for a number of dropped ones.
    line_writer(int descriptor, std::function<std::string(std::uint64_t)> droppedLine);

    /// `line` without its end.
    void write(std::string_view line);

    /// Bytes that wait for the reader.
    static constexpr std::size_t maxBuffered = std::size_t { 256 } * 1024;

private:
    void flush();

    int m_descriptor;
    std::function<std::string(std::uint64_t)> m_droppedLine;
    std::string m_buffer;
    std::uint64_t m_dropped { 0 };
};

} // namespace poplardeal::detail
