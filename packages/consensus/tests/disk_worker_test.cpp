#include "disk_worker.h"
#include <atomic>
#include <boost/test/unit_test.hpp>

using namespace poplardeal;
using detail::disk_report;

namespace {

/// What the disk has room for, and what it holds.
struct fake_folder {
    std::atomic<bool> takesBatches { true };
    std::atomic<bool> takesSnapshots { true };
    std::vector<std::uint64_t> numbers; ///< Of the batches.
};

struct fake_store {
    result<void> write(const std::vector<persist_batch>& batches)
    {
        if (!folder->takesBatches)
            return failure { failure_code::no_space, "batch" };
        for (const auto& each : batches)
            folder->numbers.push_back(each.number);
        return success();
    }
    result<void> saveSnapshot(const log_snapshot&)
    {
        if (!folder->takesSnapshots)
            return failure { failure_code::no_space, "snapshot" };
        return success();
    }

    fake_folder* folder;
};

struct worker_fixture {
    void persist(std::uint64_t number)
    {
        persist_batch batch;
        batch.number = number;
        worker.persist(std::move(batch));
    }

    disk_report next()
    {
        std::unique_lock lock(mutex);
        wake.wait(lock, [this] { return !reports.empty(); });
        auto out = reports.front();
        reports.erase(reports.begin());
        return out;
    }

    std::mutex mutex;
    std::condition_variable wake;
    std::vector<disk_report> reports;
    fake_folder folder;
    detail::disk_worker<fake_store> worker { fake_store { &folder }, [this](disk_report report) {
                                                const std::lock_guard guard(mutex);
                                                reports.push_back(std::move(report));
                                                wake.notify_one();
                                            } };
};

} // namespace

BOOST_AUTO_TEST_SUITE(disk_worker_suite)

// Guards against batches that are lost, reordered or reported too early after they found no room.
BOOST_AUTO_TEST_CASE(batches_wait_for_room_in_order)
{
    worker_fixture test;
    test.folder.takesBatches = false;
    test.persist(1);
    BOOST_TEST(test.next().batchesWait);
    test.persist(2);
    test.worker.retry();
    const auto still = test.next();
    BOOST_TEST(still.batchesWait);
    BOOST_TEST(still.durableNumber == 0U);
    test.folder.takesBatches = true;
    test.worker.retry();
    const auto written = test.next();
    BOOST_TEST(written.durableNumber == 2U);
    BOOST_TEST(!written.noSpace.has_value());
    BOOST_TEST((test.folder.numbers == std::vector<std::uint64_t> { 1, 2 }));
}

// Guards against a log that stands still because a snapshot finds no room, and against a snapshot that is forgotten.
BOOST_AUTO_TEST_CASE(batches_are_written_while_a_snapshot_waits)
{
    worker_fixture test;
    test.folder.takesSnapshots = false;
    test.worker.saveSnapshot(std::make_shared<log_snapshot>(log_snapshot { 5, 1, {}, "" }));
    const auto full = test.next();
    BOOST_TEST(full.noSpace.has_value());
    BOOST_TEST(!full.batchesWait);
    test.persist(1);
    const auto written = test.next();
    BOOST_TEST(written.durableNumber == 1U);
    BOOST_TEST(written.noSpace.has_value());
    test.folder.takesSnapshots = true;
    test.worker.retry();
    const auto saved = test.next();
    BOOST_TEST(saved.snapshotIndex == 5U);
    BOOST_TEST(!saved.noSpace.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
