#pragma once

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <poplardeal/wire/address.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace poplardeal {

/// A plain TCP socket, to send what the library's own clients and servers never would.
class raw_socket {
public:
    static raw_socket connectTo(const address& server)
    {
        raw_socket socket(::socket(AF_INET, SOCK_STREAM, 0));
        const auto target = toNative(server);
        BOOST_REQUIRE(::connect(socket.m_descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0);
        return socket;
    }

    static raw_socket listenOnLoopback()
    {
        raw_socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
        const auto local = toNative({ "127.0.0.1", 0 });
        BOOST_REQUIRE(::bind(socket.m_descriptor, reinterpret_cast<const sockaddr*>(&local), sizeof local) == 0);
        BOOST_REQUIRE(::listen(socket.m_descriptor, 16) == 0);
        return socket;
    }

    raw_socket() = default;
    ~raw_socket() { close(); }
    raw_socket(raw_socket&& other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
    {
    }
    raw_socket& operator=(raw_socket&& other) noexcept
    {
        std::swap(m_descriptor, other.m_descriptor);
        return *this;
    }

    address local() const
    {
        sockaddr_in bound {};
        socklen_t size = sizeof bound;
        getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&bound), &size);
        return { "127.0.0.1", ntohs(bound.sin_port) };
    }

    /// Closed if no connection waits.
    raw_socket acceptNow() const { return raw_socket(::accept4(m_descriptor, nullptr, nullptr, SOCK_NONBLOCK)); }

    void send(std::string_view bytes) const
    {
        BOOST_REQUIRE(
            ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    }

    /// Appends what has arrived, without waiting. False once the peer has closed.
    bool receiveNow(std::string& into) const
    {
        char buffer[4096];
        const auto size = ::recv(m_descriptor, buffer, sizeof buffer, MSG_DONTWAIT);
        if (size > 0)
            into.append(buffer, static_cast<std::size_t>(size));
        return size > 0 || (size < 0 && errno == EAGAIN);
    }

    bool isOpen() const { return m_descriptor >= 0; }
    void close()
    {
        if (isOpen())
            ::close(std::exchange(m_descriptor, -1));
    }

private:
    explicit raw_socket(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    static sockaddr_in toNative(const address& a)
    {
        sockaddr_in native {};
        native.sin_family = AF_INET;
        native.sin_port = htons(a.port);
        inet_pton(AF_INET, a.ip.c_str(), &native.sin_addr);
        return native;
    }

    int m_descriptor { -1 };
};

} // namespace poplardeal
