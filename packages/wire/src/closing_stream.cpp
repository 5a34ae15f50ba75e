#include "closing_stream.h"
#include "event_loop_access.h"
#include <array>
#include <memory>

namespace poplardeal::detail {

namespace {

    class closing_stream : public std::enable_shared_from_this<closing_stream> {
    public:
        closing_stream(event_loop& loop, object_ptr<GIOStream> stream, object_ptr<GSocket> socket, std::string last,
            std::shared_ptr<void> held)
            : m_loop(loop)
            , m_cancellable(g_cancellable_new())
            , m_shutdown(shareObject(loop_access::shutdown(loop)))
            , m_stream(std::move(stream))
            , m_socket(std::move(socket))
            , m_last(std::move(last))
            , m_held(std::move(held))
        {
            auto* own = m_cancellable.get();
            m_limit = loop.after(maxLingerTime, [own] { g_cancellable_cancel(own); });
            awaitBytes();
            m_shutdownHandler
                = g_cancellable_connect(m_shutdown.get(), G_CALLBACK(cancel), g_object_ref(own), g_object_unref);
        }

        ~closing_stream()
        {
            g_cancellable_disconnect(m_shutdown.get(), m_shutdownHandler);
            g_io_stream_close(m_stream.get(), nullptr, nullptr);
        }

        closing_stream(const closing_stream&) = delete;
        closing_stream& operator=(const closing_stream&) = delete;

        void write()
        {
            const auto finish = [](GObject* output, GAsyncResult* result, gpointer data) {
                const auto self = take(data);
                if (g_output_stream_write_all_finish(G_OUTPUT_STREAM(output), result, nullptr, nullptr))
                    self->finishWrite();
            };
            g_output_stream_write_all_async(g_io_stream_get_output_stream(m_stream.get()), m_last.data(), m_last.size(),
                G_PRIORITY_DEFAULT, m_cancellable.get(), finish, share());
        }

    private:
        using ref = std::shared_ptr<closing_stream>;

        static void cancel(GCancellable*, gpointer own) { g_cancellable_cancel(G_CANCELLABLE(own)); }

        static ref take(gpointer data)
        {
            const std::unique_ptr<ref> holder(static_cast<ref*>(data));
            return *holder;
        }

        ref* share() { return new ref(shared_from_this()); }

        void awaitBytes()
        {
            m_idle = m_loop.after(idleTime, [own = m_cancellable.get()] { g_cancellable_cancel(own); });
        }

        void finishWrite()
        {
            g_socket_shutdown(m_socket.get(), FALSE, TRUE, nullptr);
            discard();
        }

        void discard()
        {
            const auto finish = [](GObject* input, GAsyncResult* result, gpointer data) {
                const auto self = take(data);
                if (g_input_stream_read_finish(G_INPUT_STREAM(input), result, nullptr) > 0) {
                    self->awaitBytes();
                    self->discard();
                }
            };
            g_input_stream_read_async(g_io_stream_get_input_stream(m_stream.get()), m_discarded.data(),
                m_discarded.size(), G_PRIORITY_DEFAULT, m_cancellable.get(), finish, share());
        }

        static constexpr duration idleTime = std::chrono::seconds(2);
        /// 9 MiB take 38 s at 2 Mbit/s, the slowest link of the platform.
        static constexpr duration maxLingerTime = std::chrono::seconds(60);

        event_loop& m_loop;
        object_ptr<GCancellable> m_cancellable;
        object_ptr<GCancellable> m_shutdown;
        gulong m_shutdownHandler { 0 };
        object_ptr<GIOStream> m_stream;
        object_ptr<GSocket> m_socket;
        std::string m_last;
        std::shared_ptr<void> m_held;
        std::array<char, 16384> m_discarded {};
        event_loop::timer m_idle;
        event_loop::timer m_limit;
    };

} // namespace

void sendAndClose(event_loop& loop, object_ptr<GIOStream> stream, object_ptr<GSocket> socket, std::string last,
    std::shared_ptr<void> held)
{
    std::make_shared<closing_stream>(loop, std::move(stream), std::move(socket), std::move(last), std::move(held))
        ->write();
}

} // namespace poplardeal::detail
