#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <poplardeal/consensus/disk.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <system_error>
#include <unistd.h>

namespace poplardeal {

constexpr const char* lockName = "lock";

static failure ioFailure(std::string_view operation, const std::string& path)
{
    const auto reason = std::generic_category().message(errno);
    return failure { failure_code::io_error, std::string(operation) + " " + path + ": " + reason };
}

/// Like `ioFailure` for an operation that takes room. A failed sync is none: it leaves the page cache unknown.
static failure roomFailure(std::string_view operation, const std::string& path)
{
    const bool isFull = errno == ENOSPC || errno == EDQUOT;
    auto out = ioFailure(operation, path);
    out.code = isFull ? failure_code::no_space : out.code;
    return out;
}

/// Creates the file only if it is missing: a full disk may refuse the flag for one that exists.
static int openOrCreate(int folder, const char* name, int flags)
{
    constexpr mode_t mode = 0644;
    const int descriptor = ::openat(folder, name, flags | O_CLOEXEC);
    if (descriptor >= 0 || errno != ENOENT)
        return descriptor;
    return ::openat(folder, name, flags | O_CREAT | O_CLOEXEC, mode);
}

static void closeDescriptor(int& descriptor)
{
    if (descriptor >= 0)
        ::close(descriptor);
    descriptor = -1;
}

/// Makes the name of the folder durable. Syncs the whole file system if the parent cannot be opened or synced alone.
static result<void> syncName(const std::filesystem::path& folder)
{
    const auto parent = folder.parent_path();
    int descriptor = ::open(parent.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0 && errno != EACCES)
        return ioFailure("open folder", parent.string());
    if (descriptor >= 0 && ::fsync(descriptor) == 0) {
        closeDescriptor(descriptor);
        return success();
    }
    if (descriptor >= 0 && errno != EINVAL) {
        const auto error = ioFailure("sync folder", parent.string());
        closeDescriptor(descriptor);
        return error;
    }
    closeDescriptor(descriptor);
    descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0)
        return ioFailure("open folder", folder.string());
    if (::syncfs(descriptor) != 0) {
        const auto error = ioFailure("sync the file system of", folder.string());
        closeDescriptor(descriptor);
        return error;
    }
    closeDescriptor(descriptor);
    return success();
}

/// Creates the folder and those above it that are missing, each durable before the next. So only the last one that
/// exists can have a name that an earlier process created and did not sync.
static result<void> createFolder(const std::filesystem::path& folder)
{
    std::error_code error;
    const auto whole = std::filesystem::weakly_canonical(folder, error);
    auto present = whole;
    std::vector<std::filesystem::path> missing;
    while (!error && !std::filesystem::exists(present, error) && !error) {
        missing.push_back(present);
        present = present.parent_path();
    }
    if (error)
        return failure { failure_code::io_error, "find folder " + folder.string() + ": " + error.message() };
    BOOST_OUTCOME_TRYV(syncName(present));
    for (auto next = missing.rbegin(); next != missing.rend(); ++next) {
        std::filesystem::create_directory(*next, error);
        if (error) {
            errno = error.value();
            return roomFailure("create folder", next->string());
        }
        BOOST_OUTCOME_TRYV(syncName(*next));
    }
    return success();
}

posix_disk::posix_disk(std::filesystem::path folder)
    : m_folder(std::move(folder))
{
}

posix_disk::posix_disk(posix_disk&& other) noexcept
    : m_folder(std::move(other.m_folder))
    , m_folderDescriptor(std::exchange(other.m_folderDescriptor, -1))
    , m_lockDescriptor(std::exchange(other.m_lockDescriptor, -1))
    , m_appendDescriptor(std::exchange(other.m_appendDescriptor, -1))
    , m_appendName(std::move(other.m_appendName))
{
}

posix_disk& posix_disk::operator=(posix_disk&& other) noexcept
{
    std::swap(m_folder, other.m_folder);
    std::swap(m_folderDescriptor, other.m_folderDescriptor);
    std::swap(m_lockDescriptor, other.m_lockDescriptor);
    std::swap(m_appendDescriptor, other.m_appendDescriptor);
    std::swap(m_appendName, other.m_appendName);
    return *this;
}

posix_disk::~posix_disk()
{
    closeAppendFile();
    closeDescriptor(m_lockDescriptor);
    closeDescriptor(m_folderDescriptor);
}

