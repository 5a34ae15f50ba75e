#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <poplardeal/consensus/disk.h>
#include <random>

namespace poplardeal::test {

/// One folder as processes see it (the page cache) and as a loss of power may leave it. Files are apart from their
/// names. What no sync has covered reaches the disk in any order or not at all. Shared by the disks of successive
/// stores; a copy is independent.
struct memory_files {
    struct range {
        std::size_t begin;
        std::size_t end;
    };
    struct file {
        std::string bytes; ///< What processes read.
        std::string durable;
        std::vector<range> dirty; ///< Writes that no sync has covered. A failed sync forgets them, `bytes` keeps them.
    };
    using directory = std::map<std::string, std::size_t>; ///< Name: place in `files`.
    /// Creation (no `from`), rename, or removal (no `to`) of a name.
    struct name_change {
        std::string from;
        std::string to;
        std::size_t file;
    };

    std::vector<file> files;
    directory current;
    directory linked; ///< Names on the disk.
    std::vector<name_change> changes; ///< From `linked` to `current`.
    bool locked { false };
    std::mt19937_64 random; ///< Decides what is left of unsynced writes and names.

    // Faults.
    int operationsUntilCrash { -1 }; ///< Counts writes, syncs, renames and removals; -1: never.
    int syncsUntilFailure { -1 }; ///< The sync of a file or of the folder that fails, once; -1: none.
    std::size_t tornBytes { 0 }; ///< Unsynced bytes that `loseUnsynced` leaves.
    std::size_t longestWrite { 1 << 30 };
    std::size_t capacity { 1 << 30 };
    int writesUntilFull { -1 }; ///< Appends and renames until the disk is full, the last in part; -1: never.
    int operations { 0 };
    int syncs { 0 };

    std::string& bytes(const std::string& name) { return files[current.at(name)].bytes; }

    /// Loss of power: unsynced bytes beyond `tornBytes` and unsynced names are gone.
    void loseUnsynced()
    {
        for (auto& entry : files) {
            if (entry.bytes.starts_with(entry.durable))
                entry.durable += entry.bytes.substr(entry.durable.size(), tornBytes);
        }
        afterLossOfPower();
    }

    /// Loss of power: each unsynced write is kept, lost or torn, and each unsynced change of names kept or lost.
    void losePower()
    {
        const auto keptPercent = oneOf({ 0, 20, 50, 80, 100 });
        for (const auto& made : changes) {
            if (percent(keptPercent))
                apply(made, linked);
        }
        for (auto& entry : files)
            writeBack(entry, keptPercent);
        afterLossOfPower();
    }

    void writeBack(file& written, std::uint64_t keptPercent)
    {
        for (const auto& dirty : written.dirty) {
            if (!percent(keptPercent))
                continue;
            auto begin = dirty.begin;
            auto end = dirty.end;
            if (percent(50)) {
                begin += random() % (end - begin);
                end -= random() % (end - begin);
            }
            written.durable.resize(std::max(written.durable.size(), end));
            written.durable.replace(begin, end - begin, written.bytes, begin, end - begin);
        }
        // The length may reach the disk without the bytes.
        if (!written.dirty.empty() && percent(20))
            written.durable.resize(written.bytes.size());
        written.dirty.clear();
    }

    /// Until the next sync, the disk may hold bytes that are cut off.
    void truncateFile(std::size_t place, std::size_t length)
    {
        auto& cut = files[place];
        for (auto& [begin, end] : cut.dirty) {
            if (percent(50)) {
                cut.durable.resize(std::max(cut.durable.size(), end));
                cut.durable.replace(begin, end - begin, cut.bytes, begin, end - begin);
            }
            end = std::min(end, length);
        }
        std::erase_if(cut.dirty, [](const range& each) { return each.begin >= each.end; });
        cut.bytes.resize(std::min(cut.bytes.size(), length));
    }

    void syncFile(std::size_t place)
    {
        auto& synced = files[place];
        synced.durable.resize(synced.bytes.size());
        for (const auto& [begin, end] : synced.dirty)
            synced.durable.replace(begin, end - begin, synced.bytes, begin, end - begin);
        synced.dirty.clear();
        // Some file systems make the name of a new file durable with its first sync.
        const auto created = std::find_if(changes.begin(), changes.end(),
            [&](const name_change& made) { return made.file == place && made.from.empty(); });
        if (created != changes.end() && percent(30)) {
            apply(*created, linked);
            changes.erase(created);
        }
    }

    void syncNames()
    {
        linked = current;
        changes.clear();
    }

    void change(name_change made)
    {
        apply(made, current);
        changes.push_back(std::move(made));
    }

    bool percent(std::uint64_t chance) { return random() % 100 < chance; }
    std::uint64_t oneOf(std::initializer_list<std::uint64_t> values)
    {
        return values.begin()[random() % values.size()];
    }

private:
    static void apply(const name_change& change, directory& names)
    {
        names.erase(change.from);
        if (!change.to.empty())
            names[change.to] = change.file;
    }

