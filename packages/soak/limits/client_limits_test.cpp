#include "crowd.h"
#include "limited_process.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <iostream>
#include <poplardeal/wire/frame.h>
#include <string>
#include <thread>

using namespace poplardeal;
using namespace poplardeal::soak;

namespace {

constexpr std::size_t crowdSize = 200;
constexpr std::size_t maxResidentBytes = limitedMemoryMb * 1024 * 1024;

struct door_row {
    const char* name;
    process_kind kind;
    address (*server)();
    const char* path;
    address (*asked)(); ///< Where the ordinary request goes.
    const char* askedPath;
    std::size_t bodySize; ///< Legal there.
};

struct form_row {
    const char* name;
    crowd_form (*make)(const door_row&);
};

std::string head(const door_row& door, const std::string& fields)
{
    return std::string("POST ") + door.path + " HTTP/1.1\r\nHost: a\r\n" + fields;
}

std::string bodyButLastByte(const door_row& door)
{
    return head(door, "Content-Length: " + std::to_string(door.bodySize) + "\r\n\r\n")
        + std::string(door.bodySize - 1, 'x');
}

crowd_form inOnePiece(const door_row& door) { return { bodyButLastByte(door), door.bodySize }; }

crowd_form inSmallPieces(const door_row& door) { return { bodyButLastByte(door), 400 }; }

crowd_form inChunks(const door_row& door)
{
    std::string body;
    while (body.size() < door.bodySize)
        body += "100\r\n" + std::string(256, 'x') + "\r\n";
    return { head(door, "Transfer-Encoding: chunked\r\n\r\n") + body, 4096 };
}

crowd_form farOver(const door_row& door)
{
    return { head(door, "Content-Length: 1000000000\r\n\r\n") + std::string(std::size_t { 1024 } * 1024, 'x'), 65536 };
}

std::string shortFields()
{
    std::string fields;
    for (int i = 0; i < 2200; ++i)
        fields += std::string(1, static_cast<char>('a' + i % 26)) + std::to_string(i % 90 + 10) + ":b\r\n";
    return fields;
}

crowd_form fieldsWithoutEnd(const door_row& door) { return { head(door, shortFields()), 16384 }; }

crowd_form fieldsWithoutBody(const door_row& door)
{
    return { head(door, shortFields() + "Content-Length: 2\r\n\r\nx"), 16384 };
}

crowd_form fieldsInRequestsAhead(const door_row& door)
{
    std::string all;
    for (int i = 0; i < 20; ++i)
        all += head(door, shortFields() + "Content-Length: 0\r\n\r\n");
    return { all, 65536 };
}

crowd_form requestsAhead(const door_row& door)
{
    std::string all;
    for (int i = 0; i < 3000; ++i)
        all += std::string("GET ") + door.path + " HTTP/1.1\r\nHost: a\r\n\r\n";
    return { all, 65536 };
}

crowd_form halfHead(const door_row& door) { return { std::string("GET ") + door.path + " HT", 4 }; }

crowd_form silence(const door_row&) { return {}; }

crowd_form unfinishedFrame(const door_row& door)
{
    auto bytes = encodeFrame({ frame_kind::raft, 0, std::string(door.bodySize, 'x') });
    bytes.pop_back();
    return { bytes, 65536 };
}

constexpr std::size_t clientBody = 250000;
constexpr std::size_t announcementBody = 60000;

const std::vector<door_row> httpDoors {
    { "entry", process_kind::entry, limited_process::door, "/v1/queues/none/jobs", limited_process::door, "/",
        clientBody },
    { "entry_no_route", process_kind::entry, limited_process::door, "/", limited_process::door, "/", clientBody },
    { "ready", process_kind::entry, limited_process::readyDoor, "/", limited_process::readyDoor, "/", 1000 },
    { "control", process_kind::control, limited_process::door, "/v1/plan", limited_process::door, "/", clientBody },
    { "sidecar", process_kind::sidecar, limited_process::door, "/", limited_process::door, "/", announcementBody },
    { "metrics", process_kind::entry, limited_process::metricsDoor, "/metrics", limited_process::metricsDoor,
        "/metrics", 1000 },
    // What a crowd at one door leaves for the others.
    { "entry_asked_ready", process_kind::entry, limited_process::door, "/", limited_process::readyDoor, "/",
        clientBody },
};

const std::vector<door_row> frameDoors {
    { "entry_frames", process_kind::entry, limited_process::frameDoor, "/", limited_process::door, "/", 900000 },
    { "control_frames", process_kind::control, limited_process::frameDoor, "/", limited_process::door, "/", 900000 },
};

const std::vector<form_row> httpForms {
    { "body_in_one_piece", inOnePiece },
    { "body_in_small_pieces", inSmallPieces },
    { "body_in_chunks", inChunks },
    { "body_far_over_the_limit", farOver },
    { "fields_without_end", fieldsWithoutEnd },
    { "fields_without_body", fieldsWithoutBody },
    { "fields_in_requests_ahead", fieldsInRequestsAhead },
    { "requests_ahead", requestsAhead },
    { "half_head", halfHead },
    { "silence", silence },
};

const std::vector<form_row> frameForms {
    { "raw_bytes", inOnePiece },
    { "unfinished_frame", unfinishedFrame },
    { "silence", silence },
};

struct row {
    door_row door;
    form_row form;
};

std::ostream& operator<<(std::ostream& out, const row& each) { return out << each.door.name << "/" << each.form.name; }

std::vector<row> allRows()
{
    std::vector<row> rows;
    for (const auto& door : httpDoors) {
        for (const auto& form : httpForms)
            rows.push_back({ door, form });
    }
    for (const auto& door : frameDoors) {
        for (const auto& form : frameForms)
            rows.push_back({ door, form });
    }
    return rows;
}

/// Highest values of a process over the time of a test.
struct usage {
    std::size_t resident { 0 };
    std::size_t descriptors { 0 };

