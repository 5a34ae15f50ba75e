#pragma once

#include <algorithm>
#include <poplardeal/consensus/raft_node.h>
#include <random>

namespace poplardeal::test {

/// What a data folder says of its replica.
struct folder_contents {
    hard_state hard;
    shared_snapshot snapshot;
    std::vector<log_entry> entries;
    std::uint64_t incarnation { 0 };
    std::uint64_t starts { 0 };

    void write(const persist_batch& batch)
    {
        if (batch.snapshot) {
            snapshot = batch.snapshot;
            if (batch.discardLog)
                entries.clear();
            std::erase_if(entries, [&](const log_entry& e) { return e.index <= batch.snapshot->index; });
        }
        hard = batch.hard.value_or(hard);
        incarnation = batch.dataIncarnation.value_or(incarnation);
        for (const auto& entry : batch.entries) {
            std::erase_if(entries, [&](const log_entry& e) { return e.index >= entry.index; });
            entries.push_back(entry);
        }
    }

    void writeOwnSnapshot(const shared_snapshot& taken)
    {
        if (snapshot && snapshot->index >= taken->index)
            return;
        snapshot = taken;
        std::erase_if(entries, [&](const log_entry& e) { return e.index <= taken->index; });
    }
};

/// The disk of one host with its page cache. The end of a process keeps the cache, a loss of power does not.
class simulated_disk {
public:
    simulated_disk() = default;
    simulated_disk(std::uint64_t incarnation, std::uint64_t seed)
        : m_random(seed)
    {
        m_durable.incarnation = incarnation;
    }

    /// What a new process reads; `corrupt` if a record before others is missing. Like the store, it makes durable what
    /// it returns, unless `trustsCache`; the record of its start is synced behind it.
    result<folder_contents> open(bool trustsCache)
    {
        if (m_recordIsMissing)
            return failure { failure_code::corrupt, "a record is missing" };
        if (m_isFull)
            return failure { failure_code::no_space, "no room for the record of a start" };
        ++m_durable.starts;
        auto contents = m_durable;
        for (auto& written : m_records) {
            apply(written, contents);
            written.synced = written.synced || !trustsCache;
        }
        m_firstOwn = m_records.size();
        m_records.emplace_back();
        BOOST_OUTCOME_TRYV(sync());
        return contents;
    }

    void write(persist_batch batch) { m_records.push_back({ std::move(batch), nullptr, false }); }
    void writeOwnSnapshot(shared_snapshot taken) { m_records.push_back({ {}, std::move(taken), false }); }

    void setFull(bool full) { m_isFull = full; }

    /// Syncs what the present process has written. May be repeated after `no_space`.
    result<void> sync()
    {
        if (m_isFull)
            return failure { failure_code::no_space, "no room for a record" };
        for (auto place = m_firstOwn; place < m_records.size(); ++place)
            m_records[place].synced = true;
        const auto unsynced = std::find_if(m_records.begin(), m_records.end(), [](const auto& r) { return !r.synced; });
        std::for_each(m_records.begin(), unsynced, [&](const auto& written) { apply(written, m_durable); });
        m_records.erase(m_records.begin(), unsynced);
        m_firstOwn = m_records.size();
        return success();
    }

    void endProcess() { }

    /// Keeps some of the records that no sync has covered.
    void losePower()
    {
        const auto unsynced
            = std::count_if(m_records.begin(), m_records.end(), [](const auto& r) { return !r.synced; });
        auto kept = m_random() % static_cast<std::uint64_t>(unsynced + 1);
        const auto lost
            = std::find_if(m_records.begin(), m_records.end(), [&](const auto& r) { return !r.synced && kept-- == 0; });
        m_recordIsMissing
            = m_recordIsMissing || std::any_of(lost, m_records.end(), [](const auto& r) { return r.synced; });
        m_records.erase(lost, m_records.end());
    }

    const folder_contents& durable() const { return m_durable; }

private:
    struct record {
        persist_batch batch;
        shared_snapshot ownSnapshot;
        bool synced { false };
    };

    static void apply(const record& written, folder_contents& contents)
    {
        contents.write(written.batch);
        if (written.ownSnapshot)
            contents.writeOwnSnapshot(written.ownSnapshot);
    }

    folder_contents m_durable;
    std::vector<record> m_records; ///< Written after `m_durable`.
    std::size_t m_firstOwn { 0 }; ///< First record of the present process.
    bool m_recordIsMissing { false };
    bool m_isFull { false };
    std::mt19937_64 m_random;
};

} // namespace poplardeal::test
