#pragma once

#include <cstddef>
#include <functional>
#include <poplardeal/wire/address.h>
#include <string>
#include <vector>

namespace poplardeal::soak {

/// What each connection of a crowd sends. It never ends its request and reads no answer.
struct crowd_form {
    std::string bytes;
    std::size_t pieceSize; ///< Bytes of one write; the connections take turns.
};

/// Plain connections from this process to one address.
class crowd {
public:
    /// Throws `std::system_error` if no socket can be made. A connection that the server refuses is left out.
    crowd(const address& server, std::size_t connections);
    ~crowd();
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;

    /// Writes until every connection has sent all, is closed by the server, or the server has stopped reading. Calls
    /// `observe` after each turn.
    void send(const crowd_form&, const std::function<void()>& observe);
    void leave();

private:
    struct member {
        int descriptor { -1 };
        std::size_t sent { 0 };
    };

    std::vector<member> m_members;
};

/// Sends one GET and reads its answer to the end. Status line and begin of the body, or nothing if the connection is
/// cut or refused, or there is no answer within the time that ends a test that would hang.
std::string askOnce(const address& server, const std::string& path);

} // namespace poplardeal::soak