    void observe(const limited_process& process)
    {
        resident = std::max(resident, process.residentBytes());
        descriptors = std::max(descriptors, process.openDescriptors());
    }
};

std::string ordinaryAnswer(const door_row& door) { return askOnce(door.asked(), door.askedPath); }

/// Observes for as long as the process may still be reading what the crowd had sent.
void settle(usage& most, const limited_process& process)
{
    for (int i = 0; i < 20; ++i) {
        most.observe(process);
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
}

} // namespace

// Guards against a crowd that stays open outside the limits and takes a process beyond the memory or the descriptors of
// its machine, ends it, or keeps it from answering.
BOOST_DATA_TEST_CASE(a_crowd_outside_the_limits_is_borne, boost::unit_test::data::make(allRows()), each)
{
    limited_process process(each.door.kind, std::string(POPLARDEAL_BIN_DIR) + "/poplardeald");
    const auto calm = ordinaryAnswer(each.door);
    BOOST_REQUIRE(!calm.empty());
    usage most;
    const auto form = each.form.make(each.door);
    crowd clients(each.door.server(), crowdSize);
    clients.send(form, [&] { most.observe(process); });
    const auto beside = ordinaryAnswer(each.door);
    settle(most, process);
    clients.leave();
    settle(most, process);
    const auto afterwards = ordinaryAnswer(each.door);
    std::cout << each << ": resident " << most.resident / 1024 << " KiB, descriptors " << most.descriptors
              << ", beside '" << beside << "', afterwards '" << afterwards << "'" << std::endl;
    BOOST_TEST(process.isRunning());
    BOOST_TEST(most.resident <= maxResidentBytes);
    BOOST_TEST(most.descriptors <= limitedDescriptors);
    BOOST_TEST(beside == calm);
    BOOST_TEST(afterwards == calm);
}
