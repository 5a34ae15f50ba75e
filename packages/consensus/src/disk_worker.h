#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <poplardeal/consensus/log_store.h>
#include <thread>

namespace poplardeal::detail {

/// What the disk thread reports: what is durable so far, or why it stopped.
struct disk_report {
    std::uint64_t durableNumber { 0 }; ///< Of the last batch written.
    std::uint64_t snapshotIndex { 0 }; ///< Of the last own snapshot saved.
    duration took {}; ///< Of the writes and syncs that are reported, by the steady clock.
    std::optional<failure> noSpace; ///< Why the last attempt found no room; the work waits for `disk_worker::retry`.
    bool batchesWait { false }; ///< With `noSpace`: batches wait, and not only a snapshot.
    std::optional<failure> failed;
};

/// The thread that writes and syncs for one replica. Work that arrives while a sync is running is written together and
/// synced once. Batches that find no room wait, with those that follow, for `retry`; a snapshot that finds none waits
/// while batches are written.
template <class Store> class disk_worker {
public:
    /// `report` is called on the disk thread.
    disk_worker(Store store, std::function<void(disk_report)> report)
        : m_store(std::move(store))
        , m_report(std::move(report))
        , m_thread([this] { run(); })
    {
    }

    disk_worker(const disk_worker&) = delete;
    disk_worker& operator=(const disk_worker&) = delete;

    /// Finishes the queued work first, as far as there is room.
    ~disk_worker()
    {
        {
            const std::lock_guard guard(m_mutex);
            m_stopping = true;
        }
        m_wake.notify_one();
        m_thread.join();
    }

    void persist(persist_batch batch)
    {
        {
            const std::lock_guard guard(m_mutex);
            m_batches.push_back(std::move(batch));
        }
        m_wake.notify_one();
    }

    /// Saved after the batches queued before it.
    void saveSnapshot(shared_snapshot snapshot)
    {
        {
            const std::lock_guard guard(m_mutex);
            m_snapshot = std::move(snapshot);
        }
        m_wake.notify_one();
    }

    /// Tries again to write what found no room.
    void retry()
    {
        {
            const std::lock_guard guard(m_mutex);
            m_retryAsked = true;
        }
        m_wake.notify_one();
    }

private:
    void run()
    {
        while (takeWork()) {
            auto outcome = writeBatches();
            if (outcome && m_isSnapshotDue)
                outcome = saveDueSnapshot();
            if (outcome)
                continue;
            if (outcome.error().code != failure_code::no_space) {
                m_done.failed = outcome.error();
                return m_report(m_done);
            }
            m_done.noSpace = outcome.error();
            m_done.batchesWait = !m_unwritten.empty();
            m_report(m_done);
            if (isStopping())
                return;
        }
    }

    result<void> writeBatches()
    {
        if (m_unwritten.empty())
            return success();
        const auto begun = std::chrono::steady_clock::now();
        BOOST_OUTCOME_TRYV(m_store.write(m_unwritten));
        m_done.took = elapsedSince(begun);
        m_done.durableNumber = m_unwritten.back().number;
        m_unwritten.clear();
        if (m_done.batchesWait && !m_unsaved)
            m_done.noSpace.reset();
        m_done.batchesWait = false;
        m_report(m_done);
        return success();
    }

    result<void> saveDueSnapshot()
    {
        const auto begun = std::chrono::steady_clock::now();
        BOOST_OUTCOME_TRYV(m_store.saveSnapshot(*m_unsaved));
        m_done.took = elapsedSince(begun);
        m_done.snapshotIndex = m_unsaved->index;
        m_unsaved = nullptr;
        m_done.noSpace.reset();
        m_report(m_done);
        return success();
    }

    static duration elapsedSince(std::chrono::steady_clock::time_point begun)
    {
        return std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - begun);
    }

    bool isStopping()
    {
        const std::lock_guard guard(m_mutex);
        return m_stopping;
    }

    /// Adds the queued work to what waits for room.
    bool takeWork()
    {
        std::unique_lock lock(m_mutex);
        m_wake.wait(lock, [this] {
            const bool isNew = !m_batches.empty() || (m_snapshot && !m_done.noSpace);
            return m_stopping || m_retryAsked || (isNew && !m_done.batchesWait);
        });
        std::move(m_batches.begin(), m_batches.end(), std::back_inserter(m_unwritten));
        m_batches.clear();
        if (m_snapshot)
            m_unsaved = std::exchange(m_snapshot, nullptr);
        const bool mayTry = std::exchange(m_retryAsked, false) || m_stopping || !m_done.noSpace;
        m_isSnapshotDue = m_unsaved && mayTry;
        return !m_stopping || !m_unwritten.empty() || m_unsaved;
    }

    Store m_store;
    std::function<void(disk_report)> m_report;

    // Of the disk thread.
    std::vector<persist_batch> m_unwritten;
    shared_snapshot m_unsaved;
    bool m_isSnapshotDue { false };
    disk_report m_done;

    // Guarded by the mutex.
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<persist_batch> m_batches;
    shared_snapshot m_snapshot;
    bool m_retryAsked { false };
    bool m_stopping { false };

    std::thread m_thread;
};

} // namespace poplardeal::detail
