#include "folder_refusal.h"
#include "replica_address.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace poplardeal;
using namespace poplardeal::detail;

namespace {

struct refusal_fixture {
    refusal_fixture()
    {
        for (const auto* ip : { "127.0.0.1", "127.0.0.2", "127.0.0.3" })
            settings.seeds.push_back({ ip, 80 });
        refusal.emplace(settings, replicaIdFromIp("127.0.0.1"), metrics);
    }

    bool shows(std::string_view code, int value) const
    {
        const auto series = "poplardeal_data_folder_refused{code=\"" + std::string(code) + "\"} ";
        return metrics.exposition().find(series + std::to_string(value) + "\n") != std::string::npos;
    }

    fleet_settings settings;
    metrics_registry metrics;
    std::optional<folder_refusal> refusal;
    instant now { instantFromMicros(1'000'000) };
};

const failure_code refusalCodes[] { failure_code::corrupt, failure_code::unknown_format, failure_code::io_error,
    failure_code::no_space };

} // namespace

BOOST_AUTO_TEST_SUITE(folder_refusal_suite)

// Guards against a refused folder that no metric shows, and against one that is shown after it opened.
BOOST_DATA_TEST_CASE(the_code_of_a_refusal_is_a_metric, boost::unit_test::data::xrange(4), row)
{
    const auto code = refusalCodes[row];
    refusal_fixture test;
    test.refusal->refused({ code, "" }, test.now);
    for (const auto each : refusalCodes)
        BOOST_TEST(test.shows(toString(each), each == code ? 1 : 0));
    test.refusal->ended();
    BOOST_TEST(test.shows(toString(code), 0));
}

// Guards against probes on a connection that is older than the leases that this control was part of, against a control
// that asks itself, and against attempts that follow each other without a pause.
BOOST_AUTO_TEST_CASE(other_controls_are_asked_after_the_hold_off)
{
    refusal_fixture test;
    test.refusal->refused({ failure_code::corrupt, "" }, test.now);
    BOOST_TEST(test.refusal->nextProbes(test.now + folder_refusal::holdOff - std::chrono::milliseconds(1)).empty());
    const auto later = test.now + folder_refusal::holdOff;
    BOOST_TEST(test.refusal->nextProbes(later).size() == 2U);
    BOOST_TEST(test.refusal->nextProbes(later).empty());
    message::control_hintT hint;
    hint.controls = { "127.0.0.2:80", "127.0.0.9:80", "nonsense" };
    test.refusal->recordHint(hint);
    BOOST_TEST(test.refusal->nextProbes(later + folder_refusal::probeInterval).size() == 3U);
    BOOST_TEST(!test.refusal->isAttemptDue(later));
    BOOST_TEST(test.refusal->isAttemptDue(test.now + folder_refusal::attemptInterval));
}

// Guards against a control that stays away long after its disk has room, until it is removed as a voter.
BOOST_AUTO_TEST_CASE(a_full_disk_is_tried_again_soon)
{
    refusal_fixture test;
    test.refusal->refused({ failure_code::no_space, "" }, test.now);
    BOOST_TEST(!test.refusal->isAttemptDue(test.now));
    BOOST_TEST(test.refusal->isAttemptDue(test.now + folder_refusal::fullDiskAttemptInterval));
    test.refusal->refused({ failure_code::io_error, "" }, test.now);
    BOOST_TEST(!test.refusal->isAttemptDue(test.now + folder_refusal::fullDiskAttemptInterval));
}

// Guards against a folder that is set aside although its entries may be needed, and against one of another version.
BOOST_DATA_TEST_CASE(
    only_damage_is_set_aside_and_only_while_another_control_leads, boost::unit_test::data::xrange(4), row)
{
    const failure reason { refusalCodes[row], "" };
    refusal_fixture test;
    test.refusal->refused(reason, test.now);
    message::control_hintT hint;
    test.refusal->recordHint(hint);
    BOOST_TEST(!test.refusal->maySetAside());
    hint.leads = true;
    test.refusal->recordHint(hint);
    BOOST_TEST(test.refusal->maySetAside() == (reason.code == failure_code::corrupt));
    BOOST_TEST(test.refusal->isAttemptDue(test.now) == test.refusal->maySetAside());
    test.refusal->refused(reason, test.now);
    BOOST_TEST(!test.refusal->maySetAside());
}

BOOST_AUTO_TEST_SUITE_END()
