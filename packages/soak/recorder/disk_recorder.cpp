// Linked into a daemon whose data folder may lose power; its functions replace those of the C library. Records
// creations, writes, truncations, renames, removals and syncs of files in POPLARDEAL_SOAK_FOLDER to
// POPLARDEAL_SOAK_RECORD; disk_image.h describes the format. Syncs take a time drawn from POPLARDEAL_SOAK_SEED. Other
// ways to change a file are not recorded, which disk_image::difference reports. While a file with the name of the
// record and the ending ".full" exists, the disk is full: files of the folder are neither created nor written, but for
// a part of the first write.

#include <array>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <dlfcn.h>
#include <fcntl.h>
#include <mutex>
#include <random>
#include <string>
#include <string_view>
#include <sys/file.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace {

std::string_view environmentValue(const char* name)
{
    const auto* value = std::getenv(name);
    return value != nullptr ? value : "";
}

/// Name of an open file relative to the data folder, "." for the folder and empty for others. Allocates nothing,
/// because write(2) may be called by a signal handler.
class tracked_name {
public:
    explicit tracked_name(int descriptor)
    {
        static const auto folder = environmentValue("POPLARDEAL_SOAK_FOLDER");
        std::array<char, 40> link {};
        std::snprintf(link.data(), link.size(), "/proc/self/fd/%d", descriptor);
        const int error = errno;
        const auto length = ::readlink(link.data(), m_path.data(), m_path.size());
        errno = error;
        const std::string_view path(m_path.data(), length > 0 ? static_cast<std::size_t>(length) : 0);
        if (path == folder)
            m_name = ".";
        else if (path.starts_with(folder) && path[folder.size()] == '/')
            m_name = path.substr(folder.size() + 1);
        // The name of a removed file ends with " (deleted)". Nobody can read it after a loss of power.
        if (m_name.find(' ') != std::string_view::npos)
            m_name = {};
    }
    tracked_name(const tracked_name&) = delete;
    tracked_name& operator=(const tracked_name&) = delete;

    std::string_view value() const { return m_name; }
    bool isFile() const { return !m_name.empty() && m_name != "."; }
    bool isFolder() const { return m_name == "."; }

private:
    std::array<char, 512> m_path; // Filled by readlink.
    std::string_view m_name;
};

struct recorder {
    std::mutex mutex;
    std::mt19937_64 random { std::strtoull(environmentValue("POPLARDEAL_SOAK_SEED").data(), nullptr, 10) };
    // The system calls are used because the functions are those of this file.
    int descriptor { static_cast<int>(::syscall(SYS_openat, AT_FDCWD, environmentValue("POPLARDEAL_SOAK_RECORD").data(),
        O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644)) };
    std::string fullMark { std::string(environmentValue("POPLARDEAL_SOAK_RECORD")) + ".full" };
    bool hasRoomForPart { true }; ///< Since the disk was last seen with room; guarded by `mutex`.

    static recorder& instance()
    {
        static auto* const one = new recorder; // Threads may write until the process is gone.
        return *one;
    }

    bool isDiskFull() const { return ::syscall(SYS_faccessat, AT_FDCWD, fullMark.c_str(), F_OK) == 0; }

    /// Mostly short, as of a disk with a cache; some long enough for a process to be ended in between.
    void delaySync()
    {
        std::chrono::microseconds time {};
        {
            const std::lock_guard lock(mutex);
            const bool isLong = random() % 8 == 0;
            time = std::chrono::microseconds(isLong ? 3000 + random() % 15000 : random() % 1500);
        }
        std::this_thread::sleep_for(time);
    }
};

/// One operation on the folder and its record. Whoever ends the process holds the lock on the record file meanwhile, so
/// that no operation has taken place without its record.
class operation {
public:
    operation() { ::flock(m_recorder.descriptor, LOCK_EX); }
    operation(const operation&) = delete;
    operation& operator=(const operation&) = delete;
    ~operation()
    {
        const int error = errno;
        ::flock(m_recorder.descriptor, LOCK_UN);
        errno = error;
    }

