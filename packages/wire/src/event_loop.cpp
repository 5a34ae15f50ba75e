#include "event_loop_access.h"
#include <algorithm>
#include <csignal>
#include <ctime>
#include <glib-unix.h>
#include <mutex>
#include <poplardeal/wire/event_loop.h>
#include <poplardeal/wire/reload_signal.h>
#include <utility>
#include <vector>

namespace poplardeal {
namespace detail {

    struct callback {
        std::function<void()> function;
        object_ptr<GCancellable> shutdown;

        /// While the loop is destroyed, what the function refers to may be gone already.
        void operator()() const
        {
            if (!g_cancellable_is_cancelled(shutdown.get()))
                function();
        }
    };

    static gboolean runOnce(gpointer data)
    {
        (*static_cast<callback*>(data))();
        return G_SOURCE_REMOVE;
    }

    static gboolean runAgain(gpointer data)
    {
        (*static_cast<callback*>(data))();
        return G_SOURCE_CONTINUE;
    }

    static void deleteCallback(gpointer data) { delete static_cast<callback*>(data); }

    static void attach(const event_loop& loop, GSource* source, GSourceFunc run, std::function<void()> function)
    {
        auto* held = new callback { std::move(function), shareObject(loop_access::shutdown(loop)) };
        g_source_set_callback(source, run, held, deleteCallback);
        g_source_attach(source, loop_access::context(loop));
    }

    static guint toMilliseconds(duration wait)
    {
        // Rounded up: a timer that fires early makes its owner see a deadline that has not passed.
        const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
        return milliseconds < 0 ? 0 : static_cast<guint>(std::min<std::int64_t>(milliseconds, G_MAXUINT));
    }

} // namespace detail

struct event_loop::impl {
    impl()
        : context(g_main_context_new())
        , loop(g_main_loop_new(context, FALSE))
        , shutdown(g_cancellable_new())
    {
        g_main_context_push_thread_default(context);
    }

    ~impl()
    {
        g_cancellable_cancel(shutdown.get());
        for (auto* source : signals) {
            g_source_destroy(source);
            g_source_unref(source);
        }
        // Cancelled operations report to the context once more; without this their buffers would leak.
        for (int round = 0; round < maxDrainRounds && g_main_context_pending(context); ++round)
            g_main_context_iteration(context, FALSE);
        g_main_context_pop_thread_default(context);
        g_main_loop_unref(loop);
        g_main_context_unref(context);
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    static constexpr int maxDrainRounds = 1000;

    GMainContext* context;
    GMainLoop* loop;
    detail::object_ptr<GCancellable> shutdown;
    std::vector<GSource*> signals;
    std::mutex mutex;
    std::vector<std::function<void()>> posted; ///< Guarded by `mutex`.

    /// Runs what was posted up to now; later posts have their own call.
    static gboolean runPosted(gpointer data)
    {
        auto& self = *static_cast<impl*>(data);
        if (g_cancellable_is_cancelled(self.shutdown.get()))
            return G_SOURCE_REMOVE;
        std::vector<std::function<void()>> taken;
        {
            const std::lock_guard lock(self.mutex);
            taken.swap(self.posted);
        }
        for (const auto& function : taken)
            function();
        return G_SOURCE_REMOVE;
    }
};

struct event_loop::timer::impl {
    explicit impl(GSource* s)
        : source(s)
    {
    }
    ~impl()
    {
        g_source_destroy(source);
        g_source_unref(source);
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    GSource* source;
};

event_loop::timer::timer() = default;
event_loop::timer::~timer() = default;
event_loop::timer::timer(timer&&) noexcept = default;
event_loop::timer& event_loop::timer::operator=(timer&&) noexcept = default;
void event_loop::timer::cancel() { m_impl.reset(); }

event_loop::event_loop()
    : m_impl(std::make_unique<impl>())
{
}

event_loop::~event_loop() = default;

void event_loop::run() { g_main_loop_run(m_impl->loop); }

void event_loop::quit() { g_main_loop_quit(m_impl->loop); }

void event_loop::post(std::function<void()> function)
{
    {
        const std::lock_guard lock(m_impl->mutex);
        m_impl->posted.push_back(std::move(function));
        if (m_impl->posted.size() > 1)
            return;
    }
    auto* source = g_idle_source_new();
    g_source_set_priority(source, G_PRIORITY_DEFAULT);
    g_source_set_callback(source, impl::runPosted, m_impl.get(), nullptr);
    g_source_attach(source, m_impl->context);
    g_source_unref(source);
}

event_loop::timer event_loop::after(duration wait, std::function<void()> function)
{
    auto* source = g_timeout_source_new(detail::toMilliseconds(wait));
    detail::attach(*this, source, detail::runOnce, std::move(function));
    timer handle;
    handle.m_impl = std::make_unique<timer::impl>(source);
    return handle;
}

event_loop::timer event_loop::every(duration period, std::function<void()> function)
{
    auto* source = g_timeout_source_new(detail::toMilliseconds(period));
    detail::attach(*this, source, detail::runAgain, std::move(function));
    timer handle;
    handle.m_impl = std::make_unique<timer::impl>(source);
    return handle;
}

void event_loop::onTerminate(std::function<void()> function)
{
    const auto shared = std::make_shared<std::function<void()>>(std::move(function));
    for (const int signal : { SIGTERM, SIGINT }) {
        auto* source = g_unix_signal_source_new(signal);
        detail::attach(*this, source, detail::runAgain, [shared] { (*shared)(); });
        m_impl->signals.push_back(source);
    }
}

void event_loop::onReload(std::function<void()> function)
{
    auto* source = g_unix_signal_source_new(SIGHUP);
    detail::attach(*this, source, detail::runAgain, std::move(function));
    m_impl->signals.push_back(source);
    endReloadDeferral();
}

instant event_loop::now() const
{
    timespec time {};
    // CLOCK_MONOTONIC stands still while the machine is suspended; a lease must not outlive the suspension.
    clock_gettime(CLOCK_BOOTTIME, &time);
    return instantFromMicros(static_cast<std::int64_t>(time.tv_sec) * 1000000 + time.tv_nsec / 1000);
}

instant event_loop::wallClock() const { return instantFromMicros(g_get_real_time()); }

GMainContext* detail::loop_access::context(const event_loop& loop) { return loop.m_impl->context; }

GCancellable* detail::loop_access::shutdown(const event_loop& loop) { return loop.m_impl->shutdown.get(); }

} // namespace poplardeal
