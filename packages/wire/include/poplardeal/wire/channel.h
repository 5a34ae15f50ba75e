#pragma once

#include <functional>
#include <memory>
#include <poplardeal/base/failure.h>
#include <poplardeal/wire/address.h>
#include <poplardeal/wire/event_loop.h>
#include <poplardeal/wire/frame.h>

namespace poplardeal {

/// One TCP connection that carries frames. Its owner sets the handlers and calls from the loop's thread.
class channel {
public:
    struct impl;
    explicit channel(std::unique_ptr<impl>);
    ~channel();
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;

    /// Queues a frame. False if the connection is closed or the queue is full (`maxQueuedBytes`); the frame was not
    /// sent.
    bool send(const frame&);

    void onFrame(std::function<void(frame)>);
    /// Closes the connection at a frame with a larger body. For connections whose peer has not said who it is.
    void limitBody(std::size_t most);
    /// Called once when the peer closes, on an error or on a corrupt frame, never from within `send` or `close`.
    /// The owner may destroy the channel in it.
    void onClosed(std::function<void(failure)>);

    /// Sends what is queued, then closes. No handler is called afterwards.
    void close();

    /// Sum of bytes read and written, for the control traffic budget.
    std::uint64_t bytesTransferred() const;
    address peer() const;

    static constexpr std::size_t maxQueuedBytes = std::size_t { 64 } * 1024 * 1024;

private:
    std::unique_ptr<impl> m_impl;
};

/// Takes connections on an address.
class listener {
public:
    /// `io_error` if the address cannot be bound. Port 0 takes a free port, see `local`.
    static result<std::unique_ptr<listener>> open(
        event_loop&, const address&, std::function<void(std::unique_ptr<channel>)> accept);
    ~listener();
    address local() const;

private:
    struct impl;
    explicit listener(std::unique_ptr<impl>);
    std::unique_ptr<impl> m_impl;
};

/// Keeps one connection to a peer: dials, and dials again with growing, jittered delays when it is lost.
class dialer {
public:
    dialer(event_loop&, address peer, std::uint64_t seed);
    /// `longestDelay` bounds the pause between dials.
    dialer(event_loop&, address peer, std::uint64_t seed, duration longestDelay);
    ~dialer();
    dialer(const dialer&) = delete;
    dialer& operator=(const dialer&) = delete;

    /// Called at each new connection, before any frame.
    void onUp(std::function<void()>);
    void onDown(std::function<void()>);
    /// Called before `onDown` with the reason; `corrupt` and `too_large` mean a faulty peer.
    void onLost(std::function<void(const failure&)>);
    void onFrame(std::function<void(frame)>);
    void start();

    bool isUp() const;
    /// False if there is no connection or its queue is full; the frame was not sent.
    bool send(const frame&);
    const address& peer() const;
    std::uint64_t bytesTransferred() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace poplardeal
