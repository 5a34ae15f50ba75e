#pragma once

#include <poplardeal/consensus/raft_node.h>

namespace poplardeal::test {

/// What a crash leaves of one host.
struct simulated_disk {
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

} // namespace poplardeal::test
