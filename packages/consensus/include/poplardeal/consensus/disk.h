#pragma once

#include <concepts>
#include <cstdint>
#include <filesystem>
#include <poplardeal/base/failure.h>
#include <string>
#include <string_view>
#include <vector>

namespace poplardeal {

/// File operations on one folder. Names are relative to it. Tests inject faults by another implementation. An operation
/// that takes room, other than a sync, fails with `no_space` if there is none.
template <class D>
concept disk_access = std::move_constructible<D> && requires(D disk, const std::string& name, std::string_view bytes)
{
    /// Creates the folder if it is missing, makes its name durable, and takes its lock file; `locked` if another
    /// process holds it.
    {
        disk.open()
        } -> std::same_as<result<void>>;
    {
        disk.list()
        } -> std::same_as<result<std::vector<std::string>>>;
    {
        disk.read(name)
        } -> std::same_as<result<std::string>>;
    /// Creates the file if it is missing. Returns the number of bytes written, which may be less than given.
    {
        disk.append(name, bytes)
        } -> std::same_as<result<std::size_t>>;
    {
        disk.sync(name)
        } -> std::same_as<result<void>>;
    {
        disk.syncFolder()
        } -> std::same_as<result<void>>;
    /// Cuts an existing file to its first bytes. Needs no room.
    {
        disk.truncate(name, std::uint64_t {})
        } -> std::same_as<result<void>>;
    /// Replaces a file of the second name.
    {
        disk.rename(name, name)
        } -> std::same_as<result<void>>;
    {
        disk.remove(name)
        } -> std::same_as<result<void>>;
    /// Name of a file for messages.
    {
        disk.describe(name)
        } -> std::convertible_to<std::string>;
};

/// The file system.
class posix_disk {
public:
    explicit posix_disk(std::filesystem::path folder);
    posix_disk(posix_disk&&) noexcept;
    posix_disk& operator=(posix_disk&&) noexcept;
    ~posix_disk();

    result<void> open();
    result<std::vector<std::string>> list();
    result<std::string> read(const std::string& name);
    result<std::size_t> append(const std::string& name, std::string_view bytes);
    result<void> sync(const std::string& name);
    result<void> syncFolder();
    result<void> truncate(const std::string& name, std::uint64_t bytes);
    result<void> rename(const std::string& from, const std::string& to);
    result<void> remove(const std::string& name);
    std::string describe(const std::string& name) const;

private:
    result<void> openForAppend(const std::string& name);
    void closeAppendFile();

    std::filesystem::path m_folder;
    int m_folderDescriptor { -1 };
    int m_lockDescriptor { -1 };
    int m_appendDescriptor { -1 };
    std::string m_appendName;
};

static_assert(disk_access<posix_disk>);

} // namespace poplardeal
