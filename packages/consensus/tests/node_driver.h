#pragma once

#include <poplardeal/consensus/raft_node.h>

namespace poplardeal::test {

/// One node among the voters 1, 2 and 3, driven message by message. Its disk writes only when told to.
class node_driver {
public:
    explicit node_driver(std::uint32_t self, raft_saved_state saved = {}, raft_options options = {})
        : now(instantFromMicros(5'000'000))
        , node(complete(self, std::move(options)), std::move(saved), now)
        , m_self(self)
    {
    }

    static raft_options complete(std::uint32_t self, raft_options options)
    {
        options.self = replica_id(self);
        options.initialMembers = membershipOfVoters({ replica_id(1), replica_id(2), replica_id(3) });
        return options;
    }

    /// Message of replica `from` to this node.
    raft_message message(message_kind kind, std::uint32_t from, std::uint64_t term) const
    {
        raft_message m;
        m.kind = kind;
        m.from = replica_id(from);
        m.to = m_self;
        m.term = term;
        m.startCount = 1;
        return m;
    }

    raft_message append(std::uint32_t from, std::uint64_t term, log_position previous, std::size_t count) const
    {
        auto m = message(message_kind::append, from, term);
        m.logIndex = previous.index;
        m.logTerm = previous.term;
        for (std::size_t i = 1; i <= count; ++i)
            m.entries.push_back({ term, previous.index + i, entry_kind::command, "x" });
        return m;
    }

    /// Gives the input and returns the messages that may leave before the disk has written anything more.
    std::vector<raft_message> receive(const raft_message& m)
    {
        node.receive(m, now);
        return take();
    }

    std::vector<raft_message> take()
    {
        auto ready = node.takeReady(now);
        if (!ready.persist.empty())
            m_written = ready.persist.number;
        return std::move(ready.messages);
    }

    std::vector<raft_message> persistAll()
    {
        node.persisted(m_written, now);
        return take();
    }

    void advance(duration by) { now += by; }

    /// Makes the node leader with the vote of replica 2; its no-op is written but not yet acknowledged by others.
    void lead()
    {
        advance(std::chrono::milliseconds(1400));
        node.tick(now);
        take();
        receive(message(message_kind::pre_vote_answer, 2, node.term() + 1));
        persistAll();
        receive(message(message_kind::vote_answer, 2, node.term()));
        persistAll();
    }

    /// Answer of replica `from` to an append sent now: its log matches up to the index, durably.
    raft_message acknowledgement(std::uint32_t from, std::uint64_t index) const
    {
        auto m = message(message_kind::append_answer, from, node.term());
        m.logIndex = index;
        m.matchIndex = index;
        m.sentAt = toMicros(now);
        return m;
    }

    instant now;
    raft_node node;

private:
    replica_id m_self;
    std::uint64_t m_written { 0 };
};

} // namespace poplardeal::test
