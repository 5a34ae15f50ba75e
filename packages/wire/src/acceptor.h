#pragma once

#include "gobject_ptr.h"
#include <functional>
#include <memory>
#include <poplardeal/base/failure.h>
#include <poplardeal/wire/address.h>
#include <poplardeal/wire/event_loop.h>

namespace poplardeal::detail {

/// A listening socket. Gives each accepted connection to its handler.
class acceptor {
public:
    using handler = std::function<void(object_ptr<GSocketConnection>)>;

    /// `io_error` if the address cannot be bound.
    /// Takes at most `mostInTurn` connections in one turn of the loop.
    static result<std::unique_ptr<acceptor>> open(event_loop&, const address&, handler, int mostInTurn = 1);
    ~acceptor();
    acceptor(const acceptor&) = delete;
    acceptor& operator=(const acceptor&) = delete;

    address local() const;

private:
    acceptor(event_loop&, object_ptr<GSocket>, handler, int mostInTurn);

    static gboolean onReadable(GSocket*, GIOCondition, gpointer self);
    void watch();
    void unwatch();
    /// False if none waits or there are no descriptors.
    bool acceptOne();

    event_loop& m_loop;
    object_ptr<GSocket> m_socket;
    handler m_accept;
    int m_mostInTurn;
    GSource* m_source { nullptr };
    event_loop::timer m_resume;
    std::shared_ptr<const bool> m_alive { std::make_shared<bool>(true) };
};

} // namespace poplardeal::detail
