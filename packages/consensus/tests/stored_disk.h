#pragma once

#include "basic_log_store.h"
#include "memory_disk.h"
#include "simulated_disk.h"

namespace poplardeal::test {

/// The disk of one host with the store on it, in place of `simulated_disk`. Writes are begun when they are synced, or
/// when the process ends, and then up to an operation of the store.
class stored_disk {
public:
    stored_disk() = default;
    stored_disk(std::uint64_t incarnation, std::uint64_t seed)
        : m_files(std::make_shared<memory_files>())
    {
        m_files->random.seed(seed);
        m_options.bootstrap = incarnation == 0;
        m_options.newIncarnation = incarnation;
        m_options.segmentBytes = 2000;
    }

    result<folder_contents> open(bool)
    {
        m_options.startTag = m_files->random();
        BOOST_OUTCOME_TRY(opened, basic_log_store<memory_disk>::open(memory_disk(m_files), m_options));
        m_store = std::make_unique<basic_log_store<memory_disk>>(std::move(opened));
        auto found = m_store->takeRecovered();
        m_durable = { found.state.hard, found.state.snapshot, std::move(found.state.entries), found.dataIncarnation,
            found.startCount };
        return m_durable;
    }

    void write(persist_batch batch) { m_written.push_back(std::move(batch)); }
    void writeOwnSnapshot(shared_snapshot taken) { m_ownSnapshot = std::move(taken); }

    /// The disk becomes full in the middle of a write, and has room again between two of them.
    void setFull(bool full)
    {
        constexpr std::uint64_t writes = 6; ///< A snapshot takes some 5.
        m_files->writesUntilFull = full ? static_cast<int>(m_files->random() % writes) : -1;
    }

    /// May be repeated after `no_space`.
    result<void> sync()
    {
        BOOST_OUTCOME_TRYV(m_store->write(m_written));
        for (const auto& batch : std::exchange(m_written, {}))
            m_durable.write(batch);
        if (m_ownSnapshot) {
            BOOST_OUTCOME_TRYV(m_store->saveSnapshot(*m_ownSnapshot));
            m_durable.writeOwnSnapshot(std::exchange(m_ownSnapshot, nullptr));
        }
        return success();
    }

    void endProcess()
    {
        constexpr std::uint64_t operations = 16; ///< A snapshot takes some 12.
        m_files->operationsUntilCrash = static_cast<int>(m_files->random() % (1 + m_files->random() % operations));
        // The process ends in it.
        static_cast<void>(sync());
        m_files->operationsUntilCrash = -1;
        m_written.clear();
        m_ownSnapshot = nullptr;
        m_store.reset();
    }

    void losePower() { m_files->losePower(); }

    const folder_contents& durable() const { return m_durable; }

private:
    std::shared_ptr<memory_files> m_files;
    log_store_options m_options;
    std::unique_ptr<basic_log_store<memory_disk>> m_store;
    std::vector<persist_batch> m_written;
    shared_snapshot m_ownSnapshot;
    folder_contents m_durable;
};

} // namespace poplardeal::test
