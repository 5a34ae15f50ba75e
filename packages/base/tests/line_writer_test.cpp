#include "line_writer.h"
#include <array>
#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <sstream>
#include <unistd.h>

using namespace poplardeal::detail;

namespace {

/// A pipe whose reader reads only when the test says so.
struct pipe_fixture {
    std::array<int, 2> ends {};
    line_writer writer;

    pipe_fixture()
        : writer(open(), [](std::uint64_t count) { return "dropped " + std::to_string(count); })
    {
    }
    ~pipe_fixture()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    int open()
    {
        BOOST_REQUIRE(::pipe(ends.data()) == 0);
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
        return ends[1];
    }

    std::string readAll() const
    {
        std::string out;
        std::array<char, 65536> chunk {};
        for (auto count = ::read(ends[0], chunk.data(), chunk.size()); count > 0;
             count = ::read(ends[0], chunk.data(), chunk.size()))
            out.append(chunk.data(), static_cast<std::size_t>(count));
        return out;
    }
};

} // namespace

// Guards against lines that are held back or changed while the reader keeps up.
BOOST_FIXTURE_TEST_CASE(lines_pass_at_once, pipe_fixture)
{
    writer.write("one");
    writer.write(std::string(20000, 'x'));
    BOOST_TEST(readAll() == "one\n" + std::string(20000, 'x') + "\n");
}

// Guards against a daemon that stands still because nobody reads its log, against half lines, and against lines that
// are lost without a word.
BOOST_FIXTURE_TEST_CASE(a_stalled_reader_costs_lines_that_are_counted, pipe_fixture)
{
    constexpr std::uint64_t lines = 20000;
    const std::string line(100, 'y');
    for (std::uint64_t i = 0; i < lines; ++i)
        writer.write(line);
    std::string text;
    for (int i = 0; i < 20; ++i) {
        text += readAll();
        writer.write("tick");
    }
    text += readAll();
    std::uint64_t whole = 0;
    std::uint64_t ticks = 0;
    std::uint64_t dropped = 0;
    std::istringstream in(text);
    for (std::string each; std::getline(in, each);) {
        if (each.starts_with("dropped "))
            dropped += std::stoull(each.substr(8));
        else if (each == "tick")
            ++ticks;
        else if (each == line)
            ++whole;
        else
            BOOST_ERROR("a broken line: " + each);
    }
    BOOST_TEST(whole > 0U);
    BOOST_TEST(dropped > 0U);
    BOOST_TEST(whole + ticks + dropped == lines + 20);
}
