#include "crowd.h"
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <system_error>
#include <thread>
#include <unistd.h>

namespace poplardeal::soak {

namespace {

    constexpr auto turnPause = std::chrono::milliseconds(5);
    constexpr int idleTurns = 60; ///< Without progress of any connection, after which the server reads no more.
    constexpr int answerTimeoutMs = 20000;
    constexpr std::size_t longestBody = 30; ///< Part of an answer's body that is returned; metrics differ after it.

    int openSocket(const address& server)
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (descriptor < 0)
            throw std::system_error(errno, std::generic_category(), "socket");
        sockaddr_in target {};
        target.sin_family = AF_INET;
        target.sin_port = htons(server.port);
        inet_pton(AF_INET, server.ip.c_str(), &target.sin_addr);
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0)
            return descriptor;
        ::close(descriptor);
        return -1;
    }

} // namespace

crowd::crowd(const address& server, std::size_t connections)
{
    for (std::size_t i = 0; i < connections; ++i) {
        if (const int descriptor = openSocket(server); descriptor >= 0)
            m_members.push_back({ descriptor, 0 });
    }
}

crowd::~crowd() { leave(); }

void crowd::send(const crowd_form& form, const std::function<void()>& observe)
{
    for (int idle = 0; idle < idleTurns;) {
        bool isDone = true;
        bool hasMoved = false;
        for (auto& each : m_members) {
            const auto size = std::min(form.pieceSize, form.bytes.size() - each.sent);
            if (size == 0)
                continue;
            const auto written
                = ::send(each.descriptor, form.bytes.data() + each.sent, size, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (written > 0)
                each.sent += static_cast<std::size_t>(written);
            else if (errno != EAGAIN)
                each.sent = form.bytes.size();
            hasMoved = hasMoved || written > 0;
            isDone = isDone && each.sent == form.bytes.size();
        }
        observe();
        if (!hasMoved)
            std::this_thread::sleep_for(turnPause);
        // The server still has to read what is on its way once all has been written.
        idle = hasMoved && !isDone ? 0 : idle + 1;
    }
}

void crowd::leave()
{
    for (const auto& each : m_members)
        ::close(each.descriptor);
    m_members.clear();
}

std::string askOnce(const address& server, const std::string& path)
{
    const int descriptor = openSocket(server);
    if (descriptor < 0)
        return {};
    const auto request = "GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    std::string answer;
    bool isWhole = false;
    pollfd waiting { descriptor, POLLIN, 0 };
    if (::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size())) {
        std::array<char, 4096> buffer {};
        while (::poll(&waiting, 1, answerTimeoutMs) > 0) {
            const auto size = ::recv(descriptor, buffer.data(), buffer.size(), 0);
            isWhole = size == 0;
            if (size <= 0)
                break;
            answer.append(buffer.data(), static_cast<std::size_t>(size));
        }
    }
    ::close(descriptor);
    const auto body = answer.find("\r\n\r\n");
    if (!isWhole || body == std::string::npos)
        return {};
    return answer.substr(0, answer.find("\r\n")) + ": " + answer.substr(body + 4, longestBody);
}

} // namespace poplardeal::soak
