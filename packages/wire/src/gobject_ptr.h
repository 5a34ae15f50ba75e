#pragma once

#include <gio/gio.h>
#include <memory>
#include <string>

namespace poplardeal::detail {

struct object_unref {
    void operator()(gpointer object) const { g_object_unref(object); }
};

/// Owns one reference to a GObject.
template <class T> using object_ptr = std::unique_ptr<T, object_unref>;

template <class T> object_ptr<T> shareObject(T* object) { return object_ptr<T>(static_cast<T*>(g_object_ref(object))); }

struct error_free {
    void operator()(GError* error) const { g_error_free(error); }
};

/// Receives a `GError*` from a GLib call.
class error_slot {
public:
    error_slot() = default;
    ~error_slot() { g_clear_error(&m_error); }
    error_slot(const error_slot&) = delete;
    error_slot& operator=(const error_slot&) = delete;

    GError** out() { return &m_error; }
    const GError* get() const { return m_error; }
    std::string message() const { return m_error ? m_error->message : "unknown error"; }
    bool is(GQuark domain, int code) const { return g_error_matches(m_error, domain, code); }

private:
    GError* m_error { nullptr };
};

} // namespace poplardeal::detail