    void record(std::string_view kind, std::string_view first, std::string_view second = {})
    {
        const int error = errno;
        std::array<char, 80> sizes {};
        const int length
            = std::snprintf(sizes.data(), sizes.size(), "%.1s %zu %zu\n", kind.data(), first.size(), second.size());
        std::array<iovec, 3> parts { iovec { sizes.data(), static_cast<std::size_t>(length) },
            iovec { const_cast<char*>(first.data()), first.size() },
            iovec { const_cast<char*>(second.data()), second.size() } };
        const auto whole = parts[0].iov_len + first.size() + second.size();
        if (::syscall(SYS_writev, m_recorder.descriptor, parts.data(), parts.size()) != static_cast<long>(whole))
            std::abort(); // Without a whole record the soak would report faults of its own.
        errno = error;
    }

    /// How many bytes of a write the disk takes.
    std::size_t roomFor(std::size_t size)
    {
        const int error = errno;
        const bool isFull = m_recorder.isDiskFull();
        errno = error;
        const bool takesPart = std::exchange(m_recorder.hasRoomForPart, !isFull);
        return !isFull ? size : takesPart ? size / 2 : 0;
    }

private:
    recorder& m_recorder { recorder::instance() };
    std::lock_guard<std::mutex> m_lock { m_recorder.mutex };
};

/// The function that this library replaces.
template <class F> F replaced(const char* name, F) { return reinterpret_cast<F>(::dlsym(RTLD_NEXT, name)); }

int openAt(int folder, const char* path, int flags, mode_t mode)
{
    static const auto next = replaced("openat", &::openat);
    if ((flags & O_CREAT) == 0)
        return next(folder, path, flags, mode);
    operation one;
    const bool isNew = ::faccessat(folder, path, F_OK, 0) != 0;
    if (isNew && tracked_name(folder).isFolder() && recorder::instance().isDiskFull()) {
        errno = ENOSPC;
        return -1;
    }
    const int descriptor = next(folder, path, flags, mode);
    const tracked_name name(descriptor);
    if (isNew && descriptor >= 0 && name.isFile())
        one.record("c", name.value());
    return descriptor;
}

int sync(int (*next)(int), int descriptor)
{
    const tracked_name name(descriptor);
    if (!name.isFile() && !name.isFolder())
        return next(descriptor);
    recorder::instance().delaySync();
    // The record decides what a loss of power leaves, so the disk need not be waited for.
    operation one;
    one.record(name.isFolder() ? "d" : "s", name.value());
    return 0;
}

} // namespace

extern "C" {

int openat(int folder, const char* path, int flags, ...)
{
    va_list rest;
    va_start(rest, flags);
    const auto mode = (flags & (O_CREAT | O_TMPFILE)) != 0 ? va_arg(rest, mode_t) : 0;
    va_end(rest);
    return openAt(folder, path, flags, mode);
}

ssize_t write(int descriptor, const void* data, std::size_t size)
{
    static const auto next = replaced("write", &::write);
    const tracked_name name(descriptor);
    if (!name.isFile())
        return next(descriptor, data, size);
    operation one;
    const auto room = one.roomFor(size);
    if (room == 0 && size > 0) {
        errno = ENOSPC;
        return -1;
    }
    const auto count = next(descriptor, data, room);
    if (count > 0)
        one.record("w", name.value(), { static_cast<const char*>(data), static_cast<std::size_t>(count) });
    return count;
}

int ftruncate(int descriptor, off_t size) noexcept
{
    static const auto next = replaced("ftruncate", &::ftruncate);
    const tracked_name name(descriptor);
    operation one;
    const int out = next(descriptor, size);
    if (out == 0 && name.isFile())
        one.record("t", name.value(), std::to_string(size));
    return out;
}

int fsync(int descriptor)
{
    static const auto next = replaced("fsync", &::fsync);
    return sync(next, descriptor);
}

int fdatasync(int descriptor)
{
    static const auto next = replaced("fdatasync", &::fdatasync);
    return sync(next, descriptor);
}

int renameat(int fromFolder, const char* from, int toFolder, const char* to) noexcept
{
    static const auto next = replaced("renameat", &::renameat);
    operation one;
    const int out = next(fromFolder, from, toFolder, to);
    if (out == 0 && tracked_name(toFolder).isFolder())
        one.record("r", from, to);
    return out;
}

int unlinkat(int folder, const char* path, int flags) noexcept
{
    static const auto next = replaced("unlinkat", &::unlinkat);
    operation one;
    const int out = next(folder, path, flags);
    if (out == 0 && tracked_name(folder).isFolder())
        one.record("u", path);
    return out;
}

} // extern "C"