result<void> posix_disk::open()
{
    BOOST_OUTCOME_TRYV(createFolder(m_folder));
    m_folderDescriptor = ::open(m_folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (m_folderDescriptor < 0)
        return ioFailure("open folder", m_folder.string());
    m_lockDescriptor = openOrCreate(m_folderDescriptor, lockName, O_RDWR);
    if (m_lockDescriptor < 0)
        return roomFailure("open", describe(lockName));
    if (::flock(m_lockDescriptor, LOCK_EX | LOCK_NB) == 0)
        return success();
    if (errno == EWOULDBLOCK)
        return failure { failure_code::locked, "data folder " + m_folder.string() + " is in use by another process" };
    return ioFailure("lock", describe(lockName));
}

result<std::vector<std::string>> posix_disk::list()
{
    std::vector<std::string> names;
    std::error_code error;
    for (std::filesystem::directory_iterator entry(m_folder, error), end; !error && entry != end;
         entry.increment(error)) {
        if (entry->path().filename() != lockName)
            names.push_back(entry->path().filename().string());
    }
    if (error)
        return failure { failure_code::io_error, "list folder " + m_folder.string() + ": " + error.message() };
    return names;
}

result<std::string> posix_disk::read(const std::string& name)
{
    int descriptor = ::openat(m_folderDescriptor, name.c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0)
        return ioFailure("open", describe(name));
    struct stat status { };
    if (::fstat(descriptor, &status) != 0) {
        const auto error = ioFailure("stat", describe(name));
        closeDescriptor(descriptor);
        return error;
    }
    std::string bytes(static_cast<std::size_t>(status.st_size), '\0');
    std::size_t done = 0;
    while (done < bytes.size()) {
        const auto count = ::read(descriptor, bytes.data() + done, bytes.size() - done);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0) {
            const auto error = ioFailure("read", describe(name));
            closeDescriptor(descriptor);
            return error;
        }
        if (count == 0)
            break;
        done += static_cast<std::size_t>(count);
    }
    closeDescriptor(descriptor);
    bytes.resize(done);
    return bytes;
}

result<void> posix_disk::openForAppend(const std::string& name)
{
    if (m_appendDescriptor >= 0 && m_appendName == name)
        return success();
    closeAppendFile();
    m_appendDescriptor = openOrCreate(m_folderDescriptor, name.c_str(), O_WRONLY | O_APPEND);
    if (m_appendDescriptor < 0)
        return roomFailure("open", describe(name));
    m_appendName = name;
    return success();
}

void posix_disk::closeAppendFile()
{
    closeDescriptor(m_appendDescriptor);
    m_appendName.clear();
}

result<std::size_t> posix_disk::append(const std::string& name, std::string_view bytes)
{
    BOOST_OUTCOME_TRYV(openForAppend(name));
    while (true) {
        const auto count = ::write(m_appendDescriptor, bytes.data(), bytes.size());
        if (count >= 0)
            return static_cast<std::size_t>(count);
        if (errno != EINTR)
            return roomFailure("write", describe(name));
    }
}

result<void> posix_disk::sync(const std::string& name)
{
    BOOST_OUTCOME_TRYV(openForAppend(name));
    if (::fdatasync(m_appendDescriptor) != 0)
        return ioFailure("sync", describe(name));
    return success();
}

result<void> posix_disk::syncFolder()
{
    if (::fsync(m_folderDescriptor) != 0)
        return ioFailure("sync folder", m_folder.string());
    return success();
}

result<void> posix_disk::truncate(const std::string& name, std::uint64_t bytes)
{
    BOOST_OUTCOME_TRYV(openForAppend(name));
    if (::ftruncate(m_appendDescriptor, static_cast<off_t>(bytes)) != 0)
        return roomFailure("truncate", describe(name));
    return success();
}

result<void> posix_disk::rename(const std::string& from, const std::string& to)
{
    if (m_appendName == from)
        closeAppendFile();
    if (::renameat(m_folderDescriptor, from.c_str(), m_folderDescriptor, to.c_str()) != 0)
        return roomFailure("rename", describe(from));
    return success();
}

result<void> posix_disk::remove(const std::string& name)
{
    if (m_appendName == name)
        closeAppendFile();
    if (::unlinkat(m_folderDescriptor, name.c_str(), 0) != 0)
        return ioFailure("remove", describe(name));
    return success();
}

std::string posix_disk::describe(const std::string& name) const { return (m_folder / name).string(); }

} // namespace poplardeal
