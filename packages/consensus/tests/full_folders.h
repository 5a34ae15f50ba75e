#pragma once

#include <cerrno>
#include <cstdarg>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <map>
#include <mutex>
#include <string>
#include <sys/syscall.h>
#include <unistd.h>

namespace poplardeal::test {

/// Folders of this process whose disk is full, with the bytes that still find room: the next write is cut to them.
class full_folders {
public:
    static void fill(const std::filesystem::path& folder, std::size_t room = 0)
    {
        const std::lock_guard guard(mutex());
        rooms()[folder.string()] = room;
    }
    static void empty(const std::filesystem::path& folder)
    {
        const std::lock_guard guard(mutex());
        rooms().erase(folder.string());
    }

    /// Bytes that find room for an operation on the file or folder.
    static std::size_t takeRoom(int descriptor, std::size_t wanted)
    {
        const std::lock_guard guard(mutex());
        if (rooms().empty())
            return wanted;
        std::error_code error;
        const auto path = std::filesystem::read_symlink("/proc/self/fd/" + std::to_string(descriptor), error).string();
        for (auto& [folder, room] : rooms()) {
            if (path != folder && !path.starts_with(folder + "/"))
                continue;
            wanted = std::min(wanted, room);
            room -= wanted;
        }
        return wanted;
    }

private:
    static std::mutex& mutex()
    {
        static std::mutex made;
        return made;
    }
    static std::map<std::string, std::size_t>& rooms()
    {
        static std::map<std::string, std::size_t> made;
        return made;
    }
};

} // namespace poplardeal::test

// These replace the functions of the C library for the whole test program.
extern "C" inline __attribute__((used)) ssize_t write(int descriptor, const void* bytes, std::size_t count)
{
    const auto room = poplardeal::test::full_folders::takeRoom(descriptor, count);
    if (room == 0 && count != 0) {
        errno = ENOSPC;
        return -1;
    }
    return ::syscall(SYS_write, descriptor, bytes, room);
}

extern "C" inline __attribute__((used)) int openat(int folder, const char* name, int flags, ...)
{
    va_list arguments;
    va_start(arguments, flags);
    const int mode = (flags & O_CREAT) != 0 ? va_arg(arguments, int) : 0;
    va_end(arguments);
    if ((flags & O_CREAT) != 0 && poplardeal::test::full_folders::takeRoom(folder, 1) == 0) {
        errno = ENOSPC;
        return -1;
    }
    return static_cast<int>(::syscall(SYS_openat, folder, name, flags, mode));
}

extern "C" inline __attribute__((used)) int renameat(
    int fromFolder, const char* from, int toFolder, const char* to) noexcept
{
    if (poplardeal::test::full_folders::takeRoom(toFolder, 1) == 0) {
        errno = EDQUOT;
        return -1;
    }
    return static_cast<int>(::syscall(SYS_renameat2, fromFolder, from, toFolder, to, 0));
}