    void afterLossOfPower()
    {
        current = linked;
        changes.clear();
        for (auto& entry : files) {
            entry.bytes = entry.durable;
            entry.dirty.clear();
        }
        locked = false;
        operationsUntilCrash = -1;
    }
};

class memory_disk {
public:
    explicit memory_disk(std::shared_ptr<memory_files> files)
        : m_files(std::move(files))
    {
    }
    memory_disk(memory_disk&& other) noexcept
        : m_files(std::move(other.m_files))
        , m_holdsLock(std::exchange(other.m_holdsLock, false))
    {
    }
    memory_disk& operator=(memory_disk&&) = delete;
    ~memory_disk()
    {
        if (m_holdsLock)
            m_files->locked = false;
    }

    result<void> open()
    {
        if (m_files->locked)
            return failure { failure_code::locked, "in use" };
        m_files->locked = true;
        m_holdsLock = true;
        return success();
    }
    result<std::vector<std::string>> list()
    {
        std::vector<std::string> names;
        for (const auto& [name, file] : m_files->current)
            names.push_back(name);
        return names;
    }
    result<std::string> read(const std::string& name) { return m_files->bytes(name); }
    result<std::size_t> append(const std::string& name, std::string_view bytes)
    {
        BOOST_OUTCOME_TRYV(operation());
        std::size_t used = 0;
        for (const auto& [other, place] : m_files->current)
            used += m_files->files[place].bytes.size();
        if (used >= m_files->capacity)
            return noSpace("write " + name);
        BOOST_OUTCOME_TRY(isLast, takeRoom("write " + name));
        auto count = std::min({ bytes.size(), m_files->longestWrite, m_files->capacity - used });
        if (isLast)
            count = m_files->random() % (count + 1);
        if (!m_files->current.contains(name)) {
            m_files->files.emplace_back();
            m_files->change({ "", name, m_files->files.size() - 1 });
        }
        if (count == 0)
            return noSpace("write " + name);
        auto& file = m_files->files[m_files->current[name]];
        file.dirty.push_back({ file.bytes.size(), file.bytes.size() + count });
        file.bytes += bytes.substr(0, count);
        return count;
    }
    result<void> sync(const std::string& name)
    {
        BOOST_OUTCOME_TRYV(operation());
        const auto place = m_files->current.at(name);
        if (syncFails()) {
            m_files->writeBack(m_files->files[place], m_files->oneOf({ 0, 50 }));
            return failure { failure_code::io_error, "sync " + name + ": Input/output error" };
        }
        m_files->syncFile(place);
        return success();
    }
    /// The changes that a failed sync of the folder did not write stay for the next one.
    result<void> syncFolder()
    {
        BOOST_OUTCOME_TRYV(operation());
        if (syncFails())
            return failure { failure_code::io_error, "sync folder: Input/output error" };
        m_files->syncNames();
        return success();
    }
    result<void> truncate(const std::string& name, std::uint64_t bytes)
    {
        BOOST_OUTCOME_TRYV(operation());
        m_files->truncateFile(m_files->current.at(name), bytes);
        return success();
    }
    result<void> rename(const std::string& from, const std::string& to)
    {
        BOOST_OUTCOME_TRYV(operation());
        BOOST_OUTCOME_TRYV(takeRoom("rename " + from));
        m_files->change({ from, to, m_files->current.at(from) });
        return success();
    }
    result<void> remove(const std::string& name)
    {
        BOOST_OUTCOME_TRYV(operation());
        m_files->change({ name, "", m_files->current.at(name) });
        return success();
    }
    std::string describe(const std::string& name) const { return "memory/" + name; }

private:
    result<void> operation()
    {
        ++m_files->operations;
        if (m_files->operationsUntilCrash == 0)
            return failure { failure_code::io_error, "the process ends" };
        if (m_files->operationsUntilCrash > 0)
            --m_files->operationsUntilCrash;
        return success();
    }

    static failure noSpace(const std::string& operation)
    {
        return { failure_code::no_space, operation + ": No space left on device" };
    }

    /// Whether this is the operation that fills the disk.
    result<bool> takeRoom(const std::string& operation)
    {
        if (m_files->writesUntilFull == 0)
            return noSpace(operation);
        return m_files->writesUntilFull > 0 && --m_files->writesUntilFull == 0;
    }

    bool syncFails()
    {
        ++m_files->syncs;
        return m_files->syncsUntilFailure >= 0 && m_files->syncsUntilFailure-- == 0;
    }

    std::shared_ptr<memory_files> m_files;
    bool m_holdsLock { false };
};

static_assert(disk_access<memory_disk>);

} // namespace poplardeal::test
