#include "disk_image.h"
#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <sys/file.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace poplardeal::soak {

disk_image::hold::hold(const std::filesystem::path& record)
    : m_descriptor(::open(record.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644))
{
    if (m_descriptor < 0 || ::flock(m_descriptor, LOCK_EX) != 0)
        throw std::system_error(errno, std::generic_category(), "lock " + record.string());
}

disk_image::hold::~hold() { ::close(m_descriptor); }

disk_image::disk_image(std::filesystem::path folder, std::filesystem::path record)
    : m_folder(std::move(folder))
    , m_record(std::move(record))
{
}

static std::string contents(const std::filesystem::path& path)
{
    std::ifstream in(path, std::ios::binary);
    return { std::istreambuf_iterator<char>(in), {} };
}

void disk_image::update()
{
    std::ifstream in(m_record, std::ios::binary);
    in.seekg(static_cast<std::streamoff>(m_recordRead));
    char kind = 0;
    std::size_t firstSize = 0;
    std::size_t secondSize = 0;
    while (in >> kind >> firstSize >> secondSize && in.get() == '\n') {
        std::string first(firstSize, '\0');
        std::string second(secondSize, '\0');
        in.read(first.data(), static_cast<std::streamsize>(firstSize));
        in.read(second.data(), static_cast<std::streamsize>(secondSize));
        if (!in)
            return; // The record is being written.
        take(kind, first, second);
        m_recordRead = static_cast<std::uintmax_t>(in.tellg());
    }
}

void disk_image::take(char kind, const std::string& first, std::string_view second)
{
    if (kind == 'd') {
        m_synced = m_current;
        m_unsynced.clear();
        return;
    }
    const auto found = m_current.find(first);
    if (kind == 'c' ? found != m_current.end() : found == m_current.end())
        throw std::runtime_error(m_record.string() + ": operation " + kind + " on " + first + " makes no sense");
    switch (kind) {
    case 'w':
        found->second->bytes += second;
        return;
    case 's':
        found->second->synced = found->second->bytes.size();
        found->second->uncut.clear();
        return;
    case 't':
        if (found->second->uncut.empty())
            found->second->uncut = found->second->bytes.substr(0, found->second->synced);
        found->second->bytes.resize(std::stoull(std::string(second)));
        found->second->synced = std::min(found->second->synced, found->second->bytes.size());
        return;
    case 'c':
        m_unsynced.push_back({ "", first, std::make_shared<file>() });
        break;
    case 'r':
        m_unsynced.push_back({ first, std::string(second), found->second });
        break;
    case 'u':
        m_unsynced.push_back({ first, "", found->second });
        break;
    default:
        throw std::runtime_error(m_record.string() + ": operation " + kind + " is not known");
    }
    apply(m_unsynced.back(), m_current);
}

/// Also for changes before which others were lost: a rename then puts the file under its new name only.
void disk_image::apply(const change& each, directory& names)
{
    const auto found = names.find(each.from);
    if (found != names.end() && found->second == each.target)
        names.erase(found);
    if (!each.to.empty())
        names[each.to] = each.target;
}

bool disk_image::hasUnsynced() const
{
    return !m_unsynced.empty() || std::any_of(m_current.begin(), m_current.end(), [](const auto& each) {
        return each.second->synced < each.second->bytes.size();
    });
}

std::string disk_image::difference() const
{
    std::ostringstream out;
    for (const auto& [name, recorded] : m_current) {
        if (!std::filesystem::exists(m_folder / name))
            out << name << " is missing; ";
        else if (const auto found = contents(m_folder / name); found != recorded->bytes)
            out << name << " has " << found.size() << " bytes and " << recorded->bytes.size() << " are recorded; ";
    }
    for (const auto& each : std::filesystem::directory_iterator(m_folder)) {
        if (!m_current.contains(each.path().filename().string()))
            out << each.path().filename().string() << " is not recorded; ";
    }
    return out.str();
}

void disk_image::losePower(std::mt19937_64& random)
{
    const auto below = [&](std::size_t limit) { return std::uniform_int_distribution<std::size_t>(0, limit)(random); };
    for (const auto& each : m_unsynced) {
        if (below(1) == 0)
            apply(each, m_synced);
    }
    const auto left = m_synced;
    wipe();
    for (const auto& [name, kept] : left) {
        if (const auto uncut = std::exchange(kept->uncut, ""); uncut.size() > kept->bytes.size() && below(1) == 0) {
            kept->bytes = uncut;
            kept->synced = uncut.size();
        }
        const auto cut = kept->synced + below(kept->bytes.size() - kept->synced);
        switch (below(3)) {
        case 0:
            break;
        case 1:
            kept->bytes.resize(kept->synced);
            break;
        case 2:
            kept->bytes.resize(cut);
            break;
        default:
            // The length was written and the data was not.
            std::fill(kept->bytes.begin() + static_cast<std::ptrdiff_t>(cut), kept->bytes.end(), '\0');
        }
        kept->synced = kept->bytes.size();
        std::ofstream(m_folder / name, std::ios::binary) << kept->bytes;
    }
    m_synced = left;
    m_current = left;
}

void disk_image::wipe()
{
    std::filesystem::remove_all(m_folder);
    std::filesystem::create_directories(m_folder);
    const std::ofstream emptied(m_record, std::ios::trunc);
    m_recordRead = 0;
    m_current.clear();
    m_synced.clear();
    m_unsynced.clear();
}

} // namespace poplardeal::soak
