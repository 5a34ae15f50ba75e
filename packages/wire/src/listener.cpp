#include "acceptor.h"
#include "channel_impl.h"

namespace poplardeal {

struct listener::impl {
    std::unique_ptr<detail::acceptor> acceptor;
};

result<std::unique_ptr<listener>> listener::open(
    event_loop& loop, const address& local, std::function<void(std::unique_ptr<channel>)> accept)
{
    auto take = [&loop, accept = std::move(accept)](detail::object_ptr<GSocketConnection> stream) {
        accept(detail::makeChannel(loop, std::move(stream)));
    };
    auto opened = detail::acceptor::open(loop, local, std::move(take));
    if (opened.has_error())
        return opened.error();
    auto state = std::make_unique<impl>();
    state->acceptor = std::move(opened.value());
    return std::unique_ptr<listener>(new listener(std::move(state)));
}

listener::listener(std::unique_ptr<impl> i)
    : m_impl(std::move(i))
{
}

listener::~listener() = default;

address listener::local() const { return m_impl->acceptor->local(); }

} // namespace poplardeal
