// Blocking HTTP/1.1 over loopback: a small client and a small server with one thread a connection.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {

using steady = std::chrono::steady_clock;
using millis = std::chrono::milliseconds;

inline void pause(int ms) { std::this_thread::sleep_for(millis(ms)); }

struct endpoint {
    std::string ip;
    int port { 0 };
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in toSocket(const endpoint& where)
{
    sockaddr_in out {};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(where.port));
    inet_pton(AF_INET, where.ip.c_str(), &out.sin_addr);
    return out;
}

inline bool isFree(const endpoint& where)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto at = toSocket(where);
    const bool out = ::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
    ::close(fd);
    return out;
}

/// Status 0: no answer; `sent` tells whether the whole request was written.
struct reply {
    int status { 0 };
    std::string body;
    std::map<std::string, std::string> headers;
    bool sent { false };
};

struct request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers; // Names in lower case.
    std::string body;
};

inline std::string lower(std::string text)
{
    for (auto& c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

inline int remaining(steady::time_point until)
{
    const auto left = std::chrono::duration_cast<millis>(until - steady::now()).count();
    return left < 0 ? 0 : static_cast<int>(left);
}

/// Reads up to the end of the head, then the body by its length. False at the end of the connection or of the time.
inline bool readMessage(int fd, std::string& buffer, std::string& first, std::map<std::string, std::string>& headers,
    std::string& body, steady::time_point until)
{
    const auto more = [&] {
        pollfd waiting { fd, POLLIN, 0 };
        if (::poll(&waiting, 1, remaining(until)) <= 0)
            return false;
        char bytes[16384];
        const auto count = ::recv(fd, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    };
    std::size_t end = std::string::npos;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more())
            return false;
    }
    headers.clear();
    std::size_t at = buffer.find("\r\n");
    first = buffer.substr(0, at);
    while (at < end) {
        const auto next = buffer.find("\r\n", at + 2);
        const auto line = buffer.substr(at + 2, next - at - 2);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto begin = line.find_first_not_of(' ', colon + 1);
            headers[lower(line.substr(0, colon))] = begin == std::string::npos ? "" : line.substr(begin);
        }
        at = next;
    }
    const std::size_t length = headers.contains("content-length") ? std::stoul(headers["content-length"]) : 0;
    while (buffer.size() < end + 4 + length) {
        if (!more())
            return false;
    }
    body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return true;
}

/// One call on a connection of its own.
inline reply call(const endpoint& to, const std::string& method, const std::string& path, const std::string& body = {},
    std::map<std::string, std::string> headers = {}, int timeoutMs = 3000)
{
    reply out;
    const auto until = steady::now() + millis(timeoutMs);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto at = toSocket(to);
    pollfd waiting { fd, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof error;
    if ((::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0
            && (errno != EINPROGRESS || ::poll(&waiting, 1, remaining(until)) <= 0))
        || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        ::close(fd);
        return out;
    }
    headers.emplace("Host", to.text());
    headers.emplace("Content-Type", "application/json");
    std::string bytes = method + " " + path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
        bytes += name + ": " + value + "\r\n";
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::size_t done = 0;
    while (done < bytes.size()) {
        waiting = { fd, POLLOUT, 0 };
        if (::poll(&waiting, 1, remaining(until)) <= 0)
            break;
        const auto count = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (count <= 0)
            break;
        done += static_cast<std::size_t>(count);
    }
    out.sent = done == bytes.size();
    std::string buffer;
    std::string first;
    if (out.sent && readMessage(fd, buffer, first, out.headers, out.body, until) && first.size() > 12)
        out.status = std::atoi(first.c_str() + 9);
    ::close(fd);
    return out;
}

/// Serves until it is destroyed. The handler may block, and may return status 0: the connection is closed unanswered.
class server {
public:
    using handler = std::function<reply(const request&)>;

    server(endpoint own, handler serve)
        : m_own(std::move(own))
        , m_serve(std::move(serve))
    {
        m_listening = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto at = toSocket(m_own);
        if (::bind(m_listening, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0
            || ::listen(m_listening, 128) != 0)
            std::abort();
        m_accepting = std::thread([this] { accept(); });
    }

    ~server()
    {
        m_stopping = true;
        ::shutdown(m_listening, SHUT_RDWR);
        m_accepting.join();
        ::close(m_listening);
        while (m_open > 0)
            pause(2);
    }

private:
    void accept()
    {
        while (!m_stopping) {
            pollfd waiting { m_listening, POLLIN, 0 };
            if (::poll(&waiting, 1, 50) <= 0)
                continue;
            const int fd = ::accept4(m_listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            ++m_open;
            std::thread([this, fd] {
                talk(fd);
                ::close(fd);
                --m_open;
            }).detach();
        }
    }

    void talk(int fd)
    {
        std::string buffer;
        request in;
        std::string first;
        while (!m_stopping) {
            pollfd waiting { fd, POLLIN, 0 };
            if (buffer.empty() && ::poll(&waiting, 1, 50) <= 0)
                continue;
            if (!readMessage(fd, buffer, first, in.headers, in.body, steady::now() + millis(2000)))
                return;
            const auto space = first.find(' ');
            in.method = first.substr(0, space);
            in.path = first.substr(space + 1, first.find(' ', space + 1) - space - 1);
            const auto out = m_serve(in);
            if (out.status == 0)
                return;
            const auto bytes = "HTTP/1.1 " + std::to_string(out.status) + " x\r\nContent-Type: application/json\r\n"
                + "Content-Length: " + std::to_string(out.body.size()) + "\r\n\r\n" + out.body;
            if (::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(bytes.size()))
                return;
        }
    }

    endpoint m_own;
    handler m_serve;
    int m_listening { -1 };
    std::atomic<bool> m_stopping { false };
    std::atomic<int> m_open { 0 };
    std::thread m_accepting;
};

} // namespace review
