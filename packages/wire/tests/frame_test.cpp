#include <boost/test/unit_test.hpp>
#include <poplardeal/base/logical_clock.h>
#include <poplardeal/wire/frame.h>
#include <rapidcheck.h>
#include <vector>
#include <xxhash.h>

using namespace poplardeal;

BOOST_AUTO_TEST_SUITE(frames)

namespace {

frame_kind kindFromNumber(unsigned number)
{
    const auto count = static_cast<unsigned>(lastFrameKind);
    return static_cast<frame_kind>(1 + number % count);
}

rc::Gen<frame> anyFrame()
{
    return rc::gen::build<frame>(
        rc::gen::set(&frame::kind, rc::gen::map(rc::gen::arbitrary<unsigned>(), kindFromNumber)),
        rc::gen::set(&frame::correlation), rc::gen::set(&frame::body));
}

bool sameContent(const frame& a, const frame& b)
{
    return a.kind == b.kind && a.correlation == b.correlation && a.body == b.body;
}

} // namespace

// Guards against frames that depend on how TCP cut the stream.
BOOST_AUTO_TEST_CASE(any_split_of_the_stream_gives_the_same_frames)
{
    const bool held = rc::check([] {
        const auto sent = *rc::gen::container<std::vector<frame>>(anyFrame());
        std::string stream;
        for (const auto& f : sent)
            stream += encodeFrame(f);
        frame_decoder decoder;
        std::vector<frame> received;
        for (std::size_t at = 0; at < stream.size();) {
            const auto size = *rc::gen::inRange<std::size_t>(1, 64);
            decoder.append(std::string_view(stream).substr(at, size));
            at += size;
            while (true) {
                auto next = decoder.next();
                RC_ASSERT(!next.has_error());
                if (!next.value())
                    break;
                received.push_back(std::move(*next.value()));
            }
        }
        RC_ASSERT(received.size() == sent.size());
        for (std::size_t i = 0; i < sent.size(); ++i)
            RC_ASSERT(sameContent(sent[i], received[i]));
    });
    BOOST_TEST(held);
}

// Guards against a damaged frame being taken for a message. A longer length waits for bytes, so one more frame follows.
BOOST_AUTO_TEST_CASE(every_flipped_bit_is_refused)
{
    const bool held = rc::check([] {
        const auto sent = *anyFrame();
        const auto whole = encodeFrame(sent);
        static const auto padding = std::string(2 * maxRequestBody, '\0');
        const auto bit = *rc::gen::inRange<std::size_t>(0, whole.size() * 8);
        auto damaged = whole;
        damaged[bit / 8] = static_cast<char>(damaged[bit / 8] ^ (1 << (bit % 8)));
        frame_decoder decoder;
        decoder.append(damaged);
        auto next = decoder.next();
        if (!next.has_error() && !next.value()) {
            decoder.append(padding);
            next = decoder.next();
        }
        RC_ASSERT(next.has_error());
        decoder.append(whole);
        RC_ASSERT(decoder.next().has_error());
    });
    BOOST_TEST(held);
}

// Guards against an announced length that makes the receiver take memory for it.
BOOST_AUTO_TEST_CASE(oversized_length_is_refused_by_the_header_alone)
{
    for (const auto kind : { frame_kind::announce, frame_kind::request }) {
        auto header = encodeFrame({ kind, 1, "" });
        const auto length = static_cast<std::uint32_t>(maxFrameBody(kind) + 1);
        for (int i = 0; i < 4; ++i)
            header[i] = static_cast<char>((length >> (8 * i)) & 0xff);
        frame_decoder decoder;
        decoder.append(header);
        const auto next = decoder.next();
        BOOST_REQUIRE(next.has_error());
        BOOST_TEST((next.error().code == failure_code::too_large));
    }
}

// Guards against a silent change of the layout, and against an event that is ordered before the message that caused it.
BOOST_AUTO_TEST_CASE(layout_is_fixed_and_the_sender_clock_is_observed)
{
    const auto clock = advanceLogicalClock() + 1000;
    std::string bytes("\x03\0\0\0"
                      "\x1a\0"
                      "\0\0"
                      "\x07\0\0\0\0\0\0\0",
        16);
    for (int i = 0; i < 8; ++i)
        bytes.push_back(static_cast<char>((clock >> (8 * i)) & 0xff));
    const auto checksum = XXH3_64bits_withSeed("end", 3, XXH3_64bits(bytes.data(), bytes.size()));
    for (int i = 0; i < 4; ++i)
        bytes.push_back(static_cast<char>((checksum >> (8 * i)) & 0xff));
    frame_decoder decoder;
    decoder.append(bytes + "end");
    const auto next = decoder.next();
    BOOST_REQUIRE(next.has_value());
    BOOST_REQUIRE(next.value().has_value());
    BOOST_TEST(sameContent(*next.value(), { frame_kind::goodbye, 7, "end" }));
    BOOST_TEST(advanceLogicalClock() > clock);
}

BOOST_AUTO_TEST_SUITE_END()
