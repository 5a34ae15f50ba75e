#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <poplardeal/base/ids.h>
#include <poplardeal/routing/membership.h>
#include <poplardeal/wire/channel.h>
#include <poplardeal/wire/event_loop.h>
#include <poplardeal/wire/message.h>
#include <string>
#include <string_view>

namespace poplardeal::detail {

/// What an entry does with the messages of its endpoint sidecars. All are called from the loop, never from within a
/// method of `endpoint_links`.
struct endpoint_link_handlers {
    std::function<void(const announcement&)> announced;
    std::function<void(const endpoint_id&, incarnation)> left; ///< The sidecar has said goodbye.
    std::function<void(const endpoint_id&, incarnation)> lost; ///< The connection in use for this process is closed.
    std::function<void(std::uint64_t correlation, const message::responseT&)> answered;
    std::function<void(std::uint64_t correlation)> answerLost; ///< The connection closed before the answer.
};

struct endpoint_link_counts {
    std::uint64_t unmatchedAnswers { 0 }; ///< Late, doubled or crossed.
    std::uint64_t malformed { 0 };
    std::uint64_t refusedConnections { 0 };
};

/// The entry's side of the connections that endpoint sidecars have dialed.
class endpoint_links {
public:
    endpoint_links(event_loop&, endpoint_link_handlers);
    ~endpoint_links();
    endpoint_links(const endpoint_links&) = delete;
    endpoint_links& operator=(const endpoint_links&) = delete;

    void add(std::unique_ptr<channel>);

    bool isConnected(const endpoint_id&, incarnation) const;

    /// Sends to exactly this process of the endpoint. False: nothing was handed to a connection. Otherwise `answered`
    /// or `answerLost` follows once, unless `abandon` is called before.
    bool send(const endpoint_id&, incarnation, const frame&, const std::string& requestId);

    /// The answer is no longer wanted; when it comes it is dropped and counted.
    void abandon(std::uint64_t correlation);

    /// Says goodbye on each connection and closes them.
    void closeAll();

    const endpoint_link_counts& counts() const { return m_counts; }
    std::uint64_t bytesTransferred() const;

    /// Connections at the same time. Further ones are closed.
    static constexpr std::size_t maxLinks = 4096;

private:
    struct link {
        std::unique_ptr<channel> connection;
        event_loop::timer helloTimeout;
        bool isGreeted { false };
        bool isClosing { false };
        bool hasLeft { false };
        endpoint_id endpoint;
        incarnation process;
        std::map<std::uint64_t, std::string> awaited; ///< Correlation to request id.
    };

    void takeFrame(std::uint64_t id, const frame&);
    void takeHello(std::uint64_t id, link&, const frame&);
    void takeAnnounce(std::uint64_t id, link&, const frame&);
    void takeResponse(std::uint64_t id, link&, const frame&);
    void takeGoodbye(link&);
    void refuse(std::uint64_t id, link&, std::string_view reason);
    void closed(std::uint64_t id);
    link* find(const endpoint_id&, incarnation);
    const link* find(const endpoint_id&, incarnation) const;

    event_loop& m_loop;
    endpoint_link_handlers m_handlers;
    std::uint64_t m_lastId { 0 };
    std::map<std::uint64_t, link> m_links;
    std::map<endpoint_id, std::uint64_t> m_current; ///< The connection of the last accepted announcement.
    std::map<std::uint64_t, std::uint64_t> m_linkOfCorrelation;
    endpoint_link_counts m_counts;
    std::uint64_t m_closedBytes { 0 };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

} // namespace poplardeal::detail
